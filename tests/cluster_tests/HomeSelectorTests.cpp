#include <boost/test/unit_test.hpp>

#include <azurecross_cluster/azurecross_cluster.h>

#include <map>

namespace azurecross {

namespace {

constexpr int kMembers = 47;
constexpr std::uint32_t kGroups = 4000;

std::vector<HomeCandidate>
MakeMembers(int aCount)
{
  std::vector<HomeCandidate> members;
  members.reserve(aCount);
  for (int index = 0; index < aCount; ++index) {
    members.push_back({ EntryId("entry-" + std::to_string(index)), 1.0 });
  }
  return members;
}

GroupId
MakeGroup(std::uint32_t aShard)
{
  return { PoolName("engines"), AvailabilityZone("helwan"), aShard };
}

} // namespace

BOOST_AUTO_TEST_SUITE(HomeSelection)

// Guards against a home entry that depends on the order of the members.
BOOST_AUTO_TEST_CASE(OrderOfMembersDoesNotMatter)
{
  HomeSelector first;
  HomeSelector second;
  auto members = MakeMembers(kMembers);
  first.SetMembers(members);
  std::reverse(members.begin(), members.end());
  second.SetMembers(members);
  for (std::uint32_t shard = 0; shard < kGroups; ++shard) {
    BOOST_REQUIRE((first.ChooseHome(MakeGroup(shard)) ==
                   second.ChooseHome(MakeGroup(shard))));
  }
  const AvailabilityZone zone("helwan");
  BOOST_TEST((first.ChooseWatchers(zone) == second.ChooseWatchers(zone)));
}

// Guards against groups that move although their home entry stays, when one
// member leaves or one joins.
BOOST_AUTO_TEST_CASE(OnlyTheLeaversGroupsMove)
{
  HomeSelector before;
  HomeSelector after;
  auto members = MakeMembers(kMembers);
  before.SetMembers(members);
  const EntryId leaver = members[20].entry_;
  members.erase(members.begin() + 20);
  after.SetMembers(members);
  std::uint32_t moved = 0;
  for (std::uint32_t shard = 0; shard < kGroups; ++shard) {
    const auto home = before.ChooseHome(MakeGroup(shard));
    if (home == leaver) {
      ++moved;
      continue;
    }
    BOOST_REQUIRE((home == after.ChooseHome(MakeGroup(shard))));
  }
  // One of 47 members holds about 1/47 of the groups.
  BOOST_TEST(moved < 2 * kGroups / kMembers);
}

// Guards against an entry of double size that gets the share of a usual one.
BOOST_AUTO_TEST_CASE(ShareFollowsEntrySize)
{
  HomeSelector selector;
  auto members = MakeMembers(6);
  members[0].size_ = 2.0;
  selector.SetMembers(members);
  std::map<EntryId, std::uint32_t> shares;
  for (std::uint32_t shard = 0; shard < kGroups; ++shard) {
    ++shares[*selector.ChooseHome(MakeGroup(shard))];
  }
  const double expected = kGroups / 7.0;
  for (const auto& member : members) {
    const double share = shares[member.entry_];
    BOOST_TEST(share > 0.85 * expected * member.size_);
    BOOST_TEST(share < 1.15 * expected * member.size_);
  }
}

// Guards against a failure with no member or fewer members than roles.
BOOST_AUTO_TEST_CASE(FewMembersAreEnough)
{
  HomeSelector selector;
  const AvailabilityZone zone("helwan");
  BOOST_TEST(!selector.ChooseHome(MakeGroup(0)).has_value());
  BOOST_TEST(selector.ChooseWatchers(zone).empty());
  selector.SetMembers(MakeMembers(1));
  BOOST_TEST((selector.ChooseHome(MakeGroup(0)) == EntryId("entry-0")));
  BOOST_TEST(selector.ChooseDelegates(zone).size() == 1U);
  selector.SetMembers(MakeMembers(3));
  BOOST_TEST(selector.ChooseWatchers(zone).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
