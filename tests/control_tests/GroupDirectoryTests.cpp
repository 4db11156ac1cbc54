#include <boost/test/unit_test.hpp>

#include <azurecross_control/azurecross_control.h>

#include <string>

namespace azurecross {

namespace {

Tables::Version
MakeTables()
{
  TableRows rows;
  rows.Apply(RowChange{
    TableKind::Pools,
    "engines",
    R"({"name":"engines","kind":"engine","group":"engines","models":["m"]})" });
  return Tables::Make(TableRevision{ 1, "edit", "", 0 }, rows).value();
}

VmList
MakeVms(int aCount)
{
  VmList list;
  for (int vm = 0; vm < aCount; ++vm) {
    list.vms_.push_back({ "vm-" + std::to_string(vm),
                          VmRole::Backend,
                          "engines",
                          AvailabilityZone(vm % 2 == 0 ? "a" : "b"),
                          { "127.0.0.1", static_cast<std::uint16_t>(1 + vm) },
                          VmState::Live });
  }
  return list;
}

} // namespace

// Guards against backend servers that belong to no group or to two.
BOOST_AUTO_TEST_CASE(EveryServerIsInOneGroup)
{
  constexpr int kServers = 300;
  GroupDirectory directory;
  directory.SetTables(MakeTables());
  directory.SetVmList(MakeVms(kServers));
  const auto map = directory.Build();
  std::size_t listed = 0;
  for (const auto& [group, content] : map->groups_) {
    listed += content.servers_.size();
  }
  BOOST_TEST(listed == static_cast<std::size_t>(kServers));
  BOOST_TEST(map->servers_.size() == static_cast<std::size_t>(kServers));
  const std::pair key{ PoolName("engines"), AvailabilityZone("a") };
  BOOST_TEST(map->shards_.at(key) == 3U);
}

// Guards against work sent to a backend server whose leaving only a peer knows
// of, because the VM list lags.
BOOST_AUTO_TEST_CASE(LeavingNoticeOverridesTheVmList)
{
  GroupDirectory directory;
  directory.SetTables(MakeTables());
  directory.SetVmList(MakeVms(2));
  BOOST_TEST(directory.SetNotices({ BackendServerId("vm-0") }));
  BOOST_TEST(!directory.SetNotices({ BackendServerId("vm-0") }));
  const auto map = directory.Build();
  BOOST_TEST(map->servers_.at(BackendServerId("vm-0")).isLeaving_);
  BOOST_TEST(!map->servers_.at(BackendServerId("vm-1")).isLeaving_);
}

// Guards against a backend server that gets no work because of a notice from
// before it was replaced, and against a self-report that outweighs a later
// notice for good.
BOOST_AUTO_TEST_CASE(SelfReportOutweighsNotices)
{
  const BackendServerId server("vm-0");
  GroupDirectory directory;
  directory.SetTables(MakeTables());
  directory.SetVmList(MakeVms(2));
  const auto isLeaving = [&] {
    return directory.Build()->servers_.at(server).isLeaving_;
  };
  const Time start{ std::chrono::hours(1) };
  directory.SetNotices({ server });
  BOOST_TEST(directory.TakeSelfReport(server, false, start));
  BOOST_TEST(!isLeaving());
  BOOST_TEST(!directory.TakeSelfReport(server, false, start));
  BOOST_TEST(
    !directory.DropOldSelfReports(start + GroupDirectory::kSelfReportLifetime));
  const Time later = start + 2 * GroupDirectory::kSelfReportLifetime;
  BOOST_TEST(directory.DropOldSelfReports(later));
  BOOST_TEST(isLeaving());
  BOOST_TEST(directory.SetNotices({}));
  BOOST_TEST(!isLeaving());
  BOOST_TEST(directory.TakeSelfReport(server, true, later));
  BOOST_TEST(isLeaving());
}

// Guards against a crash before the first tables arrive.
BOOST_AUTO_TEST_CASE(NoTablesMeansNoGroups)
{
  GroupDirectory directory;
  directory.SetVmList(MakeVms(2));
  BOOST_TEST(directory.Build()->groups_.empty());
}

} // namespace azurecross
