#include "TestTables.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <algorithm>

namespace azurecross {

namespace {

AsyncResult<Tables::Version>
MakeTables(const std::vector<Route>& aRoutes, const std::vector<Pool>& aPools)
{
  const TableRows rows = MakeRows({ aRoutes, aPools, {} });
  return CaptureResult([&] { return Tables::Make({}, rows); });
}

std::string
FindName(const Tables& aTables,
         std::string_view aMethod,
         std::string_view aPath,
         std::string_view aModel,
         std::string_view aCustomer)
{
  const Route* route = aTables.FindRoute(aMethod, aPath, aModel, aCustomer);
  return route == nullptr ? "none" : route->name_.GetValue();
}

template<typename Id>
bool
Admits(const std::vector<Id>& aNames, const std::string& aName)
{
  return aNames.empty() ||
         std::find(aNames.begin(), aNames.end(), Id(aName)) != aNames.end();
}

bool
MatchesPath(std::string aPrefix, const std::string& aPath)
{
  if (aPrefix.back() == '/') {
    aPrefix.pop_back();
  }
  return aPath.starts_with(aPrefix) &&
         (aPath.size() == aPrefix.size() || aPath[aPrefix.size()] == '/');
}

/** Compares as the operator reference states it. */
bool
IsBetter(const Route& aLeft, const Route& aRight)
{
  const auto rank = [](const Route& aRoute) {
    std::size_t length = aRoute.pathPrefix_.size();
    length -= aRoute.pathPrefix_.back() == '/' ? 1 : 0;
    return std::tuple(aRoute.priorityOrder_,
                      -static_cast<long>(length),
                      aRoute.customers_.empty(),
                      aRoute.models_.empty(),
                      aRoute.methods_.empty(),
                      aRoute.name_);
  };
  return rank(aLeft) < rank(aRight);
}

/** Finds a route by looking at all of them. */
std::string
FindBySearch(const std::vector<Route>& aRoutes,
             const std::string& aMethod,
             const std::string& aPath,
             const std::string& aModel,
             const std::string& aCustomer)
{
  const Route* best = nullptr;
  for (const Route& route : aRoutes) {
    if (MatchesPath(route.pathPrefix_, aPath) &&
        Admits(route.methods_, aMethod) && Admits(route.models_, aModel) &&
        Admits(route.customers_, aCustomer) &&
        (best == nullptr || IsBetter(route, *best))) {
      best = &route;
    }
  }
  return best == nullptr ? "none" : best->name_.GetValue();
}

const std::vector<std::string> kPaths{ "/",    "/a",     "/a/",  "/a/b",
                                       "/ab",  "/a/b/c", "/b",   "/a/bc",
                                       "/a//", "/b/a",   "/a/b/" };
const std::vector<std::string> kNames{ "x", "y", "z" };

template<typename Id>
std::vector<Id>
PickNames()
{
  std::vector<Id> names;
  for (const std::string& name : kNames) {
    if (*rc::gen::inRange(0, 4) == 0) {
      names.emplace_back(name);
    }
  }
  return names;
}

std::vector<Route>
PickRoutes()
{
  std::vector<Route> routes;
  const int count = *rc::gen::inRange(0, 30);
  for (int at = 0; at < count; ++at) {
    Route route = MakeRoute("r" + std::to_string(at), "engines");
    route.pathPrefix_ = *rc::gen::elementOf(kPaths);
    if (*rc::gen::arbitrary<bool>()) {
      route.methods_ = { "GET" };
    }
    route.models_ = PickNames<ModelName>();
    route.customers_ = PickNames<CustomerId>();
    route.priorityOrder_ = *rc::gen::inRange(0, 3);
    routes.push_back(std::move(route));
  }
  return routes;
}

} // namespace

// Guards against an index that finds another route than the stated order.
BOOST_AUTO_TEST_CASE(IndexFindsWhatASearchFinds)
{
  Pool pool = MakePool("engines");
  pool.models_ = { ModelName("x"), ModelName("y"), ModelName("z") };
  BOOST_TEST(rc::check("index equals search", [&] {
    const std::vector<Route> routes = PickRoutes();
    const auto tables = MakeTables(routes, { pool });
    RC_ASSERT(tables.has_value());
    std::vector<std::string> names = kNames;
    names.emplace_back("");
    names.emplace_back("unlisted");
    for (const std::string& path : kPaths) {
      const std::string method = *rc::gen::element<std::string>("GET", "POST");
      const std::string model = *rc::gen::elementOf(names);
      const std::string customer = *rc::gen::elementOf(names);
      const std::string expected =
        FindBySearch(routes, method, path, model, customer);
      RC_ASSERT(FindName(**tables, method, path, model, customer) == expected);
      RC_ASSERT(FindName(**tables, method, path + "?q=/a", model, customer) ==
                expected);
    }
  }));
}

// Guards against a prefix that takes in a neighbouring path.
BOOST_AUTO_TEST_CASE(PrefixMatchesWholeSegments)
{
  Route route = MakeRoute("chat", "engines");
  route.pathPrefix_ = "/v1/chat";
  const auto tables = MakeTables({ route }, { MakePool("engines") });
  BOOST_REQUIRE(tables.has_value());
  BOOST_TEST(FindName(**tables, "GET", "/v1/chat/x", "", "c") == "chat");
  BOOST_TEST(FindName(**tables, "GET", "/v1/chatter", "", "c") == "none");
  BOOST_TEST(FindName(**tables, "GET", "", "", "c") == "none");
  BOOST_TEST(FindName(**tables, "GET", "*", "", "c") == "none");
}

// Guards against the order of specificity being overridden by the table order.
BOOST_AUTO_TEST_CASE(PriorityOrderComesBeforeSpecificity)
{
  Route wide = MakeRoute("wide", "engines");
  wide.priorityOrder_ = 1;
  Route narrow = MakeRoute("narrow", "engines");
  narrow.pathPrefix_ = "/v1";
  narrow.customers_ = { CustomerId("c") };
  const auto tables = MakeTables({ wide, narrow }, { MakePool("engines") });
  BOOST_REQUIRE(tables.has_value());
  BOOST_TEST(FindName(**tables, "GET", "/v1", "", "c") == "wide");
}

// Guards against a route that leads nowhere or to backend servers that can't
// serve it.
BOOST_AUTO_TEST_CASE(ReferencesAreChecked)
{
  const auto refusal = [](const std::vector<Route>& aRoutes,
                          const std::vector<Pool>& aPools) {
    const auto tables = MakeTables(aRoutes, aPools);
    BOOST_REQUIRE(tables.has_error());
    return tables.error().message_;
  };
  BOOST_TEST(refusal({ MakeRoute("chat", "nope") }, {}) ==
             "routes/chat: field 'pool': there is no pool 'nope'");
  Route service = MakeRoute("book", "engines");
  service.kind_ = RouteKind::Service;
  BOOST_TEST(refusal({ service }, { MakePool("engines") })
               .starts_with("routes/book: field 'pool': a route of kind"));
  Route model = MakeRoute("chat", "engines");
  model.models_ = { ModelName("other") };
  BOOST_TEST(refusal({ model }, { MakePool("engines") }) ==
             "routes/chat: field 'models': pool 'engines' does not hold model "
             "'other'");
  Pool twin = MakePool("twin");
  twin.group_ = "group-engines";
  BOOST_TEST(refusal({}, { MakePool("engines"), twin }) ==
             "pools/twin: field 'group': 'group-engines' also belongs to pool "
             "'engines'");
}

// Guards against a backend server that is given twice its capacity.
BOOST_AUTO_TEST_CASE(BackendServerBelongsToOnePool)
{
  const StaticBackendServer server{ BackendServerId("e1"),
                                    { "10.0.0.1", 80 },
                                    AvailabilityZone("z") };
  Pool one = MakePool("one");
  one.backendServers_ = { server };
  Pool two = MakePool("two");
  two.backendServers_ = { server };
  BOOST_TEST(MakeTables({}, { one, two }).has_error());
  one.backendServers_ = { server, server };
  BOOST_TEST(MakeTables({}, { one }).has_error());
}

// Guards against new work for a leaving VM and against VMs of another group.
BOOST_AUTO_TEST_CASE(PoolsResolveToStaticAndListedServers)
{
  Pool pool = MakePool("engines");
  const AvailabilityZone zone("z");
  pool.backendServers_ = {
    { BackendServerId("e1"), { "10.0.0.1", 80 }, zone }
  };
  VmList list;
  const auto add = [&](const char* aId, VmRole aRole, const char* aGroup) {
    list.vms_.push_back(
      { aId, aRole, aGroup, zone, { "10.0.0.2", 81 }, VmState::Live });
  };
  add("e1", VmRole::Backend, "group-engines");
  add("e2", VmRole::Backend, "group-engines");
  add("e3", VmRole::Backend, "other");
  add("n1", VmRole::Entry, "group-engines");
  list.vms_[0].state_ = VmState::Leaving;
  const auto servers = ResolveBackendServers(pool, list);
  BOOST_REQUIRE(servers.size() == 2U);
  BOOST_TEST(servers[0].address_.Format() == "10.0.0.1:80");
  BOOST_TEST(servers[0].isLeaving_);
  BOOST_TEST(servers[1].id_ == BackendServerId("e2"));
  BOOST_TEST(!servers[1].isLeaving_);
}

// Guards against a booking that is repeated because its method looks safe, and
// against POST taken as idempotent.
BOOST_AUTO_TEST_CASE(IdempotencyFollowsTheRoute)
{
  Route route;
  BOOST_TEST(!IsIdempotent(route, "GET"));
  route.idempotent_ = Idempotency::ByMethod;
  for (const char* method : { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" }) {
    BOOST_TEST(IsIdempotent(route, method));
  }
  for (const char* method : { "POST", "PATCH", "CONNECT", "get", "" }) {
    BOOST_TEST(!IsIdempotent(route, method));
  }
  route.idempotent_ = Idempotency::Always;
  BOOST_TEST(IsIdempotent(route, "POST"));
}

// Guards against a digest that misses a changed, moved or removed row.
BOOST_AUTO_TEST_CASE(DigestCoversAllRows)
{
  BOOST_TEST(rc::check("digest", [] {
    TableRows rows;
    const auto count = *rc::gen::inRange(1, 10);
    for (int at = 0; at < count; ++at) {
      rows.Apply({ TableKind::Routes,
                   "r" + std::to_string(*rc::gen::inRange(0, 5)),
                   std::to_string(*rc::gen::inRange(0, 3)) });
    }
    TableRows copy;
    auto list = rows.ListRows();
    std::reverse(list.begin(), list.end());
    copy.Apply(list);
    RC_ASSERT(copy.ComputeDigest() == rows.ComputeDigest());
    copy.Apply({ TableKind::Routes, list[0].name_, "changed" });
    RC_ASSERT(copy.ComputeDigest() != rows.ComputeDigest());
    copy.Apply(list[0]);
    RC_ASSERT(copy.ComputeDigest() == rows.ComputeDigest());
    copy.Apply({ TableKind::Routes, list[0].name_, std::nullopt });
    RC_ASSERT(copy.ComputeDigest() != rows.ComputeDigest());
    copy.Apply({ TableKind::Pools, list[0].name_, list[0].value_ });
    RC_ASSERT(copy.ComputeDigest() != rows.ComputeDigest());
  }));
}

} // namespace azurecross
