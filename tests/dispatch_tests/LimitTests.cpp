#include "TestPool.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

// Guards against a removed API key that still works: keys are trusted only
// after a recent confirmation, and a confirmation counts from when the read was
// sent.
BOOST_AUTO_TEST_CASE(KeysAreTrustedOnlyAfterRecentConfirmation)
{
  KeyFreshness freshness(std::chrono::seconds(5),
                         std::chrono::milliseconds(300));
  BOOST_TEST(!freshness.IsFresh(At(0)));
  freshness.ConfirmUpToDate(At(0));
  BOOST_TEST(freshness.IsFresh(At(4.7)));
  BOOST_TEST(!freshness.IsFresh(At(4.8)));
  freshness.ConfirmUpToDate(At(-1));
  BOOST_TEST(freshness.IsFresh(At(4.7)));
}

// Guards against retries beyond the bound shared by all daemons.
BOOST_AUTO_TEST_CASE(RetriesOfAllDaemonsStayWithinTheBound)
{
  constexpr int kDaemons = 7;
  constexpr int kRequests = 100;
  RetryAllowance::Bounds bounds;
  bounds.ratio_ = 0.2;
  bounds.slack_ = 54.0;
  int retries = 0;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    RetryAllowance allowance(bounds);
    allowance.SetDaemonCount(kDaemons);
    for (int request = 0; request < kRequests; ++request) {
      const Time now = At(request * 0.05);
      allowance.CountRequest(PoolName("p"), now);
      retries += allowance.TakeRetry(PoolName("p"), now) ? 1 : 0;
    }
  }
  BOOST_TEST(retries > 0);
  BOOST_TEST(retries <= bounds.ratio_ * kDaemons * kRequests + bounds.slack_);
}

// Guards against retries that stay counted after they leave the window.
BOOST_AUTO_TEST_CASE(RetriesAreAllowedAgainAfterTheWindow)
{
  RetryAllowance::Bounds bounds;
  bounds.ratio_ = 0.0;
  bounds.slack_ = 2.0;
  RetryAllowance allowance(bounds);
  BOOST_TEST(allowance.TakeRetry(PoolName("p"), At(0)));
  BOOST_TEST(!allowance.TakeRetry(PoolName("p"), At(9.9)));
  BOOST_TEST(allowance.TakeRetry(PoolName("p"), At(10.1)));
}

} // namespace azurecross
