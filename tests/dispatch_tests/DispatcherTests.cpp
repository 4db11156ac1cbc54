#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>

namespace azurecross {

namespace {

DispatchTicket
MakeTicket(TicketId aNumber,
           PlacementRequest aRequest,
           int aPriority,
           Time aNow)
{
  DispatchTicket ticket;
  ticket.id_ = aNumber;
  ticket.request_ = std::move(aRequest);
  ticket.priority_ = aPriority;
  ticket.arrival_ = aNow;
  ticket.targetTime_ = aNow + std::chrono::seconds(4);
  ticket.deadline_ = aNow + std::chrono::seconds(39);
  return ticket;
}

/** What callers got in a played load. */
struct PlayedLoad
{
  int asked_ = 0;
  int onTime_ = 0;
  int late_ = 0;
  int refused_ = 0;
  double longestRefusedWait_ = 0.0;
};

/** Plays arrivals of long generations of one and a half seconds on engines. */
PlayedLoad
PlayLongGenerations(double aPerSecond, double aSeconds, int aEngines)
{
  ServerLoadTracker tracker;
  for (int engine = 0; engine < aEngines; ++engine) {
    AddEngine(tracker, "e" + std::to_string(engine));
  }
  Dispatcher dispatcher(tracker, ServerPlacement(AvailabilityZone("a"), 1), 7);
  PlayedLoad played;
  std::multimap<Time, RunId> ends;
  std::map<TicketId, Time> arrivals;
  const auto take = [&](DispatchDecisions& aOut, Time aNow) {
    for (const StartDecision& start : aOut.starts_) {
      const bool isOnTime =
        aNow - arrivals[start.ticketId_] <= std::chrono::seconds(4);
      ++(isOnTime ? played.onTime_ : played.late_);
      tracker.ObserveEvent(start.run_, 4, aNow);
      ends.emplace(aNow + std::chrono::milliseconds(1500), start.run_);
    }
    for (const RefuseDecision& refusal : aOut.refusals_) {
      ++played.refused_;
      played.longestRefusedWait_ =
        std::max(played.longestRefusedWait_, ToSeconds(refusal.waited_));
      BOOST_TEST(refusal.retryAfter_ > Duration::zero());
    }
    aOut = {};
  };
  double due = 0.0;
  TicketId next = 1;
  for (int step = 0; step < aSeconds * 100 + 2000; ++step) {
    const Time now = At(step * 0.01);
    DispatchDecisions out;
    while (!ends.empty() && ends.begin()->first <= now) {
      tracker.Finish(ends.begin()->second, RunOutcome::Completed, now);
      dispatcher.RecordRunDuration(PoolName("engines"),
                                   std::chrono::milliseconds(1500));
      ends.erase(ends.begin());
    }
    due += step < aSeconds * 100 ? aPerSecond * 0.01 : 0.0;
    for (; due >= 1.0; due -= 1.0) {
      arrivals[next] = now;
      ++played.asked_;
      dispatcher.Enqueue(
        MakeTicket(next++, MakeGeneration(3000), 2, now), now, out);
    }
    dispatcher.Tick(now, out);
    take(out, now);
  }
  return played;
}

} // namespace

// Guards against refusals while engines have room. The load: half of what four
// engines run at once.
BOOST_AUTO_TEST_CASE(LoadBelowCapacityIsServedOnTime)
{
  const PlayedLoad played = PlayLongGenerations(6.0, 20.0, 4);
  BOOST_TEST(played.onTime_ == played.asked_);
  BOOST_TEST(played.refused_ == 0);
}

// Guards against a burst in which requests wait in vain. The load: twice what
// the engines can run for five seconds. Every caller is served or refused, and
// most are served on time.
BOOST_AUTO_TEST_CASE(BurstIsServedOrRefused)
{
  const PlayedLoad played = PlayLongGenerations(24.0, 5.0, 4);
  BOOST_TEST(played.onTime_ + played.late_ + played.refused_ == played.asked_);
  BOOST_TEST(played.onTime_ >= played.asked_ / 2);
  BOOST_TEST(played.longestRefusedWait_ <= 20.0);
}

// Guards against lesser work ahead of urgent work that waits.
BOOST_AUTO_TEST_CASE(UrgentWorkGoesFirst)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  Dispatcher dispatcher(tracker, ServerPlacement(AvailabilityZone("a"), 1), 7);
  DispatchDecisions out;
  for (TicketId number = 1; number <= 2; ++number) {
    dispatcher.Enqueue(MakeTicket(number, MakeCall(), 2, At(0)), At(0), out);
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

// Guards against one customer's flood in front of another's request.
BOOST_AUTO_TEST_CASE(CustomersTakeTurns)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  Dispatcher dispatcher(tracker, ServerPlacement(AvailabilityZone("a"), 1), 7);
  DispatchDecisions out;
  TicketId number = 1;
  for (; number <= 12; ++number) {
    dispatcher.Enqueue(MakeTicket(number, MakeCall(), 2, At(0)), At(0), out);
  }
  PlacementRequest other = MakeCall();
  other.customer_ = CustomerId("small");
  dispatcher.Enqueue(MakeTicket(number, other, 2, At(0)), At(0), out);
  std::size_t ended = 0;
  std::size_t position = 0;
  while (ended < 4) {
    tracker.Finish(out.starts_[ended++].run_, RunOutcome::Completed, At(0.1));
    dispatcher.Dispatch(At(0.1), out);
  }
  for (std::size_t start = 0; start < out.starts_.size(); ++start) {
    if (out.starts_[start].ticketId_ == number) {
      position = start;
    }
  }
  BOOST_TEST(position > 0U);
}

// Guards against requests that are held although no server can take them.
BOOST_AUTO_TEST_CASE(CancelledRequestIsNotStarted)
{
  ServerLoadTracker tracker;
  Dispatcher dispatcher(tracker, ServerPlacement(AvailabilityZone("a"), 1), 7);
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
