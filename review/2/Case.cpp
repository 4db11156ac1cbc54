// A model engine is replaced: the new one starts, the old one drains, and the
// entry copies the running generations. Meanwhile one generation in twenty
// loses its answer: its connection is reset, and the engine works on. The entry
// must not let that generation go on at the new engine beside the old one.

#include "../common/Daemon.h"
#include "../common/Deployment.h"
#include "../common/Store.h"

#include <boost/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <iostream>
#include <memory>
#include <optional>

namespace {

using namespace review;
namespace json = boost::json;

constexpr int kGenerations = 20;
/** One answer of twenty: 0.05 of the requests that the engine runs. */
constexpr int kLostAnswers = 1;
constexpr int kEvents = 110;
constexpr Milliseconds kEventTime{ 80 };
constexpr Milliseconds kStartInterval{ 100 };
constexpr Milliseconds kBeforeDrain{ 500 };
/** The time that the rule allows the replica before to work on. */
constexpr Milliseconds kOverlap{ 400 };
constexpr Milliseconds kIdle{ 30000 };
constexpr double kTokenBytes = 35136.0;
constexpr double kLinkBytesPerMs = 5100.0e6 / 8.0 / 1000.0;
constexpr int kPromptTokens = 1000;
constexpr int kTokensPerEvent = 4;

/** One run of a request at one engine. */
struct Run
{
  std::string engine_;
  Clock::time_point begin_;
  Clock::time_point end_;
};

struct Copy
{
  std::string attempt_;
  int events_ = 0;
  bool isUsed_ = false;
};

/** What the engines have in common: the record of all runs and the copies. */
struct World
{
  explicit World(Record& aRecord)
    : record_(aRecord)
  {
  }

  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
  /** By engine address and handle, as in `Kv-From`. */
  std::map<std::string, Copy> copies_;
  int lostAnswers_ = 0;
  int nextHandle_ = 1;
  std::atomic<int> complete_ = 0;
  std::atomic<int> cut_ = 0;
};

/** A model engine that follows the pages. */
class Engine
{
public:
  Engine(World& aWorld, const std::string& aName, bool aLosesAnswers)
    : world_(aWorld)
    , name_(aName)
    , losesAnswers_(aLosesAnswers)
    , listener_({ MakeLoopbackIp(3), 0 },
                [this](Socket& aSocket) { Serve(aSocket); })
  {
  }

  const Endpoint& GetEndpoint() const { return listener_.GetEndpoint(); }
  void Stop() { listener_.Stop(); }

private:
  struct Generation
  {
    int events_ = 0;
    int copiedEvents_ = 0;
    bool isCopied_ = false;
    bool isStopped_ = false;
    bool losesAnswer_ = false;
    bool isEnded_ = false;
  };

  void Serve(Socket& aSocket)
  {
    HttpReader reader(aSocket);
    HttpMessage request;
    while (reader.Read(request, kIdle) == ReadResult::Complete) {
      const std::string path = request.GetPath();
      if (path.starts_with("/plan/")) {
        Generate(aSocket, request);
        return;
      }
      std::string response = FormatJsonResponse(200, "{}");
      if (path == "/v1/kv-move") {
        response = Move(request);
      } else if (path == "/v1/report") {
        response = FormatJsonResponse(200, R"({"state":"ready"})");
      }
      if (!aSocket.Send(response)) {
        return;
      }
    }
  }

  /** @returns the event from which a copy goes on, or nothing if the request
   * does not run. */
  std::optional<int> Admit(const HttpMessage& aRequest)
  {
    const std::string origin = aRequest.Find("kv-from");
    if (origin.empty()) {
      return 0;
    }
    const std::lock_guard lock(world_.mutex_);
    const auto found = world_.copies_.find(origin);
    const bool isUsable = found != world_.copies_.end() &&
                          !found->second.isUsed_ &&
                          found->second.attempt_ == aRequest.Find("attempt-id");
    if (!isUsable) {
      return std::nullopt;
    }
    found->second.isUsed_ = true;
    const std::string last = aRequest.Find("last-event-id");
    return last.empty() ? 0 : std::stoi(last);
  }

  void Generate(Socket& aSocket, const HttpMessage& aRequest)
  {
    const std::string attempt = aRequest.Find("attempt-id");
    const std::optional<int> first = Admit(aRequest);
    if (!first) {
      world_.record_.Write(name_ + " rejects " + attempt);
      aSocket.Send(
        FormatResponse(503, FormatSeal(aRequest) + "Not-Executed: 1\r\n", ""));
      return;
    }
    const auto generation = std::make_shared<Generation>();
    generation->events_ = *first;
    std::size_t run = 0;
    {
      const std::lock_guard lock(world_.mutex_);
      generations_[attempt] = generation;
      auto& runs = world_.runs_[attempt];
      run = runs.size();
      runs.push_back({ name_, Clock::now(), Clock::now() });
    }
    world_.record_.Write(name_ + " runs " + attempt + " from event " +
                         std::to_string(*first + 1));
    aSocket.Send("HTTP/1.1 200 OK\r\n" + FormatSeal(aRequest) +
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    Work(aSocket, attempt, *generation, run);
  }

  void Work(Socket& aSocket,
            const std::string& aAttempt,
            Generation& aGeneration,
            std::size_t aRun)
  {
    bool isAnswerLost = false;
    bool isCallerGone = false;
    for (;;) {
      std::this_thread::sleep_for(kEventTime);
      int event = 0;
      bool losesAnswer = false;
      {
        const std::lock_guard lock(world_.mutex_);
        if (aGeneration.isStopped_) {
          break;
        }
        event = ++aGeneration.events_;
        world_.runs_[aAttempt][aRun].end_ = Clock::now();
        aGeneration.isEnded_ = event >= kEvents;
        losesAnswer = aGeneration.losesAnswer_;
      }
      if (losesAnswer && !isAnswerLost) {
        isAnswerLost = true;
        aSocket.Reset();
        world_.record_.Write(name_ + " loses its answer to " + aAttempt +
                             " and works on");
      }
      if (!isAnswerLost && !isCallerGone) {
        const std::string text =
          "id: " + std::to_string(event) + "\ndata: " + aAttempt + "\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        // A run ends when its channel closes.
        isCallerGone = !aSocket.Send(size.data() + text + "\r\n");
        if (isCallerGone) {
          world_.record_.Write(name_ + " drops " + aAttempt);
          const std::lock_guard lock(world_.mutex_);
          aGeneration.isEnded_ = true;
          return;
        }
      }
      if (event >= kEvents) {
        world_.record_.Write(name_ + " completes " + aAttempt);
        if (!isAnswerLost) {
          aSocket.Send("0\r\n\r\n");
        }
        return;
      }
    }
    world_.record_.Write(name_ + " has stopped " + aAttempt);
  }

  /** Copies what is new of a run; copies follow each other on the link. */
  std::string Move(const HttpMessage& aRequest)
  {
    boost::system::error_code code;
    const json::object body = json::parse(aRequest.body_, code).as_object();
    const std::string attempt(body.at("id").as_string());
    const bool isLast = body.contains("last") && body.at("last").as_bool();
    const std::lock_guard link(link_);
    std::shared_ptr<Generation> generation;
    int events = 0;
    double tokens = 0;
    {
      const std::lock_guard lock(world_.mutex_);
      const auto found = generations_.find(attempt);
      if (found == generations_.end() || found->second->isEnded_) {
        return FormatJsonResponse(404, "{}");
      }
      generation = found->second;
      generation->isStopped_ = generation->isStopped_ || isLast;
      events = generation->events_;
      tokens = (events - generation->copiedEvents_) * kTokensPerEvent +
               (generation->isCopied_ ? 0 : kPromptTokens);
    }
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(
      tokens * kTokenBytes / kLinkBytesPerMs));
    const std::lock_guard lock(world_.mutex_);
    generation->copiedEvents_ = events;
    const bool isFirst = !generation->isCopied_;
    generation->isCopied_ = true;
    const std::string handle = "h" + std::to_string(world_.nextHandle_++);
    world_.copies_[GetEndpoint().Format() + "/" + handle] = { attempt, events };
    world_.record_.Write(name_ + " has copied " + attempt + " up to event " +
                         std::to_string(events) +
                         (isLast ? " and stopped it" : ""));
    if (isFirst && !isLast && losesAnswers_ &&
        world_.lostAnswers_ < kLostAnswers) {
      ++world_.lostAnswers_;
      generation->losesAnswer_ = true;
    }
    return FormatJsonResponse(200,
                              R"({"handle":")" + handle + R"(","created":)" +
                                std::to_string(events) + "}");
  }

  World& world_;
  std::string name_;
  bool losesAnswers_;
  std::mutex link_;
  std::map<std::string, std::shared_ptr<Generation>> generations_;
  Listener listener_;
};

void
AskForPlan(World& aWorld, const Endpoint& aFront, int aNumber)
{
  const std::string attempt = "plan-" + std::to_string(aNumber);
  aWorld.record_.Write("caller sends " + attempt);
  Socket socket;
  HttpReader reader(socket);
  HttpMessage response;
  const bool isSent =
    socket.Connect(aFront, Milliseconds(1000)) &&
    socket.Send(FormatRequest("POST",
                              "/plan/1",
                              attempt,
                              39000,
                              "Model: m\r\nToken-Count: 1000,440\r\n"
                              "Prompt-Prefix: 5c1e07a2:50,e44" +
                                std::to_string(aNumber) + ":950\r\n",
                              "draft"));
  const bool isComplete =
    isSent && reader.Read(response, kIdle) == ReadResult::Complete;
  ++(isComplete ? aWorld.complete_ : aWorld.cut_);
  aWorld.record_.Write(isComplete ? "caller gets " +
                                      std::to_string(response.GetStatus()) +
                                      " for " + attempt
                                  : "caller's stream is cut: " + attempt);
}

/** @returns the number of requests that went on at another engine while the
 * engine before still worked on them after the time that the rule allows. */
int
CountDoubleRuns(World& aWorld)
{
  int count = 0;
  for (const auto& [attempt, runs] : aWorld.runs_) {
    for (std::size_t next = 1; next < runs.size(); ++next) {
      const bool isDouble = runs[next - 1].end_ > runs[next].begin_ + kOverlap;
      if (isDouble) {
        ++count;
        const auto overlap = std::chrono::duration_cast<Milliseconds>(
          runs[next - 1].end_ - runs[next].begin_);
        aWorld.record_.Write(attempt + " went on at " + runs[next].engine_ +
                             " while " + runs[next - 1].engine_ +
                             " worked on it for another " +
                             std::to_string(overlap.count()) + " ms");
      }
    }
  }
  return count;
}

int
RunCase(Record& aRecord, const std::string& aFolder)
{
  World world(aRecord);
  Store store(MakeLoopbackIp(1));
  Engine oldEngine(world, "old engine", IsTroubled());
  Engine newEngine(world, "new engine", false);
  store.Put("servers/i-old",
            FormatRegistration(
              "model", oldEngine.GetEndpoint(), "shubra", "ready", 24));
  store.Put(
    "op/config",
    FormatConfiguration(
      3,
      FormatRoute(
        { "coat-plan", "/plan/", "streaming", "model", 39000, 4000, 1 })));
  Daemon daemon({ "front-1", MakeLoopbackIp(9), "shubra", store.GetEndpoint() },
                aFolder);
  daemon.Start();
  if (!daemon.AwaitReady(Milliseconds(15000))) {
    std::cerr << "the entry is not ready\n";
    return 2;
  }
  const Endpoint front = daemon.GetFront();
  std::vector<std::thread> callers;
  for (int number = 0; number < kGenerations; ++number) {
    callers.emplace_back([&, number] { AskForPlan(world, front, number); });
    std::this_thread::sleep_for(kStartInterval);
  }
  std::this_thread::sleep_for(kBeforeDrain);
  store.Put("servers/i-new",
            FormatRegistration(
              "model", newEngine.GetEndpoint(), "shubra", "ready", 24));
  std::this_thread::sleep_for(kBeforeDrain);
  world.record_.Write("the old engine drains");
  store.Put("servers/i-old",
            FormatRegistration(
              "model", oldEngine.GetEndpoint(), "shubra", "draining", 24));
  for (std::thread& caller : callers) {
    caller.join();
  }
  daemon.Kill();
  oldEngine.Stop();
  newEngine.Stop();
  const int doubleRuns = CountDoubleRuns(world);
  const std::string result =
    std::to_string(world.complete_) + " streams complete, " +
    std::to_string(world.cut_) + " cut, " + std::to_string(doubleRuns) +
    " went on while the engine before still worked on them";
  world.record_.Write(result);
  std::cout << result << "\n";
  if (world.complete_ == 0) {
    return 2;
  }
  return doubleRuns > 0 ? 1 : 0;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  return RunTest(aArgumentCount, aArguments, RunCase);
}
