#include "ServingFixture.h"

#include "azurecross_serving/peers/LoadReport.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

/** The state of one daemon without network connections. */
struct StateFixture
{
  Metrics registry_;
  DecisionLog log_;
  ServingMetrics metrics_{ registry_ };
  ServingSettings settings_;
  ServingState state_{ settings_, log_, metrics_ };
  std::vector<std::string> leaving_;

  StateFixture()
  {
    state_.SetServerLeavingHandler([this](const BackendServerId& aServer) {
      leaving_.push_back(aServer.GetValue());
    });
  }

  static ServerEvent MakeEvent(const std::string& aId, ServerState aState)
  {
    ServerRecord record;
    record.id_ = BackendServerId(aId);
    record.pool_ = PoolName("engines");
    record.state_ = aState;
    return { record.id_, record, "" };
  }
};

constexpr Time kNow = Time(std::chrono::seconds(100));

} // namespace

// A server that first drains and is then removed must be reported as leaving
// exactly once.
BOOST_FIXTURE_TEST_CASE(LeavingServerIsReportedOnce, StateFixture)
{
  state_.ApplyServerEvents(
    { MakeEvent("e1", ServerState::Ready) }, false, kNow);
  state_.ApplyServerEvents(
    { MakeEvent("e1", ServerState::Draining) }, false, kNow);
  state_.ApplyServerEvents(
    { { BackendServerId("e1"), std::nullopt, "" } }, false, kNow);
  BOOST_TEST(leaving_ == std::vector<std::string>{ "e1" },
             boost::test_tools::per_element());
  BOOST_TEST(state_.GetLeavingServers().size() == 1U);
}

// Guards against keys that stay valid after they were removed: a store that
// was restored from a backup holds older tables than this daemon or its peers.
BOOST_FIXTURE_TEST_CASE(OlderTablesOfTheStoreConfirmNothing, StateFixture)
{
  const auto isFresh = [&] {
    return state_.GetKeyFreshness().IsFresh(ReadBootTime());
  };
  state_.ApplyTables(ServingFixture::MakeTables(5), kNow);
  state_.ConfirmTables(4, ReadBootTime());
  BOOST_TEST(!isFresh());
  state_.RecordPeerVersion(6);
  state_.ConfirmTables(5, ReadBootTime());
  BOOST_TEST(!isFresh());
  state_.ApplyTables(ServingFixture::MakeTables(6), kNow);
  state_.ConfirmTables(6, ReadBootTime());
  BOOST_TEST(isFresh());
}

// A version without the customers of the one before must not let in everybody,
// and no version may confirm the keys of another one.
BOOST_FIXTURE_TEST_CASE(TablesWithoutTheirCustomersAreRejected, StateFixture)
{
  const auto isFresh = [&] {
    return state_.GetKeyFreshness().IsFresh(ReadBootTime());
  };
  ServingTables::Content tables = ServingFixture::MakeTables(5);
  tables.customers_.emplace();
  state_.ApplyTables(tables, kNow);
  state_.ApplyTables(ServingFixture::MakeTables(6), kNow);
  BOOST_TEST(state_.GetTables()->GetVersion() == 5U);
  BOOST_TEST(state_.GetTables()->NeedApiKeys());
  state_.ConfirmTables(6, ReadBootTime());
  BOOST_TEST(!isFresh());
  BOOST_TEST(!state_.IsServing(ReadBootTime()));
  tables.version_ = 7;
  state_.ApplyTables(tables, kNow);
  state_.ConfirmTables(7, ReadBootTime());
  BOOST_TEST(isFresh());
}

// A daemon that has just started must not let in everybody either.
BOOST_FIXTURE_TEST_CASE(FirstTablesNeedTheirCustomers, StateFixture)
{
  state_.SetRequiresCustomers(true);
  state_.ApplyTables(ServingFixture::MakeTables(5), kNow);
  state_.ConfirmTables(5, ReadBootTime());
  BOOST_TEST((state_.GetTables() == nullptr));
  BOOST_TEST(!state_.IsServing(ReadBootTime()));
  state_.SetRequiresCustomers(false);
  state_.ApplyTables(ServingFixture::MakeTables(6), kNow);
  BOOST_TEST(state_.IsServing(ReadBootTime()));
}

// A server that drains must get no requests because the store came back from a
// backup in which its registration is older.
BOOST_FIXTURE_TEST_CASE(RestoredRegistrationDoesNotEndTheDrain, StateFixture)
{
  const auto makeEvent = [](ServerState aState) {
    ServerEvent event = MakeEvent("e1", aState);
    event.record_->startedUnixMs_ = 1;
    return event;
  };
  const auto getState = [this] {
    return state_.GetLoadTracker().Find(BackendServerId("e1"))->record_.state_;
  };
  state_.ApplyServerList({ makeEvent(ServerState::Ready) }, false, kNow);
  state_.ApplyServerEvents({ makeEvent(ServerState::Draining) }, false, kNow);
  state_.ApplyServerList({ makeEvent(ServerState::Ready) }, true, kNow);
  BOOST_CHECK(getState() == ServerState::Draining);
  BOOST_TEST(leaving_.size() == 1U);
}

// Leaving notices from other daemons must not override the store while it is
// reachable.
BOOST_FIXTURE_TEST_CASE(LeavingNoticesAreIgnoredWhileTheStoreIsReachable,
                        StateFixture)
{
  state_.ApplyServerEvents(
    { MakeEvent("e1", ServerState::Ready) }, false, kNow);
  state_.HandleLeavingNotice(BackendServerId("e1"), "d2", kNow);
  BOOST_TEST(leaving_.empty());
  state_.SetStoreReachable(false);
  state_.HandleLeavingNotice(BackendServerId("e1"), "d2", kNow);
  BOOST_TEST(leaving_.size() == 1U);
}

// Guards against the removal of live servers whose registrations expired during
// an outage of the store.
BOOST_FIXTURE_TEST_CASE(MissingServersAreKeptAfterAnOutage, StateFixture)
{
  state_.ApplyServerEvents(
    { MakeEvent("e1", ServerState::Ready) }, false, kNow);
  state_.ApplyServerList({}, true, kNow);
  BOOST_TEST(state_.GetLoadTracker().Find(BackendServerId("e1")) != nullptr);
  state_.Tick(kNow + std::chrono::milliseconds(2100), kNow);
  BOOST_TEST(state_.GetLoadTracker().Find(BackendServerId("e1")) == nullptr);
}

// Guards against fields lost between formatting and parsing a report, and
// against malformed reports.
BOOST_AUTO_TEST_CASE(LoadReportIsParsedAsFormatted)
{
  LoadReport report;
  report.sender_ = "10.0.0.1:7200";
  report.uses_ = { { BackendServerId("e1"), 2, 7000.0, 300.0 } };
  report.leaving_ = { BackendServerId("e2") };
  report.hasStoreAccess_ = false;
  report.zone_ = "a";
  report.scope_ = LoadScope::Zone;
  report.daemonCount_ = 39;
  ReportedStatistics reportedStatistics;
  reportedStatistics.server_ = BackendServerId("e9");
  reportedStatistics.statistics_.secondsPerPromptToken_.Add(0.000125);
  reportedStatistics.statistics_.failureShare_.Add(1.0);
  reportedStatistics.statistics_.failureShare_.Add(0.0);
  report.findings_ = { reportedStatistics };
  const Time now = Time(std::chrono::seconds(100));
  const Time died = now - std::chrono::milliseconds(250);
  report.evidence_ = {
    { 0xfedcba9876543210U, { { BackendServerId("e1"), 77, died } }, {} },
    { 0x1fU, {}, now },
    { { FingerprintKind::Request, 0x1fU },
      { { BackendServerId("s1"), 78, died } },
      {} }
  };
  const auto parsed = ParseLoadReport(FormatLoadReport(report, now), now);
  BOOST_REQUIRE(parsed.has_value());
  const ServerStatistics& statistics = parsed->findings_->back().statistics_;
  BOOST_TEST(std::abs(statistics.secondsPerPromptToken_.sum_ - 0.000125) <
             1e-6);
  BOOST_TEST(statistics.failureShare_.sum_ == 1.0);
  BOOST_TEST(statistics.failureShare_.weight_ == 2.0);
  BOOST_TEST(statistics.secondsPerCall_.weight_ == 0.0);
  BOOST_TEST(parsed->sender_ == report.sender_);
  BOOST_TEST(parsed->zone_ == "a");
  BOOST_TEST((parsed->scope_ == LoadScope::Zone));
  BOOST_TEST(parsed->daemonCount_ == 39U);
  BOOST_TEST(parsed->uses_[0].runs_ == 2U);
  BOOST_TEST(parsed->uses_[0].memoryTokens_ == 7000.0);
  BOOST_TEST(parsed->uses_[0].pendingPromptTokens_ == 300.0);
  BOOST_TEST(parsed->leaving_.size() == 1U);
  BOOST_TEST(!parsed->hasStoreAccess_);
  BOOST_REQUIRE(parsed->evidence_.size() == 3U);
  const FingerprintEvidence& evidence = parsed->evidence_[0];
  BOOST_TEST(evidence.fingerprint_ == 0xfedcba9876543210U);
  BOOST_REQUIRE(evidence.deaths_.size() == 1U);
  BOOST_TEST(evidence.deaths_[0].server_ == BackendServerId("e1"));
  BOOST_TEST(evidence.deaths_[0].startedUnixMs_ == 77);
  BOOST_TEST((evidence.deaths_[0].at_ == died));
  BOOST_TEST(!evidence.soundAt_.has_value());
  BOOST_TEST((parsed->evidence_[1].soundAt_ == now));
  BOOST_TEST(parsed->evidence_[2].fingerprint_ ==
             Fingerprint(FingerprintKind::Request, 0x1f));
  for (
    const char* text :
    { "",
      "{}",
      "[]",
      "{\"sender\":\"a\",\"uses\":[[1,2]]}",
      "\xff",
      R"({"sender":"a","uses":[],"prompt_evidence":[["1f",null]]})",
      R"({"sender":"a","uses":[],"prompt_evidence":[["x",null,[]]]})",
      R"({"sender":"a","uses":[],"request_evidence":[["x",null,[]]]})",
      R"({"sender":"a","uses":[],"prompt_evidence":[["1f",-1,[]]]})",
      R"({"sender":"a","uses":[],"prompt_evidence":[["1f",null,[["e",1]]]]})" }) {
    BOOST_TEST(!ParseLoadReport(text, Time()).has_value());
  }
}

// Guards against load reports that all daemons drop because a part of a prompt
// has been fatal for more than a day.
BOOST_AUTO_TEST_CASE(OldDeathLeavesTheLoadReportValid)
{
  const Time now = Time(std::chrono::hours(100));
  const Time first = now - std::chrono::hours(25);
  const Time newest = now - std::chrono::minutes(20);
  LoadReport report;
  report.sender_ = "10.0.0.1:7200";
  report.leaving_ = { BackendServerId("e2") };
  report.evidence_ = { { 0xbad,
                         { { BackendServerId("e1"), 77, first },
                           { BackendServerId("e3"), 78, newest } },
                         {} } };
  const auto parsed = ParseLoadReport(FormatLoadReport(report, now), now);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->leaving_.size() == 1U);
  BOOST_REQUIRE(parsed->evidence_.size() == 1U);
  const std::vector<ServerDeath>& deaths = parsed->evidence_[0].deaths_;
  BOOST_REQUIRE(deaths.size() == 2U);
  BOOST_TEST(deaths[0].startedUnixMs_ == 77);
  BOOST_TEST((deaths[0].at_ < newest));
  BOOST_TEST((deaths[1].at_ == newest));
}

namespace {

/** The state of a daemon whose deployment limits cold servers, or not. */
struct ColdServerState
{
  explicit ColdServerState(bool aIsLimited)
  {
    if (aIsLimited) {
      settings_.warmUpBound_ = WarmUpBound{ 1.5, 5.0 };
    }
    state_.emplace(settings_, log_, metrics_);
    ServingTables::Content tables;
    tables.version_ = 1;
    ServingPool pool;
    pool.name_ = PoolName("engines");
    pool.warmUp_ = PoolWarmUp{ std::chrono::seconds(1), 27.0 };
    tables.pools_ = { pool };
    state_->ApplyTables(std::move(tables), kNow);
  }

  void Register(Duration aRemainingWarmUp)
  {
    ServerRecord record;
    record.id_ = BackendServerId("e1");
    record.pool_ = PoolName("engines");
    record.zone_ = AvailabilityZone("a");
    record.remainingWarmUp_ = aRemainingWarmUp;
    record.sequence_ = ++sequence_;
    state_->ApplyServerEvents({ { record.id_, record, "" } }, false, kNow);
  }
  std::size_t CountCold() { return state_->GetLimiter().CountCold(); }

  Metrics registry_;
  DecisionLog log_;
  ServingMetrics metrics_{ registry_ };
  ServingSettings settings_;
  std::optional<ServingState> state_;
  std::uint64_t sequence_ = 0;
};

} // namespace

// Guards against a cold server that is not limited, whichever way this daemon
// learns that it is cold.
BOOST_AUTO_TEST_CASE(ColdServersAreLimited)
{
  const BackendServerId server("e1");
  ColdServerState registered(true);
  registered.Register(Duration::zero());
  BOOST_TEST(registered.CountCold() == 0U);
  registered.Register(std::chrono::milliseconds(900));
  BOOST_TEST(registered.CountCold() == 1U);

  ColdServerState told(true);
  told.Register(Duration::zero());
  told.state_->RecordServerWarmUp(server, std::chrono::seconds(1), kNow);
  BOOST_TEST(told.CountCold() == 1U);

  // Its registration can't tell that it starts again.
  ColdServerState unreachable(true);
  unreachable.Register(Duration::zero());
  for (const bool isStoreReachable : { true, false }) {
    unreachable.state_->SetStoreReachable(isStoreReachable);
    const RunId run = unreachable.state_->GetLoadTracker().Start(
      { server, RouteName(), CustomerId(), CallKind::Generation, {}, 0, kNow });
    unreachable.state_->FinishRun(run, RunOutcome::Unreachable, kNow);
    BOOST_TEST(unreachable.CountCold() == (isStoreReachable ? 0U : 1U));
  }

  ColdServerState takenBack(true);
  takenBack.Register(Duration::zero());
  const AvailabilityZone zone("a");
  takenBack.state_->ApplyEvacuatedZones({ { zone }, 0, 1 }, kNow);
  BOOST_TEST(takenBack.CountCold() == 0U);
  BOOST_TEST(takenBack.state_->MayResumeAt(server, kNow));
  BOOST_TEST(
    !takenBack.state_->MayResumeAt(server, kNow + std::chrono::seconds(3)));
  takenBack.state_->ApplyEvacuatedZones({ {}, 0, 2 }, kNow);
  BOOST_TEST(takenBack.CountCold() == 1U);
}

// Guards against limits in deployments that don't ask for them.
BOOST_AUTO_TEST_CASE(ColdServersAreNotLimitedWithoutABound)
{
  ColdServerState state(false);
  state.Register(std::chrono::milliseconds(900));
  state.state_->RecordServerWarmUp(
    BackendServerId("e1"), std::chrono::seconds(1), kNow);
  BOOST_TEST(state.CountCold() == 0U);
}

} // namespace azurecross
