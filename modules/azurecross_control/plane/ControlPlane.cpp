#include "ControlPlane.h"

#include "AwaitCallback.h"

#include <boost/asio/post.hpp>

#include <future>

namespace azurecross {

namespace asio = boost::asio;

namespace {

RequestKind
ToRequestKind(RouteKind aKind)
{
  return aKind == RouteKind::Generation ? RequestKind::Generation
                                        : RequestKind::Service;
}

bool
HoldsModel(const Pool& aPool, std::string_view aModel)
{
  for (const ModelName& model : aPool.models_) {
    if (model.GetValue() == aModel) {
      return true;
    }
  }
  for (const std::string& adapter : aPool.adapters_) {
    if (adapter == aModel) {
      return true;
    }
  }
  return false;
}

/**
 * @returns a route that takes generations at this path, whatever the model, so
 * that the caller is told that the model is unknown rather than the path.
 */
const Route*
FindGenerationRoute(const Tables& aTables, std::string_view aPath)
{
  for (const auto& route : aTables.GetRoutes()) {
    const bool isMatch = route->kind_ == RouteKind::Generation &&
                         aPath.starts_with(route->pathPrefix_);
    if (isMatch) {
      return route.get();
    }
  }
  return nullptr;
}

} // namespace

ControlPlane::ControlPlane(ControlSettings aSettings, Metrics& aMetrics)
  : settings_(std::move(aSettings))
  , guard_(context_.get_executor())
  , loop_(context_, settings_, view_, aMetrics)
  , requestPrefix_(settings_.entryId_.GetValue() + "/" +
                   std::to_string(ReadUnixMilliseconds()) + "/")
{
}

ControlPlane::~ControlPlane()
{
  Stop();
}

Result<void>
ControlPlane::Start()
{
  BOOST_LEAF_CHECK(loop_.Start());
  thread_ = std::thread([this] { context_.run(); });
  return {};
}

void
ControlPlane::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  std::promise<void> stopped;
  asio::post(context_, [&] {
    loop_.Stop();
    stopped.set_value();
  });
  stopped.get_future().wait();
  guard_.reset();
  context_.stop();
  thread_.join();
}

void
ControlPlane::BeginDrain()
{
  asio::post(context_, [this] { loop_.BeginDrain(); });
}

AsyncResult<RouteMatch>
ControlPlane::MatchRoute(const RouteQuery& aQuery) const
{
  const auto tables = view_.tables_.Read();
  if (tables == nullptr) {
    return Error{ ErrorCode::NotReady,
                  Verdict::NotRun,
                  "this entry has no valid tables yet",
                  std::chrono::milliseconds(1000) };
  }
  const Route* route = tables->FindRoute(
    aQuery.method_, aQuery.path_, aQuery.model_, aQuery.customer_);
  const bool isModelMissing = route == nullptr && !aQuery.model_.empty();
  if (isModelMissing) {
    route = FindGenerationRoute(*tables, aQuery.path_);
  }
  const Pool* pool =
    route == nullptr ? nullptr : tables->FindPool(route->pool_);
  if (pool == nullptr) {
    return Error{ ErrorCode::RouteNotFound,
                  Verdict::NotRun,
                  "no route for " + std::string(aQuery.method_) + " " +
                    std::string(aQuery.path_),
                  {} };
  }
  RouteMatch match;
  match.route_ = route->name_.GetValue();
  match.pool_ = route->pool_.GetValue();
  match.kind_ = ToRequestKind(route->kind_);
  match.rank_ = route->rank_;
  match.isIdempotent_ = IsIdempotent(*route, aQuery.method_);
  match.isModelKnown_ = match.kind_ == RequestKind::Service ||
                        (!isModelMissing && HoldsModel(*pool, aQuery.model_));
  match.deadline_ = route->deadline_;
  match.snapshot_ = tables;
  return match;
}

asio::awaitable<AsyncResult<Assignment>>
ControlPlane::Acquire(DispatchRequest aRequest)
{
  // Callers choose their request ids, so those are not unique.
  const RequestId id(requestPrefix_ + std::to_string(++nextRequest_));
  using Callback = std::function<void(AsyncResult<Assignment>)>;
  std::function<void(Callback)> start =
    [this, id, request = std::move(aRequest)](Callback aCallback) {
      asio::post(context_, [this, id, request, aCallback] {
        loop_.Acquire(id, request, aCallback);
      });
    };
  std::function<void()> cancel = [this, id] {
    asio::post(context_, [this, id] { loop_.CancelAcquire(id); });
  };
  co_return co_await AwaitCallback<AsyncResult<Assignment>>(std::move(start),
                                                            std::move(cancel));
}

void
ControlPlane::ReportProgress(GrantId aGrant, std::uint64_t aTokens)
{
  asio::post(context_, [this, aGrant, aTokens] {
    loop_.ReportProgress(aGrant, aTokens);
  });
}

void
ControlPlane::Release(GrantId aGrant, const ReleaseOutcome& aOutcome)
{
  asio::post(context_,
             [this, aGrant, aOutcome] { loop_.Release(aGrant, aOutcome); });
}

std::optional<SocketAddress>
ControlPlane::FindBackendServer(const BackendServerId& aServer) const
{
  const auto groups = view_.groups_.Read();
  if (groups == nullptr) {
    return std::nullopt;
  }
  const auto found = groups->servers_.find(aServer);
  if (found == groups->servers_.end()) {
    return std::nullopt;
  }
  return found->second.address_;
}

bool
ControlPlane::IsReady() const
{
  return !view_.isDraining_ && view_.tables_.Read() != nullptr;
}

asio::awaitable<AsyncResult<OperationDecision>>
ControlPlane::BeginOperation(OperationRequest aRequest)
{
  const std::uint64_t token = ++nextOperation_;
  using Callback = OperationShell::DecisionCallback;
  std::function<void(Callback)> start =
    [this, token, request = std::move(aRequest)](Callback aCallback) {
      asio::post(context_, [this, token, request, aCallback] {
        loop_.GetOperations().Begin(token, request, aCallback);
      });
    };
  std::function<void()> cancel = [this, token] {
    asio::post(context_,
               [this, token] { loop_.GetOperations().Cancel(token); });
  };
  auto decision = co_await AwaitCallback<AsyncResult<TimedDecision>>(
    std::move(start), std::move(cancel));
  if (decision.has_error()) {
    co_return decision.error();
  }
  const bool isRun =
    decision->decision_.action_ == OperationDecision::Action::Run;
  if (isRun && ReadMonotonicTime() > decision->runBefore_) {
    OperationAnswer notRun;
    notRun.verdict_ = Verdict::NotRun;
    FinishOperation(decision->decision_.attempt_, std::move(notRun));
    co_return Error{ ErrorCode::DeadlineExceeded,
                     Verdict::NotRun,
                     "the permission to run the operation came too late",
                     {} };
  }
  co_return std::move(decision->decision_);
}

void
ControlPlane::FinishOperation(const OperationAttempt& aAttempt,
                              OperationAnswer aAnswer)
{
  asio::post(context_,
             [this,
              attempt = aAttempt.attemptId_,
              answer = std::move(aAnswer)]() mutable {
               loop_.GetOperations().Finish(attempt, std::move(answer));
             });
}

asio::awaitable<AsyncResult<std::string>>
ControlPlane::IssueOperationKey()
{
  using Callback = std::function<void(AsyncResult<std::string>)>;
  std::function<void(Callback)> start = [this](Callback aCallback) {
    asio::post(context_, [this, aCallback] {
      aCallback(loop_.GetOperations().IssueKey());
    });
  };
  std::function<void()> cancel = [] {};
  co_return co_await AwaitCallback<AsyncResult<std::string>>(std::move(start),
                                                             std::move(cancel));
}

void
ControlPlane::HandOver(Duration aTimeout)
{
  if (!thread_.joinable()) {
    return;
  }
  asio::post(context_, [this] { loop_.GetOperations().StartHandover(); });
  const Time end = ReadMonotonicTime() + aTimeout;
  bool isDone = false;
  while (!isDone && ReadMonotonicTime() < end) {
    std::promise<bool> answer;
    asio::post(context_,
               [&] { answer.set_value(loop_.GetOperations().IsHandedOver()); });
    isDone = answer.get_future().get();
    if (!isDone) {
      std::this_thread::sleep_for(ControlLoop::kTickInterval);
    }
  }
  if (!isDone) {
    WriteLog(LogLevel::Warning,
             "operation records were not handed over in time; repeats of "
             "their operations get may_have_run");
  }
}

std::string
ControlPlane::Ask(const std::function<std::string()>& aAsk)
{
  if (!thread_.joinable()) {
    return "{}";
  }
  std::promise<std::string> answer;
  asio::post(context_, [&] { answer.set_value(aAsk()); });
  return answer.get_future().get();
}

std::string
ControlPlane::DescribeStatus()
{
  return Ask([this] { return loop_.DescribeStatus(); });
}

std::string
ControlPlane::Explain(const RequestId& aRequest)
{
  return Ask([&] { return loop_.Explain(aRequest); });
}

std::string
ControlPlane::ExplainRoute(const RouteQuery& aQuery)
{
  return Ask([&] { return loop_.ExplainRoute(aQuery); });
}

std::string
ControlPlane::ControlLinks(std::string_view aAction, const std::string& aPeer)
{
  return Ask([&] { return loop_.ControlLinks(aAction, aPeer); });
}

} // namespace azurecross
