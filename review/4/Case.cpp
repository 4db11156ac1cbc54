// Two of four entries freeze: those that read the list of servers for all. At
// the same time a server of the booking desk reports that it drains. The other
// entries must send it nothing after the time that the rule allows.

#include "../common/Daemon.h"
#include "../common/Deployment.h"
#include "../common/Store.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <set>

namespace {

using namespace review;

constexpr int kServers = 6;
constexpr std::size_t kReaders = 2;
constexpr int kCallersPerEntry = 4;
constexpr Milliseconds kWorkTime{ 60 };
constexpr Milliseconds kPatience{ 1500 };
/** Longer than the time after which machines and the store count as stable. */
constexpr Milliseconds kCalmTime{ 5000 };
/** The entries ask their readers every 750 ms. Each freeze begins at another
 * point of this interval. */
constexpr int kRounds = 3;
constexpr Milliseconds kRoundTime{ 9250 };
constexpr Milliseconds kFreezeTime{ 4000 };
constexpr Milliseconds kDrainDelay{ 10 };
constexpr Milliseconds kDrainTime{ 2000 };
/** The server leaves a little later than the shortest time. */
constexpr Milliseconds kLeaveTime{ 2300 };

struct World
{
  explicit World(Record& aRecord)
    : record_(aRecord)
  {
  }

  Record& record_;
  std::atomic<bool> isOver_ = false;
  std::mutex mutex_;
  /** When the store accepted that a server drains, by the server's name. */
  std::map<std::string, Clock::time_point> drainingSince_;
  std::atomic<int> answered_ = 0;
  std::atomic<int> lost_ = 0;
  /** Requests that reached the leaving server too late. */
  std::set<std::string> lateRequests_;
};

/** A server of the booking desk. */
void
ServeDesk(World& aWorld, const std::string& aName, Socket& aSocket)
{
  HttpReader reader(aSocket);
  HttpMessage request;
  while (reader.Read(request, Milliseconds(30000)) == ReadResult::Complete) {
    const std::string attempt = request.Find("attempt-id");
    std::string text = aName;
    text.append(" runs ").append(attempt);
    {
      const std::lock_guard lock(aWorld.mutex_);
      const auto draining = aWorld.drainingSince_.find(aName);
      if (draining != aWorld.drainingSince_.end()) {
        const auto since = std::chrono::duration_cast<Milliseconds>(
          Clock::now() - draining->second);
        text.append(", ")
          .append(std::to_string(since.count()))
          .append(" ms after it began to drain");
        if (since > kDrainTime) {
          aWorld.lateRequests_.insert(attempt);
        }
      }
    }
    aWorld.record_.Write(text);
    std::this_thread::sleep_for(kWorkTime);
    if (!aSocket.Send(FormatResponse(200, FormatSeal(request), "booked"))) {
      return;
    }
  }
}

/** A consumer that books slots on kept channels. */
void
BookSlots(World& aWorld, const Endpoint& aFront, const std::string& aName)
{
  Socket socket;
  std::optional<HttpReader> reader;
  for (int count = 0; !aWorld.isOver_; ++count) {
    if (!socket.IsOpen() && !socket.Connect(aFront, Milliseconds(1000))) {
      std::this_thread::sleep_for(kWorkTime);
      continue;
    }
    if (!reader) {
      reader.emplace(socket);
    }
    const std::string attempt = aName + "-" + std::to_string(count);
    aWorld.record_.Write("caller sends " + attempt);
    HttpMessage response;
    const bool isAnswered =
      socket.Send(FormatRequest(
        "POST", "/book/1", attempt, int(kPatience.count()), "", "slot")) &&
      reader->Read(response, kPatience) == ReadResult::Complete;
    if (isAnswered && response.GetStatus() == 200) {
      ++aWorld.answered_;
      aWorld.record_.Write("caller gets 200 for " + attempt);
    } else {
      const std::lock_guard lock(aWorld.mutex_);
      aWorld.lost_ += aWorld.lateRequests_.contains(attempt) ? 1 : 0;
      aWorld.record_.Write(isAnswered ? "caller gets " +
                                          std::to_string(response.GetStatus()) +
                                          " for " + attempt
                                      : "caller gets no answer to " + attempt);
    }
    if (!isAnswered) {
      socket.Close();
      reader.reset();
    }
  }
}

/** @returns whether the entry has written that it reads from the store. */
bool
IsStoreReader(const std::string& aFolder, const std::string& aName)
{
  std::ifstream file(aFolder + "/" + aName + ".log");
  std::string line;
  bool isReader = true;
  while (std::getline(file, line)) {
    if (line.find("\"role\"") != std::string::npos) {
      isReader = line.find("\"role\":\"store reader\"") != std::string::npos;
    }
  }
  return isReader;
}

/** Freezes the readers while a server drains and leaves. */
void
PlayRound(World& aWorld,
          Store& aStore,
          const std::vector<Daemon*>& aReaders,
          Listener& aServer,
          int aNumber)
{
  const std::string name = "desk" + std::to_string(aNumber);
  const Clock::time_point start = Clock::now();
  if (IsTroubled()) {
    aWorld.record_.Write("the readers freeze");
    for (Daemon* reader : aReaders) {
      reader->Signal(SIGSTOP);
    }
  }
  std::this_thread::sleep_for(kDrainDelay);
  aStore.Put(
    "servers/i-" + name,
    FormatRegistration("desk", aServer.GetEndpoint(), "shubra", "draining", 6));
  {
    const std::lock_guard lock(aWorld.mutex_);
    aWorld.drainingSince_[name] = Clock::now();
  }
  aWorld.record_.Write("the store has accepted that " + name + " drains");
  std::this_thread::sleep_for(kLeaveTime);
  aServer.Stop();
  aStore.Remove("servers/i-" + name);
  aWorld.record_.Write(name + " has left");
  std::this_thread::sleep_until(start + kFreezeTime);
  for (Daemon* reader : aReaders) {
    reader->Signal(SIGCONT);
  }
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
        { "slot-book", "/book/", "non_idempotent", "desk", 800, 300, 1 })));
  std::vector<std::unique_ptr<Daemon>> daemons;
  const std::vector<std::string> zones = {
    "shubra", "shubra", "helwan", "helwan"
  };
  for (unsigned number = 0; number < zones.size(); ++number) {
    daemons.push_back(std::make_unique<Daemon>(
      DaemonSettings{ "front-" + std::to_string(number),
                      MakeLoopbackIp(20 + number),
                      zones[number],
                      store.GetEndpoint() },
      aFolder));
    daemons.back()->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->AwaitReady(Milliseconds(15000))) {
      std::cerr << "an entry is not ready\n";
      return 2;
    }
  }
  std::this_thread::sleep_for(kCalmTime);
  std::vector<Daemon*> readers;
  std::vector<std::thread> callers;
  for (unsigned number = 0; number < daemons.size(); ++number) {
    const std::string name = "front-" + std::to_string(number);
    if (IsStoreReader(aFolder, name)) {
      readers.push_back(daemons[number].get());
      world.record_.Write(name + " reads from the store");
      continue;
    }
    for (int caller = 0; caller < kCallersPerEntry; ++caller) {
      const std::string callerName =
        "c" + std::to_string(number) + std::to_string(caller);
      callers.emplace_back(
        [&world, front = daemons[number]->GetFront(), callerName] {
          BookSlots(world, front, callerName);
        });
    }
  }
  if (readers.size() != kReaders) {
    std::cerr << readers.size() << " entries read from the store\n";
    return 2;
  }
  std::this_thread::sleep_for(kCalmTime);
  for (int round = 0; round < kRounds; ++round) {
    const Clock::time_point next = Clock::now() + kRoundTime;
    PlayRound(world, store, readers, *servers[round], round);
    std::this_thread::sleep_until(next);
  }
  world.isOver_ = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& daemon : daemons) {
    daemon->Kill();
  }
  for (const auto& server : servers) {
    server->Stop();
  }
  const std::size_t late = world.lateRequests_.size();
  const std::string result = std::to_string(world.answered_) +
                             " requests served; " + std::to_string(late) +
                             " reached the leaving server too late, " +
                             std::to_string(world.lost_) + " of them were lost";
  world.record_.Write(result);
  std::cout << result << "\n";
  if (world.answered_ == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  return RunTest(aArgumentCount, aArguments, RunCase);
}
