#include "EntryUnderTest.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <unistd.h>

#include <atomic>

namespace azurecross {

namespace {

/** Grants each request a slot on the engine source at once. */
class BenchController
{
public:
  explicit BenchController(std::uint16_t aEnginePort)
    : engine_{ "127.0.0.1", aEnginePort }
  {
  }

  AsyncResult<RouteMatch> MatchRoute(const RouteQuery&)
  {
    RouteMatch match;
    match.route_ = "bench";
    match.pool_ = "engines";
    match.kind_ = RequestKind::Generation;
    return match;
  }

  boost::asio::awaitable<AsyncResult<Assignment>> Acquire(DispatchRequest)
  {
    Assignment assignment;
    assignment.grant_ = GrantId(++lastGrant_);
    assignment.backendServer_ = BackendServerId("engine-1");
    assignment.address_ = engine_;
    co_return assignment;
  }

  void ReportProgress(GrantId, std::uint64_t) {}
  void Release(GrantId, const ReleaseOutcome&) {}

  boost::asio::awaitable<AsyncResult<OperationDecision>> BeginOperation(
    OperationRequest)
  {
    co_return OperationDecision();
  }

  void FinishOperation(const OperationAttempt&, OperationAnswer) {}

  boost::asio::awaitable<AsyncResult<std::string>> IssueOperationKey()
  {
    co_return std::string();
  }

  std::optional<SocketAddress> FindBackendServer(const BackendServerId&)
  {
    return engine_;
  }

  bool IsReady() { return true; }
  bool IsDraining() { return false; }

private:
  SocketAddress engine_;
  std::atomic<std::uint64_t> lastGrant_ = 0;
};

} // namespace

void
RunEntryUnderTest(std::uint16_t aEnginePort,
                  const BenchOptions& aOptions,
                  SharedResults& aResults)
{
  BenchController controller(aEnginePort);
  Metrics metrics;
  EntryServerOptions options;
  options.address_ = { "127.0.0.1", 0 };
  options.workers_ = aOptions.workers_;
  EntryServer<BenchController> server(controller, metrics, options);
  server.Start();
  aResults.targetPort_.store(server.GetAddress().port_);
  for (;;) {
    ::pause();
  }
}

} // namespace azurecross
