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
 * What one daemon believes: the tables in force, the backend servers and their
 * load, and how fresh the tables are. Soft state: all of it comes back from
 * the store and the other daemons after a restart.
 */
class ServingState
{
public:
  ServingState(const ServingSettings& aSettings,
               DecisionLog& aLog,
               ServingMetrics& aMetrics);

  ServingState(const ServingState&) = delete;
  ServingState& operator=(const ServingState&) = delete;

  /** @returns the tables in force; null before the first ones. */
  const ServingTablesPtr& GetTables() const { return tables_; }
  LoadBoard& GetLoadBoard() { return board_; }
  RetryAllowance& GetRetryBudget() { return retries_; }
  const KeyFreshness& GetKeyFreshness() const { return freshness_; }

  /** @returns whether requests can be served: there are tables, and they are
   * fresh enough for keys if keys are needed. */
  bool IsServing(Time aBootNow) const;

  /** Applies tables that are newer than those in force. */
  void ApplyTables(std::optional<ServingTables::Content> aContent, Time aNow);
  /** Takes the proof that the tables in force are the newest.
   * @param aSentAt boot time at which the proving read was sent. */
  void ConfirmTables(Time aSentAt);

  /** Takes a whole listing. What it lacks is gone, or unconfirmed after an
   * outage of the store. */
  void ApplyServerList(const std::vector<ServerEvent>& aServers,
                       bool aIsAfterOutage,
                       Time aNow);
  void ApplyServerEvents(const std::vector<ServerEvent>& aEvents,
                         bool aIsAfterOutage,
                         Time aNow);

  /** Takes word of a leaving server from another daemon or the server itself,
   * which counts only while the store does not answer. */
  void HandleLeavingNotice(const BackendServerId& aServer,
                           std::string_view aSource,
                           Time aNow);
  /** @returns the servers that began to leave lately, for other daemons. */
  std::vector<BackendServerId> GetLeavingServers() const;

  /** Whether this daemon hears from the store. */
  void SetStoreReachable(bool aIsReachable)
  {
    isStoreReachable_ = aIsReachable;
    if (onStoreChange_) {
      onStoreChange_();
    }
  }
  bool IsStoreReachable() const { return isStoreReachable_; }

  /** Removes what stayed missing and forgets silent peers. */
  void Tick(Time aNow, Time aBootNow);

  /** Sets what is called when the store is lost or answers again. */
  void SetStoreReachabilityHandler(std::function<void()> aHandler)
  {
    onStoreChange_ = std::move(aHandler);
  }
  /** Sets what is called when a backend server begins to leave. */
  void SetServerLeavingHandler(
    std::function<void(const BackendServerId&)> aHandler)
  {
    onLeaving_ = std::move(aHandler);
  }
  /** Sets what is called when the load or the list of servers has changed. */
  void SetLoadChangeHandler(std::function<void()> aHandler)
  {
    onLoad_ = std::move(aHandler);
  }
  /** Sets what is called when this daemon has placed a generation. Plain calls
   * are too short and too many to be told at once. */
  void SetGenerationPlacedHandler(std::function<void()> aHandler)
  {
    onPlaced_ = std::move(aHandler);
  }
  void NotifyRunPlaced(RunNumber aRun)
  {
    const RunDescription* run = board_.FindRun(aRun);
    const bool isGeneration =
      run != nullptr && run->kind_ == CallKind::Generation;
    if (isGeneration && onPlaced_) {
      onPlaced_();
    }
  }
  void NotifyLoadChanged()
  {
    if (onLoad_) {
      onLoad_();
    }
  }

private:
  std::optional<EngineTraits> FindEngine(const PoolName& aPool) const;
  void TakeRecord(const ServerRecord& aRecord, Time aNow);
  void TakeRemoval(const BackendServerId& aId,
                   std::string_view aReason,
                   Time aNow);
  void Leave(const BackendServerId& aId, Time aNow);

  DecisionLog& log_;
  ServingMetrics& metrics_;
  ServingTablesPtr tables_;
  ServerDirectory directory_;
  LoadBoard board_;
  RetryAllowance retries_;
  KeyFreshness freshness_;
  std::map<BackendServerId, Time> leavingSince_;
  bool isStoreReachable_ = true;
  std::function<void(const BackendServerId&)> onLeaving_;
  std::function<void()> onLoad_;
  std::function<void()> onStoreChange_;
  std::function<void()> onPlaced_;
};

} // namespace azurecross
