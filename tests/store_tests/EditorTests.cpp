#include "test_support/PlatformFixture.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>

namespace azurecross {

BOOST_FIXTURE_TEST_SUITE(EditorTests, PlatformFixture)

// Guards against an edit that is not in the store as a whole.
BOOST_AUTO_TEST_CASE(EditIsWrittenAsAWhole)
{
  Edit("e1", { SetPool("one") });
  Edit("e2", { SetPool("two") });
  const TableSnapshot snapshot = Read();
  BOOST_TEST(snapshot.revision_.number_ == 2);
  BOOST_TEST(snapshot.revision_.parentEditId_ == "e1");
  BOOST_TEST(snapshot.rows_.GetPools().size() == 2U);
  BOOST_TEST(snapshot.revision_.rowsDigest_ == snapshot.rows_.ComputeDigest());
  const auto audit = Run(ReadAuditEntries(client_, 10));
  BOOST_REQUIRE(audit.has_value());
  BOOST_REQUIRE(audit->size() == 2U);
  BOOST_TEST(audit->front().revision_.editId_ == "e2");
  BOOST_TEST(audit->front().author_ == "ola");
}

// Guards against one of two racing operators overwriting the other.
BOOST_AUTO_TEST_CASE(RacingOperatorsGetAConflictWithTheDifference)
{
  Edit("e1", { SetPool("one", 10) });
  EditRequest late = MakeEdit("late", { SetPool("one", 30) });
  late.baseRevision_ = 1;
  Edit("e2", { SetPool("one", 20) });
  const auto outcome = TryEdit(late);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_CHECK(outcome->verdict_ == EditVerdict::Conflict);
  const std::string text = DescribeOutcome(*outcome);
  BOOST_TEST(text ==
             "conflict: the store is now at revision 2 (edit e2); nothing was "
             "written\nrevision 2 (edit e2) by ola:\n"
             "~ pools/one max_concurrent: 10 -> 20\n"
             "your edit:\n~ pools/one max_concurrent: 20 -> 30\n"
             "changed by both: pools/one\n");
  BOOST_TEST(Read().revision_.editId_ == "e2");
}

// Guards against two simultaneous edits that both believe they won.
BOOST_AUTO_TEST_CASE(OfManySimultaneousEditsOneWins)
{
  Edit("e1", { SetPool("one") });
  SetFaults(R"({"slow_ms":50})");
  constexpr int kEditors = 5;
  std::vector<std::future<AsyncResult<EditOutcome>>> futures;
  std::vector<std::unique_ptr<TableEditor<EtcdClient>>> editors;
  for (int at = 0; at < kEditors; ++at) {
    editors.push_back(std::make_unique<TableEditor<EtcdClient>>(client_));
    futures.push_back(boost::asio::co_spawn(
      context_,
      editors.back()->Apply(
        MakeEdit("r" + std::to_string(at), { SetPool("one", 100 + at) })),
      boost::asio::use_future));
  }
  RunFor(std::chrono::seconds(5));
  int applied = 0;
  std::string winner;
  for (auto& future : futures) {
    const auto outcome = future.get();
    BOOST_REQUIRE(outcome.has_value());
    if (outcome->verdict_ == EditVerdict::Applied) {
      ++applied;
      winner = outcome->revision_.editId_;
    } else {
      BOOST_TEST(outcome->others_.size() == 1U);
    }
  }
  BOOST_TEST(applied == 1);
  BOOST_TEST(Read().revision_.number_ == 2);
  BOOST_TEST(Read().revision_.editId_ == winner);
}

// Guards against an edit that is reported as lost, or written twice, when only
// its answer was lost.
BOOST_AUTO_TEST_CASE(LostAnswerIsSettledByReadingBack)
{
  Edit("e1", { SetPool("one") });
  const std::int64_t before = ReadCount("txn");
  SetFaults(R"({"lose_answers":1})");
  const auto outcome = TryEdit(MakeEdit("e2", { SetPool("two") }));
  BOOST_REQUIRE_MESSAGE(outcome.has_value(), outcome.error());
  BOOST_CHECK(outcome->verdict_ == EditVerdict::Applied);
  // One read, one write and one read back.
  BOOST_TEST(ReadCount("txn") - before == 3);
  BOOST_TEST(Read().revision_.number_ == 2);
}

// Guards against a lost answer that is taken for success although another
// operator's edit came first.
BOOST_AUTO_TEST_CASE(LostAnswerOfALoserIsAConflict)
{
  Edit("e1", { SetPool("one") });
  EditRequest late = MakeEdit("late", { SetPool("one", 30) });
  const auto base = Read();
  const auto plan = CaptureResult([&] { return EditPlan::Make(base, late); });
  BOOST_REQUIRE(plan.has_value());
  Edit("e2", { SetPool("one", 20) });
  const auto answer = Run(client_.Commit(MakeEditTransaction(*plan)));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(!answer->succeeded_);
  BOOST_TEST(Read().revision_.editId_ == "e2");
}

// Guards against a false verdict while the store is down, and against an edit
// that waits for ever.
BOOST_AUTO_TEST_CASE(StoreDownIsNotRun)
{
  SetFaults(R"({"store_down":true})");
  const auto outcome = TryEdit(MakeEdit("e1", { SetPool("one") }));
  BOOST_REQUIRE(outcome.has_error());
  BOOST_CHECK(outcome.error().code_ == ErrorCode::StoreUnavailable);
  BOOST_CHECK(outcome.error().verdict_ == Verdict::NotRun);
  SetFaults("{}");
  BOOST_TEST(Read().revision_.number_ == 0);
}

// Guards against an unsettled edit that is reported as not run.
BOOST_AUTO_TEST_CASE(UnsettledEditMayHaveRun)
{
  Edit("e1", { SetPool("one") });
  SetFaults(R"({"lose_answers":1,"down_after_loss":true})");
  const auto outcome = TryEdit(MakeEdit("e2", { SetPool("two") }));
  BOOST_REQUIRE(outcome.has_error());
  BOOST_CHECK(outcome.error().verdict_ == Verdict::MayHaveRun);
  BOOST_TEST(outcome.error().message_.find("edit e2") != std::string::npos);
  SetFaults("{}");
  BOOST_TEST(Read().revision_.editId_ == "e2");
}

// Guards against a slow store that is taken for one that is down.
BOOST_AUTO_TEST_CASE(SlowStoreStillTakesEdits)
{
  SetFaults(R"({"slow_ms":200})");
  Edit("e1", { SetPool("one") });
  BOOST_TEST(Read().revision_.number_ == 1);
}

// Guards against a store slower than the time limit: the write may still take
// effect, and must neither be lost nor repeated.
BOOST_AUTO_TEST_CASE(TooSlowStoreIsSettledOnceItRecovers)
{
  Edit("e1", { SetPool("one") });
  const auto base = Read();
  const auto plan = CaptureResult(
    [&] { return EditPlan::Make(base, MakeEdit("e2", { SetPool("two") })); });
  SetFaults(R"({"slow_ms":800})");
  const auto answer = Run(client_.Commit(MakeEditTransaction(*plan)));
  BOOST_REQUIRE(answer.has_error());
  BOOST_CHECK(answer.error().verdict_ == Verdict::MayHaveRun);
  SetFaults("{}");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto repeat = Run(client_.Commit(MakeEditTransaction(*plan)));
  BOOST_REQUIRE(repeat.has_value());
  BOOST_TEST(!repeat->succeeded_);
  BOOST_TEST(Read().revision_.editId_ == "e2");
}

// Guards against edits on a store that was restored from an old backup.
BOOST_AUTO_TEST_CASE(RestoredStoreIsNotWritten)
{
  Edit("e1", { SetPool("one") });
  Call("POST", "/test/snapshot");
  const EditOutcome newest = Edit("e2", { SetPool("two") });
  Call("POST", "/test/restore");
  EditRequest request = MakeEdit("e3", { SetPool("three") });
  request.knownRevision_ = newest.revision_;
  const auto refused = TryEdit(request);
  BOOST_REQUIRE(refused.has_error());
  BOOST_TEST(refused.error().message_ ==
             "the store is at revision 1 (edit e1), but an entry has revision "
             "2 (edit e2); the store is older");
  request.recoversStore_ = true;
  const auto recovered = TryEdit(request);
  BOOST_REQUIRE(recovered.has_value());
  BOOST_TEST(recovered->revision_.number_ == 3);
  BOOST_TEST(Read().revision_.parentEditId_ == "e2");
}

// Guards against an edit that adopts a row written past the tool.
BOOST_AUTO_TEST_CASE(RowWrittenPastTheToolIsReported)
{
  Edit("e1", { SetPool("one") });
  Put({ { MakeRowKey(TableKind::Pools, "stray"), "{\"color\":1}", {} } });
  EditRequest request = MakeEdit("e2", { SetPool("two") });
  const auto stray = TryEdit(request);
  BOOST_REQUIRE(stray.has_error());
  BOOST_TEST(stray.error().message_.find("past the tool") != std::string::npos);
  request.acceptsStoreRows_ = true;
  const auto invalid = TryEdit(request);
  BOOST_REQUIRE(invalid.has_error());
  BOOST_TEST(invalid.error().message_.find("pools/stray") != std::string::npos);
  request.changes_.push_back({ TableKind::Pools, "stray", std::nullopt });
  BOOST_TEST(TryEdit(request).has_value());
}

// Guards against an audit that grows without bound.
BOOST_AUTO_TEST_CASE(AuditIsBounded)
{
  Edit("e1", { SetPool("one") });
  TableRevision head = Read().revision_;
  head.number_ = kAuditEntries + 1;
  Put({ { std::string(kHeadKey), SerializeTableRevision(head), {} } });
  Edit("e2", { SetPool("two") });
  const auto audit = Run(ReadAuditEntries(client_, 10));
  BOOST_REQUIRE(audit.has_value());
  BOOST_REQUIRE(audit->size() == 1U);
  BOOST_TEST(audit->front().revision_.number_ == kAuditEntries + 2);
}

// Guards against values that fit the store's limit but not the client's.
BOOST_AUTO_TEST_CASE(ValuesUpToOneMegabyteAreStored)
{
  // The short time limit of the other tests is not what this one is about.
  clientSettings_.answerTimeout_ = std::chrono::seconds(20);
  EtcdClient client = MakeClient();
  const std::string value(std::size_t{ 1 } << 20, '\xfe');
  Transaction transaction;
  transaction.success_ = { PutRequest{ "large", value, {} } };
  BOOST_REQUIRE(Run(client.Commit(transaction)).has_value());
  RangeRequest request;
  request.key_ = "large";
  const auto answer = Run(client.Range(request));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(answer->keyValues_.size() == 1U);
  BOOST_TEST((answer->keyValues_[0].value_ == value));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
