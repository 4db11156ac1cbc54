#include "TableSync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Part of the table requests that go to a random member. */
constexpr double kRandomPeerShare = 0.25;

EtcdClientSettings
MakeStoreSettings(const ControlSettings& aSettings)
{
  EtcdClientSettings settings;
  settings.addresses_ = aSettings.store_;
  return settings;
}

} // namespace

TableSync::TableSync(asio::io_context& aContext,
                     const ControlSettings& aSettings,
                     PeerBridge& aPeers,
                     Metrics& aMetrics,
                     ActivateHandler aActivate)
  : context_(aContext)
  , settings_(aSettings)
  , peers_(aPeers)
  , activate_(std::move(aActivate))
  , store_(aContext.get_executor(), MakeStoreSettings(aSettings))
  , random_(DrawSystemSeed())
  , start_(ReadMonotonicTime())
  , behindSince_(start_)
  , lastRequest_(start_)
  , revisionGauge_(aMetrics.GetGauge("azurecross_table_revision",
                                     "Revision of the tables in force."))
  , refusals_(
      aMetrics.GetCounter("azurecross_table_refusals_total",
                          "Snapshots and edits that were not taken over."))
  , storeFailures_(aMetrics.GetCounter("azurecross_store_failures_total",
                                       "Failed calls of the store."))
{
}

void
TableSync::Tick(Time aNow)
{
  if (isStopped_) {
    return;
  }
  const auto highest =
    static_cast<std::int64_t>(peers_.GetView().GetHighestRevision());
  if (highest > state_.GetKnownRevision().number_) {
    TableRevision known;
    known.number_ = highest;
    state_.NoteKnownRevision(known);
  }
  const bool isBehind = highest > state_.GetRevision().number_;
  if (!isBehind) {
    behindSince_ = aNow;
  } else if (aNow - lastRequest_ >= kRequestInterval) {
    AskPeer(aNow);
  }
  if (heldSnapshot_ && aNow - start_ >= kStartHold) {
    const TableSnapshot snapshot = *std::move(heldSnapshot_);
    heldSnapshot_.reset();
    TakeSnapshot(snapshot);
  }
  const bool needsStore = NeedsStore(aNow);
  if (needsStore && watcher_ == nullptr) {
    StartWatcher();
  } else if (!needsStore && watcher_ != nullptr) {
    StopWatcher();
  }
}

bool
TableSync::NeedsStore(Time aNow) const
{
  const bool hasTables = state_.GetTables() != nullptr;
  return peers_.GetMembership().IsWatcher() ||
         (!hasTables && aNow - start_ >= kPeerPatience) ||
         aNow - behindSince_ >= kPeerPatience;
}

void
TableSync::StartWatcher()
{
  StoreWatchHandlers handlers;
  handlers.getRevision_ = [this] { return state_.GetRevision().number_; };
  handlers.takeSnapshot_ = [this](const TableSnapshot& aSnapshot) {
    TakeSnapshot(aSnapshot);
  };
  handlers.takeEvents_ = [this](const TableEvents& aEvents) {
    return TakeEvents(aEvents);
  };
  handlers.noteFailure_ = [this](const Error& aError) {
    storeFailures_.Increment();
    WriteLog(
      LogLevel::Warning, "store call failed", { { "error", aError.message_ } });
  };
  watcher_ = std::make_shared<Watcher>(store_, std::move(handlers));
  asio::co_spawn(
    context_, [watcher = watcher_] { return watcher->Run(); }, asio::detached);
}

void
TableSync::StopWatcher()
{
  watcher_->Stop();
  watcher_.reset();
}

void
TableSync::Stop()
{
  isStopped_ = true;
  if (watcher_ != nullptr) {
    StopWatcher();
  }
}

void
TableSync::TakeSnapshot(const TableSnapshot& aSnapshot)
{
  const bool isFirst = state_.GetTables() == nullptr;
  const bool mayHavePeers = !settings_.seedPeers_.empty();
  if (isFirst && mayHavePeers && ReadMonotonicTime() - start_ < kStartHold) {
    heldSnapshot_ = aSnapshot;
    return;
  }
  TakeOutcome(state_.ApplySnapshot(aSnapshot), "store");
}

bool
TableSync::TakeEvents(const TableEvents& aEvents)
{
  if (!aEvents.problem_.empty()) {
    WriteLog(LogLevel::Warning,
             "store event not understood",
             { { "error", aEvents.problem_ } });
    return false;
  }
  for (const std::string& key : aEvents.strayKeys_) {
    refusals_.Increment();
    WriteLog(LogLevel::Error,
             "row written without an edit; it is not in force",
             { { "key", key } });
  }
  if (aEvents.deltas_.empty()) {
    return true;
  }
  const ConfigurationOutcome outcome = state_.ApplyDeltas(aEvents.deltas_);
  TakeOutcome(outcome, "store");
  return outcome.verdict_ != ConfigurationVerdict::Gap;
}

void
TableSync::TakeOutcome(const ConfigurationOutcome& aOutcome,
                       std::string_view aSource)
{
  if (!aOutcome.message_.empty()) {
    refusals_.Increment();
    WriteLog(
      LogLevel::Error,
      "tables not taken over; the last valid revision stays in force",
      { { "reason", kConfigurationVerdictNames.FindName(aOutcome.verdict_) },
        { "error", aOutcome.message_ },
        { "source", aSource } });
  }
  if (aOutcome.tables_ == nullptr) {
    return;
  }
  LogAudit(aOutcome.tables_->GetRevision(), aSource);
  const std::int64_t number = aOutcome.tables_->GetRevision().number_;
  revisionGauge_.Set(static_cast<double>(number));
  peers_.GetView().SetTableRevision(static_cast<std::uint64_t>(number));
  activate_(aOutcome.tables_);
}

void
TableSync::LogAudit(const TableRevision& aRevision, std::string_view aSource)
{
  WriteLog(LogLevel::Info,
           "tables in force",
           { { "revision", aRevision.number_ },
             { "edit_id", aRevision.editId_ },
             { "parent_edit_id", aRevision.parentEditId_ },
             { "source", aSource } });
}

void
TableSync::AskPeer(Time aNow)
{
  lastRequest_ = aNow;
  const Membership& membership = peers_.GetMembership();
  const std::vector<Member> members = membership.ListPeers();
  if (members.empty()) {
    return;
  }
  // The peer that announced the revision has it. A random member is asked now
  // and then, in case that one has gone.
  EntryId target = membership.GetRevisionHolder();
  if (target.GetValue().empty() || random_.DrawUnit() < kRandomPeerShare) {
    target = members[random_.DrawBelow(members.size())].entry_;
  }
  if (target == settings_.entryId_) {
    return;
  }
  wire::PeerMessage message;
  auto* request = message.mutable_table_request();
  request->set_have_revision(
    static_cast<std::uint64_t>(state_.GetRevision().number_));
  request->set_edit_id(state_.GetRevision().editId_);
  peers_.Send(target, std::move(message));
}

bool
TableSync::Receive(const wire::PeerMessage& aMessage)
{
  if (aMessage.has_table_request()) {
    Answer(EntryId(aMessage.sender()), aMessage.table_request());
    return true;
  }
  if (aMessage.has_table_delta()) {
    TakeUpdate(aMessage.table_delta());
    return true;
  }
  return false;
}

void
TableSync::Answer(const EntryId& aSender, const wire::TableRequest& aRequest)
{
  TableRevision from;
  from.number_ = static_cast<std::int64_t>(aRequest.have_revision());
  from.editId_ = aRequest.edit_id();
  const auto update = state_.MakeDelta(from);
  if (!update) {
    return;
  }
  wire::PeerMessage message;
  auto* delta = message.mutable_table_delta();
  delta->set_to_revision(
    static_cast<std::uint64_t>(state_.GetRevision().number_));
  delta->set_update(SerializeTableUpdate(*update));
  peers_.Send(aSender, std::move(message));
}

void
TableSync::TakeUpdate(const wire::TableDelta& aDelta)
{
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(update, ParseTableUpdate(aDelta.update()));
      TakeOutcome(state_.ApplyPeerUpdate(update), "peer");
      return {};
    },
    [this](const Error& aError) {
      refusals_.Increment();
      WriteLog(LogLevel::Warning,
               "table update of a peer refused",
               { { "error", aError.message_ } });
    },
    [] {});
}

} // namespace azurecross
