#pragma once

#include "../log/DecisionLog.h"
#include "../metrics/ServingMetrics.h"
#include "ServingSettings.h"
#include "StateSource.h"

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace azurecross {

/**
 * The state of one daemon: the current tables and their freshness, the backend
 * servers and their load. Soft state: after a restart it is rebuilt from the
 * store and the other daemons.
 */
class ServingState
{
public:
  ServingState(const ServingSettings& aSettings,
               DecisionLog& aLog,
               ServingMetrics& aMetrics);

  ServingState(const ServingState&) = delete;
  ServingState& operator=(const ServingState&) = delete;

  /** @returns the current tables, or null before the first tables arrive. */
  const ServingTablesPtr& GetTables() const { return tables_; }
  ServerLoadTracker& GetLoadTracker() { return loadTracker_; }
  RetryAllowance& GetRetryBudget() { return retryBudget_; }
  RequestQuarantine& GetQuarantine() { return quarantine_; }
  ServerLimiter& GetLimiter() { return limiter_; }
  const KeyFreshness& GetKeyFreshness() const { return keyFreshness_; }
  /** Replaces the longest time for which a removed API key is accepted. */
  void SetMaxKeyRevocationDelay(Duration aDelay)
  {
    keyFreshness_.SetRemovalBound(aDelay);
  }
  /** @returns whether tables without a list of customers are rejected. */
  bool RequiresCustomers() const;
  /** Sets whether the tables have to list the customers, also if those in force
   * don't. */
  void SetRequiresCustomers(bool aRequiresCustomers)
  {
    requiresCustomers_ = aRequiresCustomers;
  }

  /** Replaces the limit of the requests to cold servers. */
  void SetWarmUpBound(std::optional<WarmUpBound> aBound)
  {
    warmUpBound_ = aBound;
  }

  /** @returns whether requests can be served: tables are loaded and, if
   * customers need API keys, are fresh enough to check the keys. */
  bool IsServing(Time aBootNow) const;

  /** Applies the tables if they are newer than the current ones, and rejects
   * them if they lack the customers that this deployment has. */
  void ApplyTables(std::optional<ServingTables::Content> aContent, Time aNow);
  /** Records that the newest tables can't be used. The current ones stay in
   * force, but nothing confirms their API keys any more.
   * @param aVersion their version, or 0 if it can't be read. */
  void RejectTables(std::uint64_t aVersion, const std::string& aReason);
  /** Records that a read of the store returned these tables. It confirms the
   * current ones as the newest unless they or those of a peer are newer: a
   * store that was restored from a backup lacks the last changes until they are
   * written again.
   * @param aVersion the version that was read, or 0 if there are no tables.
   * @param aSentAt boot time at which the read was sent. */
  void ConfirmTables(std::uint64_t aVersion, Time aSentAt);
  /** Records the version of the tables that a peer has. */
  void RecordPeerVersion(std::uint64_t aVersion);

  /** Applies the operator's list of evacuated zones. */
  void ApplyEvacuatedZones(const EvacuatedZones& aZones, Time aNow);
  /** @returns whether a generation may resume at a server. After its zone was
   * evacuated, a generation that had already stopped for its move there may
   * resume for a moment. */
  bool MayResumeAt(const BackendServerId& aServer, Time aNow) const;

  /** Applies a complete list of registrations. Servers missing from the list
   * are removed.
   * @param aIsAfterOutage whether the store was unavailable recently: missing
   * servers are then kept until their removal is confirmed. */
  void ApplyServerList(const std::vector<ServerEvent>& aServers,
                       bool aIsAfterOutage,
                       Time aNow);
  /** Applies changes of single registrations.
   * @param aIsAfterOutage whether the store was unavailable recently: removed
   * servers are then kept until their removal is confirmed. */
  void ApplyServerEvents(const std::vector<ServerEvent>& aEvents,
                         bool aIsAfterOutage,
                         Time aNow);

  /** Marks a server as draining on a notice from another daemon or from the
   * server itself. Ignored while the store is reachable.
   * @param aSource the origin of the notice, for the log. */
  void HandleLeavingNotice(const BackendServerId& aServer,
                           std::string_view aSource,
                           Time aNow);
  /** Sends a server nothing for some time, because it asked for that. */
  void PauseServer(const BackendServerId& aServer, Duration aTime, Time aNow);
  /** Marks a server as draining that has stated in an answer that it leaves,
   * whether the store is reachable or not. */
  void RecordServerLeaving(const BackendServerId& aServer, Time aNow);
  /** @returns the servers that started to leave within the last seconds, to be
   * reported to other daemons. */
  std::vector<BackendServerId> GetLeavingServers() const;

  /** Records the limit that an answer states, or that it states none.
   * @param aSentAt when the request was sent. */
  void RecordServerLimit(const BackendServerId& aServer,
                         std::optional<double> aRequestsPerSecond,
                         Time aSentAt,
                         Time aNow);
  /** Records that a server has stated that it stays cold for some time. */
  void RecordServerWarmUp(const BackendServerId& aServer,
                          Duration aRemaining,
                          Time aNow)
  {
    LimitWarmUp(aServer, aRemaining, "answer", aNow);
  }
  /** Ends a run. */
  void FinishRun(RunId aRun, RunOutcome aEnd, Time aNow);
  /** Adds the limits that another daemon reported. */
  void MergeServerLimits(const std::vector<ServerLimit>& aLimits);
  /** Handles a message of another daemon about permits. */
  void HandlePermitMessage(const PermitMessage& aMessage, Time aNow);
  /** Counts a request against the limit of a server to which it is sent without
   * a placement, such as a generation that resumes there. */
  void CountUnplacedRequest(const BackendServerId& aServer, Time aNow);
  /** Sends the pending messages about permits. */
  void SendPermitMessages();

  /** Records that a server answers a request with these fingerprints. */
  void RecordAnswered(const std::vector<Fingerprint>& aFingerprints, Time aNow);
  /** Records that a server died before it began to answer a request with these
   * fingerprints.
   * @param aDiedAt when the connection to the server broke.
   * @returns whether other daemons should be told. */
  bool RecordServerDeath(const std::vector<Fingerprint>& aFingerprints,
                         const BackendServerId& aServer,
                         Time aDiedAt,
                         Time aNow);
  /** Adds the evidence about fingerprints that another daemon reported.
   * @returns whether it contains a death that was unknown. */
  bool MergeEvidence(const std::vector<FingerprintEvidence>& aEvidence,
                     Time aNow);

  /** Sets whether the store answers this daemon. */
  void SetStoreReachable(bool aIsReachable)
  {
    isStoreReachable_ = aIsReachable;
    if (onStoreReachabilityChange_) {
      onStoreReachabilityChange_();
    }
  }
  bool IsStoreReachable() const { return isStoreReachable_; }

  /** Removes servers that stayed missing after an outage, expires peers without
   * recent reports and updates the metrics. */
  void Tick(Time aNow, Time aBootNow);

  /** Sets the callback for the loss and the recovery of the store. */
  void SetStoreReachabilityHandler(std::function<void()> aHandler)
  {
    onStoreReachabilityChange_ = std::move(aHandler);
  }
  /** Sets the callback for a backend server that starts to leave. */
  void SetServerLeavingHandler(
    std::function<void(const BackendServerId&)> aHandler)
  {
    onServerLeaving_ = std::move(aHandler);
  }
  /** Sets the callback for changes of the load or of the list of servers. */
  void SetLoadChangeHandler(std::function<void()> aHandler)
  {
    onLoadChange_ = std::move(aHandler);
  }
  /** Sets the callback for a generation that this daemon has placed. Plain
   * calls are too short and too frequent for an immediate report. */
  void SetGenerationPlacedHandler(std::function<void()> aHandler)
  {
    onGenerationPlaced_ = std::move(aHandler);
  }
  /** Sets the callback for an answer that acquits a fingerprint which
   * other daemons suspect. */
  void SetPromptCorrectionHandler(std::function<void()> aHandler)
  {
    onCorrection_ = std::move(aHandler);
  }
  /** Sets the callback that sends messages about permits. */
  void SetPermitMessageHandler(
    std::function<void(const std::vector<PermitMessage>&)> aHandler)
  {
    onPermitMessages_ = std::move(aHandler);
  }
  void NotifyRunPlaced(RunId aRun)
  {
    const RunDescription* run = loadTracker_.FindRun(aRun);
    const bool isGeneration =
      run != nullptr && run->kind_ == CallKind::Generation;
    if (isGeneration && onGenerationPlaced_) {
      onGenerationPlaced_();
    }
  }
  void NotifyLoadChanged()
  {
    if (onLoadChange_) {
      onLoadChange_();
    }
  }

private:
  std::optional<EngineTraits> FindEngineTraits(const PoolName& aPool) const;
  void ApplyRegistration(const ServerRecord& aRecord, Time aNow);
  void RemoveServer(const BackendServerId& aId,
                    std::string_view aReason,
                    Time aNow);
  void MarkLeaving(const BackendServerId& aId, Time aNow);
  void ApplyEvacuationChange(const ZoneEvacuationChange& aChange, Time aNow);
  /** @returns the time that a server of the pool needs to become warm; 0 if
   * cold servers are not limited. */
  Duration GetWarmUpTime(const PoolName& aPool) const;
  /** Limits a cold server, if the settings and the tables ask for that. */
  void LimitWarmUp(const BackendServerId& aServer,
                   Duration aRemaining,
                   std::string_view aSource,
                   Time aNow);
  /** Applies that a server drains by a notice from outside the store. */
  void ApplyDraining(const BackendServerId& aServer,
                     std::string_view aSource,
                     Time aNow);
  void LogQuarantineEvents(Time aNow);
  void SetQuarantineMetrics();
  void LogLimitChanges();

  DecisionLog& log_;
  ServingMetrics& metrics_;
  ServingTablesPtr tables_;
  ServerDirectory directory_;
  ServerLoadTracker loadTracker_;
  ZoneEvacuations evacuations_;
  RetryAllowance retryBudget_;
  RequestQuarantine quarantine_;
  ServerLimiter limiter_;
  KeyFreshness keyFreshness_;
  std::optional<WarmUpBound> warmUpBound_;
  Time pacesUpdatedAt_;
  bool requiresCustomers_;
  /** The newest version of the tables that a peer has reported. */
  std::uint64_t peerVersion_ = 0;
  bool areStoreTablesOutdated_ = false;
  /** The tables that were rejected last; they are logged once. */
  std::uint64_t rejectedVersion_ = 0;
  std::string rejectionReason_;
  std::map<BackendServerId, Time> leavingSince_;
  bool isStoreReachable_ = true;
  std::function<void(const BackendServerId&)> onServerLeaving_;
  std::function<void()> onLoadChange_;
  std::function<void()> onStoreReachabilityChange_;
  std::function<void()> onGenerationPlaced_;
  std::function<void()> onCorrection_;
  std::function<void(const std::vector<PermitMessage>&)> onPermitMessages_;
};

} // namespace azurecross
