#pragma once

#include "EventQueue.h"
#include "TestPool.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurecross {

/** Configuration of a simulated fleet that receives requests with a part that
 * ends engines. */
struct QuarantineConfig
{
  int daemons_ = 195;
  int engines_ = 62;
  int zones_ = 5;
  /** Arrival rates of generations with 3,000 and 2,200 prompt tokens. */
  double longPerSecond_ = 23.0;
  double shortPerSecond_ = 33.0;
  /** Share of the requests that carry the fatal part. */
  double fatalShare_ = 0.1;
  /** Time of the first request with the fatal part. */
  double fatalFromSeconds_ = 10.0;
  bool usesQuarantine_ = true;
  /** Mean time between ends of engines without a connection to the prompts. */
  double crashIntervalSeconds_ = 4.0;
  double crashesUntilSeconds_ = 40.0;
  /** Whether the last zone cannot reach the others. */
  bool isLastZoneCutOff_ = false;
  /** Share of the datagrams that are lost. */
  double lossShare_ = 0.02;
  /** Time at which some daemons restart; 0 for never. */
  double restartSeconds_ = 0.0;
  double seconds_ = 40.0;
  std::uint64_t seed_ = 1;
};

/** Sound requests, and those that their first engine began to answer. */
struct FirstAttempts
{
  int requests_ = 0;
  int answered_ = 0;

  double GetShare() const
  {
    return static_cast<double>(answered_) / std::max(requests_, 1);
  }
};

/** First attempts of the requests that share something with fatal ones. */
struct RelatedAttempts
{
  FirstAttempts sameFirstPart_;
  FirstAttempts sameCustomer_;
};

/** Results of the daemons that can reach each other. */
struct QuarantineOutcome
{
  /** Deaths that the fatal part caused. */
  int fatalDeaths_ = 0;
  int fatalSends_ = 0;
  /** Requests with the fatal part that were sent when the fleet had to know
   * it. */
  int lateFatalSends_ = 0;
  /** Daemons, and those that refused the fatal part when they had to. */
  int daemons_ = 0;
  int daemonsWithVerdict_ = 0;
  /** Restarted daemons, and those that refused the fatal part in time. */
  int restartedDaemons_ = 0;
  int restartedDaemonsWithVerdict_ = 0;
  RelatedAttempts before_;
  RelatedAttempts after_;
  int soundRequests_ = 0;
  int soundRefusals_ = 0;
  /** Sound requests that were refused although the part that blocked them was
   * due for a trial. */
  int lateSoundRefusals_ = 0;
  /** Verdicts of daemons on sound parts that an answer has lifted. */
  int soundLifts_ = 0;
  std::size_t maxReportBytes_ = 0;
  std::size_t maxReportedParts_ = 0;
  std::size_t maxQuarantinedParts_ = 0;
};

/**
 * Simulates daemons with a separate quarantine each on a virtual clock. An
 * engine that would begin to answer a request with the fatal part dies; engines
 * also die for other reasons.
 */
class QuarantineSimulation
{
public:
  explicit QuarantineSimulation(const QuarantineConfig& aConfig);

  /** Runs the simulation.
   * @returns the results of the connected zones, followed by those of the zone
   * that is cut off, if there is one. */
  std::vector<QuarantineOutcome> Simulate();

private:
  using Evidence = std::vector<FingerprintEvidence>;

  struct Daemon
  {
    int zone_ = 0;
    bool isSummarizer_ = false;
    bool isCorrectionPending_ = false;
    Duration correctionDelay_{};
    std::unique_ptr<RequestQuarantine> quarantine_;
  };

  struct Request
  {
    std::vector<Fingerprint> parts_;
    int customer_ = 0;
    double promptTokens_ = 0.0;
    bool isFatal_ = false;
    bool isRelatedRoute_ = false;
    Time arrival_;
    int attempts_ = 0;
  };

  struct Run
  {
    Request request_;
    Daemon& daemon_;
    bool hasEnded_ = false;
  };

  struct Engine
  {
    std::string id_;
    int zone_ = 0;
    double speed_ = 1.0;
    std::int64_t startedUnixMs_ = 1;
    bool isUp_ = true;
    bool isDraining_ = false;
    Time prefillEnd_ = kStart;
    std::vector<std::shared_ptr<Run>> unansweredRuns_;
  };

  /** Why an engine ends. */
  enum class EndCause
  {
    FatalPart,
    Crash,
    Reclaimed,
  };

  void Schedule(Duration aDelay, std::function<void()> aAction);
  /** Repeats an action at exponentially distributed intervals. */
  void ScheduleRandomly(double aMeanSeconds, std::function<void()> aAction);

  void ScheduleArrival(bool aIsLong);
  Request DrawRequest(bool aIsLong);
  void Send(Daemon& aDaemon, Request aRequest);
  bool IsRefused(Daemon& aDaemon, const Request& aRequest);
  Engine* ChooseEngine(const Daemon& aDaemon);
  void BeginAnswer(Engine& aEngine, const std::shared_ptr<Run>& aRun);
  void CountFirstAttempt(const Daemon& aDaemon,
                         const Request& aRequest,
                         bool aIsAnswered);

  void EndEngine(Engine& aEngine, EndCause aCause);
  void EndRandomEngine(EndCause aCause);
  void HandleBrokenRun(const std::shared_ptr<Run>& aRun,
                       const ServerDeath& aDeath,
                       bool aIsEvidence);
  void HandleFatalDeath(QuarantineOutcome& aOutcome, std::size_t aPartition);

  void ScheduleReport(Daemon& aDaemon);
  void ScheduleSummaries(Daemon& aDaemon);
  /** Sends new evidence at once. */
  void SendEvidence(Daemon& aDaemon);
  void SendToOwnZone(Daemon& aDaemon);
  void SendToOtherZones(Daemon& aDaemon);
  void SendTo(Daemon& aSender,
              const std::function<bool(const Daemon&)>& aIsReceiver);
  void Receive(Daemon& aDaemon, const Evidence& aEvidence, int aSenderZone);
  void HandleQuarantineChanges(Daemon& aDaemon);
  void ScheduleTicks();
  void RestartDaemons();

  /** @returns the index of the outcome of a zone. */
  std::size_t GetPartition(int aZone) const;
  QuarantineOutcome& GetOutcome(int aZone)
  {
    return outcomes_[GetPartition(aZone)];
  }
  bool KnowsVerdict(const Daemon& aDaemon) const;

  QuarantineConfig config_;
  Random random_;
  std::vector<Daemon> daemons_;
  std::vector<Engine> engines_;
  EventQueue events_;
  Time now_ = kStart;
  std::vector<QuarantineOutcome> outcomes_;
  /** Times of the fifth death by the fatal part, or of the last one while there
   * are fewer, for each outcome. */
  std::array<std::optional<Time>, 2> decidingDeathAt_;
  std::map<Fingerprint, Time> accusedAt_;
};

} // namespace azurecross
