#include "TestTables.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

namespace azurecross {

namespace {

using Outcome = ConfigurationVerdict;

std::vector<RowChange>
AddRoute(const std::string& aName)
{
  return { SetRoute(MakeRoute(aName, "engines")) };
}

/** A store with two revisions and an entry that has them in force. */
struct Fixture
{
  Fixture()
  {
    store_.Edit("e1", { SetPool(MakePool("engines")) });
    store_.Edit("e2", AddRoute("a"));
    state_.ApplySnapshot(store_.Read());
  }

  Outcome ApplySnapshot()
  {
    return state_.ApplySnapshot(store_.Read(state_.GetRevision())).verdict_;
  }

  TestStore store_;
  ConfigurationState state_;
};

/** @returns an update as a peer receives it. */
TableUpdate
Transmit(const TableUpdate& aUpdate)
{
  auto update = CaptureResult(
    [&] { return ParseTableUpdate(SerializeTableUpdate(aUpdate)); });
  BOOST_REQUIRE(update.has_value());
  return std::move(*update);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationStateTests, Fixture)

// Guards against an accepted edit that does not take effect.
BOOST_AUTO_TEST_CASE(HigherRevisionsAreActivated)
{
  BOOST_TEST(state_.GetRevision().number_ == 2);
  const auto outcome = state_.ApplyDeltas({ store_.Edit("e3", AddRoute("b")) });
  BOOST_CHECK(outcome.verdict_ == Outcome::Activated);
  BOOST_REQUIRE(outcome.tables_ != nullptr);
  BOOST_TEST(outcome.tables_->GetRoutes().size() == 2U);
  BOOST_CHECK(ApplySnapshot() == Outcome::Unchanged);
}

// Guards against a stale read, or a store restored from a backup, that reverts
// accepted changes.
BOOST_AUTO_TEST_CASE(OlderStoreIsRefused)
{
  const TestStore backup = store_;
  state_.ApplyDeltas({ store_.Edit("e3", AddRoute("b")) });
  store_ = backup;
  BOOST_CHECK(ApplySnapshot() == Outcome::Older);
  BOOST_TEST(state_.GetRevision().number_ == 3);
  BOOST_REQUIRE(state_.GetRefusal().has_value());
  BOOST_TEST(state_.GetRefusal()->message_ ==
             "offered revision 2 (edit e2), but in force is revision 3 "
             "(edit e3)");
}

// Guards against a restored store that has grown past the revision in force.
BOOST_AUTO_TEST_CASE(ForkedStoreIsRefused)
{
  const TestStore backup = store_;
  state_.ApplyDeltas({ store_.Edit("e3", AddRoute("b")) });
  store_ = backup;
  const TableDelta delta = store_.Edit("x3", AddRoute("c"));
  BOOST_CHECK(ApplySnapshot() == Outcome::Forked);
  BOOST_CHECK(state_.ApplyDeltas({ delta }).verdict_ == Outcome::Forked);
  const TableDelta next = store_.Edit("x4", AddRoute("d"));
  BOOST_CHECK(ApplySnapshot() == Outcome::Forked);
  BOOST_CHECK(state_.ApplyDeltas({ next }).verdict_ == Outcome::Forked);
  store_.Edit("x5", AddRoute("e"));
  BOOST_CHECK(ApplySnapshot() == Outcome::Forked);
  BOOST_TEST(state_.GetRevision().editId_ == "e3");
}

// Guards against a recovered store that the entries never accept.
BOOST_AUTO_TEST_CASE(RecoveredStoreIsAccepted)
{
  const TestStore backup = store_;
  state_.ApplyDeltas({ store_.Edit("e3", AddRoute("b")) });
  store_ = backup;
  EditRequest request;
  request.author_ = "ola";
  request.editId_ = "e4";
  request.changes_ = AddRoute("b");
  request.knownRevision_ = state_.GetRevision();
  request.recoversStore_ = true;
  const auto plan =
    CaptureResult([&] { return EditPlan::Make(store_.Read(), request); });
  BOOST_REQUIRE(plan.has_value());
  store_.snapshot_.rows_.Apply(request.changes_);
  store_.snapshot_.revision_ = plan->GetAudit().revision_;
  BOOST_CHECK(ApplySnapshot() == Outcome::Activated);
  BOOST_TEST(state_.GetRevision().number_ == 4);
}

// Guards against a restart that brings back tables older than those of a peer.
BOOST_AUTO_TEST_CASE(RestartedEntryTakesNothingOlderThanItsPeers)
{
  ConfigurationState restarted;
  restarted.NoteKnownRevision({ 3, "e3", "e2", 0 });
  BOOST_CHECK(restarted.ApplySnapshot(store_.Read()).verdict_ ==
              Outcome::Older);
  BOOST_TEST(restarted.GetTables() == nullptr);
  store_.Edit("x3", AddRoute("b"));
  BOOST_CHECK(restarted.ApplySnapshot(store_.Read()).verdict_ ==
              Outcome::Forked);
}

// Guards against invalid tables in force.
BOOST_AUTO_TEST_CASE(InvalidTablesAreKeptOut)
{
  const TableDelta delta =
    store_.Edit("e3", { { TableKind::Pools, "engines", std::nullopt } });
  const auto outcome = state_.ApplyDeltas({ delta });
  BOOST_CHECK(outcome.verdict_ == Outcome::Invalid);
  BOOST_TEST(outcome.message_.find("routes/a: field 'pool'") !=
             std::string::npos);
  BOOST_CHECK(ApplySnapshot() == Outcome::Invalid);
  BOOST_TEST(state_.GetRevision().number_ == 2);
  // The repair does not fit the tables in force and comes with a snapshot.
  const TableDelta repair = store_.Edit("e4", { SetPool(MakePool("engines")) });
  BOOST_CHECK(state_.ApplyDeltas({ repair }).verdict_ == Outcome::Gap);
  BOOST_CHECK(ApplySnapshot() == Outcome::Activated);
  BOOST_TEST(!state_.GetRefusal().has_value());
}

// Guards against a valid edit being dropped with a later invalid one.
BOOST_AUTO_TEST_CASE(ValidStartOfABatchTakesEffect)
{
  const TableDelta good = store_.Edit("e3", AddRoute("b"));
  const TableDelta bad = store_.Edit("e4", { SetRoute(MakeRoute("c", "no")) });
  const auto outcome = state_.ApplyDeltas({ good, bad });
  BOOST_CHECK(outcome.verdict_ == Outcome::Invalid);
  BOOST_REQUIRE(outcome.tables_ != nullptr);
  BOOST_TEST(outcome.tables_->GetRevision().number_ == 3);
}

// Guards against a row written past the tool taking effect, at any time.
BOOST_AUTO_TEST_CASE(RowsWrittenPastTheToolAreKeptOut)
{
  store_.snapshot_.rows_.Apply(SetRoute(MakeRoute("stray", "engines")));
  BOOST_CHECK(ApplySnapshot() == Outcome::Invalid);
  ConfigurationState restarted;
  BOOST_CHECK(restarted.ApplySnapshot(store_.Read()).verdict_ ==
              Outcome::Invalid);
  // An edit that accepts the row changes other rows than its delta says.
  const TableDelta delta = store_.Edit("e3", AddRoute("b"));
  BOOST_CHECK(state_.ApplyDeltas({ delta }).verdict_ == Outcome::Gap);
  BOOST_CHECK(ApplySnapshot() == Outcome::Activated);
}

// Guards against a missed edit.
BOOST_AUTO_TEST_CASE(MissingDeltaIsAGap)
{
  store_.Edit("e3", AddRoute("b"));
  const TableDelta next = store_.Edit("e4", AddRoute("c"));
  BOOST_CHECK(state_.ApplyDeltas({ next }).verdict_ == Outcome::Gap);
  BOOST_CHECK(ApplySnapshot() == Outcome::Activated);
  BOOST_CHECK(state_.ApplyDeltas({ next }).verdict_ == Outcome::Unchanged);
}

// Guards against peers that can't catch up, and against a full copy where a
// delta is enough.
BOOST_AUTO_TEST_CASE(PeerCatchesUpByDeltas)
{
  ConfigurationState peer;
  peer.ApplySnapshot(store_.Read());
  state_.ApplyDeltas({ store_.Edit("e3", AddRoute("b")) });
  store_.Edit("e4", AddRoute("c"));
  store_.Edit("e5", { { TableKind::Routes, "a", std::nullopt } });
  ApplySnapshot();
  const auto update = state_.MakeDelta(peer.GetRevision());
  BOOST_REQUIRE(update.has_value());
  BOOST_REQUIRE(update->index() == 0U);
  BOOST_CHECK(peer.ApplyPeerUpdate(Transmit(*update)).verdict_ ==
              Outcome::Activated);
  BOOST_CHECK(peer.GetRevision() == state_.GetRevision());
  BOOST_TEST(peer.GetTables()->GetRoutes().size() == 2U);
  BOOST_TEST(!state_.MakeDelta(peer.GetRevision()).has_value());
}

// Guards against a new peer left without tables.
BOOST_AUTO_TEST_CASE(NewPeerGetsAllRows)
{
  ConfigurationState peer;
  const auto update = state_.MakeDelta(peer.GetRevision());
  BOOST_REQUIRE(update.has_value());
  BOOST_CHECK(peer.ApplyPeerUpdate(Transmit(*update)).verdict_ ==
              Outcome::Activated);
  BOOST_CHECK(peer.GetRevision() == state_.GetRevision());
}

// Guards against a fork spread by a peer that started from a restored store.
BOOST_AUTO_TEST_CASE(PeerOfAForkIsRefused)
{
  const TestStore backup = store_;
  state_.ApplyDeltas({ store_.Edit("e3", AddRoute("b")) });
  store_ = backup;
  store_.Edit("x3", AddRoute("c"));
  store_.Edit("x4", AddRoute("d"));
  store_.Edit("x5", AddRoute("e"));
  ConfigurationState peer;
  peer.ApplySnapshot(store_.Read());
  const auto update = peer.MakeDelta(state_.GetRevision());
  BOOST_REQUIRE(update.has_value());
  BOOST_CHECK(state_.ApplyPeerUpdate(Transmit(*update)).verdict_ !=
              Outcome::Activated);
  BOOST_TEST(state_.GetRevision().editId_ == "e3");
}

// Guards against memory that grows with each edit.
BOOST_AUTO_TEST_CASE(ChainIsBounded)
{
  ConfigurationState state(DeltaChainLimits{ 4, 100'000 });
  state.ApplySnapshot(store_.Read());
  const TableRevision first = state.GetRevision();
  for (int at = 0; at < 10; ++at) {
    state.ApplyDeltas({ store_.Edit("f" + std::to_string(at),
                                    AddRoute("r" + std::to_string(at))) });
  }
  BOOST_TEST(state.MakeDelta(first)->index() == 1U);
  BOOST_TEST(state.MakeDelta(store_.history_[9])->index() == 0U);
  ConfigurationState small(DeltaChainLimits{ 100, 10 });
  small.ApplySnapshot(store_.Read());
  BOOST_TEST(small.MakeDelta({})->index() == 1U);
}

// Guards against any order of events that lowers the revision or puts other
// rows in force than those of the store at that revision.
BOOST_AUTO_TEST_CASE(RevisionNeverFallsWhateverArrives)
{
  BOOST_TEST(rc::check("random events", [] {
    TestStore store;
    std::vector<TableDelta> deltas{ store.Edit(
      "e1", { SetPool(MakePool("engines")) }) };
    std::vector<TestStore> versions{ store };
    for (int at = 0; at < 12; ++at) {
      const std::string name = "r" + std::to_string(*rc::gen::inRange(0, 4));
      RowChange change = AddRoute(name)[0];
      if (*rc::gen::arbitrary<bool>()) {
        change.value_.reset();
      }
      deltas.push_back(store.Edit("f" + std::to_string(at), { change }));
      versions.push_back(store);
    }
    ConfigurationState state;
    ConfigurationState peer;
    for (int at = 0; at < 40; ++at) {
      const auto which = *rc::gen::inRange<std::size_t>(0, versions.size());
      const std::int64_t before = state.GetRevision().number_;
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          state.ApplySnapshot(versions[which].Read(state.GetRevision()));
          break;
        case 1:
          state.ApplyDeltas({ deltas[which] });
          break;
        default:
          peer.ApplySnapshot(versions[which].Read(peer.GetRevision()));
          if (const auto update = peer.MakeDelta(state.GetRevision())) {
            state.ApplyPeerUpdate(*update);
          }
      }
      const TableRevision& now = state.GetRevision();
      RC_ASSERT(now.number_ >= before);
      if (now.number_ > 0) {
        const auto index = static_cast<std::size_t>(now.number_ - 1);
        RC_ASSERT(now == versions[index].snapshot_.revision_);
        RC_ASSERT(state.GetTables()->GetRoutes().size() ==
                  versions[index].snapshot_.rows_.GetRoutes().size());
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against events of one edit that are applied apart.
BOOST_AUTO_TEST_CASE(EventsAreGroupedByEdit)
{
  const TableRevision head{ 1, "e1", "", 7 };
  const auto event = [](std::string aKey, std::string aValue, int aRevision) {
    return KeyEvent{ false, { std::move(aKey), std::move(aValue), aRevision } };
  };
  const TableEvents events = MakeTableEvents(
    { event(MakeRowKey(TableKind::Routes, "a"), "{}", 4),
      event(std::string(kHeadKey), SerializeTableRevision(head), 4),
      event(MakeAuditKey(1), "{}", 4),
      event(MakeRowKey(TableKind::Pools, "b"), "{}", 5),
      event(std::string(kHeadKey), "damaged", 6) });
  BOOST_REQUIRE(events.deltas_.size() == 1U);
  BOOST_CHECK(events.deltas_[0].revision_ == head);
  BOOST_TEST(events.deltas_[0].changes_.size() == 1U);
  BOOST_TEST(events.strayKeys_.size() == 1U);
  BOOST_TEST(!events.problem_.empty());
}

} // namespace azurecross
