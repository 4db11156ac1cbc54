#include "PeerLink.h"

#include "PeerFrame.h"
#include "TcpOptions.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using SystemError = boost::system::error_code;

constexpr Duration kLeastDialDelay = std::chrono::milliseconds(50);
// A healed link is in use again within a second.
constexpr Duration kMostDialDelay = std::chrono::milliseconds(500);
// Without it, a dial to a VM that is gone takes over two minutes.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// Time after which the kernel gives up on bytes that are not acknowledged.
constexpr int kUnacknowledgedMs = 5000;
// One write carries what queued during the write before it.
constexpr std::size_t kMostBatchBytes = 256UL * 1024;

} // namespace

PeerLink::PeerLink(asio::io_context& aContext,
                   const PeerTransportSettings& aSettings,
                   SocketAddress aAddress,
                   TransportCounts& aCounts)
  : context_(aContext)
  , settings_(aSettings)
  , address_(std::move(aAddress))
  , counts_(aCounts)
  , resolver_(aContext)
  , socket_(aContext)
  , timer_(aContext)
  , delay_(kLeastDialDelay)
{
}

PeerLink::~PeerLink() = default;

void
PeerLink::Open()
{
  asio::post(context_, [self = shared_from_this()] { self->StartDial(); });
}

void
PeerLink::Send(std::string aMessage)
{
  {
    const std::lock_guard lock(mutex_);
    if (isClosing_) {
      ++counts_.droppedMessages_;
      return;
    }
    queuedBytes_ += aMessage.size();
    queue_.push_back({ std::move(aMessage), ReadMonotonicTime() });
    while (queue_.size() > 1 && (queue_.size() > settings_.queueMessages_ ||
                                 queuedBytes_ > settings_.queueBytes_)) {
      DropOldest();
    }
    if (isFlushPosted_) {
      return;
    }
    isFlushPosted_ = true;
  }
  asio::post(context_, [self = shared_from_this()] { self->Flush(); });
}

void
PeerLink::Close()
{
  {
    const std::lock_guard lock(mutex_);
    isClosing_ = true;
    counts_.droppedMessages_ += queue_.size();
    queue_.clear();
    queuedBytes_ = 0;
  }
  asio::post(context_, [self = shared_from_this()] { self->CloseSocket(); });
}

void
PeerLink::StartDial()
{
  {
    const std::lock_guard lock(mutex_);
    if (isClosing_) {
      return;
    }
  }
  StartConnectTimer();
  SystemError error;
  const auto host = asio::ip::make_address(address_.host_, error);
  if (error) {
    StartResolve();
    return;
  }
  StartConnect({ host, address_.port_ });
}

void
PeerLink::StartConnectTimer()
{
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait(
    [self = shared_from_this(), attempt = attempt_](const SystemError& aError) {
      if (!aError && attempt == self->attempt_ && !self->isConnected_) {
        self->ScheduleDial();
      }
    });
}

void
PeerLink::StartResolve()
{
  resolver_.async_resolve(
    address_.host_,
    std::to_string(address_.port_),
    [self = shared_from_this(), attempt = attempt_](
      const SystemError& aError, const tcp::resolver::results_type& aResults) {
      if (attempt != self->attempt_) {
        return;
      }
      if (aError || aResults.empty()) {
        self->ScheduleDial();
        return;
      }
      self->StartConnect(aResults.begin()->endpoint());
    });
}

void
PeerLink::StartConnect(const tcp::endpoint& aEndpoint)
{
  socket_.async_connect(
    aEndpoint,
    [self = shared_from_this(), attempt = attempt_](const SystemError& aError) {
      if (attempt != self->attempt_) {
        return;
      }
      if (aError || self->IsConnectedToItself()) {
        self->ScheduleDial();
        return;
      }
      self->FinishConnect();
    });
}

bool
PeerLink::IsConnectedToItself() const
{
  // On loopback, the kernel can choose the port of an absent peer for the
  // dialling side, and the socket is then connected to itself.
  SystemError error;
  const tcp::endpoint local = socket_.local_endpoint(error);
  return !error && local == socket_.remote_endpoint(error);
}

void
PeerLink::FinishConnect()
{
  timer_.cancel();
  isConnected_ = true;
  delay_ = kLeastDialDelay;
  SetSocketOptions();
  WatchForEnd();
  Flush();
}

void
PeerLink::SetSocketOptions()
{
  // A socket that has failed already is noticed by the next read or write.
  SystemError ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  SetTcpOption(socket_, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

void
PeerLink::WatchForEnd()
{
  socket_.async_read_some(asio::buffer(&unexpected_, 1),
                          [self = shared_from_this(), attempt = attempt_](
                            const SystemError&, std::size_t) {
                            if (attempt == self->attempt_) {
                              self->ScheduleDial();
                            }
                          });
}

void
PeerLink::ScheduleDial()
{
  CloseSocket();
  timer_.expires_after(delay_);
  delay_ = std::min(2 * delay_, kMostDialDelay);
  timer_.async_wait(
    [self = shared_from_this(), attempt = attempt_](const SystemError& aError) {
      if (!aError && attempt == self->attempt_) {
        self->StartDial();
      }
    });
}

void
PeerLink::CloseSocket()
{
  ++attempt_;
  isConnected_ = false;
  if (isWriting_) {
    counts_.droppedMessages_ += batch_.messages_;
  }
  isWriting_ = false;
  SystemError ignored;
  socket_.close(ignored);
  timer_.cancel();
  resolver_.cancel();
}

void
PeerLink::Flush()
{
  {
    const std::lock_guard lock(mutex_);
    isFlushPosted_ = false;
    if (!isConnected_ || isWriting_) {
      return;
    }
    batch_ = TakeBatch();
  }
  if (batch_.messages_ == 0) {
    return;
  }
  isWriting_ = true;
  asio::async_write(socket_,
                    asio::buffer(batch_.bytes_),
                    [self = shared_from_this(), attempt = attempt_](
                      const SystemError& aError, std::size_t) {
                      if (attempt != self->attempt_) {
                        return;
                      }
                      if (aError) {
                        self->ScheduleDial();
                        return;
                      }
                      self->FinishWrite();
                    });
}

void
PeerLink::FinishWrite()
{
  isWriting_ = false;
  counts_.sentMessages_ += batch_.messages_;
  counts_.sentBytes_ +=
    batch_.bytes_.size() - batch_.messages_ * kPeerFrameHeaderBytes;
  Flush();
}

void
PeerLink::DropOldest()
{
  queuedBytes_ -= queue_.front().message_.size();
  queue_.pop_front();
  ++counts_.droppedMessages_;
}

PeerLink::Batch
PeerLink::TakeBatch()
{
  Batch batch;
  const Time oldest = ReadMonotonicTime() - settings_.longestWait_;
  while (!queue_.empty() && queue_.front().since_ < oldest) {
    DropOldest();
  }
  while (!queue_.empty() && batch.bytes_.size() < kMostBatchBytes) {
    const std::string& message = queue_.front().message_;
    AppendPeerFrame(message, batch.bytes_);
    ++batch.messages_;
    queuedBytes_ -= message.size();
    queue_.pop_front();
  }
  return batch;
}

} // namespace azurecross
