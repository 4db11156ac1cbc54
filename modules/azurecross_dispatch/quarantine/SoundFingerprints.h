#pragma once

#include "Fingerprint.h"

#include <unordered_map>

namespace azurecross {

/**
 * Remembers when servers last answered requests with a fingerprint. Holds a
 * bounded number: the less recently confirmed ones are forgotten.
 */
class SoundFingerprints
{
public:
  /** Records an answer; an older one than the last recorded one is ignored. */
  void Record(const Fingerprint& aFingerprint, Time aAt);

  /** @returns when it was last recorded, if it is still remembered. */
  std::optional<Time> Find(const Fingerprint& aFingerprint) const;

private:
  /** At 90 requests a second with three fingerprints each, all different, those
   * of the last 60 s or more are remembered. */
  static constexpr std::size_t kMaxRecent = 16384;

  struct Hash
  {
    std::size_t operator()(const Fingerprint& aFingerprint) const
    {
      return static_cast<std::size_t>(aFingerprint.value_);
    }
  };
  using Times = std::unordered_map<Fingerprint, Time, Hash>;

  Times recent_;
  /** Those recorded before `recent_` was last full. */
  Times older_;
};

} // namespace azurecross
