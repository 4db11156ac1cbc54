#include "FaultDriver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <csignal>

namespace azurecross {

namespace {

namespace asio = boost::asio;

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Entries hear of a leaving backend server this late at worst. */
constexpr Duration kLeavingTime = seconds(8);

asio::awaitable<void>
KillEntry(RunState& aState, EntryProcess& aEntry)
{
  aEntry.isDisturbed_ = true;
  aEntry.process_.Kill();
  co_await Sleep(milliseconds(500 + aState.random_.DrawBelow(2000)));
  aState.deployment_.StartEntry(aEntry);
  co_await Sleep(seconds(2));
  aEntry.isDisturbed_ = false;
}

asio::awaitable<void>
PauseEntry(RunState& aState, EntryProcess& aEntry)
{
  aEntry.isDisturbed_ = true;
  aEntry.process_.Signal(SIGSTOP);
  co_await Sleep(milliseconds(300 + aState.random_.DrawBelow(3500)));
  aEntry.process_.Signal(SIGCONT);
  co_await Sleep(seconds(2));
  aEntry.isDisturbed_ = false;
}

asio::awaitable<void>
StopEntry(RunState& aState, EntryProcess& aEntry)
{
  constexpr Duration kStopLimit = seconds(30);
  aEntry.isDisturbed_ = true;
  aEntry.isStopping_ = true;
  aEntry.process_.Signal(SIGTERM);
  const Time limit = ReadMonotonicTime() + kStopLimit;
  while (aEntry.process_.IsRunning() && ReadMonotonicTime() < limit) {
    co_await Sleep(milliseconds(50));
  }
  // The last answers may still be on their way to the callers.
  co_await Sleep(milliseconds(200));
  aEntry.isStopping_ = false;
  aState.deployment_.StartEntry(aEntry);
  co_await Sleep(seconds(2));
  aEntry.isDisturbed_ = false;
}

asio::awaitable<void>
CutLink(RunState& aState, EntryProcess& aEntry)
{
  EntryProcess& other = aState.DrawEntry();
  if (other.id_ == aEntry.id_) {
    co_return;
  }
  const SocketAddress here = aEntry.operations_;
  const SocketAddress there = other.operations_;
  const std::string toOther = other.id_;
  const std::string toEntry = aEntry.id_;
  Deployment& deployment = aState.deployment_;
  co_await deployment.Call(
    here, "GET", "/test/links?action=cut&peer=" + toOther, "");
  co_await deployment.Call(
    there, "GET", "/test/links?action=cut&peer=" + toEntry, "");
  co_await Sleep(milliseconds(1000 + aState.random_.DrawBelow(4000)));
  co_await deployment.Call(
    here, "GET", "/test/links?action=heal&peer=" + toOther, "");
  co_await deployment.Call(
    there, "GET", "/test/links?action=heal&peer=" + toEntry, "");
}

asio::awaitable<void>
DisturbStore(RunState& aState, std::string aFaults)
{
  if (aState.isStoreDisturbed_) {
    co_return;
  }
  aState.isStoreDisturbed_ = true;
  const SocketAddress platform = aState.deployment_.GetPlatform();
  co_await aState.deployment_.Call(
    platform, "PUT", "/test/faults", std::move(aFaults));
  co_await Sleep(milliseconds(500 + aState.random_.DrawBelow(4000)));
  co_await aState.deployment_.Call(platform, "PUT", "/test/faults", "{}");
  co_await Sleep(seconds(2));
  aState.isStoreDisturbed_ = false;
}

asio::awaitable<void>
LetLeave(RunState& aState, BackendProcess& aBackend)
{
  if (aBackend.isLeaving_) {
    co_return;
  }
  aBackend.isLeaving_ = true;
  // First the list, then the record, so that the measured time is not longer
  // than what the entries had.
  co_await aState.deployment_.PublishVms();
  co_await aState.deployment_.Call(
    aBackend.address_, "POST", "/test/faults", R"({"leaving":true})");
  co_await Sleep(kLeavingTime);
  co_await aState.deployment_.Call(
    aBackend.address_, "POST", "/test/faults", R"({"leaving":false})");
  aBackend.isLeaving_ = false;
  co_await aState.deployment_.PublishVms();
}

asio::awaitable<void>
DisturbBackend(RunState& aState, BackendProcess& aBackend, std::string aFaults)
{
  co_await aState.deployment_.Call(
    aBackend.address_, "POST", "/test/faults", std::move(aFaults));
  co_await Sleep(seconds(3));
  co_await aState.deployment_.Call(aBackend.address_,
                                   "POST",
                                   "/test/faults",
                                   R"({"slow_factor":1,"delay_ms":0})");
}

struct BackendFault
{
  const char* name_;
  const char* group_;
  const char* body_;
};

constexpr std::array<BackendFault, 10> kBackendFaults{ {
  { "engine_stall", "engines", R"({"stall_ms":2500})" },
  { "engine_death", "engines", R"({"die_after_tokens":20,"down_ms":1500})" },
  { "engine_slow", "engines", R"({"slow_factor":5})" },
  { "engine_crossed", "engines", R"({"cross_next":1})" },
  { "engine_truncated", "engines", R"({"truncate_next":1})" },
  { "service_death_before", "booking", R"({"die_before_running":1})" },
  { "service_death_after", "booking", R"({"die_before_answer":1})" },
  { "service_delay", "booking", R"({"delay_ms":1500})" },
  { "service_crossed", "booking", R"({"cross_next":2})" },
  { "service_truncated", "booking", R"({"truncate_next":2})" },
} };

/** @returns a backend server of the group. */
BackendProcess&
DrawBackend(RunState& aState, std::string_view aGroup)
{
  auto& backends = aState.deployment_.GetBackends();
  for (;;) {
    BackendProcess& backend =
      backends[aState.random_.DrawBelow(backends.size())];
    if (backend.group_ == aGroup) {
      return backend;
    }
  }
}

asio::awaitable<void>
DrawStoreFault(RunState& aState)
{
  constexpr std::array<std::pair<const char*, const char*>, 3> kStoreFaults{
    { { "store_down", R"({"store_down":true})" },
      { "store_slow", R"({"slow_ms":400})" },
      { "store_lost_answers", R"({"lose_answers":4})" } }
  };
  const auto& [name, body] =
    kStoreFaults.at(aState.random_.DrawBelow(kStoreFaults.size()));
  ++aState.figures_.faults_[name];
  co_await DisturbStore(aState, body);
}

asio::awaitable<void>
DrawEntryFault(RunState& aState)
{
  // One process at a time, so that callers find a working entry.
  for (const EntryProcess& entry : aState.deployment_.GetEntries()) {
    if (entry.isDisturbed_) {
      co_return;
    }
  }
  EntryProcess& entry = aState.DrawEntry();
  switch (aState.random_.DrawBelow(4)) {
    case 0:
      ++aState.figures_.faults_["entry_kill"];
      co_await KillEntry(aState, entry);
      break;
    case 1:
      ++aState.figures_.faults_["entry_pause"];
      co_await PauseEntry(aState, entry);
      break;
    case 2:
      ++aState.figures_.faults_["entry_planned_stop"];
      co_await StopEntry(aState, entry);
      break;
    default:
      ++aState.figures_.faults_["link_cut"];
      co_await CutLink(aState, entry);
      break;
  }
}

asio::awaitable<void>
DrawFault(RunState& aState)
{
  ++aState.active_;
  switch (aState.random_.DrawBelow(4)) {
    case 0:
      co_await DrawEntryFault(aState);
      break;
    case 1:
      co_await DrawStoreFault(aState);
      break;
    case 2:
      if (aState.random_.DrawBelow(3) == 0) {
        ++aState.figures_.faults_["backend_leaving"];
        const bool isEngine = aState.random_.DrawBelow(2) == 0;
        co_await LetLeave(
          aState, DrawBackend(aState, isEngine ? "engines" : "booking"));
        break;
      }
      [[fallthrough]];
    default: {
      const BackendFault& fault =
        kBackendFaults.at(aState.random_.DrawBelow(kBackendFaults.size()));
      ++aState.figures_.faults_[fault.name_];
      co_await DisturbBackend(
        aState, DrawBackend(aState, fault.group_), fault.body_);
      break;
    }
  }
  --aState.active_;
}

} // namespace

asio::awaitable<void>
RunFaultDriver(RunState& aState)
{
  ++aState.active_;
  const auto executor = co_await asio::this_coro::executor;
  while (!aState.IsOver()) {
    const std::uint64_t count = 1 + aState.random_.DrawBelow(2);
    for (std::uint64_t fault = 0; fault < count; ++fault) {
      asio::co_spawn(executor, DrawFault(aState), asio::detached);
    }
    co_await Sleep(milliseconds(1000 + aState.random_.DrawBelow(1500)));
  }
  --aState.active_;
}

} // namespace azurecross
