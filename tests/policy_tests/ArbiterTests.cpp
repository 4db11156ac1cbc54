#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

BOOST_FIXTURE_TEST_SUITE(ArbiterTests, ArbiterFixture)

// Guards against grants beyond a plain service's limit, and against a slot
// that is lost on release.
BOOST_AUTO_TEST_CASE(ServiceSlotsBoundGrants)
{
  arbiter_.SetBackendServers({ MakeService("s1", 2) }, now_, actions_);
  for (const char* id : { "a", "b", "c" }) {
    arbiter_.Enqueue(MakeServiceRequest(id), now_, actions_);
  }
  const auto grants = TakeActions<GrantAction>();
  BOOST_REQUIRE(grants.size() == 2U);
  arbiter_.Release(grants[0].grant_, GrantOutcome::Completed, now_, actions_);
  const auto next = TakeActions<GrantAction>();
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST(next[0].request_ == RequestId("c"));
}

// Guards against urgent work that waits behind earlier lesser work.
BOOST_AUTO_TEST_CASE(UrgentGoesBeforeLesser)
{
  arbiter_.SetBackendServers({ MakeService("s1", 1) }, now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("running"), now_, actions_);
  const auto running = TakeActions<GrantAction>();
  BOOST_REQUIRE(running.size() == 1U);
  ArbiterOptions options;
  options.lesserFloor_ = 0.0;
  Arbiter arbiter(options);
  arbiter.SetBackendServers({ MakeService("s1", 1) }, now_, actions_);
  arbiter.Enqueue(MakeServiceRequest("first"), now_, actions_);
  arbiter.Enqueue(MakeServiceRequest("lesser", Rank::Lesser), now_, actions_);
  arbiter.Enqueue(MakeServiceRequest("urgent"), now_, actions_);
  const auto first = TakeActions<GrantAction>();
  BOOST_REQUIRE(first.size() == 1U);
  arbiter.Release(first[0].grant_, GrantOutcome::Completed, now_, actions_);
  const auto next = TakeActions<GrantAction>();
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST(next[0].request_ == RequestId("urgent"));
}

// Guards against starvation of lesser work under an overload of urgent work.
BOOST_AUTO_TEST_CASE(LesserKeepsFloor)
{
  arbiter_.SetBackendServers({ MakeService("s1", 10) }, now_, actions_);
  for (int index = 0; index < 50; ++index) {
    arbiter_.Enqueue(
      MakeServiceRequest("u" + std::to_string(index)), now_, actions_);
  }
  auto grants = TakeActions<GrantAction>();
  BOOST_REQUIRE(grants.size() == 10U);
  arbiter_.Enqueue(MakeServiceRequest("lesser", Rank::Lesser), now_, actions_);
  arbiter_.Release(grants[0].grant_, GrantOutcome::Completed, now_, actions_);
  const auto next = TakeActions<GrantAction>();
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST(next[0].request_ == RequestId("lesser"));
}

// Guards against a customer whose many requests delay those of another
// customer.
BOOST_AUTO_TEST_CASE(ShortQueueIsServedBeforeLongQueue)
{
  arbiter_.SetBackendServers({ MakeService("s1", 1) }, now_, actions_);
  for (int index = 0; index < 20; ++index) {
    arbiter_.Enqueue(
      MakeServiceRequest("l" + std::to_string(index), Rank::Urgent, "large"),
      now_,
      actions_);
  }
  arbiter_.Enqueue(
    MakeServiceRequest("small", Rank::Urgent, "small"), now_, actions_);
  const auto first = TakeActions<GrantAction>();
  BOOST_REQUIRE(first.size() == 1U);
  arbiter_.Release(first[0].grant_, GrantOutcome::Completed, now_, actions_);
  const auto next = TakeActions<GrantAction>();
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST(next[0].request_ == RequestId("small"));
}

// Guards against unstreamed answers that are not charged to their customer or
// not counted in the busiest minute, and against their duration being used as
// the time to first token, which would refuse requests as too late.
BOOST_FIXTURE_TEST_CASE(UnstreamedAnswersAreCharged, ArbiterFixture)
{
  arbiter_.SetBackendServers({ MakeEngine("s1") }, now_, actions_);
  for (int number = 0; number < 20; ++number) {
    const std::string id = "whole" + std::to_string(number);
    arbiter_.Enqueue(MakeEngineRequest(id, Rank::Urgent, "a"), now_, actions_);
    const auto granted = TakeActions<GrantAction>();
    BOOST_REQUIRE(granted.size() == 1U);
    Advance(std::chrono::seconds(1));
    arbiter_.ReportTotalTokens(granted[0].grant_, 500, now_);
    arbiter_.Release(
      granted[0].grant_, GrantOutcome::Completed, now_, actions_);
    arbiter_.Tick(now_, actions_);
    actions_.clear();
  }
  BOOST_TEST(arbiter_.GetBusiestMinuteTokens() >= 20 * 500.0);

  for (int number = 0; number < 60; ++number) {
    const std::string id = "running" + std::to_string(number);
    arbiter_.Enqueue(MakeEngineRequest(id, Rank::Urgent, "b"), now_, actions_);
  }
  actions_.clear();
  GrantRequest urgentDeadline =
    MakeEngineRequest("urgentDeadline", Rank::Urgent, "c");
  urgentDeadline.deadline_ = now_ + std::chrono::milliseconds(500);
  arbiter_.Enqueue(urgentDeadline, now_, actions_);
  arbiter_.Tick(Advance(std::chrono::milliseconds(50)), actions_);
  BOOST_TEST(TakeActions<RefuseAction>().empty());
}

// Guards against late first tokens of customers with short queues behind a
// prefill step full of another customer's prompts, and against limits on a
// customer with a long queue while no other customer has requests.
BOOST_AUTO_TEST_CASE(LongQueueLeavesPrefillTimeToOthers)
{
  const auto countLongQueueGrants = [](bool aHasSmallCustomer) {
    ArbiterFixture fixture;
    Arbiter& arbiter = fixture.arbiter_;
    const auto enqueue = [&](const std::string& aEntry, int aCount) {
      for (int number = 0; number < aCount; ++number) {
        GrantRequest request = ArbiterFixture::MakeEngineRequest(
          aEntry + std::to_string(number), Rank::Urgent, "large");
        request.entry_ = EntryId(aEntry);
        request.promptTokens_ = 300;
        arbiter.Enqueue(request, fixture.now_, fixture.actions_);
      }
    };
    arbiter.SetBackendServers(
      { ArbiterFixture::MakeEngine("s1") }, fixture.now_, fixture.actions_);
    enqueue("running", 40);
    enqueue("waiting", 40);
    fixture.Advance(std::chrono::seconds(2));
    if (aHasSmallCustomer) {
      arbiter.Enqueue(
        ArbiterFixture::MakeEngineRequest("small", Rank::Urgent, "small"),
        fixture.now_,
        fixture.actions_);
    }
    fixture.actions_.clear();
    arbiter.ReleaseEntry(EntryId("running"), fixture.now_, fixture.actions_);
    return fixture.TakeActions<GrantAction>().size();
  };
  BOOST_TEST(countLongQueueGrants(false) > 10U);
  // The small customer's request, and one prompt besides it.
  BOOST_TEST(countLongQueueGrants(true) == 2U);
}

// Guards against an unbounded queue, and against a customer whose requests
// displace those of another customer in a full queue.
BOOST_AUTO_TEST_CASE(FullQueueRefusesRequestOfLongestQueue)
{
  ArbiterOptions options;
  options.queueLimit_ = 4;
  Arbiter arbiter(options);
  arbiter.SetBackendServers({ MakeService("s1", 1) }, now_, actions_);
  for (int index = 0; index < 5; ++index) {
    arbiter.Enqueue(
      MakeServiceRequest("l" + std::to_string(index), Rank::Urgent, "large"),
      now_,
      actions_);
  }
  BOOST_TEST(TakeActions<RefuseAction>().empty());
  arbiter.Enqueue(
    MakeServiceRequest("small", Rank::Urgent, "small"), now_, actions_);
  const auto refused = TakeActions<RefuseAction>();
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(refused[0].request_ == RequestId("l4"));
  BOOST_TEST((refused[0].reason_ == ErrorCode::QueueFull));
  BOOST_TEST((refused[0].retryAfter_ > Duration::zero()));
  BOOST_TEST(arbiter.Summarize().queued_[0] == 4U);
}

// Guards against a lost reply that leaves the entry without an answer, and
// against a second slot for one request.
BOOST_AUTO_TEST_CASE(RepeatedRequestRepeatsItsGrant)
{
  arbiter_.SetBackendServers({ MakeService("s1", 2) }, now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  const auto grants = TakeActions<GrantAction>();
  BOOST_REQUIRE(grants.size() == 2U);
  BOOST_TEST(grants[0].grant_ == grants[1].grant_);
  BOOST_TEST(arbiter_.Summarize().running_[0] == 1U);
}

// Guards against a retry on the backend server that just failed.
BOOST_AUTO_TEST_CASE(RetryAvoidsExcludedBackendServer)
{
  arbiter_.SetBackendServers(
    { MakeService("s1", 4), MakeService("s2", 4) }, now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  const auto first = TakeActions<GrantAction>();
  BOOST_REQUIRE(first.size() == 1U);
  GrantRequest retry = MakeServiceRequest("a");
  retry.excluded_ = { first[0].backendServer_ };
  arbiter_.Enqueue(retry, now_, actions_);
  const auto second = TakeActions<GrantAction>();
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST(second[0].backendServer_ != first[0].backendServer_);
  retry.excluded_.push_back(second[0].backendServer_);
  arbiter_.Enqueue(retry, now_, actions_);
  const auto refused = TakeActions<RefuseAction>();
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST((refused[0].reason_ == ErrorCode::NoBackendServer));
  BOOST_TEST(arbiter_.Summarize().running_[0] == 0U);
}

// Guards against new work for a backend server that is leaving.
BOOST_AUTO_TEST_CASE(LeavingBackendServerGetsNoRequests)
{
  auto leaving = MakeService("s1", 4);
  leaving.isLeaving_ = true;
  arbiter_.SetBackendServers({ leaving, MakeService("s2", 1) }, now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("b"), now_, actions_);
  const auto grants = TakeActions<GrantAction>();
  BOOST_REQUIRE(grants.size() == 1U);
  BOOST_TEST(grants[0].backendServer_ == BackendServerId("s2"));
}

// Guards against slots that are granted twice after the home entry changed.
BOOST_AUTO_TEST_CASE(InFlightGrantsAreCounted)
{
  arbiter_.SetBackendServers({ MakeService("s1", 2) }, now_, actions_);
  arbiter_.ReportInFlight(
    { { GrantId(7), MakeServiceRequest("old"), BackendServerId("s1"), 0 } },
    now_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("b"), now_, actions_);
  BOOST_TEST(TakeActions<GrantAction>().size() == 1U);
  arbiter_.Release(GrantId(7), GrantOutcome::Completed, now_, actions_);
  BOOST_TEST(TakeActions<GrantAction>().size() == 1U);
}

// Guards against several entries without a home entry that each use the whole
// capacity.
BOOST_AUTO_TEST_CASE(CapacityDivisorScalesCapacity)
{
  arbiter_.SetCapacityDivisor(3);
  arbiter_.SetBackendServers({ MakeService("s1", 9) }, now_, actions_);
  for (int index = 0; index < 9; ++index) {
    arbiter_.Enqueue(
      MakeServiceRequest("a" + std::to_string(index)), now_, actions_);
  }
  BOOST_TEST(TakeActions<GrantAction>().size() == 3U);
  arbiter_.SetCapacityDivisor(1);
  arbiter_.Tick(now_, actions_);
  BOOST_TEST(TakeActions<GrantAction>().size() == 6U);
}

// Guards against a queued request that gets no answer before its deadline.
BOOST_AUTO_TEST_CASE(LateRequestIsRefused)
{
  arbiter_.SetBackendServers({ MakeService("s1", 1) }, now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  GrantRequest late = MakeServiceRequest("b");
  late.deadline_ = now_ + std::chrono::seconds(1);
  arbiter_.Enqueue(late, now_, actions_);
  actions_.clear();
  arbiter_.Tick(Advance(std::chrono::milliseconds(900)), actions_);
  BOOST_TEST(actions_.empty());
  arbiter_.Tick(Advance(std::chrono::milliseconds(200)), actions_);
  const auto refused = TakeActions<RefuseAction>();
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST((refused[0].reason_ == ErrorCode::DeadlineUnreachable));
}

// Guards against slots that stay in use after their entry has died.
BOOST_AUTO_TEST_CASE(DeadEntryReleasesItsGrants)
{
  arbiter_.SetBackendServers({ MakeService("s1", 1) }, now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  GrantRequest other = MakeServiceRequest("b");
  other.entry_ = EntryId("e2");
  arbiter_.Enqueue(other, now_, actions_);
  actions_.clear();
  arbiter_.ReleaseEntry(EntryId("e1"), now_, actions_);
  const auto grants = TakeActions<GrantAction>();
  BOOST_REQUIRE(grants.size() == 1U);
  BOOST_TEST(grants[0].request_ == RequestId("b"));
}

// Guards against queued or granted requests without an explanation.
BOOST_AUTO_TEST_CASE(ExplainReturnsReasons)
{
  arbiter_.SetBackendServers({ MakeService("s1", 1) }, now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  arbiter_.Enqueue(MakeServiceRequest("b"), now_, actions_);
  const auto granted = arbiter_.Explain(RequestId("a"));
  BOOST_REQUIRE(!granted.empty());
  BOOST_TEST(granted[0].find("s1") != std::string::npos);
  const auto queued = arbiter_.Explain(RequestId("b"));
  BOOST_REQUIRE(queued.size() >= 4U);
  BOOST_TEST(queued.back() == "s1: no free slot, 1 of 1 slots");
  BOOST_TEST(arbiter_.Explain(RequestId("x")).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
