#pragma once

#include "NngHandles.h"
#include "PeerTransport.h"

#include <atomic>
#include <deque>
#include <mutex>

namespace azurecross {

/** Counters that the links and the listener of a transport share. */
struct TransportCounts
{
  std::atomic<std::uint64_t> sentMessages_{ 0 };
  std::atomic<std::uint64_t> sentBytes_{ 0 };
  std::atomic<std::uint64_t> receivedMessages_{ 0 };
  std::atomic<std::uint64_t> receivedBytes_{ 0 };
  std::atomic<std::uint64_t> droppedMessages_{ 0 };
  std::atomic<std::uint64_t> malformedMessages_{ 0 };
  std::atomic<std::uint64_t> rejectedMessages_{ 0 };
  std::atomic<std::uint64_t> blockedMessages_{ 0 };
};

/**
 * The sending side of one peer: a push socket with one dialer and a bounded
 * queue. One message at a time is with nng, so that this queue, not nng's,
 * decides what is dropped.
 */
class PeerLink
{
public:
  PeerLink(const PeerTransportSettings& aSettings,
           SocketAddress aAddress,
           TransportCounts& aCounts);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  const SocketAddress& GetAddress() const { return address_; }

  /** Queues one encoded message. */
  void Send(NngMessage aMessage);

private:
  struct Waiting
  {
    NngMessage message_;
    Time since_;
  };

  static void OnSent(void* aLink);

  void Open();
  void FinishSend();
  void DropOldest();
  /** Takes the next message for nng, or nothing. Needs the lock. */
  NngMessage TakeNext();
  void StartSend(NngMessage aMessage);

  const PeerTransportSettings settings_;
  const SocketAddress address_;
  TransportCounts& counts_;
  const Time opened_;
  nng_dialer dialer_ = NNG_DIALER_INITIALIZER;
  NngSocket socket_;
  NngOperation operation_;
  std::mutex mutex_;
  std::deque<Waiting> queue_;
  std::size_t queuedBytes_ = 0;
  bool isSending_ = false;
  bool isClosing_ = false;
};

} // namespace azurecross
