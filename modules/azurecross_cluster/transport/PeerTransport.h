#pragma once

#include "../messages/Envelope.h"
#include "LinkFilter.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace azurecross {

/** Where and how a transport listens and how much it queues. */
struct PeerTransportSettings
{
  /** Address to listen on; port 0 takes a free one. */
  SocketAddress listenAddress_;
  /**
   * Messages queued for one peer. 1,024 messages of 150 bytes hold about 3 s
   * of the traffic to a busy home entry.
   */
  std::size_t queueMessages_ = 1024;
  /** Bytes queued for one peer; at least one message is always kept. */
  std::size_t queueBytes_ = 8UL * 1024 * 1024;
  /**
   * A message that waited longer is dropped instead of sent: soft state that
   * old has been repeated by then, and a returning peer is not flooded.
   */
  Duration longestWait_ = std::chrono::seconds(2);
};

/** Counts since the start of a transport. */
struct PeerTransportCounters
{
  std::uint64_t sentMessages_ = 0;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t receivedMessages_ = 0;
  std::uint64_t receivedBytes_ = 0;
  /** Dropped from a full queue, or too old, or without a known peer. */
  std::uint64_t droppedMessages_ = 0;
  /** Not a message, or longer than one can be. */
  std::uint64_t malformedMessages_ = 0;
  /** Stale incarnations and duplicates. */
  std::uint64_t rejectedMessages_ = 0;
  /** Dropped by the link filter. */
  std::uint64_t blockedMessages_ = 0;
};

/**
 * Moves peer messages over TCP: one listener, and one dialled connection for
 * each peer. Each message follows its length, 4 bytes with the most significant
 * one first.
 *
 * All functions can be called from any thread, but the destructor not from the
 * callback. Sends never block; a full queue drops its oldest message. Messages
 * can be lost, and after a reconnection reordered.
 */
class PeerTransport
{
public:
  /**
   * Called for each accepted message, on the transport thread and for one
   * message at a time; posts the message to the executor that handles it.
   */
  using Receiver = std::function<void(wire::PeerMessage)>;

  /** @returns a listening transport, or a failure if it can't listen. */
  static Result<std::unique_ptr<PeerTransport>> Start(
    const PeerTransportSettings& aSettings,
    EntryId aSelf,
    Incarnation aIncarnation,
    Receiver aReceiver);

  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /** @returns the address it listens on, with the actual port. */
  SocketAddress GetListenAddress() const;

  /** Adds a peer, or moves it to another address. */
  void AddPeer(const EntryId& aPeer, const SocketAddress& aAddress);
  void RemovePeer(const EntryId& aPeer);
  std::size_t CountPeers() const;

  /** Fills in the envelope and queues the message for a known peer. */
  void Send(const EntryId& aPeer, wire::PeerMessage aMessage);

  /** Adds the peer if it is unknown or has moved, and queues the message. */
  void Send(OutgoingMessage aMessage);

  /** Changes the incarnation in the envelopes of later messages. */
  void SetIncarnation(Incarnation aIncarnation);

  LinkFilter& GetLinkFilter();
  PeerTransportCounters ReadCounters() const;

private:
  class Implementation;

  explicit PeerTransport(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> implementation_;
};

} // namespace azurecross
