#include <azurecross_serving/azurecross_serving.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <thread>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr Duration kTimeout = 2ms;

/** Waits once and destroys the condition as soon as the wait ends. */
asio::awaitable<void>
WaitAndDestroy(std::unique_ptr<AsyncCondition>& aCondition, int& aEnded)
{
  co_await aCondition->Wait(kTimeout);
  aCondition.reset();
  ++aEnded;
}

} // namespace

// A wait that is notified at its timeout must not touch the condition after it
// has ended. The handler of the timeout was queued behind the end of the wait
// and accessed a condition that had been destroyed, which ended daemons with a
// segmentation fault.
BOOST_AUTO_TEST_CASE(ConditionMayBeDestroyedWhenItsWaitEnds)
{
  // The order of the two handlers depends on when the reactor runs, which the
  // number of handlers that are queued before them shifts.
  for (int handlersBefore = 0; handlersBefore < 4; ++handlersBefore) {
    asio::io_context context(1);
    auto condition = std::make_unique<AsyncCondition>(context.get_executor());
    int ended = 0;
    asio::co_spawn(context, WaitAndDestroy(condition, ended), asio::detached);
    context.poll();
    for (int handler = 0; handler < handlersBefore; ++handler) {
      asio::post(context, [] {});
    }
    asio::post(context, [&] {
      condition->Notify();
      // The timeout passes before the end of the wait is delivered.
      std::this_thread::sleep_for(2 * kTimeout);
    });
    context.restart();
    context.run();
    BOOST_TEST(ended == 1);
  }
}

// The timeout of one coroutine must not end the wait of another one: requests
// that waited for the confirmation of the tables were refused at the timeout of
// an earlier request.
BOOST_AUTO_TEST_CASE(ConditionOutlastsTheTimeoutOfAnotherWait)
{
  asio::io_context context(1);
  AsyncCondition condition(context.get_executor());
  bool isNotified = false;
  asio::co_spawn(context, condition.Wait(kTimeout), asio::detached);
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      isNotified = co_await condition.Wait(1s);
    },
    asio::detached);
  asio::steady_timer notification(context, 10 * kTimeout);
  notification.async_wait(
    [&](const boost::system::error_code&) { condition.Notify(); });
  context.run();
  BOOST_TEST(isNotified);
}

// A timeout that passes without a notification ends the wait and says so.
BOOST_AUTO_TEST_CASE(ConditionTimesOutWithoutNotification)
{
  asio::io_context context(1);
  AsyncCondition condition(context.get_executor());
  bool isNotified = true;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      isNotified = co_await condition.Wait(kTimeout);
    },
    asio::detached);
  context.run();
  BOOST_TEST(!isNotified);
}

} // namespace azurecross
