#pragma once

#include <azurecross_core/azurecross_core.h>

#include <optional>

namespace azurecross {

/**
 * Decides whether the API keys of the tables can be trusted. The tables must
 * have been confirmed as the newest version recently enough that a key removed
 * since then is still within its allowed removal delay.
 *
 * All times are from a clock that includes the time during which a VM is
 * suspended.
 */
class KeyFreshness
{
public:
  /**
   * @param aRemovalBound maximum time for which a removed key may still work.
   * @param aMargin subtracted from the bound to allow for clock drift.
   */
  KeyFreshness(Duration aRemovalBound, Duration aMargin)
    : margin_(aMargin)
    , validFor_(aRemovalBound - aMargin)
  {
  }

  /** Replaces the maximum time for which a removed key may still work. */
  void SetRemovalBound(Duration aBound) { validFor_ = aBound - margin_; }

  /** Records that a read confirmed the tables as the newest version.
   * @param aSentAt when the read was sent, since its answer may be delayed. */
  void ConfirmUpToDate(Time aSentAt)
  {
    if (!confirmedAt_ || aSentAt > *confirmedAt_) {
      confirmedAt_ = aSentAt;
    }
  }

  /** @returns whether keys are trusted for a request with this arrival time. */
  bool IsFresh(Time aArrival) const
  {
    return confirmedAt_ && aArrival - *confirmedAt_ <= validFor_;
  }

  /** @returns the age of the last confirmation, if there is one. */
  std::optional<Duration> GetAge(Time aNow) const
  {
    return confirmedAt_ ? std::optional(aNow - *confirmedAt_) : std::nullopt;
  }

private:
  Duration margin_;
  Duration validFor_;
  std::optional<Time> confirmedAt_;
};

} // namespace azurecross
