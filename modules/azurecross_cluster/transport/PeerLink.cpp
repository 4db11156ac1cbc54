#include "PeerLink.h"

#include <nng/protocol/pipeline0/push.h>

#include <thread>

namespace azurecross {

namespace {

constexpr nng_duration kLeastReconnectMs = 50;
// A healed link is in use again within a second.
constexpr nng_duration kMostReconnectMs = 500;
constexpr Duration kLeastLife = std::chrono::milliseconds(20);

} // namespace

PeerLink::PeerLink(const PeerTransportSettings& aSettings,
                   SocketAddress aAddress,
                   TransportCounts& aCounts)
  : settings_(aSettings)
  , address_(std::move(aAddress))
  , counts_(aCounts)
  , opened_(ReadMonotonicTime())
{
  Open();
}

PeerLink::~PeerLink()
{
  {
    const std::lock_guard lock(mutex_);
    isClosing_ = true;
    counts_.droppedMessages_ += queue_.size();
    queue_.clear();
  }
  // nng 1.5.2 leaks the connection of a socket that is closed within
  // milliseconds of its dial; 200 such sockets leaked 117 KB. Links that young
  // are rare, so the wait is.
  std::this_thread::sleep_for(opened_ + kLeastLife - ReadMonotonicTime());
  if (nng_dialer_id(dialer_) > 0) {
    nng_dialer_close(dialer_);
  }
  socket_.Close();
  operation_.Stop();
}

void
PeerLink::Open()
{
  if (operation_.Allocate(&PeerLink::OnSent, this) != 0 ||
      socket_.Open(nng_push0_open) != 0) {
    WriteLog(LogLevel::Error,
             "peer socket not opened",
             { { "address", address_.Format() } });
    isClosing_ = true;
    return;
  }
  nng_socket_set_ms(socket_.Get(), NNG_OPT_RECONNMINT, kLeastReconnectMs);
  nng_socket_set_ms(socket_.Get(), NNG_OPT_RECONNMAXT, kMostReconnectMs);
  const std::string url = "tcp://" + address_.Format();
  const int status =
    nng_dial(socket_.Get(), url.c_str(), &dialer_, NNG_FLAG_NONBLOCK);
  if (status != 0) {
    WriteLog(
      LogLevel::Error,
      "peer address not dialled",
      { { "address", address_.Format() }, { "error", nng_strerror(status) } });
    isClosing_ = true;
  }
}

void
PeerLink::Send(NngMessage aMessage)
{
  NngMessage next;
  {
    const std::lock_guard lock(mutex_);
    if (isClosing_ || !aMessage) {
      ++counts_.droppedMessages_;
      return;
    }
    queuedBytes_ += aMessage.GetBytes().size();
    queue_.push_back({ std::move(aMessage), ReadMonotonicTime() });
    while (queue_.size() > 1 && (queue_.size() > settings_.queueMessages_ ||
                                 queuedBytes_ > settings_.queueBytes_)) {
      DropOldest();
    }
    if (isSending_) {
      return;
    }
    next = TakeNext();
  }
  StartSend(std::move(next));
}

void
PeerLink::DropOldest()
{
  queuedBytes_ -= queue_.front().message_.GetBytes().size();
  queue_.pop_front();
  ++counts_.droppedMessages_;
}

NngMessage
PeerLink::TakeNext()
{
  const Time oldest = ReadMonotonicTime() - settings_.longestWait_;
  while (!queue_.empty() && queue_.front().since_ < oldest) {
    DropOldest();
  }
  isSending_ = !queue_.empty() && !isClosing_;
  if (!isSending_) {
    return NngMessage();
  }
  NngMessage message = std::move(queue_.front().message_);
  queue_.pop_front();
  queuedBytes_ -= message.GetBytes().size();
  return message;
}

void
PeerLink::StartSend(NngMessage aMessage)
{
  if (!aMessage) {
    return;
  }
  counts_.sentBytes_ += aMessage.GetBytes().size();
  ++counts_.sentMessages_;
  nng_aio_set_msg(operation_.Get(), aMessage.Release());
  // Runs without the lock, since nng may call back at once.
  nng_send_aio(socket_.Get(), operation_.Get());
}

void
PeerLink::OnSent(void* aLink)
{
  static_cast<PeerLink*>(aLink)->FinishSend();
}

void
PeerLink::FinishSend()
{
  if (nng_aio_result(operation_.Get()) != 0) {
    // The message stays with the operation after a failure.
    const NngMessage failed(nng_aio_get_msg(operation_.Get()));
    nng_aio_set_msg(operation_.Get(), nullptr);
    ++counts_.droppedMessages_;
    --counts_.sentMessages_;
    counts_.sentBytes_ -= failed ? failed.GetBytes().size() : 0;
  }
  NngMessage next;
  {
    const std::lock_guard lock(mutex_);
    next = TakeNext();
  }
  StartSend(std::move(next));
}

} // namespace azurecross
