#include "PeerConnection.h"

#include "../messages/Envelope.h"
#include "TcpOptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using SystemError = boost::system::error_code;

// Ends a connection whose peer has vanished without closing it after 90 s.
constexpr int kKeepAliveIdleSeconds = 60;
constexpr int kKeepAliveIntervalSeconds = 10;
constexpr int kKeepAliveProbes = 3;

} // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket aSocket,
                               Receiver aReceiver,
                               RefusalHandler aRefusalHandler)
  : socket_(std::move(aSocket))
  , receiver_(std::move(aReceiver))
  , refusalHandler_(std::move(aRefusalHandler))
{
}

void
PeerConnection::Start()
{
  SetSocketOptions();
  ReadHeader();
}

void
PeerConnection::SetSocketOptions()
{
  // A socket that has failed already is noticed by the next read.
  SystemError ignored;
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(socket_, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(socket_, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(socket_, TCP_KEEPCNT, kKeepAliveProbes);
}

void
PeerConnection::ReadHeader()
{
  asio::async_read(
    socket_,
    asio::buffer(header_),
    [self = shared_from_this()](const SystemError& aError, std::size_t) {
      if (!aError) {
        self->FinishHeader();
      }
    });
}

void
PeerConnection::FinishHeader()
{
  const std::size_t length = ReadPeerFrameLength(header_);
  if (length > kLongestPeerMessage) {
    refusalHandler_();
    return;
  }
  ReadBody(length);
}

void
PeerConnection::ReadBody(std::size_t aLength)
{
  body_.clear();
  // The buffer grows with the bytes that arrive, not with the stated length.
  asio::async_read(
    socket_,
    asio::dynamic_buffer(body_, aLength),
    asio::transfer_exactly(aLength),
    [self = shared_from_this()](const SystemError& aError, std::size_t) {
      if (aError) {
        return;
      }
      self->receiver_(self->body_);
      self->ReadHeader();
    });
}

} // namespace azurecross
