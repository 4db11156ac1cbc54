#include <boost/test/unit_test.hpp>

#include <azurecross_operations/azurecross_operations.h>

namespace azurecross {

namespace {

using Outcome = OperationLedger::BeginOutcome;

OperationRecord
MakeRecord(const std::string& aAttempt, std::int64_t aExpires = 1000)
{
  OperationRecord record;
  record.attempt_ = aAttempt;
  record.fingerprint_ = 1;
  record.expiresMilliseconds_ = aExpires;
  return record;
}

} // namespace

// Guards against a second attempt that runs beside or after the first.
BOOST_AUTO_TEST_CASE(LedgerAllowsOneAttempt)
{
  OperationLedger ledger;
  BOOST_CHECK(ledger.Begin("id", MakeRecord("a")) == Outcome::Run);
  BOOST_CHECK(ledger.Begin("id", MakeRecord("a")) == Outcome::Run);
  BOOST_CHECK(ledger.Begin("id", MakeRecord("b")) == Outcome::Known);
  BOOST_TEST(!ledger.Finish("id", "b", Verdict::NotRun, {}));
  BOOST_TEST(ledger.Finish("id", "a", Verdict::MayHaveRun, {}));
  BOOST_CHECK(ledger.Begin("id", MakeRecord("a")) == Outcome::Known);
  BOOST_TEST(!ledger.Finish("id", "a", Verdict::NotRun, {}));
  BOOST_CHECK(ledger.Find("id")->state_ == OperationState::Unknown);
}

// Guards against a key that can't be used again although nothing ran.
BOOST_AUTO_TEST_CASE(NotRunFreesTheKey)
{
  OperationLedger ledger;
  ledger.Begin("id", MakeRecord("a"));
  BOOST_TEST(ledger.Finish("id", "a", Verdict::NotRun, {}));
  BOOST_CHECK(ledger.Begin("id", MakeRecord("b")) == Outcome::Run);
}

// Guards against one key used for two requests.
BOOST_AUTO_TEST_CASE(DifferentRequestIsAConflict)
{
  OperationLedger ledger;
  ledger.Begin("id", MakeRecord("a"));
  OperationRecord other = MakeRecord("b");
  other.fingerprint_ = 2;
  BOOST_CHECK(ledger.Begin("id", other) == Outcome::Conflict);
  other = MakeRecord("b");
  other.customer_ = CustomerId("other");
  BOOST_CHECK(ledger.Begin("id", other) == Outcome::Conflict);
}

// Guards against unbounded memory, and against a full ledger that forgets
// what ran.
BOOST_AUTO_TEST_CASE(LedgerIsBounded)
{
  LedgerLimits limits;
  limits.recordLimit_ = 3;
  limits.answerLimitBytes_ = 10;
  limits.totalAnswerLimitBytes_ = 12;
  OperationLedger ledger(limits);
  for (const char* id : { "1", "2", "3" }) {
    ledger.Begin(id, MakeRecord(id));
    ledger.Finish(id, id, Verdict::Ran, StoredAnswer{ 200, "", "12345678" });
  }
  BOOST_CHECK(ledger.Begin("4", MakeRecord("4")) == Outcome::Full);
  BOOST_TEST(ledger.CountAnswerBytes() == 8U);
  BOOST_TEST(!ledger.Find("1")->answer_.has_value());
  BOOST_CHECK(ledger.Find("1")->state_ == OperationState::Finished);
  BOOST_TEST(ledger.Find("3")->answer_.has_value());
}

// Guards against records that are dropped early or never.
BOOST_AUTO_TEST_CASE(RecordsExpire)
{
  OperationLedger ledger;
  ledger.Begin("early", MakeRecord("a", 100));
  ledger.Begin("late", MakeRecord("b", 200));
  ledger.Finish("early", "a", Verdict::Ran, StoredAnswer{ 200, "", "x" });
  ledger.Expire(99);
  BOOST_TEST(ledger.CountRecords() == 2U);
  ledger.Expire(100);
  BOOST_TEST(ledger.CountRecords() == 1U);
  BOOST_TEST(ledger.CountAnswerBytes() == 0U);
  BOOST_TEST(ledger.Find("late") != nullptr);
}

} // namespace azurecross
