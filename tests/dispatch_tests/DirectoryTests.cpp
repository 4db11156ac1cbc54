#include "TestPool.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

// Guards against removing a live server whose registration expired during an
// outage of the store, and against keeping a missing server forever.
BOOST_AUTO_TEST_CASE(MissingServerIsKeptForTheGracePeriod)
{
  ServerDirectory directory(std::chrono::seconds(2));
  directory.Update(MakeEngine("e1"), At(0));
  directory.Update(MakeEngine("e2"), At(0));
  directory.MarkMissing(BackendServerId("e1"), At(0));
  directory.MarkMissing(BackendServerId("e2"), At(0));
  BOOST_TEST(directory.RemoveExpired(At(1.9)).empty());
  directory.Update(MakeEngine("e1"), At(0));
  const auto removed = directory.RemoveExpired(At(2.0));
  BOOST_REQUIRE(removed.size() == 1);
  BOOST_TEST(removed.front().GetValue() == "e2");
  BOOST_TEST(directory.Find(BackendServerId("e1")) != nullptr);
}

// Guards against statistics of a server that are kept after its restart.
BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdIsDetected)
{
  ServerDirectory directory(std::chrono::seconds(2));
  ServerRecord record = MakeEngine("e1");
  record.startedUnixMs_ = 1;
  BOOST_CHECK(directory.Update(record, At(0)) == ServerChange::Added);
  BOOST_CHECK(directory.Update(record, At(0)) == ServerChange::None);
  record.startedUnixMs_ = 2;
  BOOST_CHECK(directory.Update(record, At(0)) == ServerChange::Restarted);
  record.state_ = ServerState::Draining;
  BOOST_CHECK(directory.Update(record, At(0)) == ServerChange::BeganDraining);
}

// Guards against requests to a server that has stated that it leaves, because
// its registration still says that it is ready or is restored from a backup.
BOOST_AUTO_TEST_CASE(LeavingServerStaysDraining)
{
  ServerDirectory directory(std::chrono::seconds(2));
  ServerRecord record = MakeEngine("e1");
  record.startedUnixMs_ = 1;
  directory.Update(record, At(0));
  BOOST_TEST(directory.MarkLeaving(record.id_, At(0)));
  BOOST_TEST(!directory.MarkLeaving(record.id_, At(1)));
  const auto getState = [&] { return directory.Find(record.id_)->state_; };
  directory.Update(record, At(0));
  BOOST_CHECK(getState() == ServerState::Draining);
  directory.Remove(record.id_, At(0));
  directory.Update(record, At(0));
  BOOST_CHECK(getState() == ServerState::Draining);
  record.startedUnixMs_ = 2;
  BOOST_CHECK(directory.Update(record, At(0)) == ServerChange::Restarted);
  BOOST_CHECK(getState() == ServerState::Ready);
}

// Guards against requests to a server that drains or has been removed, because
// the store came back from a backup in which its registration is older.
BOOST_AUTO_TEST_CASE(RestoredRegistrationIsOutdated)
{
  ServerDirectory directory(std::chrono::seconds(2));
  ServerRecord before = MakeEngine("e1");
  before.startedUnixMs_ = 1;
  before.sequence_ = 3;
  ServerRecord draining = before;
  draining.state_ = ServerState::Draining;
  draining.sequence_ = 5;
  const auto getState = [&] { return directory.Find(before.id_)->state_; };
  directory.Update(before, At(0));
  BOOST_CHECK(directory.Update(draining, At(1)) == ServerChange::BeganDraining);
  BOOST_CHECK(directory.Update(before, At(2)) == ServerChange::None);
  BOOST_CHECK(getState() == ServerState::Draining);
  directory.Remove(before.id_, At(3));
  BOOST_CHECK(directory.Update(before, At(4)) == ServerChange::Added);
  BOOST_CHECK(getState() == ServerState::Draining);
  BOOST_TEST(directory.ReleaseRestored(At(60)).empty());
  // The process says itself that it goes on, or is another one.
  ServerRecord after = before;
  after.sequence_ = 6;
  directory.Update(after, At(61));
  BOOST_CHECK(getState() == ServerState::Ready);
  directory.Update(draining, At(62));
  ServerRecord next = before;
  next.startedUnixMs_ = 2;
  next.sequence_ = 1;
  directory.Update(next, At(63));
  BOOST_CHECK(getState() == ServerState::Ready);
}

// Guards against a live server that gets no requests after a restore: its
// registration had lapsed before, and it doesn't change any more.
BOOST_AUTO_TEST_CASE(RestoredRegistrationThatStaysIsValid)
{
  ServerDirectory directory(std::chrono::seconds(2));
  ServerRecord record = MakeEngine("e1");
  record.startedUnixMs_ = 1;
  record.sequence_ = 3;
  const auto getState = [&] { return directory.Find(record.id_)->state_; };
  directory.Update(record, At(0));
  directory.Remove(record.id_, At(1));
  directory.Update(record, At(2));
  BOOST_CHECK(getState() == ServerState::Draining);
  BOOST_TEST(directory.ReleaseRestored(At(10)).empty());
  const auto released = directory.ReleaseRestored(At(20));
  BOOST_TEST(released.size() == 1U);
  BOOST_CHECK(getState() == ServerState::Ready);
  // A server that registers again itself is ready at once.
  directory.Remove(record.id_, At(30));
  record.sequence_ = 4;
  directory.Update(record, At(31));
  BOOST_CHECK(getState() == ServerState::Ready);
}

// Guards against handling the same notice from other daemons twice.
BOOST_AUTO_TEST_CASE(DrainingIsReportedOnce)
{
  ServerDirectory directory(std::chrono::seconds(2));
  directory.Update(MakeEngine("e1"), At(0));
  BOOST_TEST(directory.MarkDraining(BackendServerId("e1")));
  BOOST_TEST(!directory.MarkDraining(BackendServerId("e1")));
  BOOST_TEST(!directory.MarkDraining(BackendServerId("unknown")));
}

} // namespace azurecross
