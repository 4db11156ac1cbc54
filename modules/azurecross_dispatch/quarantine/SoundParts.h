#pragma once

#include "PromptPart.h"

#include <unordered_map>

namespace azurecross {

/**
 * Remembers when engines last answered requests with a part of a prompt. Holds
 * a bounded number of parts: the less recently confirmed ones are forgotten.
 */
class SoundParts
{
public:
  /** Records an answer; an older one than the last recorded one is ignored. */
  void Record(PromptPartId aPart, Time aAt);

  /** @returns when the part was last recorded, if it is still remembered. */
  std::optional<Time> Find(PromptPartId aPart) const;

private:
  /** At 90 requests a second with two shared parts each, all different, the
   * parts of the last 45 s or more are remembered. */
  static constexpr std::size_t kMaxRecentParts = 8192;

  std::unordered_map<PromptPartId, Time> recent_;
  /** The parts recorded before `recent_` was last full. */
  std::unordered_map<PromptPartId, Time> older_;
};

} // namespace azurecross
