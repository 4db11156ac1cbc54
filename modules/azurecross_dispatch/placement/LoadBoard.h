#pragma once

#include "../servers/ServerDirectory.h"
#include "../tables/ServingTables.h"
#include "ServerLearning.h"

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
  std::uint32_t tokensBefore_ = 0;
  Time startedAt_;
};

using RunNumber = std::uint64_t;

/** How a run on one backend server ended. */
enum class RunEnd
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

inline constexpr NameTable<RunEnd, 5> kRunEndNames{
  { { { RunEnd::Completed, "completed" },
      { RunEnd::Failed, "failed" },
      { RunEnd::Rejected, "rejected" },
      { RunEnd::Unreachable, "unreachable" },
      { RunEnd::Withdrawn, "withdrawn" } } }
};

/** What one daemon uses of one backend server. */
struct ServerUse
{
  BackendServerId server_;
  std::uint32_t runs_ = 0;
  /** Memory that its runs are expected to need, in tokens. */
  double memoryTokens_ = 0.0;
  /** Prompt tokens that wait for prefill. */
  double pendingPrompt_ = 0.0;
};

/** What one daemon has observed of one backend server lately. */
struct ServerFinding
{
  BackendServerId server_;
  ServerLearning learning_;
};

/** One backend server as placement sees it. */
struct ServerLoad
{
  ServerRecord record_;
  std::optional<EngineTraits> engine_;
  /** Uses of this daemon and of all others together. */
  ServerUse own_;
  ServerUse others_;
  Time coldUntil_;
  /** Not used before this time, after it could not be reached. */
  Time suspectUntil_;
  std::uint32_t failuresInRow_ = 0;
  /** What this daemon has observed. */
  FadingLearning learning_;
  /** What the others have observed, all together. */
  ServerLearning othersLearning_;
  /** Identifies this start of the server in the prefix index. */
  std::uint32_t index_ = 0;

  double GetMemory() const
  {
    return own_.memoryTokens_ + others_.memoryTokens_;
  }
  double GetPendingPrompt() const
  {
    return own_.pendingPrompt_ + others_.pendingPrompt_;
  }
  std::uint32_t GetRuns() const { return own_.runs_ + others_.runs_; }

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
class LoadBoard
{
public:
  LoadBoard();

  /** Adds a server or takes its new record. */
  void Update(const ServerRecord& aRecord,
              const std::optional<EngineTraits>& aEngine,
              Time aNow);
  /** Forgets what was learned of a server that has started again. */
  void Restart(const BackendServerId& aServer, Time aNow);
  /** Removes a server once its last run has ended. */
  void Remove(const BackendServerId& aServer);

  RunNumber Start(const RunDescription& aRun);
  /** Takes an event of a generation with the tokens so far. */
  void ObserveEvent(RunNumber aRun, std::uint32_t aTokens, Time aNow);
  void Finish(RunNumber aRun, RunEnd aEnd, Time aNow);

  /** Replaces what another daemon uses. */
  void SetPeerUse(const std::string& aPeer,
                  std::vector<ServerUse> aUses,
                  Time aNow);
  /** Replaces what another daemon has observed. */
  void SetPeerFindings(const std::string& aPeer,
                       std::vector<ServerFinding> aFindings,
                       Time aNow);
  /** Drops what was heard from daemons that have been silent too long.
   * @returns how many daemons are left. */
  std::size_t ExpirePeers(Time aNow);

  /** @returns how many other daemons have been heard of lately. */
  std::size_t CountPeers() const { return peers_.size(); }

  /** @returns what this daemon uses, for the others. */
  std::vector<ServerUse> DescribeOwnUse() const;
  /** @returns what this daemon has observed lately, for the others. */
  std::vector<ServerFinding> DescribeFindings(Time aNow);

  /** @returns whether no daemon with a smaller name uses the server, so that
   * one daemon of all does what is needed once. */
  bool IsFirstUser(const std::string& aDaemon,
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
  double PredictOutput(const RouteName& aRoute,
                       const CustomerId& aCustomer,
                       const GenerationDemand& aDemand,
                       std::uint32_t aTokens) const;
  /** @returns the output tokens that a run is expected to still make. */
  double PredictRemaining(RunNumber aRun) const;
  const RunDescription* FindRun(RunNumber aRun) const;
  std::vector<RunNumber> FindRunsOn(const BackendServerId& aServer) const;

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
    double pendingPrompt_ = 0.0;
    /** Prompt tokens ahead of and in this run when it started. */
    double promptAhead_ = 0.0;
    std::uint32_t growthRecorded_ = 0;
    Time lastEvent_;
  };

  struct Peer
  {
    std::vector<ServerUse> uses_;
    std::vector<ServerFinding> findings_;
    Time heardAt_;
  };

  double ComputeMemory(LengthPredictor::ClassIndex aClass,
                       const GenerationDemand& aDemand,
                       std::uint32_t aTokens) const;
  void ClearPending(Run& aRun, ServerLoad& aServer);
  void ObserveFailure(ServerLoad& aServer, RunEnd aEnd, Time aNow);
  void ObserveUnreachable(const ServerRecord& aRecord, Time aNow);
  /** Adds up anew what all other daemons use and have observed. */
  void RefreshOthers();
  /** Adds what one daemon uses to the sums, or takes it off. */
  void AddUses(const std::vector<ServerUse>& aUses);
  void SubtractUses(const std::vector<ServerUse>& aUses);
  /** Adds what one daemon has observed, or with -1 takes it off. */
  void AddFindings(const std::vector<ServerFinding>& aFindings, double aFactor);

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
  std::unordered_map<RunNumber, Run> runs_;
  std::map<std::string, Peer> peers_;
  std::map<AvailabilityZone, ZoneFailure> zoneFailures_;
  RunNumber nextRun_ = 1;
  std::uint32_t nextIndex_ = 0;
};

} // namespace azurecross
