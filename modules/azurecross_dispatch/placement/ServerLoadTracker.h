#pragma once

#include "../servers/ServerDirectory.h"
#include "../tables/ServingTables.h"
#include "ServerStatistics.h"

#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurecross {

/** What a generation asks of an engine. */
struct GenerationDemand
{
  std::uint32_t promptTokens_ = 0;
  /** Most output tokens that the caller wants. */
  std::uint32_t outputLimit_ = 0;
  /** Hash of each leading part of the prompt, the shortest part first. */
  std::vector<std::uint64_t> prefixHashes_;
  /** Tokens up to the end of each part. */
  std::vector<std::uint32_t> prefixTokens_;
};

/** A request that runs on a backend server. */
struct RunDescription
{
  BackendServerId server_;
  RouteName route_;
  CustomerId customer_;
  CallKind kind_ = CallKind::NonIdempotentCall;
  GenerationDemand demand_;
  /** Output tokens of the same run on an engine before. */
  std::uint32_t priorOutputTokens_ = 0;
  Time startedAt_;
};

using RunId = std::uint64_t;

/** How a run on one backend server ended. */
enum class RunOutcome
{
  /** The whole answer came, whatever its status. */
  Completed,
  /** The answer was a failure of the server, was damaged or stopped. */
  Failed,
  /** The server said that it did not run the request. */
  Rejected,
  /** No connection could be made. */
  Unreachable,
  /** The caller left, or the run moved to another server. */
  Withdrawn,
};

inline constexpr NameTable<RunOutcome, 5> kRunOutcomeNames{
  { { { RunOutcome::Completed, "completed" },
      { RunOutcome::Failed, "failed" },
      { RunOutcome::Rejected, "rejected" },
      { RunOutcome::Unreachable, "unreachable" },
      { RunOutcome::Withdrawn, "withdrawn" } } }
};

/** What one daemon uses of one backend server. */
struct ServerUsage
{
  BackendServerId server_;
  std::uint32_t runs_ = 0;
  /** Memory that its runs are expected to need, in tokens. */
  double memoryTokens_ = 0.0;
  /** Prompt tokens that wait for prefill. */
  double pendingPromptTokens_ = 0.0;
};

/** What one daemon has observed of one backend server lately. */
struct ReportedStatistics
{
  BackendServerId server_;
  ServerStatistics statistics_;
};

/** One backend server as placement sees it. */
struct ServerLoad
{
  ServerRecord record_;
  std::optional<EngineTraits> engine_;
  /** Uses of this daemon and of all others together. */
  ServerUsage ownUsage_;
  ServerUsage peerUsage_;
  Time warmUpEnd_;
  /** Not used before this time, after it could not be reached. */
  Time suspectUntil_;
  std::uint32_t consecutiveFailures_ = 0;
  /** What this daemon has observed. */
  DecayingStatistics ownStatistics_;
  /** What the others have observed, all together. */
  ServerStatistics peerStatistics_;
  /** Identifies this start of the server in the prefix index. */
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

  /** @returns the time to read one prompt token, waiting ones included. */
  double GetSecondsPerPromptToken() const;
  /** @returns the time between two output tokens. */
  double GetSecondsPerToken() const;
  /** @returns the time of a plain call. */
  double GetSecondsPerCall() const;
  /** @returns the share of runs that failed or were rejected lately. */
  double GetFailureShare() const;
};

/**
 * The load of all backend servers, from this daemon's own runs and from what
 * the other daemons tell of theirs. Learns each server's speed, each route's
 * output lengths and each server's failures from the outcomes of own runs.
 */
class ServerLoadTracker
{
public:
  ServerLoadTracker();

  /** Adds a server or takes its new record. */
  void Update(const ServerRecord& aRecord,
              const std::optional<EngineTraits>& aEngine,
              Time aNow);
  /** Forgets what was learned of a server that has started again. */
  void Restart(const BackendServerId& aServer, Time aNow);
  /** Removes a server once its last run has ended. */
  void Remove(const BackendServerId& aServer);

  RunId Start(const RunDescription& aRun);
  /** Takes an event of a generation with the tokens so far. */
  void ObserveEvent(RunId aRun, std::uint32_t aTokens, Time aNow);
  void Finish(RunId aRun, RunOutcome aEnd, Time aNow);

  /** Replaces what another daemon uses. */
  void SetPeerUsage(const std::string& aPeer,
                    std::vector<ServerUsage> aUsage,
                    Time aNow);
  /** Replaces what another daemon has observed. */
  void SetPeerStatistics(const std::string& aPeer,
                         std::vector<ReportedStatistics> aStatistics,
                         Time aNow);
  /** Drops what was heard from daemons that have been silent too long.
   * @returns how many daemons are left. */
  std::size_t ExpirePeers(Time aNow);

  /** @returns how many other daemons have been heard of lately. */
  std::size_t CountPeers() const { return peers_.size(); }

  /** @returns what this daemon uses, for the others. */
  std::vector<ServerUsage> GetOwnUsage() const;
  /** @returns what this daemon has observed lately, for the others. */
  std::vector<ReportedStatistics> GetOwnStatistics(Time aNow);

  /** @returns whether no daemon with a smaller name uses the server, so that
   * one daemon of all does what is needed once. */
  bool IsDesignatedUser(const std::string& aDaemon,
                        const BackendServerId& aServer) const;

  const ServerLoad* Find(const BackendServerId& aServer) const;
  const std::map<BackendServerId, ServerLoad>& GetServers() const
  {
    return servers_;
  }

  /** @returns the memory that a run is expected to need, in tokens. */
  double PredictMemory(const RouteName& aRoute,
                       const CustomerId& aCustomer,
                       const GenerationDemand& aDemand,
                       std::uint32_t aTokens) const;
  /** @returns the output tokens that a run with so many tokens is expected to
   * still make. */
  double PredictRemainingOutput(const RouteName& aRoute,
                                const CustomerId& aCustomer,
                                const GenerationDemand& aDemand,
                                std::uint32_t aTokens) const;
  /** @returns the output tokens that a run is expected to still make. */
  double PredictRemainingOutputOfRun(RunId aRun) const;
  const RunDescription* FindRun(RunId aRun) const;
  std::vector<RunId> FindRunsOn(const BackendServerId& aServer) const;

  /** @returns whether servers of the zone can't be reached at present. */
  bool IsZoneSuspect(const AvailabilityZone& aZone, Time aNow) const;

  /** @returns the prompt tokens that a server is thought to hold already. */
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
    /** Prompt tokens ahead of and in this run when it started. */
    double promptTokensAhead_ = 0.0;
    std::uint32_t recordedTokens_ = 0;
    Time lastEvent_;
  };

  struct Peer
  {
    std::vector<ServerUsage> usage_;
    std::vector<ReportedStatistics> statistics_;
    Time receivedAt_;
  };

  double ComputeMemory(LengthPredictor::ClassIndex aClass,
                       const GenerationDemand& aDemand,
                       std::uint32_t aTokens) const;
  void ClearPendingPrompt(Run& aRun, ServerLoad& aServer);
  void ObserveFailure(ServerLoad& aServer, RunOutcome aEnd, Time aNow);
  void ObserveUnreachable(const ServerRecord& aRecord, Time aNow);
  /** Adds up anew what all other daemons use and have observed. */
  void RecomputePeerTotals();
  /** Adds what one daemon uses to the sums, or takes it off. */
  void AddUsage(const std::vector<ServerUsage>& aUsage);
  void SubtractUsage(const std::vector<ServerUsage>& aUsage);
  /** Adds what one daemon has observed, or with -1 takes it off. */
  void AddStatistics(const std::vector<ReportedStatistics>& aStatistics,
                     double aFactor);

  /** The last server of a zone that could not be reached. */
  struct ZoneFailure
  {
    BackendServerId server_;
    Time at_;
    Time suspectUntil_;
  };

  mutable LengthPredictor lengths_;
  PrefixIndex prefixes_;
  std::map<BackendServerId, ServerLoad> servers_;
  std::unordered_map<RunId, Run> runs_;
  std::map<std::string, Peer> peers_;
  std::map<AvailabilityZone, ZoneFailure> zoneFailures_;
  RunId nextRunId_ = 1;
  std::uint32_t nextPrefixIndexId_ = 0;
};

} // namespace azurecross
