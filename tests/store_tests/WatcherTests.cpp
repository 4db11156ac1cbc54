#include "test_support/PlatformFixture.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

/** An entry's tables, kept up to date by a watcher. */
class TestEntry
{
public:
  TestEntry(PlatformFixture& aPlatform, StoreWatcherSettings aSettings)
    : client_(aPlatform.MakeClient())
    , watcher_(client_, MakeHandlers(), aSettings, 1)
  {
    boost::asio::co_spawn(
      aPlatform.context_,
      watcher_.Run(),
      boost::asio::bind_cancellation_slot(
        cancel_.slot(), [this](std::exception_ptr) { isDone_ = true; }));
  }

  void Stop(PlatformFixture& aPlatform)
  {
    watcher_.Stop();
    cancel_.emit(boost::asio::cancellation_type::all);
    aPlatform.RunFor(300ms);
    BOOST_TEST(isDone_);
  }

  std::int64_t GetNumber() const { return state_.GetRevision().number_; }

  ConfigurationState state_;
  std::vector<ConfigurationVerdict> verdicts_;
  EtcdClient client_;
  StoreWatcher<EtcdClient> watcher_;
  bool isDone_ = false;

private:
  StoreWatchHandlers MakeHandlers()
  {
    StoreWatchHandlers handlers;
    handlers.getRevision_ = [this] { return GetNumber(); };
    handlers.takeSnapshot_ = [this](const TableSnapshot& aSnapshot) {
      verdicts_.push_back(state_.ApplySnapshot(aSnapshot).verdict_);
    };
    handlers.takeEvents_ = [this](const TableEvents& aEvents) {
      verdicts_.push_back(state_.ApplyDeltas(aEvents.deltas_).verdict_);
      return verdicts_.back() != ConfigurationVerdict::Gap;
    };
    return handlers;
  }

  boost::asio::cancellation_signal cancel_;
};

struct WatcherFixture : PlatformFixture
{
  ~WatcherFixture() { entry_.Stop(*this); }

  bool WaitFor(std::int64_t aNumber)
  {
    for (int at = 0; at < 100 && entry_.GetNumber() != aNumber; ++at) {
      RunFor(20ms);
    }
    return entry_.GetNumber() == aNumber;
  }

  StoreWatcherSettings settings_{ { 50ms, 400ms }, 100ms };
  TestEntry entry_{ *this, settings_ };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WatcherTests, WatcherFixture)

// Guards against edits that arrive late or cost a read of all rows each.
BOOST_AUTO_TEST_CASE(EditsArriveByWatch)
{
  Edit("e1", { SetPool("one") });
  BOOST_TEST(WaitFor(1));
  for (int at = 2; at <= 6; ++at) {
    Edit("e" + std::to_string(at), { SetPool("one", at) });
  }
  BOOST_TEST(WaitFor(6));
  BOOST_TEST(entry_.watcher_.GetCounts().reads_ == 1U);
  BOOST_TEST(entry_.watcher_.GetCounts().watches_ == 1U);
}

// Guards against an edit missed while the connection was down.
BOOST_AUTO_TEST_CASE(WatchGoesOnAfterALostConnection)
{
  Edit("e1", { SetPool("one") });
  BOOST_TEST(WaitFor(1));
  SetFaults(R"({"store_down":true})");
  RunFor(100ms);
  SetFaults("{}");
  Edit("e2", { SetPool("one", 2) });
  BOOST_TEST(WaitFor(2));
  BOOST_TEST(entry_.watcher_.GetCounts().reads_ == 1U);
}

// Guards against edits lost because the store has compacted its history.
BOOST_AUTO_TEST_CASE(GapIsFilledByReadingAllRows)
{
  Edit("e1", { SetPool("one") });
  BOOST_TEST(WaitFor(1));
  SetFaults(R"({"store_down":true})");
  RunFor(100ms);
  // The store is written by others while this entry can't reach it.
  SetFaults("{}");
  Edit("e2", { SetPool("one", 2) });
  Edit("e3", { SetPool("one", 3) });
  Call("POST", "/test/compact");
  BOOST_TEST(WaitFor(3));
}

// Guards against an entry that follows a store restored from a backup, or goes
// on waiting for revisions that the restored store never reports.
BOOST_AUTO_TEST_CASE(RestoredStoreIsReportedAndRefused)
{
  Edit("e1", { SetPool("one") });
  Call("POST", "/test/snapshot");
  Edit("e2", { SetPool("one", 2) });
  Edit("e3", { SetPool("one", 3) });
  BOOST_TEST(WaitFor(3));
  Call("POST", "/test/restore");
  RunFor(600ms);
  BOOST_TEST(entry_.GetNumber() == 3);
  BOOST_CHECK(entry_.verdicts_.back() == ConfigurationVerdict::Older);
  Edit("x2", { SetPool("one", 4) });
  Edit("x3", { SetPool("one", 5) });
  Edit("x4", { SetPool("one", 6) });
  RunFor(600ms);
  BOOST_TEST(entry_.GetNumber() == 3);
  BOOST_TEST(entry_.state_.GetRevision().editId_ == "e3");
  BOOST_CHECK(entry_.verdicts_.back() == ConfigurationVerdict::Forked);

  EditRequest recovery = MakeEdit("r5", { SetPool("one", 3) });
  recovery.knownRevision_ = entry_.state_.GetKnownRevision();
  recovery.recoversStore_ = true;
  BOOST_REQUIRE(TryEdit(recovery).has_value());
  BOOST_TEST(WaitFor(5));
  BOOST_TEST(entry_.state_.GetRevision().editId_ == "r5");
}

// Guards against invalid tables in force, and against a repair that does not
// take effect.
BOOST_AUTO_TEST_CASE(TableWrittenPastTheToolIsKeptOut)
{
  Edit("e1", { SetPool("one") });
  BOOST_TEST(WaitFor(1));
  Put({ { MakeRowKey(TableKind::Routes, "stray"), "{}", {} } });
  RunFor(100ms);
  BOOST_TEST(entry_.GetNumber() == 1);
  // Even a head that stands for the invalid row does not bring it into force.
  const TableSnapshot store = Read();
  TableRevision head = store.revision_;
  head.rowsDigest_ = store.rows_.ComputeDigest();
  head.parentEditId_ = head.editId_;
  head.editId_ = "by-hand";
  ++head.number_;
  Put({ { std::string(kHeadKey), SerializeTableRevision(head), {} } });
  RunFor(300ms);
  BOOST_TEST(entry_.GetNumber() == 1);
  BOOST_TEST(entry_.state_.GetTables()->GetRoutes().empty());
  EditRequest repair =
    MakeEdit("e3", { { TableKind::Routes, "stray", {} }, SetPool("one", 3) });
  repair.acceptsStoreRows_ = true;
  BOOST_REQUIRE(TryEdit(repair).has_value());
  BOOST_TEST(WaitFor(3));
}

// Guards against a call rate that rises in an outage, or with a store that
// accepts calls only to fail them.
BOOST_AUTO_TEST_CASE(OutageDoesNotRaiseTheCallRate)
{
  Edit("e1", { SetPool("one") });
  BOOST_TEST(WaitFor(1));
  SetFaults(R"({"store_down":true})");
  const std::int64_t before = ReadCount("total");
  RunFor(2000ms);
  const std::int64_t calls = ReadCount("total") - before;
  BOOST_TEST_MESSAGE("calls in 2 s of an outage: " << calls);
  // Pauses of 50, 100, 200 and then 400 ms, each cut by at most a half.
  BOOST_TEST(calls <= 13);
  BOOST_TEST(calls >= 4);
  BOOST_TEST(entry_.GetNumber() == 1);
  SetFaults("{}");
  Edit("e2", { SetPool("one", 2) });
  BOOST_TEST(WaitFor(2));
}

// Guards against a silent connection that hides all further edits.
BOOST_AUTO_TEST_CASE(SilentWatchIsOpenedAgain)
{
  clientSettings_.watchIdleTime_ = 100ms;
  TestEntry entry(*this, settings_);
  Edit("e1", { SetPool("one") });
  RunFor(700ms);
  BOOST_TEST(entry.GetNumber() == 1);
  BOOST_TEST(entry.watcher_.GetCounts().watches_ >= 3U);
  BOOST_TEST(entry.watcher_.GetCounts().failures_ == 0U);
  BOOST_TEST(entry.watcher_.GetCounts().reads_ == 1U);
  entry.Stop(*this);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
