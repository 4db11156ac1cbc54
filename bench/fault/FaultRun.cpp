#include "FaultRun.h"

#include "Callers.h"
#include "FaultDriver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <exception>

namespace azurecross {

namespace {

namespace asio = boost::asio;

/** How long callers and faults may take to end after the run. */
constexpr Duration kEndLimit = std::chrono::seconds(90);

asio::awaitable<std::int64_t>
CountStoreCalls(Deployment& aDeployment)
{
  const auto counts = co_await aDeployment.Call(
    aDeployment.GetPlatform(), "GET", "/test/counts", "");
  co_return counts.at("total").to_number<std::int64_t>();
}

asio::awaitable<void>
Play(RunState& aState, FaultRunOptions aOptions)
{
  Deployment& deployment = aState.deployment_;
  const auto executor = co_await asio::this_coro::executor;
  co_await deployment.Start();
  const std::int64_t callsBefore = co_await CountStoreCalls(deployment);
  const Time start = ReadMonotonicTime();
  aState.endsAt_ = start + FromSeconds(aOptions.seconds_);
  for (int caller = 0; caller < aOptions.streamCallers_; ++caller) {
    asio::co_spawn(executor, RunStreamCaller(aState), asio::detached);
  }
  for (int caller = 0; caller < aOptions.operationCallers_; ++caller) {
    asio::co_spawn(executor, RunOperationCaller(aState), asio::detached);
  }
  asio::co_spawn(executor, RunEditLoop(aState), asio::detached);
  if (aOptions.hasFaults_) {
    asio::co_spawn(executor, RunFaultDriver(aState), asio::detached);
  }
  while (!aState.IsOver()) {
    co_await Sleep(std::chrono::milliseconds(100));
  }
  Figures& figures = aState.figures_;
  figures.storeCallsPerSecond_ =
    static_cast<double>(co_await CountStoreCalls(deployment) - callsBefore) /
    aOptions.seconds_;
  figures.goodput_ = static_cast<double>(figures.streamsCompleted_ +
                                         figures.operationsAnswered_) /
                     aOptions.seconds_;
  const Time limit = ReadMonotonicTime() + kEndLimit;
  while (aState.active_ > 0 && ReadMonotonicTime() < limit) {
    co_await Sleep(std::chrono::milliseconds(100));
  }
  if (aState.active_ > 0) {
    figures.unfinished_ += aState.active_;
    figures.AddExample("callers or faults did not end in time");
  }
  co_await CheckRecords(aState);
}

} // namespace

void
NoteLostConnection(RunState& aState,
                   const EntryProcess& aEntry,
                   int aStarts,
                   const Error& aError,
                   const std::string& aRequest)
{
  // A refused connection interrupts nothing.
  const bool isCut = aEntry.isStopping_ && aEntry.starts_ == aStarts &&
                     aError.verdict_ != Verdict::NotRun;
  if (isCut) {
    ++aState.figures_.cutByPlannedStop_;
    aState.figures_.AddExample("planned stop of " + aEntry.id_ + " cut " +
                               aRequest + ": " + aError.message_);
  }
}

std::string
ReadVerdict(const HttpResponse& aResponse)
{
  return std::string(aResponse.FindHeader("X-Azurecross-Verdict"));
}

Figures
RunWithFaults(const FaultRunOptions& aOptions)
{
  asio::io_context context(1);
  Deployment deployment(context.get_executor(),
                        aOptions.programs_,
                        aOptions.scratch_,
                        aOptions.entries_);
  RunState state(deployment, aOptions.seed_);
  std::exception_ptr failure;
  asio::co_spawn(
    context, Play(state, aOptions), [&](std::exception_ptr aError) {
      failure = aError;
      context.stop();
    });
  context.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
  return state.figures_;
}

} // namespace azurecross
