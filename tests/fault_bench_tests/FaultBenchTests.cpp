#define BOOST_TEST_MODULE fault_bench_tests
#include <boost/test/unit_test.hpp>

#include <checks/RecordChecks.h>
#include <checks/TokenChecker.h>

#include <initializer_list>

// Guards against checks of the fault bench that can't fail: each case feeds one
// broken promise and expects exactly its count.
namespace azurecross {

namespace {

std::string
MakeEvent(const std::string& aToken)
{
  return "id: e." + aToken +
         "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + aToken +
         "\"}}]}\n\n";
}

/** @returns the figures of a stream of these tokens, of four wanted. */
Figures
CheckTokens(std::initializer_list<const char*> aTokens)
{
  Figures figures;
  StreamRecord record;
  record.requestId_ = "stream-1";
  record.wanted_ = 4;
  TokenChecker checker(figures, record);
  for (const char* token : aTokens) {
    checker.Take(MakeEvent(token));
  }
  checker.Take("data: [DONE]\n\n");
  checker.CheckEnd();
  return figures;
}

OperationRecord
MakeOperation(const std::string& aVerdict, bool aIsAnswered)
{
  OperationRecord operation;
  operation.body_ = "booking 1";
  operation.attempts_.push_back({ "operation-1", aVerdict, 1000 });
  operation.isAnswered_ = aIsAnswered;
  return operation;
}

Figures
CheckRuns(const OperationRecord& aOperation,
          const std::vector<BackendRun>& aRuns)
{
  BackendRecord record;
  if (!aRuns.empty()) {
    record.runs_[aOperation.body_] = aRuns;
  }
  Figures figures;
  CheckOperations({ aOperation }, record, figures);
  return figures;
}

} // namespace

BOOST_AUTO_TEST_CASE(WholeStreamIsFine)
{
  const Figures figures = CheckTokens({ "g:0", "g:1", "g:2", "g:3" });
  BOOST_TEST(figures.tokens_ == 4);
  BOOST_TEST(figures.CountViolations() == 0);
}

BOOST_AUTO_TEST_CASE(LostTokensAreCounted)
{
  BOOST_TEST(CheckTokens({ "g:0", "g:3" }).tokensLost_ == 2);
  BOOST_TEST(CheckTokens({ "g:0", "g:1", "g:2" }).tokensLost_ == 1);
}

BOOST_AUTO_TEST_CASE(RepeatedTokensAreCounted)
{
  const Figures figures = CheckTokens({ "g:0", "g:1", "g:1", "g:2", "g:3" });
  BOOST_TEST(figures.tokensRepeated_ == 1);
  BOOST_TEST(figures.CountViolations() == 1);
}

BOOST_AUTO_TEST_CASE(SecondGenerationIsCounted)
{
  const Figures figures = CheckTokens({ "g:0", "h:1", "g:1", "g:2", "g:3" });
  BOOST_TEST(figures.tokensFromSecondGeneration_ == 1);
  BOOST_TEST(figures.CountViolations() == 1);
}

BOOST_AUTO_TEST_CASE(ForeignTokensAreCounted)
{
  const Figures figures =
    CheckTokens({ "g:0", "crossed-x:1", "g:1", "g:2", "g:3" });
  BOOST_TEST(figures.crossedAnswers_ == 1);
  BOOST_TEST(figures.CountViolations() == 1);
}

BOOST_AUTO_TEST_CASE(ForeignGenerationIsCounted)
{
  BackendRecord record;
  record.requestsByGeneration_["g"] = "stream-2";
  Figures figures;
  CheckStreams({ { "stream-1", "g", 4, 4, true } }, record, figures);
  BOOST_TEST(figures.crossedAnswers_ == 1);
  record.requestsByGeneration_["g"] = "stream-1";
  CheckStreams({ { "stream-1", "g", 4, 4, true } }, record, figures);
  BOOST_TEST(figures.crossedAnswers_ == 1);
}

BOOST_AUTO_TEST_CASE(SecondRunsAreCounted)
{
  const OperationRecord operation = MakeOperation("", true);
  BOOST_TEST(
    CheckRuns(operation, { { "operation-1", 900 } }).CountViolations() == 0);
  BOOST_TEST(
    CheckRuns(operation, { { "operation-1", 900 }, { "operation-2", 2000 } })
      .doubleRuns_ == 1);
}

BOOST_AUTO_TEST_CASE(DeniedRunsAreCounted)
{
  const OperationRecord refused = MakeOperation("not_run", false);
  BOOST_TEST(CheckRuns(refused, {}).CountViolations() == 0);
  BOOST_TEST(CheckRuns(refused, { { "operation-1", 2000 } }).falseNotRun_ == 1);
  // A run under an earlier attempt is denied as well; one under a later is not.
  BOOST_TEST(CheckRuns(refused, { { "operation-0", 900 } }).falseNotRun_ == 1);
  BOOST_TEST(CheckRuns(refused, { { "operation-2", 2000 } }).falseNotRun_ == 0);
}

BOOST_AUTO_TEST_CASE(AnswersWithoutARunAreCounted)
{
  BOOST_TEST(CheckRuns(MakeOperation("", true), {}).crossedAnswers_ == 1);
}

BOOST_AUTO_TEST_CASE(AnswersOfOthersAreCounted)
{
  const OperationRecord operation = MakeOperation("", true);
  Figures figures;
  const std::string own = R"({"echo":"booking 1"})";
  CheckAnswer(operation, "operation-1", own, figures);
  BOOST_TEST(figures.crossedAnswers_ == 0);
  CheckAnswer(operation, "operation-2", own, figures);
  CheckAnswer(operation, "operation-1", R"({"echo":"booking 2"})", figures);
  CheckAnswer(operation, "operation-1", "not JSON", figures);
  BOOST_TEST(figures.crossedAnswers_ == 3);
}

BOOST_AUTO_TEST_CASE(RevertedEditsAreCounted)
{
  Figures figures;
  std::int64_t highest = 0;
  for (const std::int64_t revision : { 3, 3, 5, 4, 5 }) {
    CheckRevision("entry-1", revision, highest, figures);
  }
  BOOST_TEST(figures.revertedEdits_ == 1);
  BOOST_TEST(highest == 5);
}

BOOST_AUTO_TEST_CASE(LateWorkIsCounted)
{
  Figures figures;
  CheckLeaving("engine-1", 3000, figures);
  BOOST_TEST(figures.workAfterLeaving_ == 0);
  CheckLeaving("engine-1", 3001, figures);
  BOOST_TEST(figures.workAfterLeaving_ == 1);
}

} // namespace azurecross
