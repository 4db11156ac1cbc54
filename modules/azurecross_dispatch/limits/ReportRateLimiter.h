#pragma once

#include <azurecross_core/azurecross_core.h>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace azurecross {

/**
 * Token bucket that limits the load reports sent immediately after placements.
 *
 * A report after each placement keeps other daemons from choosing an engine
 * that has just been filled. With many daemons or during a burst, this would
 * exceed the message rate allowed for a daemon, so placements above the limit
 * are announced by the next regular report.
 */
class ReportRateLimiter
{
public:
  /** @param aMessagesPerSecond average number of messages per second.
   * @param aBurstSize maximum number of messages sent at once after an idle
   * period. */
  ReportRateLimiter(double aMessagesPerSecond, double aBurstSize)
    : messagesPerSecond_(aMessagesPerSecond)
    , burstSize_(aBurstSize)
    , availableMessages_(aBurstSize)
  {
  }

  /** Consumes one message for each receiver if enough are available.
   * @returns whether the messages may be sent now. */
  bool TryTake(std::size_t aReceivers, Time aNow)
  {
    if (updatedAt_) {
      availableMessages_ =
        std::min(burstSize_,
                 availableMessages_ +
                   messagesPerSecond_ * ToSeconds(aNow - *updatedAt_));
    }
    updatedAt_ = aNow;
    const auto needed = static_cast<double>(aReceivers);
    if (needed > availableMessages_) {
      return false;
    }
    availableMessages_ -= needed;
    return true;
  }

private:
  double messagesPerSecond_;
  double burstSize_;
  double availableMessages_;
  std::optional<Time> updatedAt_;
};

} // namespace azurecross
