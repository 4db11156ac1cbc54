#pragma once

#include "Envelope.h"

#include <cstdint>
#include <unordered_map>

namespace azurecross {

/** Whether a received message is processed, or why it is dropped. */
enum class EnvelopeDecision
{
  Accepted,
  StaleIncarnation,
  Duplicate,
  TooOld,
};

inline constexpr NameTable<EnvelopeDecision, 4> kEnvelopeDecisionNames{
  { { { EnvelopeDecision::Accepted, "accepted" },
      { EnvelopeDecision::StaleIncarnation, "stale_incarnation" },
      { EnvelopeDecision::Duplicate, "duplicate" },
      { EnvelopeDecision::TooOld, "too_old" } } }
};

/**
 * Drops duplicated messages and messages of an earlier incarnation of their
 * sender. Messages may arrive out of order by up to `kWindow`, because a
 * reconnected link can overtake the previous one.
 */
class EnvelopeFilter
{
public:
  static constexpr std::uint64_t kWindow = 64;

  EnvelopeDecision Check(const wire::PeerMessage& aMessage);

  /** Forgets a peer that is gone for good. */
  void Forget(const EntryId& aPeer) { peers_.erase(aPeer.GetValue()); }

private:
  struct Peer
  {
    std::uint64_t incarnation_ = 0;
    std::uint64_t highest_ = 0;
    /** Bit n: sequence `highest_ - n` was seen. */
    std::uint64_t seen_ = 0;
  };

  std::unordered_map<std::string, Peer> peers_;
};

} // namespace azurecross
