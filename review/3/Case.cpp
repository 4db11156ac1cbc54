// The store executes an entry's registration late and its answer is lost. The
// entry registers again under a new lease; then the late write puts the record
// back under the first lease, which nobody renews. Once it ends, the other
// entries no longer know this one, and two entries issue the permits of the
// same server: each of them sends it all that its limit allows.

#include "../common/Daemon.h"
#include "../common/Deployment.h"
#include "../common/Store.h"

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <optional>

namespace {

using namespace review;

constexpr int kServers = 8;
constexpr int kCallersPerEntry = 60;
constexpr double kLimit = 20.0;
constexpr const char* kLimitHeader = "Server-Limit: 20.0\r\n";
constexpr Milliseconds kWorkTime{ 20 };
constexpr Milliseconds kPatience{ 1500 };
/** A lost write is executed 1 to 6 seconds later. */
constexpr Milliseconds kLateTime{ 5000 };
/** The lease that the entry asks for, and the time in which the others read
 * their list again. */
constexpr Milliseconds kLeaseTime{ 20000 };
constexpr Milliseconds kListTime{ 8000 };
/** The time with traffic. */
constexpr Milliseconds kTrafficTime{ 13000 };
/** From then on the rule counts. */
constexpr Milliseconds kStableTime{ 3000 };
constexpr Milliseconds kWindow{ 4000 };
constexpr double kRuleFactor = 1.5;
constexpr std::size_t kRuleSlack = 5;
constexpr const char* kMembers = "azurecross/entries/";

struct World
{
  explicit World(Record& aRecord)
    : record_(aRecord)
  {
  }

  Record& record_;
  std::atomic<bool> isOver_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> refused_ = 0;
  std::mutex mutex_;
  /** When requests reached each server. */
  std::map<std::string, std::vector<Clock::time_point>> arrivals_;
};

/** A server in need: it names its limit in its answers. */
void
ServeDesk(World& aWorld, const std::string& aName, Socket& aSocket)
{
  HttpReader reader(aSocket);
  HttpMessage request;
  while (reader.Read(request, Milliseconds(30000)) == ReadResult::Complete) {
    {
      const std::lock_guard lock(aWorld.mutex_);
      aWorld.arrivals_[aName].push_back(Clock::now());
    }
    aWorld.record_.Write(aName + " gets " + request.Find("attempt-id"));
    std::this_thread::sleep_for(kWorkTime);
    if (!aSocket.Send(
          FormatResponse(200, FormatSeal(request) + kLimitHeader, "free"))) {
      return;
    }
  }
}

/** A consumer that checks slots and comes back when it is told to. */
void
CheckSlots(World& aWorld, const Endpoint& aFront, const std::string& aName)
{
  Socket socket;
  std::optional<HttpReader> reader;
  for (int count = 0; !aWorld.isOver_; ++count) {
    if (!socket.IsOpen()) {
      if (!socket.Connect(aFront, Milliseconds(1000))) {
        std::this_thread::sleep_for(kWorkTime);
        continue;
      }
      reader.emplace(socket);
    }
    const std::string attempt = aName + "-" + std::to_string(count);
    aWorld.record_.Write("caller sends " + attempt);
    HttpMessage response;
    const bool isAnswered =
      socket.Send(FormatRequest(
        "GET", "/check/1", attempt, int(kPatience.count()), "", "")) &&
      reader->Read(response, kPatience) == ReadResult::Complete;
    if (!isAnswered) {
      socket.Close();
      continue;
    }
    aWorld.record_.Write("caller gets " + std::to_string(response.GetStatus()) +
                         " for " + attempt);
    const std::string retryAfter = response.Find("retry-after");
    ++(response.GetStatus() == 200 ? aWorld.answered_ : aWorld.refused_);
    if (!retryAfter.empty()) {
      std::this_thread::sleep_for(
        std::chrono::duration<double>(std::stod(retryAfter)));
    }
  }
}

/** @returns the largest number of requests that a server got in a window. */
std::size_t
FindMost(const std::vector<Clock::time_point>& aArrivals)
{
  if (aArrivals.empty()) {
    return 0;
  }
  // The server names its limit in the answer to the first request.
  const Clock::time_point first = aArrivals.front() + kWorkTime + kStableTime;
  std::deque<Clock::time_point> window;
  std::size_t most = 0;
  for (const Clock::time_point at : aArrivals) {
    if (at < first) {
      continue;
    }
    window.push_back(at);
    while (at - window.front() > kWindow) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return most;
}

int
RunCase(Record& aRecord, const std::string& aFolder)
{
  World world(aRecord);
  Store store(MakeLoopbackIp(1));
  std::vector<std::unique_ptr<Listener>> servers;
  for (int number = 0; number < kServers; ++number) {
    const std::string name = "desk" + std::to_string(number);
    servers.push_back(std::make_unique<Listener>(
      Endpoint{ MakeLoopbackIp(2), 0 },
      [&world, name](Socket& aSocket) { ServeDesk(world, name, aSocket); }));
    store.Put("servers/i-" + name,
              FormatRegistration(
                "desk", servers.back()->GetEndpoint(), "shubra", "ready", 6));
  }
  store.Put(
    "op/config",
    FormatConfiguration(
      3,
      FormatRoute(
        { "slot-check", "/check/", "idempotent", "desk", 800, 300, 1 })));
  const DaemonSettings first = {
    "front-1", MakeLoopbackIp(21), "shubra", store.GetEndpoint()
  };
  const DaemonSettings second = {
    "front-2", MakeLoopbackIp(22), "shubra", store.GetEndpoint()
  };
  Daemon firstDaemon(first, aFolder);
  Daemon secondDaemon(second, aFolder);
  firstDaemon.Start();
  if (!firstDaemon.AwaitReady(Milliseconds(15000))) {
    std::cerr << "an entry is not ready\n";
    return 2;
  }
  if (IsTroubled()) {
    store.LoseNextAnswer(kMembers + second.ip_, kLateTime);
  }
  secondDaemon.Start();
  if (!secondDaemon.AwaitReady(Milliseconds(15000))) {
    std::cerr << "an entry is not ready\n";
    return 2;
  }
  std::this_thread::sleep_for(kLeaseTime + kListTime);
  for (const std::string& key : store.FindKeys(kMembers)) {
    world.record_.Write("the store has " + key);
  }
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallersPerEntry; ++caller) {
    for (const Daemon* daemon : { &firstDaemon, &secondDaemon }) {
      const std::string name = "c" + std::to_string(callers.size());
      callers.emplace_back([&world, front = daemon->GetFront(), name] {
        CheckSlots(world, front, name);
      });
    }
  }
  std::this_thread::sleep_for(kTrafficTime);
  world.isOver_ = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  firstDaemon.Kill();
  secondDaemon.Kill();
  for (const auto& server : servers) {
    server->Stop();
  }
  const auto allowed =
    static_cast<std::size_t>(kRuleFactor * kLimit * kWindow.count() / 1000.0) +
    kRuleSlack;
  std::size_t worst = 0;
  for (const auto& [name, arrivals] : world.arrivals_) {
    const std::size_t most = FindMost(arrivals);
    worst = std::max(worst, most);
    world.record_.Write(name + " got up to " + std::to_string(most) +
                        " requests in 4 s");
  }
  const std::string result =
    std::to_string(world.answered_) + " requests served, " +
    std::to_string(world.refused_) + " refused; a server got up to " +
    std::to_string(worst) + " in 4 s, allowed are " + std::to_string(allowed);
  world.record_.Write(result);
  std::cout << result << "\n";
  if (world.answered_ == 0) {
    return 2;
  }
  return worst > allowed ? 1 : 0;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  return RunTest(aArgumentCount, aArguments, RunCase);
}
