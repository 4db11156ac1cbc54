#include "RequestPipeline.h"

#include "AcquireFilter.h"
#include "IdentifyFilter.h"
#include "MatchFilter.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

RequestPipeline::RequestPipeline(WorkerServices& aServices,
                                 RequestContext& aContext,
                                 AnswerWriter& aWriter,
                                 RunningRequests::Registration& aRegistration)
  : services_(aServices)
  , context_(aContext)
  , writer_(aWriter)
  , registration_(aRegistration)
  , exchange_(aServices, aContext, aWriter, aRegistration)
{
}

asio::awaitable<void>
RequestPipeline::Run()
{
  Failure failure = co_await RunFilters();
  if (failure && MayRepeatOperation()) {
    failure->verdict_ = Verdict::MayHaveRun;
  }
  if (failure && !context_.callerHasLeft_) {
    co_await writer_.WriteError(std::move(*failure));
  }
  if (context_.callerHasLeft_) {
    services_.metrics_.CountCancelledByCaller();
  }
  services_.metrics_.CountRequest(
    context_.route_.route_, context_.route_.rank_, context_.status_);
}

bool
RequestPipeline::MayRepeatOperation() const
{
  const bool hasKey = !context_.request_["Idempotency-Key"].empty();
  const auto method = context_.request_.method();
  const bool isRead = method == http::verb::get || method == http::verb::head ||
                      method == http::verb::options;
  return hasKey && !isRead && !isOperationChecked_ && !IsFirstAttempt();
}

bool
RequestPipeline::IsFirstAttempt() const
{
  return context_.request_["X-Azurecross-First-Attempt"] == "true";
}

asio::awaitable<RequestPipeline::Failure>
RequestPipeline::RunFilters()
{
  const IdentifyFilter identify(services_.random_);
  Failure failure = identify.Run(context_);
  registration_.SetRequestId(context_.requestId_);
  if (services_.running_.IsDraining() || services_.controller_.IsDraining()) {
    writer_.CloseAfterwards();
    co_return Error{
      ErrorCode::Draining, Verdict::NotRun, "this entry is stopping", {}
    };
  }
  if (failure) {
    co_return failure;
  }
  if (context_.path_ == "/v1/operation-keys" &&
      context_.request_.method() == http::verb::post) {
    co_return co_await IssueOperationKey();
  }
  failure = MatchFilter(services_.controller_).Run(context_);
  if (context_.lastEvent_) {
    if (failure) {
      failure->verdict_ = Verdict::MayHaveRun;
      co_return failure;
    }
    co_return co_await Resume();
  }
  if (failure) {
    co_return failure;
  }
  isOperationChecked_ = true;
  std::unique_ptr<OperationGuard> operation;
  const auto decision = co_await CheckOperation(operation);
  if (!decision) {
    co_return decision.error();
  }
  if (!*decision) {
    co_return std::nullopt;
  }
  co_return co_await Dispatch(operation.get());
}

asio::awaitable<RequestPipeline::Failure>
RequestPipeline::IssueOperationKey()
{
  const auto key = co_await services_.controller_.IssueOperationKey();
  if (!key) {
    co_return key.error();
  }
  boost::json::object body;
  body["key"] = *key;
  co_await writer_.WriteJson(201, boost::json::serialize(body));
  co_return std::nullopt;
}

asio::awaitable<RequestPipeline::Failure>
RequestPipeline::Resume()
{
  const auto address = services_.controller_.FindBackendServer(
    context_.lastEvent_->backendServer_);
  if (!address) {
    co_return Error{ ErrorCode::GenerationLost,
                     Verdict::MayHaveRun,
                     "the generation's backend server is gone",
                     {} };
  }
  const AttemptOutcome outcome = co_await exchange_.Resume(*address);
  if (outcome.isAnswered_) {
    co_return std::nullopt;
  }
  co_return outcome.error_;
}

asio::awaitable<AsyncResult<bool>>
RequestPipeline::CheckOperation(std::unique_ptr<OperationGuard>& aGuard)
{
  const std::string_view key = context_.request_["Idempotency-Key"];
  if (key.empty() || context_.route_.kind_ != RequestKind::Service ||
      context_.route_.isIdempotent_) {
    co_return true;
  }
  OperationRequest request;
  request.key_ = key;
  request.customer_ = context_.customer_;
  request.route_ = RouteName(std::string(context_.route_.route_));
  request.requestId_ = context_.requestId_;
  request.isFirstAttempt_ = IsFirstAttempt();
  request.fingerprint_ = HashBytes(
    context_.request_.body(),
    HashBytes(std::string_view(context_.request_.target()),
              HashBytes(std::string_view(context_.request_.method_string()))));
  auto wait = services_.controller_.BeginOperation(std::move(request));
  auto decision = co_await std::move(wait);
  if (!decision) {
    co_return decision.error();
  }
  if (decision->action_ == OperationDecision::Action::Replay) {
    co_await writer_.WriteReplay(decision->answer_);
    co_return false;
  }
  aGuard = std::make_unique<OperationGuard>(services_.controller_,
                                            std::move(decision->attempt_));
  co_return true;
}

asio::awaitable<RequestPipeline::Failure>
RequestPipeline::Dispatch(OperationGuard* aOperation)
{
  const AcquireFilter acquire(services_);
  std::vector<BackendServerId> excluded;
  Failure last;
  for (unsigned attempt = 0; attempt < services_.limits_.attemptLimit_;
       ++attempt) {
    if (context_.callerHasLeft_) {
      co_return last;
    }
    auto assignment = co_await acquire.Run(context_, excluded);
    if (!assignment) {
      Error error = last ? *last : assignment.error();
      Raise(error);
      co_return error;
    }
    if (attempt > 0) {
      services_.metrics_.CountRetry();
    }
    excluded.push_back(assignment->backendServer_);
    AttemptOutcome outcome;
    {
      Slot slot(services_.controller_, std::move(*assignment));
      if (!context_.callerHasLeft_) {
        outcome = co_await exchange_.Run(slot, aOperation);
      }
    }
    if (outcome.isAnswered_) {
      co_return std::nullopt;
    }
    last = std::move(outcome.error_);
    if (!last) {
      co_return std::nullopt;
    }
    Raise(*last);
    if (!MayRetry(*last)) {
      break;
    }
  }
  co_return last;
}

bool
RequestPipeline::MayRetry(const Error& aError) const
{
  if (aError.code_ == ErrorCode::Cancelled || context_.callerHasLeft_) {
    return false;
  }
  if (context_.deadline_ && ReadMonotonicTime() >= *context_.deadline_) {
    return false;
  }
  return aError.verdict_ == Verdict::NotRun ||
         context_.route_.kind_ == RequestKind::Generation ||
         context_.route_.isIdempotent_;
}

void
RequestPipeline::Raise(Error& aError)
{
  context_.verdict_ = std::max(context_.verdict_, aError.verdict_);
  aError.verdict_ = context_.verdict_;
}

} // namespace azurecross
