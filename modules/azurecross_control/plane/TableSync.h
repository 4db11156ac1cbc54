#pragma once

#include "ControlSettings.h"
#include "PeerBridge.h"

#include <azurecross_core/azurecross_core.h>
#include <azurecross_store/azurecross_store.h>
#include <azurecross_tables/azurecross_tables.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace azurecross {

/**
 * Keeps the tables of this entry at the newest revision: by a watch on the
 * store where this entry watches for its zone, else from peers. Runs on the
 * control thread.
 *
 * An entry that has no tables, or that has not caught up with its peers for
 * `kPeerPatience`, reads the store itself.
 */
class TableSync
{
public:
  using ActivateHandler = std::function<void(Tables::Version)>;

  /** How long an entry waits for its peers before it asks the store. */
  static constexpr Duration kPeerPatience = std::chrono::seconds(2);
  /** A first snapshot is held this long, so that peers can tell of a newer
   * revision before an older one of a restored store takes effect. */
  static constexpr Duration kStartHold = std::chrono::seconds(1);
  static constexpr Duration kRequestInterval = std::chrono::milliseconds(300);

  TableSync(boost::asio::io_context& aContext,
            const ControlSettings& aSettings,
            PeerBridge& aPeers,
            Metrics& aMetrics,
            ActivateHandler aActivate);

  void Tick(Time aNow);
  /** Takes a message about tables; @returns false for other messages. */
  bool Receive(const wire::PeerMessage& aMessage);
  void Stop();

  const ConfigurationState& GetState() const { return state_; }
  EtcdClient& GetStore() { return store_; }
  const EtcdClient& GetStore() const { return store_; }

private:
  using Watcher = StoreWatcher<EtcdClient>;

  bool NeedsStore(Time aNow) const;
  void StartWatcher();
  void StopWatcher();
  void TakeSnapshot(const TableSnapshot& aSnapshot);
  bool TakeEvents(const TableEvents& aEvents);
  void TakeOutcome(const ConfigurationOutcome& aOutcome,
                   std::string_view aSource);
  void AskPeer(Time aNow);
  void Answer(const EntryId& aSender, const wire::TableRequest& aRequest);
  void TakeUpdate(const wire::TableDelta& aDelta);
  void LogAudit(const TableRevision& aRevision, std::string_view aSource);

  boost::asio::io_context& context_;
  const ControlSettings& settings_;
  PeerBridge& peers_;
  ActivateHandler activate_;
  ConfigurationState state_;
  EtcdClient store_;
  std::shared_ptr<Watcher> watcher_;
  std::optional<TableSnapshot> heldSnapshot_;
  Random random_;
  Time start_;
  Time behindSince_;
  Time lastRequest_;
  prometheus::Gauge& revisionGauge_;
  prometheus::Counter& refusals_;
  prometheus::Counter& storeFailures_;
  bool isStopped_ = false;
};

} // namespace azurecross
