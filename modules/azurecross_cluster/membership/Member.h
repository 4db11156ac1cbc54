#pragma once

#include "../messages/Envelope.h"

#include <azurecross_core/azurecross_core.h>

#include <vector>

namespace azurecross {

/**
 * State of an entry as its peers see it. Within one incarnation a later value
 * overrides an earlier one.
 */
enum class MemberState
{
  Live,
  /** Did not answer; still counts as live until the suspicion timeout. */
  Suspect,
  /** Announced its planned stop; takes no new work. */
  Leaving,
  Dead,
};

inline constexpr NameTable<MemberState, 4> kMemberStateNames{
  { { { MemberState::Live, "live" },
      { MemberState::Suspect, "suspect" },
      { MemberState::Leaving, "leaving" },
      { MemberState::Dead, "dead" } } }
};

/** What one entry knows about another. */
struct Member
{
  EntryId entry_;
  /** Grows with each refutation of a wrong death. */
  Incarnation incarnation_;
  MemberState state_ = MemberState::Live;
  AvailabilityZone zone_;
  SocketAddress address_;
  /** Entry size relative to the usual size of 1. */
  double size_ = 1.0;
  /** Incarnation at the start of its process; names the process. */
  Incarnation start_{};

  /** @returns whether it can be home entry, watcher or delegate. */
  bool IsEligible() const
  {
    return state_ == MemberState::Live || state_ == MemberState::Suspect;
  }
  /** @returns whether it can receive messages. */
  bool IsReachable() const { return state_ != MemberState::Dead; }
};

wire::MemberRecord
ToWire(const Member& aMember);

Member
FromWire(const wire::MemberRecord& aRecord);

/** What the shell has to do after an event. */
struct ClusterActions
{
  /** Messages to give to `PeerTransport::Send`. */
  std::vector<OutgoingMessage> messages_;
  /** Members whose state, address or incarnation changed. */
  std::vector<Member> changes_;
  /** Peers whose links are not needed now, for `PeerTransport::RemovePeer`. */
  std::vector<EntryId> unusedPeers_;

  void Clear()
  {
    messages_.clear();
    changes_.clear();
    unusedPeers_.clear();
  }
};

} // namespace azurecross
