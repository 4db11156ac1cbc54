#include <boost/test/unit_test.hpp>

#include <azurecross_operations/azurecross_operations.h>

namespace azurecross {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{ std::chrono::hours(1) };

OperationSettings
MakeSettings(const std::string& aEntry)
{
  OperationSettings settings;
  settings.entry_ = EntryId(aEntry);
  settings.incarnation_ = Incarnation(1);
  settings.secret_ = "a secret of " + aEntry;
  settings.startMilliseconds_ = 1'700'000'000'000;
  settings.start_ = kStart;
  return settings;
}

OperationCall
MakeCall(std::uint64_t aToken, const std::string& aKey, bool aIsFirst = false)
{
  OperationCall call;
  call.token_ = aToken;
  call.key_ = aKey;
  call.customer_ = CustomerId("customer");
  call.fingerprint_ = 1;
  call.isFirstAttempt_ = aIsFirst;
  call.deadline_ = kStart + seconds(5);
  return call;
}

/** @returns the only action of this type, or null. */
template<typename Action>
const Action*
FindAction(const OperationActions& aActions)
{
  for (const OperationAction& action : aActions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

} // namespace

// Guards against a run without a confirmed claim, and against an answer that
// repeats can't have.
BOOST_AUTO_TEST_CASE(CallerKeyRunsAfterItsClaim)
{
  OperationCoordinator core(MakeSettings("e1"));
  OperationActions actions;
  core.Begin(MakeCall(1, "key"), kStart, actions);
  BOOST_TEST(FindAction<RunOperation>(actions) == nullptr);
  const auto* write = FindAction<WriteClaims>(actions);
  BOOST_REQUIRE(write != nullptr);
  const std::uint64_t batch = write->batch_.id_;
  actions.clear();
  core.TakeWriteResults(
    batch, { { ClaimWriteOutcome::Applied, 5, {} } }, kStart, actions);
  const auto* run = FindAction<RunOperation>(actions);
  BOOST_REQUIRE(run != nullptr);
  const std::string attempt = run->attempt_;
  actions.clear();
  core.Finish(attempt,
              Verdict::Ran,
              StoredAnswer{ 200, "text/plain", "done" },
              kStart,
              actions);
  write = FindAction<WriteClaims>(actions);
  BOOST_REQUIRE(write != nullptr);
  BOOST_TEST(write->batch_.writes_[0].expectedRevision_ == 5);
  const auto claim = DecodeClaim(write->batch_.writes_[0].value_);
  BOOST_REQUIRE(claim.has_value());
  BOOST_CHECK(claim->state_ == ClaimState::Finished);
  BOOST_TEST(claim->answer_->body_ == "done");
}

// Guards against a run after a refusal: the late claim must not lead to one.
BOOST_AUTO_TEST_CASE(LateClaimDoesNotRun)
{
  OperationCoordinator core(MakeSettings("e1"));
  OperationActions actions;
  core.Begin(MakeCall(1, "key"), kStart, actions);
  const std::uint64_t batch = FindAction<WriteClaims>(actions)->batch_.id_;
  actions.clear();
  // As after a pause of the process: the answer comes before any tick.
  core.TakeWriteResults(batch,
                        { { ClaimWriteOutcome::Applied, 5, {} } },
                        kStart + seconds(6),
                        actions);
  BOOST_TEST(FindAction<RunOperation>(actions) == nullptr);
  const auto* refusal = FindAction<RefuseOperation>(actions);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_CHECK(refusal->error_.verdict_ == Verdict::NotRun);
}

// Guards against a false `not_run` while the store is away.
BOOST_AUTO_TEST_CASE(StoreOutageIsReportedTruthfully)
{
  for (const bool isFirst : { false, true }) {
    OperationCoordinator core(MakeSettings("e1"));
    OperationActions actions;
    core.Begin(MakeCall(1, "key", isFirst), kStart, actions);
    Time now = kStart;
    int writes = 0;
    const RefuseOperation* refusal = nullptr;
    while (refusal == nullptr && now < kStart + seconds(10)) {
      const auto* write = FindAction<WriteClaims>(actions);
      const std::uint64_t batch = write == nullptr ? 0 : write->batch_.id_;
      writes += write == nullptr ? 0 : 1;
      actions.clear();
      now += milliseconds(50);
      core.TakeWriteResults(
        batch, { { ClaimWriteOutcome::Unavailable, 0, {} } }, now, actions);
      core.Tick(now, actions);
      refusal = FindAction<RefuseOperation>(actions);
    }
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST(writes <= 5);
    BOOST_CHECK(refusal->error_.code_ == ErrorCode::StoreUnavailable);
    BOOST_CHECK(refusal->error_.verdict_ ==
                (isFirst ? Verdict::NotRun : Verdict::MayHaveRun));
  }
}

// Guards against a key that is accepted by an entry that did not issue it.
BOOST_AUTO_TEST_CASE(ForgedAndExpiredKeysAreRefused)
{
  OperationCoordinator core(MakeSettings("e1"));
  OperationCoordinator other(MakeSettings("e2"));
  const std::string key = core.IssueKey(kStart).value();
  ParsedKey parsed = ParseKey(key);
  parsed.issuedKey_.expiresMilliseconds_ += 1;
  OperationActions actions;
  core.Begin(MakeCall(1, parsed.issuedKey_.Format()), kStart, actions);
  BOOST_REQUIRE(FindAction<RefuseOperation>(actions) != nullptr);
  BOOST_CHECK(FindAction<RefuseOperation>(actions)->error_.code_ ==
              ErrorCode::InvalidRequest);
  actions.clear();
  OperationCall late = MakeCall(2, key);
  late.deadline_ = kStart + std::chrono::hours(25);
  core.Begin(late, kStart + std::chrono::hours(24), actions);
  BOOST_REQUIRE(FindAction<RefuseOperation>(actions) != nullptr);
  BOOST_CHECK(FindAction<RefuseOperation>(actions)->error_.verdict_ ==
              Verdict::MayHaveRun);
}

// Guards against repeats after a planned stop that don't find the successor,
// and against a key that runs at both.
BOOST_AUTO_TEST_CASE(SuccessorReplaysAndStartsUnusedKeys)
{
  OperationCoordinator owner(MakeSettings("e1"));
  OperationCoordinator successor(MakeSettings("e2"));
  const std::string used = owner.IssueKey(kStart).value();
  const std::string unused = owner.IssueKey(kStart).value();
  OperationActions actions;
  owner.Begin(MakeCall(1, used), kStart, actions);
  const std::string attempt = FindAction<RunOperation>(actions)->attempt_;
  owner.Finish(
    attempt, Verdict::Ran, StoredAnswer{ 200, "", "done" }, kStart, actions);
  actions.clear();
  owner.StartHandover(EntryId("e2"), Incarnation(1), kStart, actions);
  const auto* part = FindAction<HandOver>(actions);
  BOOST_REQUIRE(part != nullptr);
  OperationActions taken;
  successor.TakeHandover(part->part_, taken);
  owner.TakeHandoverAcknowledgement(
    FindAction<AcknowledgeHandover>(taken)->acknowledgement_);
  BOOST_TEST(owner.IsHandedOver());
  BOOST_TEST(FindAction<AnnounceOwner>(taken) != nullptr);

  actions.clear();
  successor.Begin(MakeCall(2, used), kStart, actions);
  BOOST_REQUIRE(FindAction<ReplayAnswer>(actions) != nullptr);
  BOOST_TEST(FindAction<ReplayAnswer>(actions)->answer_.body_ == "done");
  successor.Begin(MakeCall(3, unused), kStart, actions);
  BOOST_TEST(FindAction<RunOperation>(actions) != nullptr);

  actions.clear();
  OperationForward forward;
  forward.owner_ = EntryId("e1");
  forward.incarnation_ = Incarnation(1);
  forward.key_ = unused;
  owner.TakeForward(EntryId("e3"), forward, kStart, actions);
  const auto* reply = FindAction<ReplyToEntry>(actions);
  BOOST_REQUIRE(reply != nullptr);
  BOOST_CHECK(reply->reply_.kind_ == ReplyKind::Moved);
  BOOST_TEST(reply->reply_.successor_ == EntryId("e2"));
  actions.clear();
  owner.Begin(MakeCall(4, unused), kStart, actions);
  BOOST_TEST(FindAction<RunOperation>(actions) == nullptr);
}

// Guards against a second run after the successor died: its next incarnation
// gets the hand-over again because the acknowledgement was lost. Found by
// PromisesHoldInRandomWorlds.
BOOST_AUTO_TEST_CASE(LaterIncarnationOfTheSuccessorTakesNothing)
{
  OperationCoordinator owner(MakeSettings("e1"));
  OperationSettings settings = MakeSettings("e2");
  settings.incarnation_ = Incarnation(2);
  OperationCoordinator restarted(settings);
  const std::string unused = owner.IssueKey(kStart).value();
  OperationActions actions;
  owner.StartHandover(EntryId("e2"), Incarnation(1), kStart, actions);
  OperationActions taken;
  restarted.TakeHandover(FindAction<HandOver>(actions)->part_, taken);
  BOOST_TEST(taken.empty());
  restarted.Begin(MakeCall(1, unused), kStart, taken);
  BOOST_TEST(FindAction<RunOperation>(taken) == nullptr);
}

// Guards against a second successor that starts what the first one started.
BOOST_AUTO_TEST_CASE(SecondSuccessorStartsNothing)
{
  OperationCoordinator owner(MakeSettings("e1"));
  OperationCoordinator second(MakeSettings("e3"));
  const std::string unused = owner.IssueKey(kStart).value();
  OperationActions actions;
  owner.StartHandover(EntryId("e2"), Incarnation(1), kStart, actions);
  actions.clear();
  owner.StartHandover(EntryId("e3"), Incarnation(1), kStart, actions);
  OperationActions taken;
  second.TakeHandover(FindAction<HandOver>(actions)->part_, taken);
  actions.clear();
  second.Begin(MakeCall(1, unused), kStart, actions);
  BOOST_REQUIRE(FindAction<RefuseOperation>(actions) != nullptr);
  BOOST_CHECK(FindAction<RefuseOperation>(actions)->error_.verdict_ ==
              Verdict::MayHaveRun);
}

// Guards against a second run after a runner died: a late permission for its
// attempt reaches the next incarnation, which must not report `not_run`.
// Found by PromisesHoldInRandomWorlds.
BOOST_AUTO_TEST_CASE(PermissionOfAnEarlierIncarnationIsIgnored)
{
  OperationSettings settings = MakeSettings("e2");
  settings.incarnation_ = Incarnation(2);
  OperationCoordinator restarted(settings);
  OperationReply permission;
  permission.kind_ = ReplyKind::Run;
  permission.attempt_ = "e2/1/1";
  permission.owner_ = EntryId("e1");
  permission.incarnation_ = Incarnation(1);
  OperationActions actions;
  restarted.TakeReply(permission, kStart, actions);
  BOOST_TEST(actions.empty());
  permission.attempt_ = "e2/2/1";
  restarted.TakeReply(permission, kStart, actions);
  BOOST_TEST(FindAction<ForwardToOwner>(actions) != nullptr);
}

// Guards against a repeated permission that frees the key of a running
// operation: the entry became its own owner while its request was on the way.
BOOST_AUTO_TEST_CASE(RepeatedPermissionKeepsTheRunningRecord)
{
  OperationCoordinator owner(MakeSettings("e1"));
  OperationCoordinator other(MakeSettings("e2"));
  const std::string key = owner.IssueKey(kStart).value();
  OperationActions actions;
  other.Begin(MakeCall(1, key), kStart, actions);
  const OperationForward forward =
    FindAction<ForwardToOwner>(actions)->forward_;
  OperationActions replies;
  owner.TakeForward(EntryId("e2"), forward, kStart, replies);
  const OperationReply permission = FindAction<ReplyToEntry>(replies)->reply_;
  OperationActions handover;
  owner.StartHandover(EntryId("e2"), Incarnation(1), kStart, handover);
  actions.clear();
  other.TakeHandover(FindAction<HandOver>(handover)->part_, actions);
  other.Tick(kStart + seconds(1), actions);
  BOOST_REQUIRE(FindAction<RunOperation>(actions) != nullptr);
  actions.clear();
  other.TakeReply(permission, kStart + seconds(1), actions);
  other.Tick(kStart + seconds(2), actions);
  other.Begin(MakeCall(2, key), kStart + seconds(2), actions);
  BOOST_TEST(FindAction<RunOperation>(actions) == nullptr);
}

} // namespace azurecross
