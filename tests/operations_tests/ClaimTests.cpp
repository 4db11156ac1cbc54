#include <boost/test/unit_test.hpp>

#include <azurecross_operations/azurecross_operations.h>

#include <rapidcheck.h>

namespace azurecross {

namespace {

ClaimRecord
MakeClaim(const std::string& aAttempt)
{
  ClaimRecord claim;
  claim.customer_ = CustomerId("c");
  claim.key_ = "k";
  claim.attempt_ = aAttempt;
  claim.holder_ = EntryId("e");
  return claim;
}

ClaimWrite
MakeWrite(std::uint64_t aId, const std::string& aStoreKey)
{
  return { aId, aStoreKey, 0, "value", 0 };
}

} // namespace

// Guards against claims that another entry reads differently.
BOOST_AUTO_TEST_CASE(ClaimsSurviveTheirText)
{
  BOOST_TEST(rc::check("decode is the inverse of encode", [] {
    ClaimRecord claim = MakeClaim("a");
    claim.fingerprint_ = *rc::gen::arbitrary<std::uint64_t>();
    claim.incarnation_ = Incarnation(*rc::gen::arbitrary<std::uint64_t>());
    claim.expiresMilliseconds_ = *rc::gen::arbitrary<std::int64_t>();
    claim.state_ = *rc::gen::element(
      ClaimState::Claimed, ClaimState::Finished, ClaimState::Unknown);
    if (*rc::gen::arbitrary<bool>()) {
      claim.answer_ = StoredAnswer{ 201,
                                    "text/plain",
                                    *rc::gen::container<std::string>(
                                      rc::gen::inRange<char>(' ', '~')) };
    }
    RC_ASSERT(DecodeClaim(EncodeClaim(claim)) == claim);
  }));
}

// Guards against a damaged claim that looks like a free one.
BOOST_AUTO_TEST_CASE(DamagedClaimsAreRefused)
{
  const std::string text = EncodeClaim(MakeClaim("a"));
  for (std::size_t length = 0; length < text.size(); ++length) {
    BOOST_TEST(!DecodeClaim(text.substr(0, length)).has_value());
  }
  BOOST_TEST(!DecodeClaim("[]").has_value());
  BOOST_TEST(!DecodeClaim(R"({"state":"claimed"})").has_value());
}

// Guards against two customers whose keys share a claim.
BOOST_AUTO_TEST_CASE(StoreKeysDependOnTheCustomer)
{
  BOOST_TEST(MakeClaimStoreKey(CustomerId("a"), "bc") !=
             MakeClaimStoreKey(CustomerId("ab"), "c"));
}

// Guards against a run under a claim of another attempt.
BOOST_AUTO_TEST_CASE(OnlyTheHoldingAttemptRuns)
{
  ClaimRecord found = MakeClaim("a");
  BOOST_CHECK(DecideClaim(found, MakeClaim("a")) == ClaimAction::Run);
  BOOST_CHECK(DecideClaim(found, MakeClaim("b")) == ClaimAction::AskHolder);
  found.state_ = ClaimState::Unknown;
  BOOST_CHECK(DecideClaim(found, MakeClaim("a")) == ClaimAction::ReportUnknown);
  found.state_ = ClaimState::Finished;
  BOOST_CHECK(DecideClaim(found, MakeClaim("b")) == ClaimAction::ReportRan);
  found.answer_ = StoredAnswer{};
  BOOST_CHECK(DecideClaim(found, MakeClaim("b")) == ClaimAction::Replay);
  found.fingerprint_ = 9;
  BOOST_CHECK(DecideClaim(found, MakeClaim("b")) ==
              ClaimAction::ReportConflict);
}

// Guards against one store call for each claim under load, and against a
// transaction that the store refuses.
BOOST_AUTO_TEST_CASE(WritesAreGrouped)
{
  ClaimWriterLimits limits;
  limits.inFlightLimit_ = 1;
  ClaimWriter writer(limits);
  writer.Add(MakeWrite(1, "a"));
  const auto first = writer.TakeBatch(Time{});
  BOOST_REQUIRE(first.has_value());
  for (std::uint64_t id = 2; id < 12; ++id) {
    writer.Add(MakeWrite(id, "key-" + std::to_string(id)));
  }
  writer.Add(MakeWrite(12, "key-2"));
  BOOST_TEST(!writer.TakeBatch(Time{}).has_value());
  std::vector<ClaimWriteResult> results(1);
  BOOST_TEST(writer.TakeResults(first->id_, results).has_value());
  const auto second = writer.TakeBatch(Time{});
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->writes_.size() == 10U);
  BOOST_TEST(writer.CountQueued() == 1U);
}

// Guards against a write that is lost because a sibling had a conflict.
BOOST_AUTO_TEST_CASE(SiblingsOfAConflictAreSentAgain)
{
  ClaimWriter writer;
  writer.Add(MakeWrite(1, "a"));
  writer.Add(MakeWrite(2, "b"));
  writer.Add(MakeWrite(3, "c"));
  const auto batch = writer.TakeBatch(Time{});
  writer.Withdraw(3);
  std::vector<ClaimWriteResult> results = {
    { ClaimWriteOutcome::Conflict, 5, "x" },
    { ClaimWriteOutcome::NotApplied, 0, {} },
    { ClaimWriteOutcome::NotApplied, 0, {} }
  };
  const auto taken = writer.TakeResults(batch->id_, results);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST(taken->writes_.size() == 1U);
  BOOST_CHECK(results.at(0).outcome_ == ClaimWriteOutcome::Conflict);
  const auto again = writer.TakeBatch(Time{});
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->writes_.size() == 1U);
  BOOST_TEST(again->writes_[0].id_ == 2U);
}

} // namespace azurecross
