#pragma once

#include <azurecross_core/azurecross_core.h>

#include <optional>

namespace azurecross {

/**
 * Says whether API keys can be trusted: only while the tables are known to
 * have been the newest ones recently enough that no key removed from them may
 * still be in its grace period.
 *
 * All times are of a clock that counts the time a VM is suspended.
 */
class KeyFreshness
{
public:
  /**
   * @param aRemovalBound longest time for which a removed key may still work.
   * @param aMargin taken off the bound for clocks that run at unlike speeds.
   */
  KeyFreshness(Duration aRemovalBound, Duration aMargin)
    : validFor_(aRemovalBound - aMargin)
  {
  }

  /** Takes a read of the tables that shows them to be the newest.
   * @param aSentAt when the read was sent: its answer may be late. */
  void ConfirmUpToDate(Time aSentAt)
  {
    if (!confirmedAt_ || aSentAt > *confirmedAt_) {
      confirmedAt_ = aSentAt;
    }
  }

  /** @returns whether keys are trusted for a request that arrived then. */
  bool IsFresh(Time aArrival) const
  {
    return confirmedAt_ && aArrival - *confirmedAt_ <= validFor_;
  }

  /** @returns how old the last proof is, if there is one. */
  std::optional<Duration> GetAge(Time aNow) const
  {
    return confirmedAt_ ? std::optional(aNow - *confirmedAt_) : std::nullopt;
  }

private:
  Duration validFor_;
  std::optional<Time> confirmedAt_;
};

} // namespace azurecross
