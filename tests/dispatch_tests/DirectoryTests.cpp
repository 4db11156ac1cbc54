#include "TestPool.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

// Guards against removing a live server whose registration expired during an
// outage of the store, and against keeping a missing server forever.
BOOST_AUTO_TEST_CASE(MissingServerIsKeptForTheGracePeriod)
{
  ServerDirectory directory(std::chrono::seconds(2));
  directory.Update(MakeEngine("e1"));
  directory.Update(MakeEngine("e2"));
  directory.MarkMissing(BackendServerId("e1"), At(0));
  directory.MarkMissing(BackendServerId("e2"), At(0));
  BOOST_TEST(directory.RemoveExpired(At(1.9)).empty());
  directory.Update(MakeEngine("e1"));
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
  BOOST_CHECK(directory.Update(record) == ServerChange::Added);
  BOOST_CHECK(directory.Update(record) == ServerChange::None);
  record.startedUnixMs_ = 2;
  BOOST_CHECK(directory.Update(record) == ServerChange::Restarted);
  record.state_ = ServerState::Draining;
  BOOST_CHECK(directory.Update(record) == ServerChange::BeganDraining);
}

// Guards against requests to a server that has stated that it leaves, because
// its registration still says that it is ready or is restored from a backup.
BOOST_AUTO_TEST_CASE(LeavingServerStaysDraining)
{
  ServerDirectory directory(std::chrono::seconds(2));
  ServerRecord record = MakeEngine("e1");
  record.startedUnixMs_ = 1;
  directory.Update(record);
  BOOST_TEST(directory.MarkLeaving(record.id_, At(0)));
  BOOST_TEST(!directory.MarkLeaving(record.id_, At(1)));
  const auto getState = [&] { return directory.Find(record.id_)->state_; };
  directory.Update(record);
  BOOST_CHECK(getState() == ServerState::Draining);
  directory.Remove(record.id_);
  directory.Update(record);
  BOOST_CHECK(getState() == ServerState::Draining);
  record.startedUnixMs_ = 2;
  BOOST_CHECK(directory.Update(record) == ServerChange::Restarted);
  BOOST_CHECK(getState() == ServerState::Ready);
}

// Guards against handling the same notice from other daemons twice.
BOOST_AUTO_TEST_CASE(DrainingIsReportedOnce)
{
  ServerDirectory directory(std::chrono::seconds(2));
  directory.Update(MakeEngine("e1"));
  BOOST_TEST(directory.MarkDraining(BackendServerId("e1")));
  BOOST_TEST(!directory.MarkDraining(BackendServerId("e1")));
  BOOST_TEST(!directory.MarkDraining(BackendServerId("unknown")));
}

} // namespace azurecross
