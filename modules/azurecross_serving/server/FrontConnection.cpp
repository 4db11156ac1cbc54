#include "FrontConnection.h"

#include "../forward/ForwardPipeline.h"
#include "../forward/ResponseWriter.h"

namespace azurecross {

namespace asio = boost::asio;

FrontConnection::FrontConnection(WorkerSocket aSocket,
                                 ForwardServices& aServices)
  : services_(aServices)
  , channel_(std::make_shared<CallerChannel>(std::move(aSocket),
                                             aServices.deadlines_,
                                             aServices.limits_))
{
}

FrontConnection::~FrontConnection()
{
  channel_->Close();
}

asio::awaitable<void>
FrontConnection::Run()
{
  // GCC 12 generates a trap for `while (co_await ...)` with an empty body.
  bool isOpen = true;
  while (isOpen) {
    isOpen = co_await ServeNext();
  }
  co_await channel_->CloseOrderly();
}

asio::awaitable<bool>
FrontConnection::ServeNext()
{
  CallerChannel::RequestParser parser;
  CallerChannel::ReadOutcome read = co_await channel_->ReadRequest(parser);
  if (read.end_ == CallerChannel::ReadEnd::Closed) {
    co_return false;
  }
  if (read.end_ == CallerChannel::ReadEnd::Refused) {
    co_await RefuseRequest(std::move(read.error_));
    co_return false;
  }
  isBusy_ = true;
  const ScopeGuard idle([this] { isBusy_ = false; });
  ForwardContext context;
  context.arrival_ = ReadMonotonicTime();
  context.bootArrival_ = ReadBootTime();
  context.request_ = parser.release();
  ResponseWriter answer(services_, context, *channel_);
  ForwardPipeline pipeline(services_, context, answer);
  leave_ = [&pipeline] { pipeline.TakeCallerLeft(); };
  channel_->StartWatch(leave_);
  co_await pipeline.Run();
  leave_ = nullptr;
  co_await channel_->StopWatch();
  const bool isCut = context.isTimedOut_ && answer.HasBegun() &&
                     !answer.KeepsAlive() && context.status_ != 0;
  if (isCut) {
    channel_->Close();
    co_return false;
  }
  const bool isOpen = answer.KeepsAlive() && !channel_->HasLeft();
  co_return isOpen;
}

asio::awaitable<void>
FrontConnection::RefuseRequest(Error aError)
{
  ForwardContext context;
  ResponseWriter answer(services_, context, *channel_);
  answer.CloseAfterwards();
  co_await answer.WriteError(aError);
  services_.log_.Write(Decision::RequestRefused,
                       { { "request", "" },
                         { "reason", kErrorCodeNames.FindName(aError.code_) },
                         { "detail", aError.message_ } });
}

void
FrontConnection::CloseIfIdle()
{
  if (!isBusy_ && channel_->IsIdle()) {
    channel_->Close();
  }
}

void
FrontConnection::Close()
{
  if (leave_) {
    leave_();
  }
  channel_->Close();
}

} // namespace azurecross
