#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

const BackendServerId kServer{ "s1" };
const AvailabilityZone kZone{ "a" };

/** Two daemons, of which the other one issues the permits of the server. */
struct TwoDaemons
{
  TwoDaemons()
  {
    const std::vector<PermitPeer> members{ { "d1", kZone }, { "d2", kZone } };
    IssuerSelector selector;
    selector.SetMembers(members[0], members, At(0));
    const bool isFirstIssuer = selector.FindIssuer(kServer, kZone) == "d1";
    issuer_.SetMembers(members[isFirstIssuer ? 0 : 1], members, At(0));
    user_.SetMembers(members[isFirstIssuer ? 1 : 0], members, At(0));
    user_.GetTable().RecordAnswer(kServer, 1.0, At(0), At(0));
  }

  /** Delivers the messages of both daemons until there are none. */
  void Exchange(Time aNow)
  {
    for (int round = 0; round < 4; ++round) {
      for (const PermitMessage& message : user_.TakeMessages()) {
        issuer_.Handle(message, aNow);
      }
      for (const PermitMessage& message : issuer_.TakeMessages()) {
        user_.Handle(message, aNow);
      }
    }
  }

  PermitState GetState(Time aNow, Duration aMaxWait = 0ms)
  {
    return user_.FindStatus(kServer, aMaxWait, aNow).state_;
  }

  ServerLimiter issuer_{ 1 };
  ServerLimiter user_{ 2 };
};

} // namespace

// Guards against a limit that ends because an answer from before it arrives
// late.
BOOST_AUTO_TEST_CASE(EarlierAnswerWithoutLimitDoesNotEndIt)
{
  ServerLimitTable table;
  table.RecordAnswer(kServer, 2.0, At(1), At(2));
  table.RecordAnswer(kServer, std::nullopt, At(1.5), At(3));
  BOOST_TEST(table.Find(kServer).value_or(0.0) == 2.0);
  table.RecordAnswer(kServer, std::nullopt, At(2.5), At(4));
  BOOST_TEST(!table.Find(kServer).has_value());
  BOOST_TEST(table.CountLimited() == 0U);
}

// Guards against an ended limit that a late report of a peer brings back.
BOOST_AUTO_TEST_CASE(OldReportDoesNotBringALimitBack)
{
  ServerLimitTable table;
  table.RecordAnswer(kServer, 2.0, At(1), At(2));
  table.RecordAnswer(kServer, std::nullopt, At(3), At(4));
  table.Merge({ kServer, 2.0, At(2) });
  BOOST_TEST(!table.Find(kServer).has_value());
  table.Merge({ kServer, 3.0, At(5) });
  BOOST_TEST(table.Find(kServer).value_or(0.0) == 3.0);
}

// Guards against limits of servers that are gone and that nobody forgets, since
// this daemon never knew the servers.
BOOST_AUTO_TEST_CASE(UnconfirmedLimitIsForgotten)
{
  ServerLimitTable table;
  table.Merge({ kServer, 2.0, At(0) });
  table.Tick(At(300));
  BOOST_TEST(table.CountLimited() == 1U);
  table.Tick(At(601));
  BOOST_TEST(table.CountLimited() == 0U);
  BOOST_TEST(!table.Find(kServer).has_value());
}

// Guards against a server that states a limit of 0 and is never asked again.
BOOST_AUTO_TEST_CASE(LimitOfZeroIsProbed)
{
  ServerLimitTable table;
  table.RecordAnswer(kServer, 0.0, At(1), At(2));
  BOOST_TEST(table.Find(kServer).value_or(0.0) > 0.0);
}

// Guards against reports that grow with the number of limited servers.
BOOST_AUTO_TEST_CASE(ReportHoldsTheNewestLimits)
{
  ServerLimitTable table;
  for (int server = 0; server < 10000; ++server) {
    table.RecordAnswer(BackendServerId("s" + std::to_string(server)),
                       1.0,
                       At(0),
                       At(server * 0.001));
  }
  const auto newest = table.GetNewest(At(10));
  BOOST_TEST(newest.size() == ServerLimitTable::kMaxReportedLimits);
  for (const ServerLimit& limit : newest) {
    BOOST_TEST((limit.statedAt_ >= At(9.9)));
  }
}

// Guards against two zones that both issue the whole limit while they don't
// reach each other.
BOOST_AUTO_TEST_CASE(SubstitutesIssueAtMostHalfOfTheLimit)
{
  std::vector<PermitPeer> members;
  members.reserve(30);
  for (int index = 0; index < 30; ++index) {
    members.push_back(
      { "d" + std::to_string(index),
        AvailabilityZone(std::string(1, static_cast<char>('a' + index % 3))) });
  }
  std::size_t issuers = 0;
  std::map<std::string, double> shares;
  std::set<std::string> substitutes;
  for (const PermitPeer& member : members) {
    IssuerSelector selector;
    selector.SetMembers(member, members, At(0));
    shares[member.name_] = selector.GetShare(kServer, kZone, At(0));
    issuers += shares[member.name_] == 1.0 ? 1 : 0;
    substitutes.insert(selector.FindSubstitute(kServer, kZone));
    BOOST_TEST(selector.FindIssuer(kServer, kZone) !=
               selector.FindSubstitute(kServer, kZone));
  }
  double substituted = 0.0;
  double others = 0.0;
  for (const auto& [name, share] : shares) {
    (substitutes.contains(name) ? substituted : others) +=
      share < 1.0 ? share : 0.0;
  }
  BOOST_TEST(issuers == 1U);
  BOOST_TEST(substitutes.size() == 3U);
  BOOST_TEST(substituted <= 0.5 + 1e-9);
  BOOST_TEST(others <= 0.5);
}

// Guards against two issuers of one limit: a daemon that the list of members
// lacks counted itself among the issuers, which nobody else did.
BOOST_AUTO_TEST_CASE(UnlistedDaemonIsNoSecondIssuer)
{
  const std::vector<PermitPeer> members = { { "d0", kZone },
                                            { "d1", AvailabilityZone("b") } };
  const PermitPeer unlisted{ "hidden", kZone };
  for (int index = 0; index < 50; ++index) {
    const BackendServerId server("s" + std::to_string(index));
    IssuerSelector selector;
    selector.SetMembers(unlisted, members, At(0));
    BOOST_TEST(selector.FindIssuer(server, kZone) == "d0");
    BOOST_TEST(selector.GetShare(server, kZone, At(0)) <= 0.25);
    IssuerSelector listed;
    listed.SetMembers(members[0], members, At(0));
    BOOST_TEST(listed.GetShare(server, kZone, At(0)) == 1.0);
  }
  IssuerSelector alone;
  alone.SetMembers(unlisted, {}, At(0));
  BOOST_TEST(alone.GetShare(kServer, kZone, At(0)) == 1.0);
}

// Guards against a new issuer that issues the whole limit beside the one
// before, and against one that waits for a dead one or forever.
BOOST_AUTO_TEST_CASE(NewIssuerBeginsWithASmallShare)
{
  const std::vector<PermitPeer> before = { { "d0", kZone } };
  const std::vector<PermitPeer> after = { { "d0", kZone }, { "d1", kZone } };
  int changed = 0;
  for (int index = 0; index < 20; ++index) {
    const BackendServerId server("s" + std::to_string(index));
    IssuerSelector joining;
    joining.SetMembers(after[1], {}, At(0));
    joining.SetMembers(after[1], before, At(1));
    joining.SetMembers(after[1], after, At(2));
    if (joining.FindIssuer(server, kZone) != "d1") {
      continue;
    }
    ++changed;
    BOOST_TEST(joining.GetShare(server, kZone, At(2)) == 0.25);
    BOOST_TEST(joining.GetShare(server, kZone, At(11.9)) == 0.25);
    BOOST_TEST(joining.GetShare(server, kZone, At(12)) == 1.0);
    IssuerSelector successor;
    successor.SetMembers(after[1], before, At(0));
    successor.SetMembers(after[1], { after[1] }, At(1));
    BOOST_TEST(successor.GetShare(server, kZone, At(1)) == 1.0);
  }
  BOOST_TEST(changed > 0);
}

// Guards against a daemon that sends before the issuer has granted a permit, or
// sends two requests on one.
BOOST_AUTO_TEST_CASE(PermitIsForOneRequest)
{
  TwoDaemons daemons;
  BOOST_TEST((daemons.GetState(At(1)) == PermitState::Obtainable));
  daemons.user_.Request(kServer, kZone, 0ms, At(1));
  BOOST_TEST((daemons.GetState(At(1)) == PermitState::Obtainable));
  daemons.Exchange(At(1));
  BOOST_TEST((daemons.GetState(At(1)) == PermitState::Held));
  daemons.user_.Use(kServer, kZone, At(1));
  daemons.user_.Request(kServer, kZone, 0ms, At(1));
  daemons.Exchange(At(1));
  BOOST_TEST((daemons.GetState(At(1)) == PermitState::Unavailable));
}

// Guards against a daemon that has not seen the limit itself and sends freely.
BOOST_AUTO_TEST_CASE(IssuerLearnsTheLimitFromTheRequest)
{
  TwoDaemons daemons;
  daemons.user_.Request(kServer, kZone, 0ms, At(1));
  daemons.Exchange(At(1));
  BOOST_TEST(daemons.issuer_.GetTable().Find(kServer).value_or(0.0) == 1.0);
}

// Guards against rate that is lost with permits which nobody uses.
BOOST_AUTO_TEST_CASE(UnusedPermitIsReturned)
{
  TwoDaemons daemons;
  daemons.user_.Request(kServer, kZone, 0ms, At(1));
  daemons.Exchange(At(1));
  daemons.user_.Tick(0, At(1.1));
  daemons.Exchange(At(1.1));
  BOOST_TEST((daemons.issuer_.FindStatus(kServer, 0ms, At(1.1)).state_ ==
              PermitState::Obtainable));
  daemons.issuer_.Request(kServer, kZone, 0ms, At(1.1));
  BOOST_TEST((daemons.issuer_.FindStatus(kServer, 0ms, At(1.1)).state_ ==
              PermitState::Held));
}

// Guards against requests without a permit, such as resumed generations, that
// add to the limit instead of using it up.
BOOST_AUTO_TEST_CASE(RequestWithoutPermitDelaysLaterOnes)
{
  TwoDaemons daemons;
  daemons.user_.Use(kServer, kZone, At(1));
  daemons.user_.Use(kServer, kZone, At(1));
  daemons.user_.Request(kServer, kZone, 0ms, At(1));
  daemons.Exchange(At(1));
  const PermitStatus status = daemons.user_.FindStatus(kServer, 0ms, At(1));
  BOOST_TEST((status.state_ == PermitState::Unavailable));
  BOOST_TEST(ToSeconds(status.wait_) == 2.0,
             boost::test_tools::tolerance(0.01));
}

// Guards against a server that stays unused while its issuer is dead.
BOOST_AUTO_TEST_CASE(SilentIssuerIsReplaced)
{
  TwoDaemons daemons;
  Time now = At(1);
  daemons.user_.Request(kServer, kZone, 0ms, now);
  for (int step = 0; step < 15; ++step) {
    now += 20ms;
    daemons.user_.Tick(1, now);
  }
  BOOST_TEST(daemons.user_.GetCounts().unanswered_ == 1U);
  daemons.user_.Request(kServer, kZone, 0ms, now);
  BOOST_TEST((daemons.GetState(now) == PermitState::Held));
}

// Guards against a permit that is granted twice and used once: the reply to a
// repeated request goes back to the issuer.
BOOST_AUTO_TEST_CASE(UnexpectedPermitIsReturned)
{
  TwoDaemons daemons;
  PermitMessage reply;
  reply.kind_ = PermitMessageKind::Reply;
  reply.sender_ = "d1";
  reply.server_ = kServer;
  reply.serverZone_ = kZone;
  reply.isGranted_ = true;
  daemons.user_.Handle(reply, At(1));
  const auto messages = daemons.user_.TakeMessages();
  const bool isReturned = daemons.user_.GetCounts().returned_ == 1U;
  BOOST_TEST(isReturned);
  BOOST_TEST((daemons.GetState(At(1)) == PermitState::Obtainable));
}

// Guards against lesser requests that take the permits which an urgent one
// waits for, and against requests that wait although they can't be served.
BOOST_AUTO_TEST_CASE(RequestThatFindsNoPermitInTimeIsRefusedAtOnce)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  ServerLimiter limiter(1);
  limiter.SetMembers({ "d1", kZone }, {}, At(0));
  limiter.GetTable().RecordAnswer(kServer, 0.2, At(0), At(0));
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(kZone, 1), 7);
  DispatchDecisions out;
  for (TicketId ticketId = 1; ticketId <= 3; ++ticketId) {
    DispatchTicket ticket;
    ticket.id_ = ticketId;
    ticket.request_ = MakeCall();
    ticket.arrival_ = At(1);
    ticket.targetTime_ = At(1.3);
    ticket.deadline_ = At(4);
    dispatcher.Enqueue(ticket, At(1), out);
  }
  BOOST_TEST(out.starts_.size() == 1U);
  BOOST_REQUIRE(!out.refusals_.empty());
  BOOST_TEST(out.refusals_[0].limitedServers_ == 1U);
  BOOST_TEST(ToSeconds(out.refusals_[0].retryAfter_) > 0.5);
}

// Guards against limited servers that get all requests because they look empty,
// or none because they are limited.
BOOST_AUTO_TEST_CASE(LimitedServerTakesItsRateBesideOthers)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  tracker.Update(MakeService("s2"), std::nullopt, kStart);
  ServerLimiter limiter(1);
  limiter.SetMembers({ "d1", kZone }, {}, At(0));
  limiter.GetTable().RecordAnswer(kServer, 2.0, At(0), At(0));
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(kZone, 1), 7);
  int toLimited = 0;
  TicketId ticketId = 1;
  std::multimap<Time, RunId> ends;
  for (int step = 0; step < 500; ++step) {
    const Time now = At(1 + step * 0.02);
    DispatchDecisions out;
    while (!ends.empty() && ends.begin()->first <= now) {
      tracker.Finish(ends.begin()->second, RunOutcome::Completed, now);
      ends.erase(ends.begin());
    }
    if (step % 5 == 0) {
      DispatchTicket ticket;
      ticket.id_ = ticketId++;
      ticket.request_ = MakeCall();
      ticket.arrival_ = now;
      ticket.targetTime_ = now + 300ms;
      ticket.deadline_ = now + 1500ms;
      dispatcher.Enqueue(ticket, now, out);
    }
    dispatcher.Tick(now, out);
    BOOST_TEST(out.refusals_.empty());
    for (const StartDecision& start : out.starts_) {
      toLimited += start.choice_.server_ == kServer ? 1 : 0;
      ends.emplace(now + 60ms, start.run_);
    }
  }
  BOOST_TEST(toLimited >= 12);
  BOOST_TEST(toLimited <= 22);
}

} // namespace azurecross
