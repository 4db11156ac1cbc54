#include "test_support/PlatformFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

BOOST_FIXTURE_TEST_SUITE(StoreTests, PlatformFixture)

// Guards against a comparison that lets two creators through; claims and edits
// rest on it.
BOOST_AUTO_TEST_CASE(KeyIsCreatedOnce)
{
  Transaction create;
  create.compares_ = { { "claim", CompareTarget::CreateRevision, 0 } };
  create.success_ = { PutRequest{ "claim", "first", {} } };
  RangeRequest range;
  range.key_ = "claim";
  create.failure_ = { range };
  BOOST_TEST(Run(client_.Commit(create))->succeeded_);
  create.success_ = { PutRequest{ "claim", "second", {} } };
  const auto answer = Run(client_.Commit(create));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(!answer->succeeded_);
  BOOST_REQUIRE(answer->ranges_.size() == 1U);
  BOOST_TEST(answer->ranges_[0].keyValues_.at(0).value_ == "first");
}

// Guards against a range that reports too much or in the wrong order.
BOOST_AUTO_TEST_CASE(RangeKeepsItsLimitAndOrder)
{
  Put({ { "k/1", "a", {} }, { "k/2", "b", {} }, { "l", "c", {} } });
  RangeRequest request;
  request.key_ = "k/";
  request.rangeEnd_ = MakeRangeEnd("k/");
  request.limit_ = 1;
  request.isDescending_ = true;
  const auto answer = Run(client_.Range(request));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(answer->keyValues_.size() == 1U);
  BOOST_TEST(answer->keyValues_[0].key_ == "k/2");
  BOOST_TEST(answer->hasMore_);
}

// Guards against a lease whose keys outlive it, and against a holder that is
// not told that its lease has lapsed.
BOOST_AUTO_TEST_CASE(LeaseExpiresWithItsKeys)
{
  const auto lease = Run(client_.GrantLease(std::chrono::seconds(1)));
  BOOST_REQUIRE(lease.has_value());
  Put({ { "held", "me", lease->id_ } });
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  const auto kept = Run(client_.KeepLease(lease->id_));
  BOOST_REQUIRE(kept.has_value());
  BOOST_TEST(kept->timeToLive_.count() == 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  RangeRequest request;
  request.key_ = "held";
  BOOST_TEST(Run(client_.Range(request))->keyValues_.size() == 1U);
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  BOOST_TEST(Run(client_.Range(request))->keyValues_.empty());
  BOOST_TEST(Run(client_.KeepLease(lease->id_))->timeToLive_.count() == 0);
}

// Guards against a revoked lease that still holds its keys.
BOOST_AUTO_TEST_CASE(RevokedLeaseReleasesItsKeys)
{
  const auto lease = Run(client_.GrantLease(std::chrono::seconds(60)));
  Put({ { "held", "me", lease->id_ } });
  BOOST_TEST(Run(client_.RevokeLease(lease->id_)).has_value());
  RangeRequest request;
  request.key_ = "held";
  BOOST_TEST(Run(client_.Range(request))->keyValues_.empty());
  const auto again = Run(client_.RevokeLease(lease->id_));
  BOOST_REQUIRE(again.has_error());
  BOOST_CHECK(again.error().verdict_ == Verdict::NotRun);
}

// Guards against a transaction that the real store refuses being accepted by
// the stand-in.
BOOST_AUTO_TEST_CASE(StandinKeepsTheLimitsOfTheStore)
{
  Transaction twice;
  twice.success_ = { PutRequest{ "k", "a", {} }, PutRequest{ "k", "b", {} } };
  BOOST_TEST(Run(client_.Commit(twice)).has_error());
  Transaction many;
  for (int at = 0; at < 129; ++at) {
    many.success_.emplace_back(PutRequest{ "k" + std::to_string(at), "v", {} });
  }
  BOOST_TEST(Run(client_.Commit(many)).has_error());
  Transaction unknownLease;
  unknownLease.success_ = { PutRequest{ "k", "a", LeaseId(5) } };
  BOOST_TEST(Run(client_.Commit(unknownLease)).has_error());
  RangeRequest request;
  request.key_ = "k";
  BOOST_TEST(Run(client_.Range(request))->keyValues_.empty());
}

// Guards against a client that stays with a member that is gone.
BOOST_AUTO_TEST_CASE(NextMemberIsUsedAfterAFailure)
{
  clientSettings_.addresses_ = { { "127.0.0.1", 1 }, standin_.GetAddress() };
  EtcdClient client = MakeClient();
  RangeRequest request;
  request.key_ = "k";
  const auto failed = Run(client.Range(request));
  BOOST_REQUIRE(failed.has_error());
  BOOST_CHECK(failed.error().verdict_ == Verdict::NotRun);
  BOOST_TEST(Run(client.Range(request)).has_value());
  BOOST_TEST(client.GetCallCount() == 2U);
}

// Guards against a VM list that is read wrongly or silently empty in an outage.
BOOST_AUTO_TEST_CASE(VmListIsReadAndItsOutageReported)
{
  VmListClient client(context_.get_executor(), standin_.GetAddress());
  Call("PUT",
       "/v1/vms",
       R"({"vms":[{"id":"v1","role":"backend","group":"g",
           "availability_zone":"z","address":"10.0.0.1:80","state":"leaving"}]})");
  const auto list = Run(client.Fetch());
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->version_ == 1);
  BOOST_REQUIRE(list->vms_.size() == 1U);
  BOOST_CHECK(list->vms_[0].state_ == VmState::Leaving);
  SetFaults(R"({"vms_down":true})");
  BOOST_TEST(Run(client.Fetch()).has_error());
  BOOST_TEST(ReadCount("vms") == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
