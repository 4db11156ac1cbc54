#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace azurecross {
namespace {

std::vector<PrefixIndex::Match>
FindMatches(const PrefixIndex& aIndex,
            const std::vector<std::uint64_t>& aHashes,
            Time aNow)
{
  std::vector<PrefixIndex::Match> matches;
  aIndex.FindLongestMatches(aHashes, aNow, matches);
  return matches;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTests)

// Guards against a match of a shorter prefix that hides a longer one on another
// server.
BOOST_AUTO_TEST_CASE(FindsOnlyTheLongestPrefix)
{
  PrefixIndex index;
  const Time now{};
  index.ApplyCacheEvent(1, 1, { 10, 11 }, {}, now);
  index.ApplyCacheEvent(2, 1, { 10, 11, 12, 13 }, {}, now);
  const auto matches = FindMatches(index, { 10, 11, 12, 13, 99 }, now);
  BOOST_REQUIRE(matches.size() == 1U);
  BOOST_TEST(matches[0].server_ == 2U);
  BOOST_TEST(matches[0].blocks_ == 4U);
  BOOST_TEST(FindMatches(index, { 50 }, now).empty());
}

// Guards against wrong entries that never expire: removed prefixes, prefixes
// stored before lost events, and prefixes that no event confirmed.
BOOST_AUTO_TEST_CASE(OutdatedEntriesExpire)
{
  PrefixIndex index;
  Time now{};
  index.ApplyCacheEvent(1, 1, { 10 }, {}, now);
  index.ApplyCacheEvent(1, 2, {}, { 10 }, now);
  BOOST_TEST(FindMatches(index, { 10 }, now).empty());
  index.ApplyCacheEvent(1, 3, { 20 }, {}, now);
  now += std::chrono::seconds(1);
  index.ApplyCacheEvent(1, 9, { 30 }, {}, now);
  BOOST_TEST(FindMatches(index, { 20 }, now).size() == 1U);
  now += std::chrono::seconds(40);
  BOOST_TEST(FindMatches(index, { 20 }, now).empty());
  BOOST_TEST(FindMatches(index, { 30 }, now).size() == 1U);
  index.AddPrompt(2, { 40 }, now);
  BOOST_TEST(FindMatches(index, { 40 }, now).size() == 1U);
  now += std::chrono::seconds(20);
  BOOST_TEST(FindMatches(index, { 40 }, now).empty());
}

// Guards against unbounded memory use of the index.
RC_BOOST_PROP(EntryCountIsBounded, (const std::vector<std::uint64_t>& aHashes))
{
  PrefixIndex index(10);
  for (std::uint64_t hash : aHashes) {
    index.ApplyCacheEvent(hash % 3, 0, { hash }, {}, Time());
    RC_ASSERT(index.CountEntries() <= 10U);
  }
}

// Guards against placement that ignores cached prefixes, and against an
// overloaded engine that receives all requests with a popular prefix.
BOOST_FIXTURE_TEST_CASE(PrefixIsPreferredWithinLoadBound, ArbiterFixture)
{
  arbiter_.SetBackendServers(
    { MakeEngine("s1"), MakeEngine("s2"), MakeEngine("s3") }, now_, actions_);
  std::vector<std::uint64_t> prefix;
  for (std::uint64_t block = 0; block < 64; ++block) {
    prefix.push_back(1000 + block);
  }
  arbiter_.ReportCacheEvent({ BackendServerId("s2"), 1, prefix, {} }, now_);
  int onCachingServer = 0;
  int onOtherServers = 0;
  for (int count = 0; count < 40; ++count) {
    GrantRequest request = MakeEngineRequest("r" + std::to_string(count));
    request.prefixHashes_ = prefix;
    request.promptTokens_ = 1024;
    arbiter_.Enqueue(request, now_, actions_);
    for (const GrantAction& grant : TakeActions<GrantAction>()) {
      const bool isCachingServer =
        grant.backendServer_ == BackendServerId("s2");
      BOOST_TEST((count > 0 || isCachingServer));
      ++(isCachingServer ? onCachingServer : onOtherServers);
    }
  }
  BOOST_TEST(onCachingServer > 0);
  BOOST_TEST(onOtherServers > 0);
}

// Guards against spillover below saturation, of all requests at once, or to a
// zone without recent summaries.
BOOST_AUTO_TEST_CASE(SpilloverGrowsWithSaturation)
{
  const AvailabilityZone local("local");
  const AvailabilityZone other("other");
  const auto countSpilled = [&](std::uint32_t aLocalRunning, Duration aAge) {
    ZoneRouter router(local, 1);
    const Time start{};
    router.ReportSummary(other, { {}, { 10, 0 }, 100, 0.1 }, start);
    const Time now = start + aAge;
    router.ReportSummary(local, { {}, { aLocalRunning, 0 }, 100, 0.0 }, now);
    int spilled = 0;
    for (int count = 0; count < 1000; ++count) {
      spilled += router.ChooseZone(Rank::Urgent, now) == other ? 1 : 0;
    }
    return spilled;
  };
  BOOST_TEST(countSpilled(80, Duration{}) == 0);
  const int partlySpilled = countSpilled(105, Duration{});
  BOOST_TEST(partlySpilled > 100);
  BOOST_TEST(partlySpilled < 600);
  BOOST_TEST(countSpilled(200, Duration{}) > partlySpilled);
  BOOST_TEST(countSpilled(200, Duration{}) < 900);
  BOOST_TEST(countSpilled(200, std::chrono::seconds(10)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
