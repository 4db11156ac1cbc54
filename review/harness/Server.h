#pragma once

#include "Record.h"
#include "Store.h"

#include <optional>
#include <vector>

namespace azurecross::harness {

/** A request that reached a server. */
struct Arrival
{
  Clock::time_point at_;
  std::string server_;
  std::string attempt_;
  bool hasRun_ = false;
  /** Whether the server sends a body without end. */
  bool isEndless_ = false;
};

/** The requests that reached the servers. Used by several threads. */
class Arrivals
{
public:
  void Add(Arrival aArrival);
  std::vector<Arrival> Get() const;

private:
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

/** What a server says of its load. */
struct ServerNeeds
{
  /** The value of `Server-Limit` in its answers, if any. */
  std::string limit_;
  /** The seconds in `Retry-After` while the server turns requests away. */
  std::optional<int> turnsAwayFor_;
};

/**
 * A replica of a plain service, and the platform's part in its registration: it
 * checks in every 1.2 s, and its entry is removed after three intervals of
 * silence.
 */
class Server
{
public:
  static constexpr unsigned kSlots = 6;
  static constexpr Milliseconds kCheckInInterval{ 1200 };
  /** Body of the requests that end a server which begins to run them. */
  static constexpr const char* kFatalBody = "fatal";

  Server(std::string aId,
         std::string aService,
         const std::string& aIp,
         std::string aZone,
         Store& aStore,
         Arrivals& aArrivals,
         Record& aRecord);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& GetId() const { return id_; }
  void SetNeeds(ServerNeeds aNeeds);
  /** Sets the time that a request takes. */
  void SetWorkTime(Milliseconds aTime) { workTime_ = aTime; }
  /** Sets the share of its answers, in percent, for which the server sends a
   * body without end. */
  void SetEndlessShare(unsigned aPercent) { endlessPercent_ = aPercent; }
  /** Sets whether requests with the fatal body end the server. */
  void SetIsMortal(bool aIsMortal) { isMortal_ = aIsMortal; }
  /** Cuts the path between the server and the store, or restores it. */
  void SetIsCutFromStore(bool aIsCut);
  /** @returns how often the server has died. */
  int CountDeaths() const { return deaths_; }

private:
  /** Time from the death of the server to its next start. */
  static constexpr Milliseconds kRestartTime{ 2500 };

  void Serve(Connection& aConnection);
  /** @returns the answer, or nothing if the server has died. */
  std::optional<std::string> Handle(const Message& aRequest);
  std::string FormatHead(const Message& aRequest) const;
  bool IsNextEndless();
  /** Sends a body until the caller closes. */
  void SendWithoutEnd(Connection& aConnection, const Message& aRequest);
  void Maintain();
  void CheckIn();

  std::string id_;
  std::string service_;
  std::string zone_;
  Store& store_;
  Arrivals& arrivals_;
  Record& record_;
  mutable std::mutex mutex_;
  ServerNeeds needs_;
  std::atomic<Milliseconds> workTime_ = Milliseconds(30);
  std::atomic<bool> isMortal_ = false;
  std::atomic<unsigned> endlessPercent_ = 0;
  std::atomic<unsigned> requests_ = 0;
  std::atomic<int> deaths_ = 0;
  std::atomic<int> running_ = 0;
  std::atomic<bool> isDead_ = false;
  bool isCut_ = false;
  bool isStopping_ = false;
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  Clock::time_point lastCheckIn_;
  std::condition_variable woken_;
  Listener listener_;
  std::thread maintenance_;
};

} // namespace azurecross::harness
