#include <azurecross_policy/azurecross_policy.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>

namespace azurecross {

BOOST_AUTO_TEST_SUITE(FairQueueTests)

// Guards against shares that depend on the number of queued requests.
BOOST_AUTO_TEST_CASE(BackloggedCustomersGetEqualShares)
{
  FairQueue queue;
  const CustomerId large("large");
  const CustomerId small("small");
  FairQueue::Item item = 0;
  for (; item < 1000; ++item) {
    queue.Push(large, item);
  }
  for (; item < 1100; ++item) {
    queue.Push(small, item);
  }
  int smallServed = 0;
  for (int step = 0; step < 200; ++step) {
    const bool isSmall = *queue.PeekNext() >= 1000;
    queue.PopNext();
    queue.Charge(isSmall ? small : large, 10.0);
    smallServed += isSmall ? 1 : 0;
  }
  BOOST_TEST(smallServed == 100);
}

// Guards against credit that a customer accumulates while it is idle.
BOOST_AUTO_TEST_CASE(IdleCustomerAccumulatesNoCredit)
{
  FairQueue queue;
  const CustomerId busy("busy");
  const CustomerId idle("idle");
  queue.Push(idle, 0);
  queue.PopNext();
  queue.Charge(idle, 1.0);
  FairQueue::Item item = 1;
  for (; item < 2000; ++item) {
    queue.Push(busy, item);
  }
  for (int step = 0; step < 1000; ++step) {
    queue.PopNext();
    queue.Charge(busy, 10.0);
  }
  for (int count = 0; count < 100; ++count) {
    queue.Push(idle, item++);
  }
  int idleServed = 0;
  for (int step = 0; step < 20; ++step) {
    const bool isIdle = *queue.PeekNext() >= 2000;
    queue.PopNext();
    queue.Charge(isIdle ? idle : busy, 10.0);
    idleServed += isIdle ? 1 : 0;
  }
  BOOST_TEST(idleServed <= 11);
}

// Guards against a small customer whose next request waits behind another
// customer's flood because one of its own generations was long.
BOOST_AUTO_TEST_CASE(LightCustomerTakesPrecedenceWithinBurst)
{
  FairQueue queue(100.0);
  const CustomerId flood("flood");
  const CustomerId light("light");
  for (FairQueue::Item item = 0; item < 50; ++item) {
    queue.Push(flood, item);
  }
  queue.Charge(light, 99.0);
  queue.Push(light, 50);
  BOOST_TEST(*queue.PeekNext() == 50U);
  queue.PopNext();
  BOOST_TEST(*queue.PeekNext() == 0U);
}

// Guards against a customer that exceeds its share by keeping its queue short,
// which happens if the burst is not charged.
BOOST_AUTO_TEST_CASE(LightCustomerDoesNotExceedItsShare)
{
  constexpr double kBurst = 100.0;
  constexpr int kSteps = 1000;
  FairQueue queue(kBurst);
  const CustomerId flood("flood");
  const CustomerId light("light");
  FairQueue::Item item = 0;
  for (; item < kSteps; ++item) {
    queue.Push(flood, item);
  }
  queue.Push(light, item++);
  double chargedToLight = 0.0;
  for (int step = 0; step < kSteps; ++step) {
    const bool isLight = *queue.PeekNext() >= kSteps;
    queue.PopNext();
    queue.Charge(isLight ? light : flood, 10.0);
    if (isLight) {
      chargedToLight += 10.0;
      queue.Push(light, item++);
    }
  }
  const double equalShare = kSteps * 10.0 / 2.0;
  BOOST_TEST(chargedToLight >= equalShare);
  BOOST_TEST(chargedToLight <= equalShare + kBurst);
}

// Guards against memory use that grows with the number of past customers.
BOOST_AUTO_TEST_CASE(IdleCustomersAreRemoved)
{
  FairQueue queue;
  for (FairQueue::Item item = 0; item < 10'000; ++item) {
    const CustomerId customer("c" + std::to_string(item));
    queue.Push(customer, item);
    queue.PopNext();
    queue.Charge(customer, 1.0);
    const CustomerId steady("steady");
    queue.Push(steady, item);
    queue.PopNext();
    queue.Charge(steady, 1.0);
  }
  BOOST_TEST(queue.CountCustomers() < 100U);
}

// Guards against items that are lost or dequeued twice for some order of calls.
RC_BOOST_PROP(EveryItemIsDequeuedOnce,
              (const std::vector<std::uint8_t>& aCalls))
{
  FairQueue queue(20.0);
  std::map<FairQueue::Item, CustomerId> expected;
  FairQueue::Item next = 0;
  for (const std::uint8_t call : aCalls) {
    const CustomerId customer(std::to_string(call % 5));
    switch (call % 4) {
      case 0:
      case 1:
        queue.Push(customer, next);
        expected.emplace(next++, customer);
        break;
      case 2: {
        const auto item = queue.PeekNext();
        RC_ASSERT(item.has_value() == !expected.empty());
        if (item) {
          RC_ASSERT(expected.erase(*item) == 1U);
          queue.PopNext();
        }
        break;
      }
      default:
        queue.Charge(customer, call - 100.0);
        if (!expected.empty()) {
          const auto [item, owner] = *expected.begin();
          RC_ASSERT(queue.Remove(owner, item));
          RC_ASSERT(!queue.Remove(owner, item));
          expected.erase(item);
        }
    }
    RC_ASSERT(queue.CountItems() == expected.size());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
