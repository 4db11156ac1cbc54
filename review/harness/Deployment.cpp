#include "Deployment.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace azurecross::harness {

namespace {

constexpr unsigned kStoreAddress = 250;
constexpr unsigned kFirstServerAddress = 100;
constexpr Milliseconds kReadyTimeout{ 15000 };
constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kDeadline{ 1500 };
/** The configuration is in force everywhere and the load reports are known. */
constexpr Milliseconds kSettleTime{ 1500 };
/** Pause between two parts of a body. */
constexpr Milliseconds kSendInterval{ 5 };
constexpr std::array<const char*, 2> kZones = { "worcester", "robertson" };

std::string
FormatRoute(const std::string& aName,
            const std::string& aKind,
            int aAttempts,
            const std::string& aService)
{
  return R"({"name":")" + aName + R"(","host":"desk.example","prefix":"/)" +
         aName + R"(/","kind":")" + aKind +
         R"(","timeoutMs":1500,"goalMs":300,"priority":2,"service":")" +
         aService + R"(","maxAttempts":)" + std::to_string(aAttempts) +
         R"(,"public":false,"sticky":false,"resumable":false})";
}

std::string
FormatService(const std::string& aName)
{
  return R"({"name":")" + aName +
         R"(","healthPath":"/healthz","maxConns":96,"protocol":"h1",)"
         R"("tls":false})";
}

std::string
FormatConfiguration(const std::string& aLookupService)
{
  return R"({"version":7,"routes":[)" +
         FormatRoute("book", "non_idempotent", 1, "desk") + "," +
         FormatRoute("check", "idempotent", 2, aLookupService) +
         R"(],"services":[)" + FormatService("desk") + "," +
         FormatService("lookup") + "]," +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"huka270","apiKeys":["key-1"],"priority":1}]})";
}

} // namespace

bool
IsWithoutTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value != nullptr && std::string(value) == "0";
}

int
RunCase(int aArgumentCount,
        char** aArguments,
        const std::function<int(Record&)>& aRun)
{
  if (aArgumentCount != 2) {
    std::cerr << "usage: " << aArguments[0] << " RECORD\n";
    return kCouldNotRun;
  }
  try {
    Record record(aArguments[1]);
    const int status = aRun(record);
    record.Write("exit status " + std::to_string(status));
    return status;
  } catch (const std::exception& exception) {
    std::cerr << aArguments[0] << ": " << exception.what() << "\n";
    return kCouldNotRun;
  }
}

Deployment::Deployment(Record& aRecord, const Layout& aLayout)
  : record_(aRecord)
  , store_(MakeLoopbackIp(kStoreAddress))
{
  store_.Put(
    "op/config",
    FormatConfiguration(aLayout.lookupServers_ > 0 ? "lookup" : "desk"));
  AddServers("desk", aLayout.deskServers_);
  AddServers("lookup", aLayout.lookupServers_);
  for (unsigned number = 0; number < aLayout.entries_; ++number) {
    const std::string zone = kZones.at(number % kZones.size());
    entries_.push_back(std::make_unique<Entry>(
      "front-" + zone + "-" + std::to_string(number / kZones.size() + 1),
      MakeLoopbackIp(number + 1),
      zone,
      store_.GetEndpoint(),
      folder_.GetPath(),
      aLayout.memoryMb_));
  }
}

void
Deployment::AddServers(const std::string& aService, unsigned aCount)
{
  for (unsigned number = 0; number < aCount; ++number) {
    const auto address =
      static_cast<unsigned>(kFirstServerAddress + servers_.size());
    servers_.push_back(std::make_unique<Server>(
      "i-" + aService + "-" + std::to_string(number + 1),
      aService,
      MakeLoopbackIp(address),
      kZones.at(number % kZones.size()),
      store_,
      arrivals_,
      record_));
  }
}

Deployment::~Deployment()
{
  StopTraffic();
}

bool
Deployment::Start()
{
  for (const auto& entry : entries_) {
    entry->Start();
  }
  for (const auto& entry : entries_) {
    if (!entry->WaitUntilReady(kReadyTimeout)) {
      record_.Write(entry->GetName() + " is not ready in time");
      return false;
    }
  }
  std::this_thread::sleep_for(kSettleTime);
  record_.Write("all entries are ready");
  return true;
}

Attempt
Deployment::Send(std::size_t aEntry,
                 bool aIsIdempotent,
                 const std::string& aBody)
{
  std::unique_ptr<Connection> connection;
  return SendOn(connection, aEntry, aIsIdempotent, aBody);
}

Attempt
Deployment::SendOn(std::unique_ptr<Connection>& aConnection,
                   std::size_t aEntry,
                   bool aIsIdempotent,
                   const std::string& aBody,
                   std::size_t aBytesPerMillisecond)
{
  const Entry& entry = *entries_.at(aEntry);
  std::array<char, 20> id{};
  std::snprintf(id.data(),
                id.size(),
                "%016llx",
                static_cast<unsigned long long>(nextAttempt_++));
  Attempt attempt{ id.data(), entry.GetName(), Clock::now(), {} };
  attempt.isOnKeptConnection_ = aConnection != nullptr;
  if (!aConnection) {
    aConnection =
      std::make_unique<Connection>(Connect(entry.GetFront(), kConnectTimeout));
  }
  attempt.isConnected_ = aConnection->IsOpen();
  const std::string line =
    aIsIdempotent ? "GET /check/slots" : "POST /book/slot";
  const std::string head =
    line + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt.id_ +
    "\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) +
    "\r\nApi-Key: key-1\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\n\r\n";
  bool isSent = aConnection->IsOpen() && aConnection->Send(head);
  const std::size_t step = aBytesPerMillisecond > 0
                             ? aBytesPerMillisecond * kSendInterval.count()
                             : aBody.size();
  for (std::size_t at = 0; at < aBody.size() && isSent; at += step) {
    isSent = aConnection->Send(aBody.substr(at, step));
    std::this_thread::sleep_for(aBytesPerMillisecond > 0 ? kSendInterval
                                                         : Milliseconds(0));
  }
  // A refusal may come before the whole body has been read.
  Message answer;
  const bool isAnswered =
    aConnection->IsOpen() && aConnection->Read(answer, kDeadline);
  attempt.status_ = isAnswered ? answer.GetStatus() : 0;
  if (!isAnswered || !isSent || answer.Find("connection") == "close") {
    aConnection.reset();
  }
  attempt.endedAt_ = Clock::now();
  const std::lock_guard lock(mutex_);
  attempts_.push_back(attempt);
  return attempt;
}

void
Deployment::StartTraffic(unsigned aRequestsPerSecond)
{
  const Milliseconds interval(1000 * entries_.size() / aRequestsPerSecond);
  hasTraffic_ = true;
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    traffic_.emplace_back(
      [this, entry, interval] { RunTraffic(entry, interval); });
  }
}

void
Deployment::RunTraffic(std::size_t aEntry, Milliseconds aInterval)
{
  Clock::time_point next = Clock::now() + aInterval * aEntry / entries_.size();
  for (unsigned number = 0; hasTraffic_; ++number) {
    std::this_thread::sleep_until(next);
    next += aInterval;
    ++pending_;
    std::thread([this, aEntry, number] {
      Send(aEntry,
           number % 3 == 0,
           number % 3 == 0 ? "" : "slot " + std::to_string(number));
      --pending_;
    }).detach();
  }
}

void
Deployment::StopTraffic()
{
  hasTraffic_ = false;
  for (std::thread& thread : traffic_) {
    thread.join();
  }
  traffic_.clear();
  while (pending_ > 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
}

void
Deployment::WriteSummary() const
{
  const std::vector<Attempt> attempts = GetAttempts();
  std::map<std::string, int> ends;
  for (const Attempt& attempt : attempts) {
    const std::string unanswered = attempt.isConnected_
                                     ? "a connection closed without an answer"
                                     : "no connection";
    ++ends[attempt.status_ == 0 ? unanswered : std::to_string(attempt.status_)];
  }
  record_.Write("requests sent: " + std::to_string(attempts.size()));
  for (const auto& [end, count] : ends) {
    record_.Write("  " + std::to_string(count) + " ended with " + end);
  }
  std::map<std::string, std::pair<int, int>> counts;
  for (const Arrival& arrival : arrivals_.Get()) {
    ++counts[arrival.server_].first;
    counts[arrival.server_].second += arrival.hasRun_ ? 1 : 0;
  }
  for (const auto& [server, count] : counts) {
    record_.Write("  " + server + " got " + std::to_string(count.first) +
                  " and ran " + std::to_string(count.second));
  }
}

std::vector<Attempt>
Deployment::GetAttempts() const
{
  const std::lock_guard lock(mutex_);
  return attempts_;
}

} // namespace azurecross::harness
