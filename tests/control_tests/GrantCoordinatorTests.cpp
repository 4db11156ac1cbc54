#include "GrantNetwork.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a single entry that waits for peers it doesn't have.
BOOST_AUTO_TEST_CASE(SingleEntryGrantsAtOnce)
{
  GrantNetwork network(1, 1, 2);
  network.SetHome(0);
  const RequestId request = network.Request(0);
  BOOST_TEST(network.IsGranted(request));
}

// Guards against entries that together exceed a backend server's capacity.
BOOST_AUTO_TEST_CASE(EntriesShareOneQueue)
{
  GrantNetwork network(3, 2, 2);
  network.SetHome(1);
  network.Advance(milliseconds(400));
  std::vector<RequestId> requests;
  for (int round = 0; round < 4; ++round) {
    for (int entry = 0; entry < 3; ++entry) {
      requests.push_back(network.Request(entry));
    }
  }
  network.Advance(seconds(1));
  BOOST_TEST(network.CountGranted() == 4U);
  BOOST_TEST(network.GetHighestLoad() == 2U);
  for (int round = 0; round < 20; ++round) {
    for (const RequestId& request : requests) {
      if (network.IsGranted(request)) {
        network.Release(request);
        network.Advance(milliseconds(50));
        BOOST_TEST(network.GetHighestLoad() <= 2U);
      }
    }
  }
  BOOST_TEST(network.CountGranted() == 0U);
  BOOST_TEST(network.CountRefused() == 0U);
  BOOST_TEST(network.GetEntry(1).CountHeld() == 0U);
}

// Guards against requests that wait forever for a home entry that is gone: the
// entry has to fall back to its fixed share within the home timeout.
BOOST_AUTO_TEST_CASE(SilentHomeLeadsToFixedShare)
{
  GrantNetwork network(2, 2, 4);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  network.CutLinks(0);
  const RequestId request = network.Request(1);
  BOOST_TEST(!network.IsGranted(request));
  network.Advance(milliseconds(300));
  BOOST_TEST(network.IsGranted(request));
}

// Guards against an entry that takes more than its share while it is cut off.
BOOST_AUTO_TEST_CASE(FixedShareIsBounded)
{
  GrantNetwork network(2, 2, 4);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  network.CutLinks(0);
  for (int request = 0; request < 20; ++request) {
    network.Request(1);
  }
  network.Advance(seconds(2));
  BOOST_TEST(network.CountGranted() >= 2U);
  BOOST_TEST(network.CountGranted() <= 4U);
}

// Guards against slots that are granted twice because the new home entry does
// not know what its predecessor granted.
BOOST_AUTO_TEST_CASE(NewHomeCountsOldGrants)
{
  GrantNetwork network(3, 2, 2);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  for (int request = 0; request < 4; ++request) {
    network.Request(1 + request % 2);
  }
  BOOST_TEST(network.CountGranted() == 4U);
  network.Kill(0);
  network.SetHome(1);
  network.Request(2);
  network.Request(1);
  network.Advance(milliseconds(500));
  BOOST_TEST(network.CountGranted() == 4U);
  BOOST_TEST(network.GetHighestLoad() == 2U);
}

// Guards against queued requests that are lost with their home entry.
BOOST_AUTO_TEST_CASE(QueuedRequestsMoveToTheNewHome)
{
  GrantNetwork network(3, 1, 1);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  const RequestId running = network.Request(1);
  const RequestId queued = network.Request(2);
  BOOST_TEST(network.IsGranted(running));
  BOOST_TEST(!network.IsGranted(queued));
  network.Kill(0);
  network.SetHome(1);
  network.Advance(milliseconds(500));
  BOOST_TEST(!network.IsGranted(queued));
  network.Release(running);
  network.Advance(milliseconds(100));
  BOOST_TEST(network.IsGranted(queued));
}

// Guards against slots that stay occupied by an entry that has died.
BOOST_AUTO_TEST_CASE(DeadEntryFreesItsSlots)
{
  GrantNetwork network(3, 1, 1);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  network.Request(1);
  const RequestId waiting = network.Request(2);
  network.Kill(1);
  network.Advance(milliseconds(100));
  BOOST_TEST(network.IsGranted(waiting));
}

// Guards against slots that stay occupied because the message of their release
// was lost.
BOOST_AUTO_TEST_CASE(LostReleaseIsFoundByTheInFlightList)
{
  GrantNetwork network(2, 1, 1);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  const RequestId request = network.Request(1);
  BOOST_REQUIRE(network.IsGranted(request));
  network.CutLinks(1);
  network.Release(request);
  network.HealLinks(1);
  const RequestId next = network.Request(0);
  network.Advance(seconds(11));
  BOOST_TEST(network.IsGranted(next));
}

// Guards against requests that hang, or are answered twice, when a quarter of
// the messages is lost.
BOOST_AUTO_TEST_CASE(LostMessagesOnlyDelayRequests)
{
  GrantNetwork network(3, 4, 8);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  network.SetLoss(0.25);
  std::vector<RequestId> requests;
  for (int request = 0; request < 24; ++request) {
    requests.push_back(network.Request(request % 3));
    network.Advance(milliseconds(50));
  }
  network.Advance(seconds(10));
  for (const RequestId& request : requests) {
    BOOST_TEST(network.IsGranted(request));
  }
  BOOST_TEST(network.CountDuplicates() == 0U);
}

// Guards against a cancelled request that keeps its place or its slot.
BOOST_AUTO_TEST_CASE(CancelledRequestGivesItsSlotBack)
{
  GrantNetwork network(2, 1, 1);
  network.SetHome(0);
  network.Advance(milliseconds(400));
  const RequestId running = network.Request(1);
  const RequestId cancelled = network.Request(1);
  const RequestId waiting = network.Request(0);
  network.Cancel(1, cancelled);
  network.Cancel(1, running);
  network.Advance(milliseconds(100));
  BOOST_TEST(network.IsGranted(waiting));
  BOOST_TEST(!network.IsGranted(cancelled));
}

// Guards against a caller that waits for a pool without backend servers.
BOOST_AUTO_TEST_CASE(PoolWithoutServersIsRefused)
{
  GrantNetwork network(1, 0, 1);
  network.SetHome(0);
  network.Request(0);
  BOOST_TEST(network.CountRefused() == 1U);
}

} // namespace azurecross
