#pragma once

#include "PeerFrame.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * The receiving side of one peer: reads frames from an accepted connection
 * until it ends. Runs on the thread of its socket, and lives as long as it
 * reads.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
  /** Called for the bytes of each message. */
  using Receiver = std::function<void(std::string_view)>;
  /** Called once for a length beyond the limit; the connection ends. */
  using RefusalHandler = std::function<void()>;

  PeerConnection(boost::asio::ip::tcp::socket aSocket,
                 Receiver aReceiver,
                 RefusalHandler aRefusalHandler);

  /** Starts to read. */
  void Start();

private:
  void SetSocketOptions();
  void ReadHeader();
  void ReadBody(std::size_t aLength);
  void FinishHeader();

  boost::asio::ip::tcp::socket socket_;
  Receiver receiver_;
  RefusalHandler refusalHandler_;
  PeerFrameHeader header_{};
  std::string body_;
};

} // namespace azurecross
