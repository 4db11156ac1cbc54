#pragma once

#include "../quarantine/PromptPart.h"
#include "../servers/ServerDirectory.h"
#include "../tables/ServingTables.h"
#include "ServerStatistics.h"
#include "TokenPace.h"

#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurecross {

/** The resources that a generation needs from an engine. */
struct GenerationDemand
{
  std::uint32_t promptTokens_ = 0;
  /** Maximum number of output tokens requested by the caller. */
  std::uint32_t outputLimit_ = 0;
  /** Hash of each prefix of the prompt, shortest prefix first. */
  std::vector<std::uint64_t> prefixHashes_;
  /** Length of each prefix in tokens. */
  std::vector<std::uint32_t> prefixTokens_;
  /** The parts of the prompt that other requests can share. */
  std::vector<PromptPartId> sharedParts_;
};

/** Describes the execution of a request on a backend server (a run). */
struct RunDescription
{
  BackendServerId server_;
  RouteName route_;
  CustomerId customer_;
  CallKind kind_ = CallKind::NonIdempotentCall;
  GenerationDemand demand_;
  /** Output tokens that a previous engine produced before the run moved. */
  std::uint32_t priorOutputTokens_ = 0;
  Time startedAt_;
};

using RunId = std::uint64_t;

/** How a run on one backend server ended. */
enum class RunOutcome
{
  /** The complete answer was received, whatever its status. */
  Completed,
  /** The answer reported a server failure, was corrupt or was cut off. */
  Failed,
  /** The server reported that it did not run the request. */
  Rejected,
  /** No connection could be made. */
  Unreachable,
  /** The caller disconnected, or the run moved to another server. */
  Withdrawn,
};

inline constexpr NameTable<RunOutcome, 5> kRunOutcomeNames{
  { { { RunOutcome::Completed, "completed" },
      { RunOutcome::Failed, "failed" },
      { RunOutcome::Rejected, "rejected" },
      { RunOutcome::Unreachable, "unreachable" },
      { RunOutcome::Withdrawn, "withdrawn" } } }
};

/** The load that one daemon puts on one backend server. */
struct ServerUsage
{
  BackendServerId server_;
  std::uint32_t runs_ = 0;
  /** Expected memory of the runs, in tokens. */
  double memoryTokens_ = 0.0;
  /** Prompt tokens still to be prefilled. */
  double pendingPromptTokens_ = 0.0;
};

/** The recent statistics of one daemon about one backend server. */
struct ReportedStatistics
{
  BackendServerId server_;
  ServerStatistics statistics_;
};

/** The shortest time per output token that an engine has shown recently. */
struct ReportedPace
{
  BackendServerId server_;
  double secondsPerToken_ = 0.0;
};

/** The daemons whose load a report covers. */
enum class LoadScope
{
  /** The sender alone. */
  Daemon,
  /** All daemons of the sender's zone. */
  Zone,
  /** All daemons of all zones but the sender's. */
  OtherZones,
};

inline constexpr NameTable<LoadScope, 3> kLoadScopeNames{
  { { { LoadScope::Daemon, "daemon" },
      { LoadScope::Zone, "zone" },
      { LoadScope::OtherZones, "other_zones" } } }
};

/** The summed load and statistics of several daemons. */
struct LoadSummary
{
  std::vector<ServerUsage> usage_;
  std::vector<ReportedStatistics> statistics_;
  std::vector<ReportedPace> paces_;
  DecayedMean disturbedRatio_;
  std::uint32_t daemonCount_ = 0;
};

/** Load and statistics of one backend server, as used by placement. */
struct ServerLoad
{
  ServerRecord record_;
  std::optional<EngineTraits> engine_;
  /** Load by this daemon, and the total load by all peers. */
  ServerUsage ownUsage_;
  ServerUsage peerUsage_;
  /** Until this time the server is slow because it has just started. */
  Time warmUpEnd_;
  /** Until this time placement avoids the server, which was unreachable. */
  Time suspectUntil_;
  /** Until this time this daemon sends the server nothing, at its request. */
  Time pausedUntil_;
  /** Whether the operator has evacuated the server's zone. */
  bool isEvacuated_ = false;
  std::uint32_t consecutiveFailures_ = 0;
  /** Statistics of this daemon. */
  DecayingStatistics ownStatistics_;
  /** Combined statistics of all peers. */
  ServerStatistics peerStatistics_;
  /** The fastest pace of an engine, as seen by this daemon, and as reported by
   * peers. */
  TokenPace ownPace_;
  TokenPace peerPace_;
  /** Id of this server process in the prefix index; changes at a restart. */
  std::uint32_t prefixIndexId_ = 0;

  double GetMemoryTokens() const
  {
    return ownUsage_.memoryTokens_ + peerUsage_.memoryTokens_;
  }
  double GetPendingPromptTokens() const
  {
    return ownUsage_.pendingPromptTokens_ + peerUsage_.pendingPromptTokens_;
  }
  std::uint32_t GetRuns() const { return ownUsage_.runs_ + peerUsage_.runs_; }

  /** @returns the prefill time per prompt token, queued tokens included. */
  double GetSecondsPerPromptToken() const;
  /** @returns the time between two output tokens. */
  double GetSecondsPerToken() const;
  /** @returns the time between two output tokens of an undisturbed engine. */
  std::optional<double> FindFastestPace(Time aNow) const;
  /** @returns the duration of a plain call. */
  double GetSecondsPerCall() const;
  /** @returns the share of recent runs that failed or were rejected. */
  double GetFailureShare() const;
};

/**
 * Tracks the load of all backend servers from the runs of this daemon and the
 * load reports of its peers. Estimates each server's speed and failure rate and
 * each route's output length from the outcomes of its own runs.
 */
class ServerLoadTracker
{
public:
  ServerLoadTracker();

  /** Adds a server or replaces its record. */
  void Update(const ServerRecord& aRecord,
              const std::optional<EngineTraits>& aEngine,
              Time aNow);
  /** Discards the statistics and cached prefixes of a restarted server. */
  void Restart(const BackendServerId& aServer, Time aNow);
  /** Sets the time until which a server is slow because it is cold. */
  void SetWarmUpEnd(const BackendServerId& aServer, Time aEnd);
  /** Sets whether new requests are kept from the servers of a zone. */
  void SetEvacuated(const AvailabilityZone& aZone, bool aIsEvacuated);
  bool HasEvacuatedZones() const { return !evacuatedZones_.empty(); }
  /** Sends a server nothing until this time. */
  void Pause(const BackendServerId& aServer, Time aUntil);
  /** Marks a server as draining and removes it if it has no runs. */
  void Remove(const BackendServerId& aServer);

  /** Adds a run to the load of its server and returns the id of the run. */
  RunId Start(const RunDescription& aRun);
  /** Records an event of a generation.
   * @param aTokens output tokens produced so far. */
  void ObserveEvent(RunId aRun, std::uint32_t aTokens, Time aNow);
  /** Removes a run from the load and records its outcome. */
  void Finish(RunId aRun, RunOutcome aEnd, Time aNow);

  /** Replaces the load that a peer has reported.
   * @param aScope the daemons that the report covers.
   * @param aDaemonCount the number of these daemons. */
  void SetPeerUsage(const std::string& aPeer,
                    std::vector<ServerUsage> aUsage,
                    Time aNow,
                    LoadScope aScope = LoadScope::Daemon,
                    std::uint32_t aDaemonCount = 1);
  /** Replaces the statistics that a peer has reported. */
  void SetPeerStatistics(const std::string& aPeer,
                         std::vector<ReportedStatistics> aStatistics,
                         Time aNow);
  /** Adds the paces of engines that a peer has reported. */
  void SetPeerPaces(const std::string& aPeer,
                    std::vector<ReportedPace> aPaces,
                    const DecayedMean& aDisturbedRatio,
                    Time aNow);
  /** Discards the reports of peers that have expired.
   * @returns the number of daemons that the remaining reports cover. */
  std::size_t ExpirePeers(Time aNow);

  /** @returns the number of daemons covered by reports that have not expired.
   */
  std::size_t CountPeers() const { return peerCount_; }

  /** @returns the load of this daemon and of the peers that report their own.
   */
  LoadSummary SummarizeDaemons(Time aNow);
  /** @returns the load of the zones that peers have summarized. */
  LoadSummary SummarizeZones() const;

  /** @returns the load of this daemon, for its load report. */
  std::vector<ServerUsage> GetOwnUsage() const;
  /** @returns the recent statistics of this daemon, for its load report. */
  std::vector<ReportedStatistics> GetOwnStatistics(Time aNow);
  /** @returns the paces that this daemon has seen of engines whose pools pace
   * prompts, for its load report. */
  std::vector<ReportedPace> GetOwnPaces(Time aNow) const;
  /** @returns how much longer gaps of disturbed engines are than at their
   * fastest pace, as seen by this daemon; without weight if it is unknown. */
  DecayedMean GetOwnDisturbedRatio() const
  {
    return stalls_.GetDisturbedRatio();
  }

  /** @returns whether no daemon with a smaller name uses the server. Selects
   * one daemon for work that must be done once per server. */
  bool IsDesignatedUser(const std::string& aDaemon,
                        const BackendServerId& aServer) const;

  const ServerLoad* Find(const BackendServerId& aServer) const;
  const std::map<BackendServerId, ServerLoad>& GetServers() const
  {
    return servers_;
  }

  /** @returns the expected memory of a run, in tokens. */
  double PredictMemory(const RouteName& aRoute,
                       const CustomerId& aCustomer,
                       const GenerationDemand& aDemand,
                       std::uint32_t aTokens) const;
  /** @returns the expected remaining output tokens of a run that has produced
   * `aTokens` tokens. */
  double PredictRemainingOutput(const RouteName& aRoute,
                                const CustomerId& aCustomer,
                                const GenerationDemand& aDemand,
                                std::uint32_t aTokens) const;
  /** @returns the output tokens that a new run exceeds with this probability.
   */
  double PredictOutputQuantile(const RouteName& aRoute,
                               const CustomerId& aCustomer,
                               const GenerationDemand& aDemand,
                               double aProbability) const;
  /** @returns the expected remaining output tokens of a run. */
  double PredictRemainingOutputOfRun(RunId aRun) const;
  /** @returns the mean number of prompt tokens that an engine of the pool reads
   * for a run. */
  double GetMeanPromptTokens(const PoolName& aPool) const;
  /** @returns the longest gap between two events that a stream on the engine
   * must expect, if the engine's pace is known. */
  std::optional<double> PredictLongestGap(const ServerLoad& aEngine,
                                          Time aNow) const;
  const RunDescription* FindRun(RunId aRun) const;
  std::vector<RunId> FindRunsOn(const BackendServerId& aServer) const;

  /** @returns whether the zone is currently believed to be unreachable. */
  bool IsZoneSuspect(const AvailabilityZone& aZone, Time aNow) const;

  /** @returns the estimated number of prompt tokens in a server's cache. */
  std::uint32_t FindCachedTokens(const BackendServerId& aServer,
                                 const GenerationDemand& aDemand,
                                 Time aNow) const;

private:
  struct Run
  {
    RunDescription description_;
    LengthPredictor::ClassIndex lengthClass_ = 0;
    std::uint32_t tokens_ = 0;
    double memory_ = 0.0;
    double pendingPromptTokens_ = 0.0;
    /** Prompt tokens queued at the start of this run, its own included. */
    double promptTokensAhead_ = 0.0;
    std::uint32_t recordedTokens_ = 0;
    Time lastEvent_;
    /** Whether this engine has sent an event. */
    bool hasEvent_ = false;
    /** Start of the current measurement of the engine's pace. */
    Time paceStart_;
    std::uint32_t paceStartTokens_ = 0;
  };

  struct Peer
  {
    std::vector<ServerUsage> usage_;
    std::vector<ReportedStatistics> reportedStatistics_;
    std::vector<ReportedPace> paces_;
    DecayedMean disturbedRatio_;
    Time receivedAt_;
    LoadScope scope_ = LoadScope::Daemon;
    std::uint32_t daemonCount_ = 1;
  };

  /** @returns the sum of the peers' reports of one scope. */
  LoadSummary SummarizePeers(LoadScope aScope) const;
  double ComputeMemory(LengthPredictor::ClassIndex aClass,
                       const GenerationDemand& aDemand,
                       std::uint32_t aTokens) const;
  void ClearPendingPrompt(Run& aRun, ServerLoad& aServer);
  /** Measures the pace of the engine and the gap before an event. */
  void ObservePace(Run& aRun,
                   ServerLoad& aServer,
                   std::uint32_t aTokens,
                   Time aNow);
  void ObserveFailure(ServerLoad& aServer, RunOutcome aEnd, Time aNow);
  void ObserveUnreachable(const ServerRecord& aRecord, Time aNow);
  /** Recomputes the load and statistics totals over all peers. */
  void RecomputePeerTotals();
  /** Adds the load of one peer to the totals, or subtracts it. */
  void AddUsage(const std::vector<ServerUsage>& aUsage);
  void SubtractUsage(const std::vector<ServerUsage>& aUsage);
  /** Adds the statistics of one peer to the totals, or subtracts them if
   * `aFactor` is -1. */
  void AddStatistics(const std::vector<ReportedStatistics>& aStatistics,
                     double aFactor);

  /** The last unreachable server of a zone. */
  struct ZoneFailure
  {
    BackendServerId server_;
    Time at_;
    Time suspectUntil_;
  };

  mutable LengthPredictor lengths_;
  StallStatistics stalls_;
  /** The sum of the peers' ratios. */
  DecayedMean peerDisturbedRatio_;
  /** Prompt tokens read for each run, by pool. */
  std::map<PoolName, DecayedMean> promptTokens_;
  PrefixIndex prefixes_;
  std::map<BackendServerId, ServerLoad> servers_;
  std::unordered_map<RunId, Run> runs_;
  std::map<std::string, Peer> peers_;
  /** The sum of the peers' `daemonCount_`. */
  std::size_t peerCount_ = 0;
  std::map<AvailabilityZone, ZoneFailure> zoneFailures_;
  std::set<AvailabilityZone> evacuatedZones_;
  RunId nextRunId_ = 1;
  std::uint32_t nextPrefixIndexId_ = 0;
};

} // namespace azurecross
