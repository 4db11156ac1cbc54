#include "SoundFingerprints.h"

namespace azurecross {

void
SoundFingerprints::Record(const Fingerprint& aFingerprint, Time aAt)
{
  const auto known = Find(aFingerprint);
  if (known && *known >= aAt) {
    return;
  }
  if (recent_.size() >= kMaxRecent && !recent_.contains(aFingerprint)) {
    older_ = std::move(recent_);
    recent_.clear();
  }
  recent_[aFingerprint] = aAt;
}

std::optional<Time>
SoundFingerprints::Find(const Fingerprint& aFingerprint) const
{
  for (const Times* times : { &recent_, &older_ }) {
    const auto found = times->find(aFingerprint);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace azurecross
