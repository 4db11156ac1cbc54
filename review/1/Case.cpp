// A faulty server sends bytes that are no answer and have no end. The entry
// must neither crash nor lose the requests that sound servers are working on.

#include "../common/Daemon.h"
#include "../common/Deployment.h"
#include "../common/Store.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <set>

namespace {

using namespace review;

constexpr unsigned kMemoryMb = 110;
constexpr int kSoundServers = 2;
constexpr int kCallers = 8;
constexpr Milliseconds kRunTime{ 12000 };
constexpr Milliseconds kWorkTime{ 250 };
constexpr Milliseconds kPatience{ 1500 };
constexpr Milliseconds kWatchInterval{ 20 };
constexpr Milliseconds kTick{ 10 };
/** The faulty server sends 20 MB a second, a sixth of the VM's link. */
constexpr std::size_t kBytesPerTick = 200000;
/** The rule allows three. */
constexpr int kAllowedLosses = 3;

/** What all threads of the test share. */
struct World
{
  explicit World(Record& aRecord)
    : record_(aRecord)
  {
  }

  Record& record_;
  std::atomic<bool> isOver_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> lost_ = 0;
  std::mutex mutex_;
  /** Requests that reached a sound server. */
  std::set<std::string> received_;
};

/** A sound server of the booking desk. */
void
ServeDesk(World& aWorld, Socket& aSocket)
{
  HttpReader reader(aSocket);
  HttpMessage request;
  while (reader.Read(request, Milliseconds(30000)) == ReadResult::Complete) {
    const std::string attempt = request.Find("attempt-id");
    {
      const std::lock_guard lock(aWorld.mutex_);
      aWorld.received_.insert(attempt);
    }
    aWorld.record_.Write("desk runs " + attempt);
    std::this_thread::sleep_for(kWorkTime);
    if (!aSocket.Send(FormatResponse(200, FormatSeal(request), "free"))) {
      return;
    }
  }
}

/** A model engine; the faulty one sends a chunk size line without end. */
void
ServeModel(World& aWorld, Socket& aSocket)
{
  HttpReader reader(aSocket);
  HttpMessage request;
  if (reader.Read(request, Milliseconds(30000)) != ReadResult::Complete) {
    return;
  }
  aWorld.record_.Write("engine runs " + request.Find("attempt-id"));
  aSocket.Send("HTTP/1.1 200 OK\r\n" + FormatSeal(request) +
               "Content-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
  const std::string event = "id: 1\ndata: coat\n\n";
  if (!IsTroubled()) {
    aSocket.Send("12\r\n" + event + "\r\n0\r\n\r\n");
    return;
  }
  aSocket.Send("12;");
  const std::string bytes(kBytesPerTick, 'x');
  std::size_t sent = 0;
  while (!aWorld.isOver_ && aSocket.Send(bytes)) {
    sent += bytes.size();
    std::this_thread::sleep_for(kTick);
  }
  aWorld.record_.Write("engine sent " + std::to_string(sent) +
                       " bytes until its caller closed");
}

/** A consumer that checks slots on one kept channel. */
void
CheckSlots(World& aWorld, const Endpoint& aFront, int aCaller)
{
  Socket socket;
  socket.Connect(aFront, Milliseconds(1000));
  HttpReader reader(socket);
  for (int count = 0; !aWorld.isOver_; ++count) {
    const std::string attempt =
      "c" + std::to_string(aCaller) + "-" + std::to_string(count);
    aWorld.record_.Write("caller sends " + attempt);
    HttpMessage response;
    const bool isSent = socket.Send(FormatRequest(
      "GET", "/check/1", attempt, int(kPatience.count()), "", ""));
    const ReadResult result =
      isSent ? reader.Read(response, kPatience) : ReadResult::Nothing;
    if (result == ReadResult::TimedOut) {
      aWorld.record_.Write("caller gives up on " + attempt);
      return;
    }
    if (result == ReadResult::Complete) {
      ++aWorld.answered_;
      aWorld.record_.Write("caller gets " +
                           std::to_string(response.GetStatus()) + " for " +
                           attempt);
      continue;
    }
    const std::lock_guard lock(aWorld.mutex_);
    const bool isLost = count > 0 && aWorld.received_.contains(attempt);
    aWorld.lost_ += isLost ? 1 : 0;
    aWorld.record_.Write("caller's channel closes without an answer to " +
                         attempt +
                         (isLost ? ", which had been passed on" : ""));
    return;
  }
}

void
AskForPlan(World& aWorld, const Endpoint& aFront)
{
  std::this_thread::sleep_for(Milliseconds(2000));
  Socket socket;
  socket.Connect(aFront, Milliseconds(1000));
  HttpReader reader(socket);
  HttpMessage response;
  aWorld.record_.Write("caller sends plan-1");
  socket.Send(FormatRequest("POST",
                            "/plan/1",
                            "plan-1",
                            39000,
                            "Model: m\r\nToken-Count: 1460,80\r\n"
                            "Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n",
                            "draft"));
  const ReadResult result = reader.Read(response, kRunTime);
  aWorld.record_.Write(
    result == ReadResult::Complete
      ? "caller gets " + std::to_string(response.GetStatus()) + " for plan-1"
      : "caller gets no whole answer for plan-1");
}

/** Ends the process once it exceeds its memory, as the platform does. */
void
WatchMemory(World& aWorld, Daemon& aDaemon)
{
  std::size_t most = 0;
  const Clock::time_point end = Clock::now() + kRunTime;
  while (Clock::now() < end) {
    if (aDaemon.HasEnded()) {
      aWorld.record_.Write("the entry has ended by itself");
      break;
    }
    const std::size_t resident = aDaemon.GetResidentKb();
    most = std::max(most, resident);
    if (resident > std::size_t{ kMemoryMb } * 1024) {
      aWorld.record_.Write("the entry uses " + std::to_string(resident) +
                           " kB; the platform kills it");
      aDaemon.Kill();
      break;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
  aWorld.record_.Write("most memory: " + std::to_string(most) + " kB");
}

int
RunCase(Record& aRecord, const std::string& aFolder)
{
  World world(aRecord);
  Store store(MakeLoopbackIp(1));
  std::vector<std::unique_ptr<Listener>> servers;
  for (int number = 0; number < kSoundServers; ++number) {
    servers.push_back(std::make_unique<Listener>(
      Endpoint{ MakeLoopbackIp(2), 0 },
      [&](Socket& aSocket) { ServeDesk(world, aSocket); }));
    store.Put("servers/i-desk" + std::to_string(number),
              FormatRegistration(
                "desk", servers.back()->GetEndpoint(), "shubra", "ready", 6));
  }
  servers.push_back(std::make_unique<Listener>(
    Endpoint{ MakeLoopbackIp(3), 0 },
    [&](Socket& aSocket) { ServeModel(world, aSocket); }));
  store.Put("servers/i-model0",
            FormatRegistration(
              "model", servers.back()->GetEndpoint(), "shubra", "ready", 24));
  store.Put(
    "op/config",
    FormatConfiguration(
      3,
      FormatRoute(
        { "slot-check", "/check/", "idempotent", "desk", 800, 300, 2 }) +
        "," +
        FormatRoute(
          { "coat-plan", "/plan/", "streaming", "model", 39000, 4000, 1 })));
  Daemon daemon(
    { "front-1", MakeLoopbackIp(9), "shubra", store.GetEndpoint(), kMemoryMb },
    aFolder);
  daemon.Start();
  if (!daemon.AwaitReady(Milliseconds(15000))) {
    std::cerr << "the entry is not ready\n";
    return 2;
  }
  const Endpoint front = daemon.GetFront();
  std::vector<std::thread> threads;
  threads.reserve(kCallers + 1);
  for (int caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back([&, caller] { CheckSlots(world, front, caller); });
  }
  threads.emplace_back([&] { AskForPlan(world, front); });
  WatchMemory(world, daemon);
  world.isOver_ = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  daemon.Kill();
  for (const auto& server : servers) {
    server->Stop();
  }
  const std::string result =
    std::to_string(world.answered_) + " requests answered, " +
    std::to_string(world.lost_) + " lost after they had been passed on";
  world.record_.Write(result);
  std::cout << result << "\n";
  if (world.answered_ == 0) {
    return 2;
  }
  return world.lost_ > kAllowedLosses ? 1 : 0;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  return RunTest(aArgumentCount, aArguments, RunCase);
}
