#include "LimitedFleetSimulation.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

/** @returns the largest number of requests in 4 s that a server with this limit
 * may get: one and a half times the limit and 5 requests. */
int
GetBound(double aLimit)
{
  return static_cast<int>(1.5 * 4.0 * aLimit) + 5;
}

} // namespace

// Shows that the load of the next tests exceeds the limit without permits.
BOOST_AUTO_TEST_CASE(DaemonsWithoutPermitsExceedTheLimit)
{
  LimitedFleetConfig config;
  config.daemons_ = 7;
  config.zones_ = 3;
  config.servers_ = 3;
  config.requestsPerSecond_ = 8.0;
  config.readsLimits_ = false;
  const LimitedFleetOutcome outcome = LimitedFleetSimulation(config).Simulate();
  BOOST_TEST(outcome.mostIn4Seconds_ > GetBound(config.limit_));
}

// Guards against a server that gets more than its limit, and against permits
// that are lost while requests wait, in a small fleet under overload.
BOOST_AUTO_TEST_CASE(SmallFleetKeepsTheLimitAndUsesIt)
{
  for (const double limit : { 0.5, 1.0, 4.0, 20.0 }) {
    LimitedFleetConfig config;
    config.daemons_ = 7;
    config.zones_ = 3;
    config.servers_ = 3;
    config.limit_ = limit;
    config.requestsPerSecond_ = 1.5 * limit * config.servers_;
    config.seconds_ = 30.0;
    const LimitedFleetOutcome outcome =
      LimitedFleetSimulation(config).Simulate();
    BOOST_TEST_CONTEXT("limit " << limit)
    {
      BOOST_TEST(outcome.mostIn4Seconds_ <= GetBound(limit));
      BOOST_TEST(outcome.meanRate_ >= 0.85 * limit * config.servers_);
    }
  }
}

// Guards against shares so small that most of 195 daemons starve: the load is
// two thirds of the limits.
BOOST_AUTO_TEST_CASE(LargeFleetServesLoadBelowTheLimits)
{
  LimitedFleetConfig config;
  const LimitedFleetOutcome outcome = LimitedFleetSimulation(config).Simulate();
  BOOST_TEST(outcome.mostIn4Seconds_ <= GetBound(config.limit_));
  BOOST_TEST(outcome.served_ >= 0.97 * outcome.requests_);
  BOOST_TEST(outcome.refused_ <= 0.01 * outcome.requests_);
  BOOST_TEST(outcome.messagesPerRequest_ <= 20.0);
}

// Guards against more requests than the limit while issuers of permits die,
// restart without state and are replaced, and while a zone is cut off.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileIssuersDieAndAZoneIsCutOff)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LimitedFleetConfig config;
    config.daemons_ = 60;
    config.servers_ = 20;
    config.requestsPerSecond_ = 30.0;
    config.messageLoss_ = 0.1;
    config.killedShare_ = 0.5;
    config.cutAt_ = 12.0;
    config.cutUntil_ = 16.0;
    config.seed_ = seed;
    const LimitedFleetOutcome outcome =
      LimitedFleetSimulation(config).Simulate();
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(outcome.mostIn4Seconds_ <= GetBound(config.limit_));
      BOOST_TEST(outcome.meanRate_ >= 0.4 * config.limit_ * config.servers_);
    }
  }
}

// Guards against two daemons that both issue a whole limit, because the lists
// of members in which daemons have been added reach them at different times.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileDaemonsAreAdded)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    LimitedFleetConfig config;
    config.daemons_ = 6;
    config.zones_ = 3;
    config.servers_ = 6;
    config.limit_ = 40.0;
    config.requestsPerSecond_ = 10.0 * config.limit_ * config.servers_;
    config.addedDaemons_ = 3;
    config.listDelaySeconds_ = 10.0;
    config.seed_ = seed;
    const LimitedFleetOutcome outcome =
      LimitedFleetSimulation(config).Simulate();
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(outcome.mostIn4Seconds_ <= GetBound(config.limit_));
      // A third of the servers change their issuer.
      BOOST_TEST(outcome.meanRate_ >= 0.75 * config.limit_ * config.servers_);
    }
  }
}

// Guards against many daemons that each send a request of their own because
// neither the issuer of a server nor its substitute is alive.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileMostDaemonsAreDead)
{
  LimitedFleetConfig config;
  config.servers_ = 20;
  config.requestsPerSecond_ = 300.0;
  config.killedShare_ = 0.7;
  config.restartSeconds_ = 6.0;
  const LimitedFleetOutcome outcome = LimitedFleetSimulation(config).Simulate();
  BOOST_TEST(outcome.mostIn4Seconds_ <= GetBound(config.limit_));
}

// Guards against an issuer and its substitutes that exceed the limit together
// while lost messages make some daemons use the one and some the others.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileManyMessagesAreLost)
{
  for (const double limit : { 1.0, 50.0 }) {
    LimitedFleetConfig config;
    config.daemons_ = 20;
    config.servers_ = 3;
    config.limit_ = limit;
    config.requestsPerSecond_ = 3.0 * limit * config.servers_;
    config.messageLoss_ = 0.4;
    const LimitedFleetOutcome outcome =
      LimitedFleetSimulation(config).Simulate();
    BOOST_TEST_CONTEXT("limit " << limit)
    {
      BOOST_TEST(outcome.mostIn4Seconds_ <= GetBound(limit));
    }
  }
}

} // namespace azurecross
