#include "TestPool.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

// Guards against a server that counts as gone because its registration lapsed
// while the store was down, and against one that stays for ever.
BOOST_AUTO_TEST_CASE(LapsedServerIsKeptUntilConfirmed)
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

// Guards against what was learned of a server living on after its restart.
BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdIsSeen)
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

// Guards against word from other daemons that is acted on twice.
BOOST_AUTO_TEST_CASE(LeavingIsNewsOnce)
{
  ServerDirectory directory(std::chrono::seconds(2));
  directory.Update(MakeEngine("e1"));
  BOOST_TEST(directory.MarkDraining(BackendServerId("e1")));
  BOOST_TEST(!directory.MarkDraining(BackendServerId("e1")));
  BOOST_TEST(!directory.MarkDraining(BackendServerId("unknown")));
}

} // namespace azurecross
