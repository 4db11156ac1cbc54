#pragma once

#include "PeerTransport.h"
#include "TransportCounts.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <mutex>
#include <string>

namespace azurecross {

/**
 * The sending side of one peer: a connection that is dialled again whenever it
 * is lost, and a bounded queue.
 *
 * `Send` and `Close` can be called from any thread; everything else runs on the
 * thread of the context.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  PeerLink(boost::asio::io_context& aContext,
           const PeerTransportSettings& aSettings,
           SocketAddress aAddress,
           TransportCounts& aCounts);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  const SocketAddress& GetAddress() const { return address_; }

  /** Starts to dial. */
  void Open();

  /** Queues one encoded message. */
  void Send(std::string aMessage);

  /** Drops what is queued and ends the connection. */
  void Close();

private:
  struct Waiting
  {
    std::string message_;
    Time since_;
  };

  /** Frames that are written in one call. */
  struct Batch
  {
    std::string bytes_;
    std::uint64_t messages_ = 0;
  };

  void StartDial();
  void StartResolve();
  void StartConnect(const boost::asio::ip::tcp::endpoint& aEndpoint);
  void StartConnectTimer();
  void FinishConnect();
  bool IsConnectedToItself() const;
  void SetSocketOptions();
  /** Notices a peer that closes the connection; peers never send on it. */
  void WatchForEnd();
  void ScheduleDial();
  void CloseSocket();

  void Flush();
  void FinishWrite();
  void DropOldest();
  Batch TakeBatch();

  boost::asio::io_context& context_;
  const PeerTransportSettings settings_;
  const SocketAddress address_;
  TransportCounts& counts_;

  /** Used on the thread of the context only. */
  boost::asio::ip::tcp::resolver resolver_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  /** Tells handlers of an earlier connection that they are out of date. */
  std::uint64_t attempt_ = 0;
  Duration delay_;
  Batch batch_;
  char unexpected_ = 0;
  bool isConnected_ = false;
  bool isWriting_ = false;

  std::mutex mutex_;
  /** Guarded by the mutex. */
  std::deque<Waiting> queue_;
  std::size_t queuedBytes_ = 0;
  bool isFlushPosted_ = false;
  bool isClosing_ = false;
};

} // namespace azurecross
