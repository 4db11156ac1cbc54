#include <azurecross_dispatch/azurecross_dispatch.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

ServingRoute
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  ServingRoute route;
  route.name_ = RouteName(aName);
  route.host_ = "host";
  route.prefix_ = aPrefix;
  route.kind_ = CallKind::IdempotentCall;
  route.timeout_ = 800ms;
  route.latencyTarget_ = 150ms;
  route.pools_ = { { PoolName("desk"), 1.0 } };
  return route;
}

/** @returns tables without any finding. */
ServingTables::Content
MakeTables(std::uint64_t aVersion = 1)
{
  ServingTables::Content tables;
  tables.version_ = aVersion;
  tables.routes_ = { MakeRoute("look-up", "/look-up/") };
  ServingPool pool;
  pool.name_ = PoolName("desk");
  tables.pools_ = { pool };
  tables.customers_ = { { CustomerId("c"), { "secret-key" }, std::nullopt } };
  return tables;
}

bool
Contains(const std::vector<CheckFinding>& aFindings,
         CheckLevel aLevel,
         const std::string& aEntry,
         const std::string& aText)
{
  return std::any_of(
    aFindings.begin(), aFindings.end(), [&](const CheckFinding& aFinding) {
      return aFinding.level_ == aLevel && aFinding.entry_ == aEntry &&
             aFinding.message_.find(aText) != std::string::npos;
    });
}

} // namespace

// Guards against findings about sound tables, which make operators ignore the
// check.
BOOST_AUTO_TEST_CASE(SoundTablesHaveNoFindings)
{
  BOOST_TEST(CheckTables(MakeTables()).empty());
  BOOST_TEST(CompareTables(MakeTables(1), MakeTables(2)).empty());
}

// Guards against routes that fail all requests or never get any.
BOOST_AUTO_TEST_CASE(RoutesThatCantServeAreFound)
{
  ServingTables::Content tables = MakeTables();
  ServingRoute hidden = MakeRoute("hidden", "/look-up/");
  ServingRoute lost = MakeRoute("lost", "/lost");
  lost.pools_ = { { PoolName("nowhere"), 1.0 } };
  ServingRoute dead = MakeRoute("dead", "/dead/");
  dead.timeout_ = 0ms;
  dead.pools_.clear();
  tables.routes_.insert(tables.routes_.end(), { hidden, lost, dead });
  const auto findings = CheckTables(tables);
  BOOST_TEST(Contains(findings,
                      CheckLevel::Warning,
                      "route hidden",
                      "never matches: route look"));
  BOOST_TEST(
    Contains(findings, CheckLevel::Error, "route lost", "no pool nowhere"));
  BOOST_TEST(Contains(findings, CheckLevel::Error, "route lost", "slash"));
  BOOST_TEST(
    Contains(findings, CheckLevel::Error, "route dead", "timeout of 0 ms"));
  BOOST_TEST(Contains(findings, CheckLevel::Error, "route dead", "no pool"));
}

// Guards against entries that are never used, and names that stand for two.
BOOST_AUTO_TEST_CASE(UselessEntriesAreFound)
{
  ServingTables::Content tables = MakeTables();
  ServingPool unused;
  unused.name_ = PoolName("unused");
  tables.pools_.insert(tables.pools_.end(), { unused, tables.pools_.front() });
  tables.customers_->push_back({ CustomerId("silent"), {}, std::nullopt });
  const auto findings = CheckTables(tables);
  BOOST_TEST(
    Contains(findings, CheckLevel::Warning, "pool unused", "no route"));
  BOOST_TEST(Contains(findings, CheckLevel::Error, "pool desk", "twice"));
  BOOST_TEST(
    Contains(findings, CheckLevel::Warning, "customer silent", "no API key"));
  tables.customers_->clear();
  BOOST_TEST(Contains(
    CheckTables(tables), CheckLevel::Error, "customers", "the list is empty"));
}

// Guards against limits that can't hold together.
BOOST_AUTO_TEST_CASE(ContradictingLimitsAreFound)
{
  ServingTables::Content tables = MakeTables();
  ServingRoute& route = tables.routes_.front();
  route.kind_ = CallKind::NonIdempotentCall;
  route.latencyTarget_ = 2s;
  route.gapTarget_ = 3s;
  route.attemptLimit_ = 3;
  tables.limits_.bodyBytes_ = 100;
  tables.limits_.idleTimeout_ = 1s;
  const auto findings = CheckTables(tables);
  for (const char* text : { "latency target of 2000 ms is above",
                            "gap target of 3000 ms is above",
                            "gap target has no effect",
                            "3 attempts have no effect" }) {
    BOOST_TEST(Contains(findings, CheckLevel::Warning, "route look-up", text),
               text);
  }
  BOOST_TEST(
    Contains(findings, CheckLevel::Warning, "limits", "bodies only 100"));
  BOOST_TEST(Contains(findings, CheckLevel::Warning, "limits", "idle timeout"));
  route.kind_ = CallKind::IdempotentCall;
  route.attemptLimit_ = 30;
  BOOST_TEST(Contains(CheckTables(tables),
                      CheckLevel::Warning,
                      "route look-up",
                      "30 attempts are more than"));
}

// Guards against a change that an operator does not see, and against keys in
// the output.
BOOST_AUTO_TEST_CASE(DifferencesAreTold)
{
  const ServingTables::Content inForce = MakeTables(5);
  ServingTables::Content proposed = MakeTables(5);
  proposed.routes_.front().timeout_ = 900ms;
  proposed.routes_.push_back(MakeRoute("new", "/new/"));
  proposed.pools_.clear();
  proposed.customers_->front().apiKeys_ = { "other-secret", "third-secret" };
  proposed.limits_.bodyBytes_ = 1;
  const auto findings = CompareTables(inForce, proposed);
  BOOST_TEST(Contains(findings, CheckLevel::Error, "version", "not newer"));
  BOOST_TEST(Contains(
    findings, CheckLevel::Change, "route look-up", "changed: timeout"));
  BOOST_TEST(Contains(findings, CheckLevel::Change, "route new", "added"));
  BOOST_TEST(Contains(findings, CheckLevel::Change, "pool desk", "removed"));
  BOOST_TEST(Contains(findings,
                      CheckLevel::Change,
                      "customer c",
                      "2 keys added, 1 keys removed"));
  BOOST_TEST(
    Contains(findings, CheckLevel::Change, "limits", "changed: body bytes"));
  for (const CheckFinding& finding : findings) {
    BOOST_TEST(finding.message_.find("secret") == std::string::npos);
  }
  proposed.customers_.reset();
  BOOST_TEST(Contains(CompareTables(inForce, proposed),
                      CheckLevel::Error,
                      "customers",
                      "the list is missing"));
}

} // namespace azurecross
