#include "CallerConnection.h"

#include "../filters/RequestPipeline.h"

namespace azurecross {

namespace asio = boost::asio;

CallerConnection::CallerConnection(WorkerSocket aSocket,
                                   WorkerServices& aServices)
  : services_(aServices)
  , channel_(std::make_shared<CallerChannel>(std::move(aSocket),
                                             aServices.deadlines_,
                                             aServices.limits_,
                                             aServices.bodyBudget_))
{
  services_.metrics_.CountConnection(1);
}

CallerConnection::~CallerConnection()
{
  services_.metrics_.CountConnection(-1);
  channel_->Close();
}

asio::awaitable<void>
CallerConnection::Run()
{
  // GCC 12 generates a trap for `while (co_await ...)` with an empty body.
  bool isOpen = true;
  while (isOpen) {
    isOpen = co_await ServeNext();
  }
  co_await channel_->CloseOrderly();
}

asio::awaitable<bool>
CallerConnection::ServeNext()
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
  hasServed_ = true;
  RequestContext context;
  context.arrival_ = ReadMonotonicTime();
  context.request_ = parser.release();
  AnswerWriter writer(context, *channel_, services_);
  RunningRequests::Registration registration(
    services_.running_,
    std::string(context.request_.target()),
    context.arrival_);
  leave_ = [&context] {
    context.callerHasLeft_ = true;
    if (context.cancel_) {
      context.cancel_();
    }
  };
  channel_->StartWatch(leave_);
  // Both refer to the context.
  const ScopeGuard forgetContext([this] {
    leave_ = nullptr;
    channel_->ForgetWatcher();
  });
  RequestPipeline pipeline(services_, context, writer, registration);
  co_await pipeline.Run();
  leave_ = nullptr;
  co_await channel_->StopWatch();
  const bool isOpen = writer.KeepsAlive() && !channel_->HasLeft();
  co_return isOpen;
}

asio::awaitable<void>
CallerConnection::RefuseRequest(Error aError)
{
  RequestContext context;
  AnswerWriter writer(context, *channel_, services_);
  writer.CloseAfterwards();
  co_await writer.WriteError(std::move(aError));
  services_.metrics_.CountRequest({}, Rank::Urgent, context.status_);
}

void
CallerConnection::CloseIfIdle()
{
  if (hasServed_ && channel_->IsIdle()) {
    channel_->Close();
  }
}

void
CallerConnection::Close()
{
  if (leave_) {
    leave_();
  }
  channel_->Close();
}

} // namespace azurecross
