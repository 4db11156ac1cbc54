#include "test_support/PlatformFixture.h"

#include <azurecross_control/azurecross_control.h>

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

constexpr const char* kKey = "azurecross/orders/engines/a/0";

OrderLeaseGrant
Acquire(PlatformFixture& aPlatform, OrderLeaseClient<EtcdClient>& aLeases)
{
  const auto grant = aPlatform.Run(aLeases.Acquire(kKey, 10s));
  BOOST_REQUIRE(grant.has_value());
  BOOST_REQUIRE(grant->has_value());
  return **grant;
}

bool
Renew(PlatformFixture& aPlatform,
      OrderLeaseClient<EtcdClient>& aLeases,
      const OrderLeaseGrant& aGrant)
{
  const auto isHeld = aPlatform.Run(aLeases.Renew(kKey, aGrant));
  BOOST_REQUIRE(isHeld.has_value());
  return *isHeld;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(OrderLeaseClientTests, PlatformFixture)

// Guards against two holders of one lease, and against one that nobody renews.
BOOST_AUTO_TEST_CASE(OneEntryHoldsTheLease)
{
  OrderLeaseClient<EtcdClient> first(client_, "first");
  OrderLeaseClient<EtcdClient> second(client_, "second");
  const OrderLeaseGrant grant = Acquire(*this, first);
  const auto other = Run(second.Acquire(kKey, 10s));
  BOOST_REQUIRE(other.has_value());
  BOOST_TEST(!other->has_value());
  BOOST_TEST(Renew(*this, first, grant));
  BOOST_TEST(Run(first.Release(grant.lease_)).has_value());
  BOOST_TEST(!Renew(*this, first, grant));
  const OrderLeaseGrant next = Acquire(*this, second);
  BOOST_TEST(next.fencing_.GetValue() > grant.fencing_.GetValue());
}

// Guards against orders of two holders after a restore of the store, which has
// given the id of the first one's lease to the second one.
BOOST_AUTO_TEST_CASE(LeaseOfARestoredStoreHasOneHolder)
{
  OrderLeaseClient<EtcdClient> first(client_, "first");
  OrderLeaseClient<EtcdClient> second(client_, "second");
  Call("POST", "/test/snapshot");
  const OrderLeaseGrant before = Acquire(*this, first);
  Call("POST", "/test/restore");
  const OrderLeaseGrant after = Acquire(*this, second);
  BOOST_REQUIRE(after.lease_.GetValue() == before.lease_.GetValue());
  BOOST_TEST(!Renew(*this, first, before));
  BOOST_TEST(Renew(*this, second, after));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
