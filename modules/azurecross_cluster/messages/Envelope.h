#pragma once

#include "peer.pb.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <string>
#include <string_view>

namespace azurecross {

/** Version of the envelope; a receiver drops messages of another one. */
inline constexpr std::uint32_t kPeerMessageVersion = 1;

/**
 * Longest encoded message. It bounds what a malformed length can make a
 * receiver allocate and holds the largest forwarded body (4 MB) with headers.
 */
inline constexpr std::size_t kLongestPeerMessage = 5UL * 1024 * 1024;

/** A message and the peer that it goes to. */
struct OutgoingMessage
{
  /** Id of the peer, or its address while the id is not known. */
  EntryId receiver_;
  SocketAddress address_;
  wire::PeerMessage message_;
  /**
   * Asks for a new connection. Set for a probe of a member that is not live: a
   * connection left from before a partition can take minutes to recover,
   * because TCP doubles its retransmission time.
   */
  bool redial_ = false;
};

/** Fills in the envelope of the messages that one entry sends. */
class EnvelopeStamper
{
public:
  EnvelopeStamper(EntryId aSelf, Incarnation aIncarnation);

  /** Changes the incarnation of later messages. */
  void SetIncarnation(Incarnation aIncarnation) { incarnation_ = aIncarnation; }

  /** Sets version, sender, incarnation and the next sequence number. */
  void Stamp(const SocketAddress& aReceiver, wire::PeerMessage& aMessage);

  /** Forgets the sequence numbers of a peer that is gone for good. */
  void Forget(const SocketAddress& aReceiver) { sequences_.erase(aReceiver); }

private:
  EntryId self_;
  Incarnation incarnation_;
  /** By address, since a seed is addressed before its id is known. */
  std::map<SocketAddress, std::uint64_t> sequences_;
};

/** @returns the encoded message. */
std::string
EncodePeerMessage(const wire::PeerMessage& aMessage);

/**
 * @returns the message, or a failure for bytes that are not a message of this
 * version with a sender and a body.
 */
Result<wire::PeerMessage>
DecodePeerMessage(std::string_view aBytes);

} // namespace azurecross
