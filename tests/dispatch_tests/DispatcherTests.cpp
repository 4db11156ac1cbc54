#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>

namespace azurecross {

namespace {

DispatchTicket
MakeTicket(TicketId aTicketId,
           PlacementRequest aRequest,
           int aPriority,
           Time aNow)
{
  DispatchTicket ticket;
  ticket.id_ = aTicketId;
  ticket.request_ = std::move(aRequest);
  ticket.priority_ = aPriority;
  ticket.arrival_ = aNow;
  ticket.targetTime_ = aNow + std::chrono::seconds(4);
  ticket.deadline_ = aNow + std::chrono::seconds(39);
  return ticket;
}

/** Results for the callers of a simulated load. */
struct SimulatedLoad
{
  int requests_ = 0;
  int onTime_ = 0;
  int late_ = 0;
  int refused_ = 0;
  double longestRefusedWait_ = 0.0;
};

/** Simulates arrivals of long generations, which run for 1.5 s each. */
SimulatedLoad
SimulateLongGenerations(double aPerSecond, double aSeconds, int aEngines)
{
  ServerLoadTracker tracker;
  for (int engine = 0; engine < aEngines; ++engine) {
    AddEngine(tracker, "e" + std::to_string(engine));
  }
  ServerLimiter limiter(1);
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(AvailabilityZone("a"), 1), 7);
  SimulatedLoad result;
  std::multimap<Time, RunId> ends;
  std::map<TicketId, Time> arrivals;
  const auto applyDecisions = [&](DispatchDecisions& aOut, Time aNow) {
    for (const StartDecision& start : aOut.starts_) {
      const bool isOnTime =
        aNow - arrivals[start.ticketId_] <= std::chrono::seconds(4);
      ++(isOnTime ? result.onTime_ : result.late_);
      tracker.ObserveEvent(start.run_, 4, aNow);
      ends.emplace(aNow + std::chrono::milliseconds(1500), start.run_);
    }
    for (const RefuseDecision& refusal : aOut.refusals_) {
      ++result.refused_;
      result.longestRefusedWait_ =
        std::max(result.longestRefusedWait_, ToSeconds(refusal.waited_));
      BOOST_TEST(refusal.retryAfter_ > Duration::zero());
    }
    aOut = {};
  };
  double dueArrivals = 0.0;
  TicketId nextTicketId = 1;
  for (int step = 0; step < aSeconds * 100 + 2000; ++step) {
    const Time now = At(step * 0.01);
    DispatchDecisions out;
    while (!ends.empty() && ends.begin()->first <= now) {
      tracker.Finish(ends.begin()->second, RunOutcome::Completed, now);
      dispatcher.RecordRunDuration(PoolName("engines"),
                                   std::chrono::milliseconds(1500));
      ends.erase(ends.begin());
    }
    dueArrivals += step < aSeconds * 100 ? aPerSecond * 0.01 : 0.0;
    for (; dueArrivals >= 1.0; dueArrivals -= 1.0) {
      arrivals[nextTicketId] = now;
      ++result.requests_;
      dispatcher.Enqueue(
        MakeTicket(nextTicketId++, MakeGeneration(3000), 2, now), now, out);
    }
    dispatcher.Tick(now, out);
    applyDecisions(out, now);
  }
  return result;
}

} // namespace

// Guards against refusals while engines have capacity. The load is half of the
// capacity of four engines.
BOOST_AUTO_TEST_CASE(LoadBelowCapacityIsServedOnTime)
{
  const SimulatedLoad result = SimulateLongGenerations(6.0, 20.0, 4);
  BOOST_TEST(result.onTime_ == result.requests_);
  BOOST_TEST(result.refused_ == 0);
}

// Guards against requests that wait without being served or refused. The load
// is twice the capacity of the engines for five seconds. Every request is
// served or refused, and most are served on time.
BOOST_AUTO_TEST_CASE(BurstIsServedOrRefused)
{
  const SimulatedLoad result = SimulateLongGenerations(24.0, 5.0, 4);
  BOOST_TEST(result.onTime_ + result.late_ + result.refused_ ==
             result.requests_);
  BOOST_TEST(result.onTime_ >= result.requests_ / 2);
  BOOST_TEST(result.longestRefusedWait_ <= 20.0);
}

// Guards against starting a less urgent request before a waiting urgent one.
BOOST_AUTO_TEST_CASE(UrgentRequestsStartFirst)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  ServerLimiter limiter(1);
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(AvailabilityZone("a"), 1), 7);
  DispatchDecisions out;
  for (TicketId ticketId = 1; ticketId <= 2; ++ticketId) {
    dispatcher.Enqueue(MakeTicket(ticketId, MakeCall(), 2, At(0)), At(0), out);
  }
  BOOST_REQUIRE(out.starts_.size() == 2);
  dispatcher.Enqueue(MakeTicket(3, MakeCall(), 2, At(0)), At(0), out);
  dispatcher.Enqueue(MakeTicket(4, MakeCall(), 0, At(0)), At(0), out);
  BOOST_TEST(out.starts_.size() == 2U);
  tracker.Finish(out.starts_[0].run_, RunOutcome::Completed, At(0.1));
  dispatcher.Dispatch(At(0.1), out);
  BOOST_REQUIRE(out.starts_.size() == 3);
  BOOST_TEST(out.starts_[2].ticketId_ == 4U);
}

// Guards against many requests of one customer that delay another customer.
BOOST_AUTO_TEST_CASE(CustomersTakeTurns)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  ServerLimiter limiter(1);
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(AvailabilityZone("a"), 1), 7);
  DispatchDecisions out;
  TicketId ticketId = 1;
  for (; ticketId <= 12; ++ticketId) {
    dispatcher.Enqueue(MakeTicket(ticketId, MakeCall(), 2, At(0)), At(0), out);
  }
  PlacementRequest other = MakeCall();
  other.customer_ = CustomerId("small");
  dispatcher.Enqueue(MakeTicket(ticketId, other, 2, At(0)), At(0), out);
  std::size_t ended = 0;
  std::size_t position = 0;
  while (ended < 4) {
    tracker.Finish(out.starts_[ended++].run_, RunOutcome::Completed, At(0.1));
    dispatcher.Dispatch(At(0.1), out);
  }
  for (std::size_t start = 0; start < out.starts_.size(); ++start) {
    if (out.starts_[start].ticketId_ == ticketId) {
      position = start;
    }
  }
  BOOST_TEST(position > 0U);
}

// Guards against starting a request that was cancelled while it waited.
BOOST_AUTO_TEST_CASE(CancelledRequestIsNotStarted)
{
  ServerLoadTracker tracker;
  ServerLimiter limiter(1);
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(AvailabilityZone("a"), 1), 7);
  DispatchDecisions out;
  dispatcher.Enqueue(MakeTicket(1, MakeCall(), 2, At(0)), At(0), out);
  BOOST_TEST(dispatcher.CountQueued() == 1U);
  dispatcher.Cancel(1);
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  dispatcher.Dispatch(At(0.1), out);
  BOOST_TEST(out.starts_.empty());
  BOOST_TEST(dispatcher.CountQueued() == 0U);
}

} // namespace azurecross
