#include "Server.h"

#include <utility>

namespace azurecross::harness {

namespace {

constexpr Milliseconds kIdleTime{ 30000 };
/** Waiting requests beyond those that run. */
constexpr int kQueue = 24;
constexpr Milliseconds kSlotPoll{ 1 };
constexpr const char* kSeal = "3e1b.07.5a2.600.0.c9f2a4d1";
/** What a server without end sends in each interval: 16 MB a second. */
constexpr std::size_t kEndlessBytes = 65536;
constexpr Milliseconds kEndlessInterval{ 4 };

std::int64_t
ReadUnixMilliseconds()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

void
Arrivals::Add(Arrival aArrival)
{
  const std::lock_guard lock(mutex_);
  arrivals_.push_back(std::move(aArrival));
}

std::vector<Arrival>
Arrivals::Get() const
{
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

Server::Server(std::string aId,
               std::string aService,
               const std::string& aIp,
               std::string aZone,
               Store& aStore,
               Arrivals& aArrivals,
               Record& aRecord)
  : id_(std::move(aId))
  , service_(std::move(aService))
  , zone_(std::move(aZone))
  , store_(aStore)
  , arrivals_(aArrivals)
  , record_(aRecord)
  , born_(ReadUnixMilliseconds())
  , listener_(aIp, [this](Connection& aConnection) { Serve(aConnection); })
  , maintenance_([this] { Maintain(); })
{
}

Server::~Server()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  woken_.notify_all();
  maintenance_.join();
  isDead_ = false;
}

void
Server::SetNeeds(ServerNeeds aNeeds)
{
  const std::lock_guard lock(mutex_);
  needs_ = std::move(aNeeds);
}

void
Server::SetIsCutFromStore(bool aIsCut)
{
  const std::lock_guard lock(mutex_);
  isCut_ = aIsCut;
  record_.Write(
    id_ + (aIsCut ? " is cut off from the store" : " reaches the store again"));
}

void
Server::Maintain()
{
  std::unique_lock lock(mutex_);
  Clock::time_point diedAt;
  while (!isStopping_) {
    const Clock::time_point now = Clock::now();
    if (isDead_ && diedAt == Clock::time_point()) {
      diedAt = now;
      lock.unlock();
      listener_.Close();
      lock.lock();
    }
    if (isDead_ && now - diedAt >= kRestartTime) {
      diedAt = Clock::time_point();
      born_ = ReadUnixMilliseconds();
      sequence_ = 0;
      lastCheckIn_ = Clock::time_point();
      listener_.Open();
      isDead_ = false;
      record_.Write(id_ + " has started again");
    }
    if (!isDead_ && !isCut_ && now - lastCheckIn_ >= kCheckInInterval) {
      CheckIn();
    }
    if (now - lastCheckIn_ > 3 * kCheckInInterval &&
        store_.Contains("servers/" + id_)) {
      store_.Remove("servers/" + id_);
      record_.Write("the platform removes the entry of " + id_);
    }
    woken_.wait_for(lock, Milliseconds(5));
  }
}

void
Server::CheckIn()
{
  const std::string key = "servers/" + id_;
  if (!store_.Contains(key)) {
    record_.Write(id_ + " registers at the store");
  }
  lastCheckIn_ = Clock::now();
  store_.Put(key,
             R"({"service":")" + service_ + R"(","address":")" +
               listener_.GetEndpoint().Format() + R"(","zone":")" + zone_ +
               R"(","version":"v1","slots":)" + std::to_string(kSlots) +
               R"(,"state":"ready","coldLeftMs":0,"born":)" +
               std::to_string(born_) + R"(,"sequence":)" +
               std::to_string(++sequence_) + "}");
}

void
Server::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.Read(request, kIdleTime)) {
    if (IsNextEndless()) {
      SendWithoutEnd(aConnection, request);
      return;
    }
    const auto answer = Handle(request);
    if (!answer) {
      aConnection.ResetOnClose();
      return;
    }
    if (!aConnection.Send(*answer)) {
      return;
    }
  }
}

std::string
Server::FormatHead(const Message& aRequest) const
{
  std::string head = "Attempt-Id: " + aRequest.Find("attempt-id") +
                     "\r\nKeep-Alive: timeout=30\r\n";
  if (!needs_.limit_.empty()) {
    head += "Server-Limit: " + needs_.limit_ + "\r\n";
  }
  return head;
}

bool
Server::IsNextEndless()
{
  constexpr unsigned kWhole = 100;
  // Spreads the share evenly.
  const unsigned percent = endlessPercent_;
  const unsigned before = requests_++ * percent / kWhole;
  return requests_ * percent / kWhole > before;
}

void
Server::SendWithoutEnd(Connection& aConnection, const Message& aRequest)
{
  arrivals_.Add({ Clock::now(), id_, aRequest.Find("attempt-id"), true, true });
  bool isOpen = aConnection.Send(
    "HTTP/1.1 200 OK\r\nAttempt-Id: " + aRequest.Find("attempt-id") +
    "\r\nReplica-Seal: " + kSeal + "\r\n\r\n");
  const std::string bytes(kEndlessBytes, '.');
  while (isOpen) {
    isOpen = aConnection.Send(bytes);
    std::this_thread::sleep_for(kEndlessInterval);
  }
}

std::optional<std::string>
Server::Handle(const Message& aRequest)
{
  if (aRequest.GetPath() == "/healthz") {
    return FormatResponse(200, "Replica-Id: " + id_ + "\r\n", "");
  }
  if (aRequest.Find("expect-replica") != id_) {
    return FormatResponse(421,
                          "Attempt-Id: " + aRequest.Find("attempt-id") +
                            "\r\nReplica-Id: " + id_ +
                            "\r\nNot-Executed: 1\r\n",
                          "");
  }
  Arrival arrival{
    Clock::now(), id_, aRequest.Find("attempt-id"), false, false
  };
  std::string head;
  std::optional<int> turnsAwayFor;
  {
    const std::lock_guard lock(mutex_);
    head = FormatHead(aRequest);
    turnsAwayFor = needs_.turnsAwayFor_;
  }
  const bool isFull =
    running_.fetch_add(1) >= static_cast<int>(kSlots) + kQueue;
  if (turnsAwayFor || isFull) {
    --running_;
    arrivals_.Add(arrival);
    if (turnsAwayFor) {
      head += "Retry-After: " + std::to_string(*turnsAwayFor) + "\r\n";
    }
    return FormatResponse(503, head + "Not-Executed: 1\r\n", "");
  }
  arrival.hasRun_ = true;
  arrivals_.Add(arrival);
  const Clock::time_point begin = Clock::now();
  while (Clock::now() - begin < workTime_.load() && !isDead_) {
    std::this_thread::sleep_for(kSlotPoll);
  }
  --running_;
  if (isMortal_ && aRequest.body_ == kFatalBody && !isDead_.exchange(true)) {
    ++deaths_;
    record_.Write(id_ + " dies while it runs " + arrival.attempt_);
    woken_.notify_all();
  }
  if (isDead_) {
    // All connections end together with the port, as those of a process do.
    while (isDead_) {
      std::this_thread::sleep_for(kSlotPoll);
    }
    return std::nullopt;
  }
  return FormatResponse(200,
                        head + "Replica-Seal: " + kSeal + "\r\n",
                        "done " + arrival.attempt_ + "\n");
}

} // namespace azurecross::harness
