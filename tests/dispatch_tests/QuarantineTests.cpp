#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace azurecross {

namespace {

constexpr PromptPartId kFatal = 0xbad;
constexpr PromptPartId kCommon = 0xc0;
constexpr PromptPartId kRare = 0x4a;

ServerDeath
MakeDeath(const std::string& aServer, double aSeconds)
{
  return { BackendServerId(aServer), 1, At(aSeconds) };
}

/** @returns a quarantine in which the fatal part has ended so many engines, one
 * each second. */
RequestQuarantine
MakeQuarantine(int aDeaths)
{
  RequestQuarantine quarantine(1);
  for (int death = 0; death < aDeaths; ++death) {
    quarantine.RecordDeath({ kFatal },
                           MakeDeath("e" + std::to_string(death), death));
  }
  return quarantine;
}

bool
IsQuarantined(const RequestQuarantine& aQuarantine,
              PromptPartId aPart,
              double aSeconds)
{
  return aQuarantine.FindQuarantined({ kCommon, aPart }, At(aSeconds))
    .has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Quarantine)

// Guards against a fatal part that ends one engine after the other.
BOOST_AUTO_TEST_CASE(PartIsQuarantinedAfterTwoDeaths)
{
  BOOST_TEST(!IsQuarantined(MakeQuarantine(1), kFatal, 1.0));
  const RequestQuarantine quarantine = MakeQuarantine(2);
  const auto part = quarantine.FindQuarantined({ kCommon, kFatal }, At(1.1));
  BOOST_REQUIRE(part.has_value());
  BOOST_TEST(part->fingerprint_ == kFatal);
  BOOST_TEST(part->deaths_ == 2U);
  BOOST_TEST((part->untilTrial_ > Duration::zero()));
}

// Guards against blame for the parts that fatal requests share with sound ones.
BOOST_AUTO_TEST_CASE(AnsweredPartsAreNotBlamed)
{
  RequestQuarantine quarantine(1);
  quarantine.RecordAnswer({ kCommon, kRare }, At(0.0));
  for (int death = 1; death <= 5; ++death) {
    quarantine.RecordDeath({ kCommon, kFatal, kRare },
                           MakeDeath("e" + std::to_string(death), death));
  }
  BOOST_TEST(!quarantine.FindQuarantined({ kCommon, kRare }, At(6.0)));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 6.0));
}

// Guards against deaths before and after an answer that add up to a verdict.
BOOST_AUTO_TEST_CASE(AnswerClearsEarlierDeaths)
{
  RequestQuarantine quarantine = MakeQuarantine(1);
  quarantine.RecordAnswer({ kFatal }, At(1.0));
  quarantine.RecordDeath({ kFatal }, MakeDeath("later", 60.0));
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, 60.0));
  quarantine.RecordDeath({ kFatal }, MakeDeath("latest", 61.0));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 61.0));
}

// Guards against blame for a part whose requests were on several engines that
// failed at the same moment.
BOOST_AUTO_TEST_CASE(EnginesThatDieTogetherCountOnce)
{
  RequestQuarantine quarantine(1);
  for (int engine = 0; engine < 4; ++engine) {
    quarantine.RecordDeath({ kRare },
                           MakeDeath("e" + std::to_string(engine), 1.0));
  }
  BOOST_TEST(!IsQuarantined(quarantine, kRare, 1.1));
  quarantine.RecordDeath({ kRare }, MakeDeath("later", 2.0));
  BOOST_TEST(IsQuarantined(quarantine, kRare, 2.1));
}

// Guards against a flood of fatal requests whose deaths follow each other so
// fast that they all count as one.
BOOST_AUTO_TEST_CASE(ManyDeathsInARowAreNotOneMoment)
{
  constexpr double kGapSeconds = 0.01;
  RequestQuarantine quarantine(1);
  double now = 0.0;
  int engines = 0;
  for (; !IsQuarantined(quarantine, kFatal, now) && engines < 30; ++engines) {
    now = engines * kGapSeconds;
    quarantine.RecordDeath({ kFatal },
                           MakeDeath("e" + std::to_string(engines), now));
  }
  BOOST_TEST(now <=
             ToSeconds(RequestQuarantine::kCommonCauseTime) + 2 * kGapSeconds);
}

// Guards against reports of old deaths that count as news again and again.
BOOST_AUTO_TEST_CASE(DroppedDeathsAreNoNews)
{
  RequestQuarantine quarantine =
    MakeQuarantine(2 * static_cast<int>(RequestQuarantine::kMaxDeaths));
  BOOST_TEST(!quarantine.RecordDeath({ kFatal }, MakeDeath("e0", 0.0)));
  BOOST_TEST(!quarantine.RecordDeath({ kFatal }, MakeDeath("e1", 1.0)));
  BOOST_TEST(!quarantine.RecordDeath({ kFatal }, MakeDeath("e4", 4.0)));
  const auto evidence = quarantine.GetEvidence(At(10.0));
  BOOST_REQUIRE(evidence.size() == 1U);
  BOOST_TEST(evidence.front().deaths_.size() == RequestQuarantine::kMaxDeaths);
}

// Guards against one death that counts again for each daemon that saw it.
BOOST_AUTO_TEST_CASE(DeathOfOneProcessCountsOnce)
{
  RequestQuarantine quarantine = MakeQuarantine(1);
  BOOST_TEST(!quarantine.RecordDeath({ kFatal }, MakeDeath("e0", 0.1)));
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, 0.2));
  ServerDeath restarted = MakeDeath("e0", 5.0);
  restarted.startedUnixMs_ = 2;
  BOOST_TEST(quarantine.RecordDeath({ kFatal }, restarted));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 5.0));
}

// Guards against a restart under the same id that hides a death where servers
// do not state when they started.
BOOST_AUTO_TEST_CASE(DeathsWithoutStartTimesAreToldApartByTime)
{
  RequestQuarantine quarantine(1);
  const auto recordDeath = [&](double aSeconds) {
    return quarantine.RecordDeath({ kFatal },
                                  { BackendServerId("e"), 0, At(aSeconds) });
  };
  BOOST_TEST(recordDeath(0.0));
  BOOST_TEST(!recordDeath(0.5));
  BOOST_TEST(recordDeath(4.0));
}

// Guards against daemons that each see one death and never agree.
BOOST_AUTO_TEST_CASE(EvidenceOfDaemonsAddsUp)
{
  RequestQuarantine first(1);
  RequestQuarantine second(2);
  first.RecordDeath({ kFatal }, MakeDeath("e0", 0.0));
  second.RecordDeath({ kFatal }, MakeDeath("e1", 0.5));
  BOOST_TEST(second.Merge(first.GetEvidence(At(0.6)), At(0.6)));
  BOOST_TEST(IsQuarantined(second, kFatal, 0.6));
  BOOST_TEST(first.Merge(second.GetEvidence(At(0.7)), At(0.7)));
  BOOST_TEST(IsQuarantined(first, kFatal, 0.7));
  BOOST_TEST(!first.Merge(second.GetEvidence(At(0.8)), At(0.8)));
}

// Guards against a daemon that blames a part which others know to be sound.
BOOST_AUTO_TEST_CASE(DaemonsCorrectEachOther)
{
  RequestQuarantine informed(1);
  informed.RecordAnswer({ kRare }, At(0.0));
  RequestQuarantine mistaken(2);
  mistaken.RecordDeath({ kRare }, MakeDeath("e0", 1.0));
  mistaken.RecordDeath({ kRare }, MakeDeath("e1", 2.0));
  BOOST_TEST(IsQuarantined(mistaken, kRare, 2.1));
  informed.Merge(mistaken.GetEvidence(At(2.1)), At(2.1));
  BOOST_TEST(!IsQuarantined(informed, kRare, 2.1));
  mistaken.Merge(informed.GetEvidence(At(2.2)), At(2.2));
  BOOST_TEST(!IsQuarantined(mistaken, kRare, 2.2));
}

// Guards against the refusal of sound requests because of a part that stood
// beside the fatal one each time.
BOOST_AUTO_TEST_CASE(PartsAccusedAlikeAreToldApart)
{
  RequestQuarantine quarantine(1);
  quarantine.RecordDeath({ kFatal, kRare }, MakeDeath("e0", 0.0));
  quarantine.RecordDeath({ kFatal, kRare }, MakeDeath("e1", 1.0));
  BOOST_TEST(
    quarantine.FindQuarantined({ kRare, kFatal }, At(1.1)).has_value());
  BOOST_TEST(!IsQuarantined(quarantine, kRare, 1.1));
  quarantine.RecordDeath({ kFatal }, MakeDeath("e2", 2.0));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 2.1));
  BOOST_TEST(!IsQuarantined(quarantine, kRare, 2.1));
  // The deaths that the fatal part explains no longer count.
  quarantine.RecordDeath({ kRare }, MakeDeath("e3", 3.0));
  BOOST_TEST(!IsQuarantined(quarantine, kRare, 3.1));
}

// Guards against corrections that many daemons send at the same time, and
// against corrections that are never sent.
BOOST_AUTO_TEST_CASE(CorrectionIsToldOnce)
{
  RequestQuarantine mistaken(1);
  mistaken.RecordDeath({ kRare }, MakeDeath("e0", 1.0));
  RequestQuarantine first(2);
  RequestQuarantine second(3);
  for (RequestQuarantine* informed : { &first, &second }) {
    informed->RecordAnswer({ kRare }, At(0.5));
    BOOST_TEST(!informed->HasUntoldCorrections());
    informed->Merge(mistaken.GetEvidence(At(1.1)), At(1.1));
    BOOST_TEST(informed->HasUntoldCorrections());
  }
  const auto correction = first.GetEvidence(At(1.2));
  first.MarkCorrectionsTold();
  second.Merge(correction, At(1.2));
  BOOST_TEST(!first.HasUntoldCorrections());
  BOOST_TEST(!second.HasUntoldCorrections());
  BOOST_TEST(mistaken.Merge(correction, At(1.2)));
}

// Guards against deaths that count although a later answer than the reported
// one shows the part to be sound.
BOOST_AUTO_TEST_CASE(OlderAnswerDoesNotReplaceANewerOne)
{
  RequestQuarantine quarantine(1);
  quarantine.RecordAnswer({ kRare }, At(40.0));
  quarantine.Merge({ { kRare, {}, At(12.0) } }, At(40.1));
  BOOST_TEST(!quarantine.RecordDeath({ kRare }, MakeDeath("e0", 45.0)));
}

// Guards against a late report of an old answer that clears a part which has
// become fatal since.
BOOST_AUTO_TEST_CASE(OldAnswerDoesNotClearLaterDeaths)
{
  RequestQuarantine quarantine(1);
  quarantine.RecordDeath({ kFatal }, MakeDeath("e0", 20.0));
  quarantine.RecordDeath({ kFatal }, MakeDeath("e1", 40.0));
  quarantine.RecordDeath({ kFatal }, MakeDeath("e2", 41.0));
  quarantine.Merge({ { kFatal, {}, At(5.0) } }, At(41.1));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 41.2));
  const auto evidence = quarantine.GetEvidence(At(41.2));
  BOOST_REQUIRE(evidence.size() == 1U);
  BOOST_TEST(evidence[0].deaths_.size() == 2U);
  BOOST_TEST(!quarantine.Merge({ { kFatal, {}, At(5.0) } }, At(41.3)));
  quarantine.Merge({ { kFatal, {}, At(15.0) } }, At(41.4));
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, 41.5));
  BOOST_TEST(quarantine.CountQuarantined() == 0U);
}

// Guards against a wrong verdict that no answer can correct any more.
BOOST_AUTO_TEST_CASE(OneTrialIsLetThroughAndLiftsAWrongVerdict)
{
  RequestQuarantine quarantine = MakeQuarantine(2);
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 50.0));
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, 122.0));
  quarantine.RecordSend({ kFatal }, At(122.0));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 122.1));
  quarantine.RecordAnswer({ kFatal }, At(122.5));
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, 122.6));
  BOOST_TEST(quarantine.CountQuarantined() == 0U);
}

// Guards against more than three requests on engines after the fifth death.
BOOST_AUTO_TEST_CASE(TrialsBecomeRareWithFurtherDeaths)
{
  const double minutes = 60.0;
  BOOST_TEST(IsQuarantined(MakeQuarantine(3), kFatal, 2.0 + 3.9 * minutes));
  BOOST_TEST(IsQuarantined(MakeQuarantine(4), kFatal, 3.0 + 15.9 * minutes));
  RequestQuarantine quarantine = MakeQuarantine(5);
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 29.0 * minutes));
  // A failed trial of another daemon postpones the own one.
  quarantine.RecordDeath({ kFatal }, MakeDeath("trial", 29.0 * minutes));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 58.0 * minutes));
}

// Guards against a second trial right after the first, because a report brings
// an old death or a lifted verdict left its trial behind.
BOOST_AUTO_TEST_CASE(LateEvidenceDoesNotHastenTheTrial)
{
  const double trial = 3700.0;
  RequestQuarantine quarantine = MakeQuarantine(5);
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, trial));
  quarantine.RecordSend({ kFatal }, At(trial));
  quarantine.Merge(
    { { kFatal, { MakeDeath("a", -2.0), MakeDeath("b", 2.5) }, {} } },
    At(trial + 0.5));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, trial + 1.0));
  quarantine.RecordAnswer({ kFatal }, At(trial + 2.0));
  quarantine.RecordDeath({ kFatal }, MakeDeath("c", trial + 40.0));
  quarantine.RecordDeath({ kFatal }, MakeDeath("d", trial + 41.0));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, trial + 100.0));
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, trial + 162.0));
}

// Guards against daemons that report the first death of a part to each other
// for ever, because several deaths were at about the same time.
BOOST_AUTO_TEST_CASE(OlderDeathsAreNoNewsForAFullList)
{
  RequestQuarantine quarantine =
    MakeQuarantine(static_cast<int>(RequestQuarantine::kMaxDeaths));
  quarantine.TakeEvents();
  BOOST_TEST(!quarantine.RecordDeath({ kFatal }, MakeDeath("x", -0.001)));
  BOOST_TEST(quarantine.TakeEvents().empty());
  BOOST_TEST(quarantine.RecordDeath({ kFatal }, MakeDeath("y", 5.0)));
}

// Guards against a dropped death that a delayed report brings back as a newer
// one, which drops another death that comes back in turn.
BOOST_AUTO_TEST_CASE(DroppedDeathsStayKnown)
{
  RequestQuarantine quarantine =
    MakeQuarantine(static_cast<int>(RequestQuarantine::kMaxDeaths) + 1);
  quarantine.TakeEvents();
  BOOST_TEST(!quarantine.RecordDeath({ kFatal }, MakeDeath("e1", 5.5)));
  BOOST_TEST(quarantine.TakeEvents().empty());
  // An answer ends that memory, since the engines may have changed.
  quarantine.RecordAnswer({ kFatal }, At(6.0));
  BOOST_TEST(quarantine.RecordDeath({ kFatal }, MakeDeath("e1", 60.0)));
}

// Guards against an older death that is ignored although the newer ones are all
// of one moment.
BOOST_AUTO_TEST_CASE(OlderDeathCountsBesideOneMoment)
{
  RequestQuarantine quarantine(1);
  for (int engine = 0; engine < 6; ++engine) {
    quarantine.RecordDeath({ kFatal },
                           MakeDeath("e" + std::to_string(engine), 1.0));
  }
  BOOST_TEST(quarantine.RecordDeath({ kFatal }, MakeDeath("older", 0.0)));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 1.1));
}

// Guards against trials of all daemons at the same time.
BOOST_AUTO_TEST_CASE(TrialsOfDaemonsAreStaggered)
{
  int due = 0;
  constexpr int kDaemons = 200;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    RequestQuarantine quarantine(static_cast<std::uint64_t>(daemon) * 1000003U);
    quarantine.RecordDeath({ kFatal }, MakeDeath("e0", 0.0));
    quarantine.RecordDeath({ kFatal }, MakeDeath("e1", 0.1));
    due += IsQuarantined(quarantine, kFatal, 62.0) ? 0 : 1;
  }
  BOOST_TEST(due > 0);
  BOOST_TEST(due < kDaemons / 10);
}

// Guards against memory and reports that grow with the parts under suspicion.
BOOST_AUTO_TEST_CASE(StateAndReportsAreBounded)
{
  RequestQuarantine quarantine = MakeQuarantine(3);
  for (PromptPartId part = 1; part <= 10000; ++part) {
    quarantine.RecordDeath({ part + 0x10000 },
                           MakeDeath("e" + std::to_string(part), 10.0));
  }
  const auto evidence = quarantine.GetEvidence(At(11.0));
  BOOST_TEST(evidence.size() == RequestQuarantine::kMaxReported);
  BOOST_TEST(evidence[0].fingerprint_ == kFatal);
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 11.0));
  for (int death = 0; death < 20; ++death) {
    quarantine.RecordDeath(
      { kFatal }, MakeDeath("x" + std::to_string(death), 12.0 + death));
  }
  BOOST_TEST(quarantine.GetEvidence(At(40.0))[0].deaths_.size() ==
             RequestQuarantine::kMaxDeaths);
}

// Guards against new evidence and corrections that many older suspects keep out
// of the reports.
BOOST_AUTO_TEST_CASE(NewEvidenceIsReportedBesideManySuspects)
{
  RequestQuarantine quarantine(1);
  for (PromptPartId part = 1; part <= 40; ++part) {
    quarantine.RecordDeath({ part }, MakeDeath("e", 1.0));
  }
  quarantine.RecordDeath({ kFatal }, MakeDeath("new", 2.0));
  quarantine.RecordAnswer({ 7 }, At(2.1));
  const auto evidence = quarantine.GetEvidence(At(2.2));
  BOOST_TEST(evidence.size() == RequestQuarantine::kMaxReported);
  BOOST_TEST(evidence.front().fingerprint_ == kFatal);
  BOOST_TEST(evidence.back().fingerprint_ == 7U);
  BOOST_TEST(evidence.back().soundAt_.has_value());
}

// Guards against a verdict that outlives its evidence.
BOOST_AUTO_TEST_CASE(OldEvidenceIsForgotten)
{
  RequestQuarantine quarantine = MakeQuarantine(1);
  quarantine.Tick(At(9.0 * 60.0));
  BOOST_TEST(quarantine.GetEvidence(At(9.0 * 60.0)).size() == 1U);
  quarantine.Tick(At(11.0 * 60.0));
  BOOST_TEST(quarantine.GetEvidence(At(11.0 * 60.0)).empty());
}

// Guards against a verdict that an operator cannot lift.
BOOST_AUTO_TEST_CASE(ExemptPartsAreNeverQuarantined)
{
  RequestQuarantine quarantine(1);
  quarantine.SetExempt({ kFatal });
  quarantine.RecordDeath({ kFatal }, MakeDeath("e0", 0.0));
  quarantine.Merge(MakeQuarantine(3).GetEvidence(At(3.0)), At(3.0));
  BOOST_TEST(!IsQuarantined(quarantine, kFatal, 3.0));
}

// Guards against verdicts without a record of their evidence.
BOOST_AUTO_TEST_CASE(ChangesAreReportedWithTheirEvidence)
{
  RequestQuarantine quarantine = MakeQuarantine(3);
  quarantine.RecordAnswer({ kFatal }, At(4.0));
  const auto events = quarantine.TakeEvents();
  BOOST_REQUIRE(events.size() == 3U);
  BOOST_TEST((events[0].change_ == QuarantineChange::Quarantined));
  BOOST_TEST(events[0].evidence_.deaths_.size() == 2U);
  BOOST_TEST((events[1].change_ == QuarantineChange::Confirmed));
  BOOST_TEST((events[2].change_ == QuarantineChange::Lifted));
  BOOST_TEST(quarantine.TakeEvents().empty());
}

// Guards against records of a verdict that was never in force, one for each
// report of a daemon that does not yet know the explanation.
BOOST_AUTO_TEST_CASE(ExplainedVerdictLeavesNoRecord)
{
  const ServerDeath first = MakeDeath("e0", 0.0);
  const ServerDeath second = MakeDeath("e1", 1.0);
  RequestQuarantine quarantine(1);
  quarantine.RecordDeath({ kFatal, kRare }, first);
  quarantine.RecordDeath({ kFatal, kRare }, second);
  BOOST_TEST(quarantine.TakeEvents().size() == 2U);
  quarantine.RecordDeath({ kFatal }, MakeDeath("e2", 2.0));
  const auto events = quarantine.TakeEvents();
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST((events.back().change_ == QuarantineChange::Lifted));
  BOOST_TEST(events.back().evidence_.fingerprint_ == kRare);
  quarantine.Merge(
    { { kFatal, { first, second }, {} }, { kRare, { first, second }, {} } },
    At(2.1));
  BOOST_TEST(quarantine.TakeEvents().empty());
  BOOST_TEST(quarantine.CountQuarantined() == 1U);
}

// Guards against requests that reach an engine because they were queued before
// the verdict.
BOOST_AUTO_TEST_CASE(QueuedRequestsAreRefusedAtOnce)
{
  ServerLoadTracker tracker;
  ServerLimiter limiter(1);
  RequestQuarantine quarantine(1);
  Dispatcher dispatcher(
    tracker, limiter, quarantine, ServerPlacement(AvailabilityZone("a"), 1), 7);
  DispatchTicket ticket;
  ticket.request_ = MakeGeneration(1000);
  ticket.request_.fingerprints_ = { kCommon, kFatal };
  ticket.arrival_ = kStart;
  ticket.targetTime_ = At(4.0);
  ticket.deadline_ = At(39.0);
  DispatchDecisions decisions;
  ticket.id_ = 1;
  dispatcher.Enqueue(ticket, kStart, decisions);
  BOOST_TEST(decisions.refusals_.empty());
  quarantine.RecordDeath({ kFatal }, MakeDeath("e0", 0.1));
  quarantine.RecordDeath({ kFatal }, MakeDeath("e1", 0.2));
  dispatcher.Tick(At(0.22), decisions);
  BOOST_REQUIRE(decisions.refusals_.size() == 1U);
  BOOST_TEST((decisions.refusals_[0].reason_ == ErrorCode::PromptQuarantined));
  BOOST_TEST(decisions.refusals_[0].quarantined_->fingerprint_ == kFatal);
  BOOST_TEST(dispatcher.CountQueued() == 0U);
  // New requests and retries take the same way.
  AddEngine(tracker, "e2");
  ticket.id_ = 2;
  dispatcher.Enqueue(ticket, At(0.3), decisions);
  BOOST_TEST(decisions.refusals_.size() == 2U);
  BOOST_TEST(decisions.starts_.empty());
}

// Guards against different requests that share a verdict.
BOOST_AUTO_TEST_CASE(EachFieldOfARequestCountsForItsFingerprint)
{
  const std::vector<RequestIdentity> identities{
    { "GET", "h", "/a?b", "key", "body", 1 },
    { "POST", "h", "/a?b", "key", "body", 1 },
    { "GET", "i", "/a?b", "key", "body", 1 },
    { "GET", "h", "/a?c", "key", "body", 1 },
    { "GET", "h", "/a?b", "key2", "body", 1 },
    { "GET", "h", "/a?b", "key", "", 1 },
    { "GET", "h", "/a?b", "key", "body", 2 },
    // The bytes of the first one in other fields.
    { "GET", "h/", "a?b", "key", "body", 1 },
  };
  std::set<Fingerprint> fingerprints;
  for (const RequestIdentity& identity : identities) {
    fingerprints.insert(ComputeFingerprint(identity));
  }
  BOOST_TEST(fingerprints.size() == identities.size());
  const RequestIdentity copy = identities.front();
  BOOST_TEST(fingerprints.contains(ComputeFingerprint(copy)));
}

namespace {

constexpr Fingerprint kFatalRequest(FingerprintKind::Request, 0xdead);
constexpr Fingerprint kOtherRequest(FingerprintKind::Request, 0x50);

} // namespace

// Guards against a sound request that is refused because it ran beside a fatal
// one, and against a fatal one that such a request protects.
BOOST_AUTO_TEST_CASE(FurtherDeathTellsRequestsAccusedAlikeApart)
{
  RequestQuarantine quarantine(1);
  for (int death = 0; death < 2; ++death) {
    const ServerDeath server = MakeDeath("s" + std::to_string(death), death);
    quarantine.RecordDeath({ kFatalRequest }, server);
    quarantine.RecordDeath({ kOtherRequest }, server);
  }
  BOOST_TEST(!quarantine.FindQuarantined({ kOtherRequest }, At(2.0)));
  quarantine.RecordDeath({ kFatalRequest }, MakeDeath("s2", 2.0));
  BOOST_TEST(
    quarantine.FindQuarantined({ kFatalRequest }, At(3.0)).has_value());
  BOOST_TEST(!quarantine.FindQuarantined({ kOtherRequest }, At(3.0)));
}

// Guards against a fatal request that is forgotten because many others ran
// beside it, and against parts of prompts that requests displace.
BOOST_AUTO_TEST_CASE(ManyAccusedRequestsDisplaceNoStrongerSuspect)
{
  RequestQuarantine quarantine = MakeQuarantine(1);
  for (int death = 0; death < 2; ++death) {
    quarantine.RecordDeath({ kFatalRequest },
                           MakeDeath("s" + std::to_string(death), death));
  }
  for (std::uint64_t request = 0; request < 1000; ++request) {
    quarantine.RecordDeath({ { FingerprintKind::Request, 0x10000 + request } },
                           MakeDeath("s1", 1.0));
  }
  BOOST_TEST(
    quarantine.FindQuarantined({ kFatalRequest }, At(2.0)).has_value());
  quarantine.RecordDeath({ kFatal }, MakeDeath("e9", 3.0));
  BOOST_TEST(IsQuarantined(quarantine, kFatal, 4.0));
}

// Guards against reports that carry each request which ever ran at a server
// that ended.
BOOST_AUTO_TEST_CASE(SingleDeathOfARequestIsReportedForAShortTime)
{
  RequestQuarantine quarantine(1);
  quarantine.RecordDeath({ kOtherRequest }, MakeDeath("s0", 0.0));
  BOOST_TEST(quarantine.GetEvidence(At(1.0)).size() == 1U);
  BOOST_TEST(quarantine.GetEvidence(At(10.0)).empty());
  quarantine.RecordDeath({ kFatalRequest }, MakeDeath("s1", 11.0));
  quarantine.RecordDeath({ kFatalRequest }, MakeDeath("s2", 12.0));
  BOOST_TEST(quarantine.GetEvidence(At(100.0)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
