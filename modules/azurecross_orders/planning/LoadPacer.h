#pragma once

#include <azurecross_core/azurecross_core.h>

#include <deque>

namespace azurecross {

struct LoadPacerSettings
{
  /** This many loads may start within one interval. */
  std::size_t mostLoads_ = 4;
  Duration interval_ = std::chrono::minutes(1);
};

/**
 * Keeps the loads that one controller orders under its share of the weight
 * store's rate limit, in every window of the interval's length.
 */
class LoadPacer
{
public:
  explicit LoadPacer(LoadPacerSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /** @returns whether a load may start now; if so, it is counted. */
  bool TryStart(Time aNow)
  {
    while (!starts_.empty() && aNow - starts_.front() >= settings_.interval_) {
      starts_.pop_front();
    }
    if (starts_.size() >= settings_.mostLoads_) {
      return false;
    }
    starts_.push_back(aNow);
    return true;
  }

private:
  LoadPacerSettings settings_;
  std::deque<Time> starts_;
};

} // namespace azurecross
