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
                                             aServices.limits_,
                                             aServices.requestBudget_))
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
  while (isOpen_) {
    isOpen_ = co_await ServeRequest();
  }
  co_await channel_->CloseOrderly();
  RecordClose(services_, channel_->DescribeClose());
}

void
FrontConnection::RecordClose(ForwardServices& aServices,
                             const ConnectionClose& aClose)
{
  aServices.metrics_.CountConnectionClose(aClose.reason_, aClose.request_);
  const bool isOrdinary = aClose.reason_ == CloseReason::CallerClosed ||
                          aClose.reason_ == CloseReason::CallerLeft ||
                          aClose.reason_ == CloseReason::AfterResponse;
  if (isOrdinary && aClose.request_ == UnansweredRequest::None) {
    return;
  }
  const ServingTablesPtr& tables = aServices.state_.GetTables();
  const auto age = aServices.state_.GetKeyFreshness().GetAge(ReadBootTime());
  aServices.log_.Write(
    Decision::ConnectionClosed,
    { { "reason", kCloseReasonNames.FindName(aClose.reason_) },
      { "unanswered_request",
        kUnansweredRequestNames.FindName(aClose.request_) },
      { "unanswered_bytes", aClose.unansweredBytes_ },
      { "discarded_bytes", aClose.discardedBytes_ },
      { "idle_s", ToSeconds(aClose.idleTime_) },
      { "idle_limit_s", ToSeconds(aClose.idleLimit_) },
      { "tables_version", tables ? tables->GetVersion() : 0 },
      { "tables_proof_age_s", age ? ToSeconds(*age) : -1.0 } });
}

asio::awaitable<bool>
FrontConnection::ServeRequest()
{
  CallerChannel::RequestParser parser;
  CallerChannel::ReadOutcome read = co_await channel_->ReadRequest(parser);
  if (read.end_ == CallerChannel::ReadEnd::Closed) {
    co_return false;
  }
  if (read.end_ == CallerChannel::ReadEnd::Refused) {
    co_await RejectRequest(std::move(read.error_));
    co_return false;
  }
  isBusy_ = true;
  const ScopeGuard markIdle([this] { isBusy_ = false; });
  ForwardContext context;
  context.arrival_ = ReadMonotonicTime();
  context.arrivalBootTime_ = ReadBootTime();
  context.request_ = parser.release();
  ResponseWriter writer(services_, context, *channel_);
  ForwardPipeline pipeline(services_, context, writer);
  onDisconnect_ = [&pipeline] { pipeline.HandleCallerDisconnect(); };
  pipeline_ = &pipeline;
  channel_->StartWatch(onDisconnect_);
  // Both refer to the pipeline.
  const ScopeGuard forgetPipeline([this] {
    onDisconnect_ = nullptr;
    pipeline_ = nullptr;
    channel_->ForgetWatcher();
  });
  co_await pipeline.Run();
  onDisconnect_ = nullptr;
  pipeline_ = nullptr;
  co_await channel_->StopWatch();
  const bool isOpen = writer.KeepsAlive() && !channel_->HasLeft();
  if (!isOpen) {
    const CloseReason ending =
      writer.IsCut() ? CloseReason::ResponseCut : CloseReason::AfterResponse;
    channel_->SetCloseReason(channel_->HasLeft() ? CloseReason::CallerLeft
                                                 : ending);
  }
  co_return isOpen;
}

asio::awaitable<void>
FrontConnection::RejectRequest(Error aError)
{
  ForwardContext context;
  ResponseWriter writer(services_, context, *channel_);
  writer.CloseAfterResponse();
  co_await writer.WriteError(aError);
  services_.log_.Write(Decision::RequestRefused,
                       { { "request", "" },
                         { "reason", kErrorCodeNames.FindName(aError.code_) },
                         { "detail", aError.message_ } });
}

void
FrontConnection::CloseIfIdle(Duration aMinIdleTime)
{
  if (!isBusy_ && channel_->IsIdle() &&
      channel_->GetIdleTime(ReadMonotonicTime()) >= aMinIdleTime) {
    channel_->SetCloseReason(CloseReason::Shutdown);
    channel_->Close();
  }
}

void
FrontConnection::RefuseIfOutlastsShutdown()
{
  if (pipeline_ != nullptr) {
    pipeline_->RefuseIfOutlastsShutdown();
  }
}

void
FrontConnection::EndRequest()
{
  if (pipeline_ != nullptr) {
    pipeline_->HandleShutdown();
  } else {
    channel_->StopReading();
  }
}

void
FrontConnection::Close()
{
  if (onDisconnect_) {
    onDisconnect_();
  }
  channel_->SetCloseReason(CloseReason::Shutdown);
  channel_->Close();
}

} // namespace azurecross
