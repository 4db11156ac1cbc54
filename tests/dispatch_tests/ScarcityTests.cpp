#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

WaitingRequest
MakeWaiting(int aPriority, Duration aTimeToTarget)
{
  WaitingRequest request;
  request.priority_ = aPriority;
  request.timeToTarget_ = aTimeToTarget;
  request.expectedService_ = 400ms;
  return request;
}

int
ComputeRank(const WaitingRequest& aRequest)
{
  return ScarcityPolicy::ComputeRank(aRequest);
}

/** What became of the requests of one kind. */
struct KindOutcome
{
  int requests_ = 0;
  int inTime_ = 0;
  int started_ = 0;

  double GetShareInTime() const
  {
    return static_cast<double>(inTime_) / std::max(requests_, 1);
  }
};

struct LoadOutcome
{
  KindOutcome urgent_;
  KindOutcome lesser_;
  KindOutcome largest_;
};

/**
 * One daemon and one engine that reads 2.5 prompts a second. For three seconds,
 * 1.5 urgent requests with a target of 2.5 s and 1.3 lesser ones with one of
 * 1.2 s arrive in each second; a tenth of the lesser ones is large.
 */
LoadOutcome
PlayOverload(bool aIsRankedByCost)
{
  constexpr double kReadSeconds = 0.4;
  ServerLoadTracker tracker;
  EngineTraits traits = MakeTraits();
  traits.memoryTokens_ = 1'000'000;
  traits.slots_ = 1000;
  traits.pacesPrompts_ = true;
  tracker.Update(MakeEngine("e"), traits, kStart);
  ServerLimiter limiter(1);
  limiter.SetMembers(
    { "d", AvailabilityZone("a") }, { { "d", AvailabilityZone("a") } }, kStart);
  limiter.SetPaces({ { BackendServerId("e"), 1.0 / kReadSeconds } });
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(AvailabilityZone("a"), 1), 7);
  LoadOutcome outcome;
  std::map<TicketId, DispatchTicket> tickets;
  TicketId nextTicket = 1;
  double due[2] = { 0.0, 0.0 };
  const double perSecond[2] = { 1.5, 1.3 };
  for (int step = 0; step < 2000; ++step) {
    const Time now = At(step * 0.01);
    DispatchDecisions out;
    for (int kind = 0; kind < 2 && step < 1200; ++kind) {
      for (due[kind] += perSecond[kind] * 0.01; due[kind] >= 1.0;
           due[kind] -= 1.0) {
        const bool isLarge = kind == 1 && nextTicket % 10 == 0;
        DispatchTicket ticket;
        ticket.id_ = nextTicket++;
        ticket.request_ = MakeGeneration(isLarge ? 4000 : 400);
        ticket.request_.isRankedByCost_ = aIsRankedByCost;
        ticket.priority_ = kind;
        ticket.arrival_ = now;
        ticket.targetTime_ = now + (kind == 0 ? 2500ms : 1200ms);
        ticket.deadline_ = now + 39s;
        ++(kind == 0 ? outcome.urgent_ : outcome.lesser_).requests_;
        outcome.largest_.requests_ += isLarge ? 1 : 0;
        tickets.emplace(ticket.id_, ticket);
        dispatcher.Enqueue(ticket, now, out);
      }
    }
    dispatcher.Tick(now, out);
    for (const StartDecision& start : out.starts_) {
      const DispatchTicket& ticket = tickets.at(start.ticketId_);
      KindOutcome& kind =
        ticket.priority_ == 0 ? outcome.urgent_ : outcome.lesser_;
      const bool isInTime = now <= ticket.targetTime_;
      ++kind.started_;
      kind.inTime_ += isInTime ? 1 : 0;
      outcome.largest_.started_ +=
        ticket.request_.demand_.promptTokens_ > 400 ? 1 : 0;
      tracker.ObserveEvent(start.run_, 4, now);
      tracker.Finish(start.run_, RunOutcome::Completed, now);
    }
  }
  return outcome;
}

} // namespace

// Guards against urgency that makes a request with little slack late although
// the urgent one could wait at no cost.
BOOST_AUTO_TEST_CASE(LeastSlackIsFirst)
{
  BOOST_TEST(ComputeRank(MakeWaiting(1, 500ms)) <
             ComputeRank(MakeWaiting(0, 1500ms)));
  BOOST_TEST(ComputeRank(MakeWaiting(0, 500ms)) <
             ComputeRank(MakeWaiting(1, 500ms)));
  BOOST_TEST(ComputeRank(MakeWaiting(0, 1000ms)) <
             ComputeRank(MakeWaiting(2, 1100ms)));
}

// Guards against capacity for requests that will be late anyway, while others
// can still be in time.
BOOST_AUTO_TEST_CASE(LateRequestsGiveWay)
{
  const WaitingRequest late = MakeWaiting(0, 300ms);
  BOOST_TEST(ComputeRank(late) >= ScarcityPolicy::kFirstLateRank);
  BOOST_TEST(ComputeRank(MakeWaiting(9, 30s)) < ComputeRank(late));
  BOOST_TEST(ComputeRank(MakeWaiting(9, -30s)) <= ScarcityPolicy::kMaxRank);
}

// Guards against large requests that small ones delay for ever.
BOOST_AUTO_TEST_CASE(WaitingMakesUpForSize)
{
  WaitingRequest small = MakeWaiting(1, -1s);
  small.relativeWork_ = 0.3;
  WaitingRequest large = small;
  large.relativeWork_ = 4.0;
  BOOST_TEST(ComputeRank(small) < ComputeRank(large));
  large.waited_ = 20s;
  BOOST_TEST(ComputeRank(large) <= ComputeRank(small));
}

// Guards against an order by priority alone under scarcity: lesser requests
// became late although the urgent ones had slack, and the order by cost must
// not starve the largest tenth.
BOOST_AUTO_TEST_CASE(MoreRequestsAreInTimeIfRankedByCost)
{
  const LoadOutcome byPriority = PlayOverload(false);
  const LoadOutcome byCost = PlayOverload(true);
  const auto countInTime = [](const LoadOutcome& aOutcome) {
    return aOutcome.urgent_.inTime_ + aOutcome.lesser_.inTime_;
  };
  BOOST_TEST(countInTime(byCost) > countInTime(byPriority));
  BOOST_TEST(byCost.lesser_.inTime_ > byPriority.lesser_.inTime_);
  BOOST_TEST(byCost.urgent_.GetShareInTime() >= 0.9);
  BOOST_TEST(2 * byCost.largest_.started_ >= byCost.largest_.requests_);
}

} // namespace azurecross
