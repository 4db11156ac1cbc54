#include "SoundParts.h"

namespace azurecross {

void
SoundParts::Record(PromptPartId aPart, Time aAt)
{
  const auto known = Find(aPart);
  if (known && *known >= aAt) {
    return;
  }
  if (recent_.size() >= kMaxRecentParts && !recent_.contains(aPart)) {
    older_ = std::move(recent_);
    recent_.clear();
  }
  recent_[aPart] = aAt;
}

std::optional<Time>
SoundParts::Find(PromptPartId aPart) const
{
  for (const auto* parts : { &recent_, &older_ }) {
    const auto found = parts->find(aPart);
    if (found != parts->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace azurecross
