#pragma once

#include <azurecross_core/azurecross_core.h>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace azurecross {

/**
 * Bounds the load reports that one daemon sends at once after a placement.
 *
 * A report that follows each placement keeps daemons from choosing an engine
 * that others have just filled. Among many daemons or in a burst that would
 * take more messages than a daemon may send, so what is above the budget waits
 * for the next regular report.
 */
class ReportRateLimiter
{
public:
  /** @param aPerSecond messages that may be sent in a second on average.
   * @param aMost messages that may be sent together after a quiet time. */
  ReportRateLimiter(double aPerSecond, double aMost)
    : perSecond_(aPerSecond)
    , most_(aMost)
    , left_(aMost)
  {
  }

  /** Asks for one message to each of the receivers.
   * @returns whether all of them may be sent now. */
  bool TryTake(std::size_t aReceivers, Time aNow)
  {
    if (updatedAt_) {
      left_ =
        std::min(most_, left_ + perSecond_ * ToSeconds(aNow - *updatedAt_));
    }
    updatedAt_ = aNow;
    const auto needed = static_cast<double>(aReceivers);
    if (needed > left_) {
      return false;
    }
    left_ -= needed;
    return true;
  }

private:
  double perSecond_;
  double most_;
  double left_;
  std::optional<Time> updatedAt_;
};

} // namespace azurecross
