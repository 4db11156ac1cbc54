#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace azurecross {
namespace {

std::vector<PrefixIndex::Match>
Find(const PrefixIndex& aIndex,
     const std::vector<std::uint64_t>& aHashes,
     Time aNow)
{
  std::vector<PrefixIndex::Match> matches;
  aIndex.FindLongestMatches(aHashes, aNow, matches);
  return matches;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTests)

// Guards against a shorter prefix that hides a longer one.
BOOST_AUTO_TEST_CASE(LongestPrefixIsFound)
{
  PrefixIndex index;
  const Time now{};
  index.ApplyCacheEvent(1, 1, { 10, 11 }, {}, now);
  index.ApplyCacheEvent(2, 1, { 10, 11, 12, 13 }, {}, now);
  const auto matches = Find(index, { 10, 11, 12, 13, 99 }, now);
  BOOST_REQUIRE(matches.size() == 1U);
  BOOST_TEST(matches[0].server_ == 2U);
  BOOST_TEST(matches[0].blocks_ == 4U);
  BOOST_TEST(Find(index, { 50 }, now).empty());
}

// Guards against entries that stay wrong for ever: removed ones, ones from
// before lost events, and ones that no event ever confirmed.
BOOST_AUTO_TEST_CASE(WrongEntriesExpire)
{
  PrefixIndex index;
  Time now{};
  index.ApplyCacheEvent(1, 1, { 10 }, {}, now);
  index.ApplyCacheEvent(1, 2, {}, { 10 }, now);
  BOOST_TEST(Find(index, { 10 }, now).empty());
  index.ApplyCacheEvent(1, 3, { 20 }, {}, now);
  now += std::chrono::seconds(1);
  index.ApplyCacheEvent(1, 9, { 30 }, {}, now);
  BOOST_TEST(Find(index, { 20 }, now).size() == 1U);
  now += std::chrono::seconds(40);
  BOOST_TEST(Find(index, { 20 }, now).empty());
  BOOST_TEST(Find(index, { 30 }, now).size() == 1U);
  index.AddPrompt(2, { 40 }, now);
  BOOST_TEST(Find(index, { 40 }, now).size() == 1U);
  now += std::chrono::seconds(20);
  BOOST_TEST(Find(index, { 40 }, now).empty());
}

// Guards against an index that grows without bound.
RC_BOOST_PROP(IndexIsBounded, (const std::vector<std::uint64_t>& aHashes))
{
  PrefixIndex index(10);
  for (std::uint64_t hash : aHashes) {
    index.ApplyCacheEvent(hash % 3, 0, { hash }, {}, Time());
    RC_ASSERT(index.CountEntries() <= 10U);
  }
}

// Guards against prompts spread over all engines, and against an engine that
// gets all work because it holds a popular prefix.
BOOST_FIXTURE_TEST_CASE(PrefixIsPreferredWithinLoadBound, ArbiterFixture)
{
  arbiter_.SetBackendServers(
    { MakeEngine("s1"), MakeEngine("s2"), MakeEngine("s3") }, now_, actions_);
  std::vector<std::uint64_t> prefix;
  for (std::uint64_t block = 0; block < 64; ++block) {
    prefix.push_back(1000 + block);
  }
  arbiter_.ReportCacheEvent({ BackendServerId("s2"), 1, prefix, {} }, now_);
  int onHolder = 0;
  int elsewhere = 0;
  for (int count = 0; count < 40; ++count) {
    GrantRequest request = MakeRequest("r" + std::to_string(count));
    request.prefixHashes_ = prefix;
    request.promptTokens_ = 1024;
    arbiter_.Enqueue(request, now_, actions_);
    for (const GrantAction& grant : Take<GrantAction>()) {
      const bool isHolder = grant.backendServer_ == BackendServerId("s2");
      BOOST_TEST((count > 0 || isHolder));
      ++(isHolder ? onHolder : elsewhere);
    }
  }
  BOOST_TEST(onHolder > 0);
  BOOST_TEST(elsewhere > 0);
}

// Guards against requests that leave their zone without need, all at once, or
// for a zone that has gone silent.
BOOST_AUTO_TEST_CASE(SpillFollowsSaturation)
{
  const AvailabilityZone own("own");
  const AvailabilityZone other("other");
  const auto countSpilled = [&](std::uint32_t aOwnRunning, Duration aAge) {
    ZoneRouter router(own, 1);
    const Time start{};
    router.ReportSummary(other, { {}, { 10, 0 }, 100, 0.1 }, start);
    const Time now = start + aAge;
    router.ReportSummary(own, { {}, { aOwnRunning, 0 }, 100, 0.0 }, now);
    int spilled = 0;
    for (int count = 0; count < 1000; ++count) {
      spilled += router.ChooseZone(Rank::Urgent, now) == other ? 1 : 0;
    }
    return spilled;
  };
  BOOST_TEST(countSpilled(80, Duration{}) == 0);
  const int some = countSpilled(105, Duration{});
  BOOST_TEST(some > 100);
  BOOST_TEST(some < 600);
  BOOST_TEST(countSpilled(200, Duration{}) > some);
  BOOST_TEST(countSpilled(200, Duration{}) < 900);
  BOOST_TEST(countSpilled(200, std::chrono::seconds(10)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
