#pragma once

#include "Entry.h"
#include "Server.h"

#include <memory>

namespace azurecross::harness {

/** A request of a caller and what became of it. */
struct Attempt
{
  std::string id_;
  /** The entry that the caller sent it to. */
  std::string entry_;
  Clock::time_point sentAt_;
  Clock::time_point endedAt_;
  /** The status of the answer, or 0 if there was none. */
  int status_ = 0;
  bool isConnected_ = false;
  /** Whether the connection had carried other requests. */
  bool isOnKeptConnection_ = false;
};

/** The size of a deployment. */
struct Layout
{
  /** Servers of the service `desk`. */
  unsigned deskServers_ = 0;
  /** Servers of the service `lookup`; with none, `desk` takes its route. */
  unsigned lookupServers_ = 0;
  unsigned entries_ = 0;
  unsigned memoryMb_ = 260;
};

/**
 * A small deployment on loopback addresses: the store, the servers of plain
 * services, and entries in two availability zones. The configuration has the
 * routes `/book/` (not idempotent, `desk`) and `/check/` (idempotent, `lookup`)
 * and one customer.
 */
class Deployment
{
public:
  Deployment(Record& aRecord, const Layout& aLayout);
  ~Deployment();

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts the entries. @returns whether all are ready in time. */
  bool Start();
  /** Sends one request on a new connection and waits for its end. */
  Attempt Send(std::size_t aEntry,
               bool aIsIdempotent,
               const std::string& aBody);
  /** The same on a connection that is kept for further requests; it is made if
   * there is none, and dropped if it ends.
   * @param aBytesPerMillisecond the pace of the body; 0 for all at once. */
  Attempt SendOn(std::unique_ptr<Connection>& aConnection,
                 std::size_t aEntry,
                 bool aIsIdempotent,
                 const std::string& aBody,
                 std::size_t aBytesPerMillisecond = 0);
  /** Sends requests to all entries in turn until the destruction. */
  void StartTraffic(unsigned aRequestsPerSecond);
  void StopTraffic();
  /** Records how many requests were sent, how they ended, and how many reached
   * each server and ran there. */
  void WriteSummary() const;
  /** @returns all requests of callers that have ended. */
  std::vector<Attempt> GetAttempts() const;

  Server& GetServer(std::size_t aNumber) { return *servers_.at(aNumber); }
  std::size_t CountServers() const { return servers_.size(); }
  Entry& GetEntry(std::size_t aNumber) { return *entries_.at(aNumber); }
  std::size_t CountEntries() const { return entries_.size(); }
  Arrivals& GetArrivals() { return arrivals_; }
  Store& GetStore() { return store_; }

private:
  void AddServers(const std::string& aService, unsigned aCount);
  void RunTraffic(std::size_t aEntry, Milliseconds aInterval);

  Record& record_;
  Folder folder_;
  Arrivals arrivals_;
  Store store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Entry>> entries_;
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
  std::atomic<std::uint64_t> nextAttempt_ = 1;
  std::atomic<bool> hasTraffic_ = false;
  std::atomic<int> pending_ = 0;
  std::vector<std::thread> traffic_;
};

/** @returns whether the environment asks for the case without its disruption.
 */
bool
IsWithoutTrouble();

/** The exit statuses of a case. */
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** Runs a case with the record that the only argument names.
 * @returns the exit status. */
int
RunCase(int aArgumentCount,
        char** aArguments,
        const std::function<int(Record&)>& aRun);

} // namespace azurecross::harness
