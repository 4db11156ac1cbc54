#pragma once

#include <azurecross_core/azurecross_core.h>

#include <algorithm>

namespace azurecross {

struct BackoffSettings
{
  Duration shortest_ = std::chrono::milliseconds(200);
  Duration longest_ = std::chrono::seconds(15);
};

/**
 * The pauses between attempts: doubled after each failure, with jitter so that
 * many entries do not call at the same moment after an outage.
 */
class Backoff
{
public:
  Backoff(BackoffSettings aSettings, std::uint64_t aSeed)
    : settings_(aSettings)
    , next_(aSettings.shortest_)
    , random_(aSeed)
  {
  }

  /** @returns the pause before the next attempt. */
  Duration Draw()
  {
    const Duration pause = random_.Jitter(next_, kJitterFraction);
    next_ = std::min(next_ * 2, settings_.longest_);
    return pause;
  }

  /** Starts again with the shortest pause. */
  void Reset() { next_ = settings_.shortest_; }

private:
  static constexpr double kJitterFraction = 0.5;

  BackoffSettings settings_;
  Duration next_;
  Random random_;
};

} // namespace azurecross
