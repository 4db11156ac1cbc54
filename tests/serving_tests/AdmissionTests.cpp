#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace azurecross {

namespace {

FakeBackendServer::Script
MakeCustomerEcho()
{
  return [](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Answer(200, aConnection.FindHeader("X-Customer"));
    }
  };
}

ServingTables::Content
MakeTablesWithKeys(std::uint64_t aVersion, std::vector<std::string> aKeys)
{
  ServingTables::Content tables = ServingFixture::MakeTables(aVersion);
  tables.customers_.emplace();
  tables.customers_->push_back(
    { CustomerId("painters"), std::move(aKeys), {} });
  return tables;
}

/** Applies tables of which it isn't known whether they are the newest, and
 * replaces them while a request waits for the check of its key. */
void
ReplaceTablesDuringKeyCheck(ServingFixture& aFixture,
                            const ServingTables::Content& aBefore,
                            const ServingTables::Content& aAfter)
{
  aFixture.Run([&aFixture, aBefore, aAfter] {
    ServingState& state = aFixture.GetState();
    state.ApplyTables(aBefore, ReadMonotonicTime());
    state.SetStoreReachable(true);
    aFixture.GetServices().awaitFreshTables_ =
      [&state, aAfter](Duration) -> boost::asio::awaitable<bool> {
      state.ApplyTables(aAfter, ReadMonotonicTime());
      state.ConfirmTables(state.GetTables()->GetVersion(), ReadBootTime());
      co_return true;
    };
  });
}

} // namespace

// A daemon without tables must not answer 404: the route may exist.
BOOST_FIXTURE_TEST_CASE(MissingTablesCauseRetryableRejection, ServingFixture)
{
  const CallerAnswer response = Call(MakeRequest("/safe/x"));
  BOOST_TEST(response.status_ == 503U);
  BOOST_TEST(!response.FindHeader("Retry-After").empty());
  BOOST_TEST(response.FindHeader("X-Azurecross-Verdict") == "not_run");
}

// An unknown route must return 404 and must not reach a server.
BOOST_FIXTURE_TEST_CASE(UnknownRouteReturnsNotFound, ServingFixture)
{
  SetTables(MakeTables());
  BOOST_TEST(Call(MakeRequest("/other/x")).status_ == 404U);
}

// The API key must not be forwarded, and the customer must not be taken from a
// header of the caller.
BOOST_FIXTURE_TEST_CASE(ApiKeyIsReplacedByCustomer, ServingFixture)
{
  FakeBackendServer server(MakeCustomerEcho());
  SetTables(MakeTablesWithKeys(1, { "k1" }));
  AddServer("s1", "desk", server);
  const CallerAnswer response =
    Call(MakeRequest("/safe/x", "X-Key: k1\r\nX-Customer: other\r\n"));
  BOOST_TEST(response.status_ == 200U);
  BOOST_TEST(response.body_ == "painters");
  BOOST_TEST(Call(MakeRequest("/safe/x", "X-Key: k2\r\n")).status_ == 401U);
}

// A removed key must stop working as soon as the new tables are applied.
BOOST_FIXTURE_TEST_CASE(RemovedKeyIsRejected, ServingFixture)
{
  FakeBackendServer server(MakeCustomerEcho());
  SetTables(MakeTablesWithKeys(1, { "k1" }));
  AddServer("s1", "desk", server);
  BOOST_TEST(Call(MakeRequest("/safe/x", "X-Key: k1\r\n")).status_ == 200U);
  SetTables(MakeTablesWithKeys(2, { "k2" }));
  BOOST_TEST(Call(MakeRequest("/safe/x", "X-Key: k1\r\n")).status_ == 401U);
}

// With an empty list of customers no request may run, whatever its key, and a
// daemon whose tables may be out of date must not be ready.
BOOST_FIXTURE_TEST_CASE(EmptyListOfCustomersRefusesEachKey, ServingFixture)
{
  FakeBackendServer server(MakeCustomerEcho());
  SetTables(MakeTablesWithKeys(1, { "k1" }));
  AddServer("s1", "desk", server);
  ServingTables::Content tables = MakeTables(2);
  tables.customers_.emplace();
  tables.routes_[1].isPublic_ = true;
  SetTables(std::move(tables));
  for (const std::string headers : { "X-Key: k1\r\n", "X-Key: k2\r\n", "" }) {
    BOOST_TEST(Call(MakeRequest("/once/x", headers)).status_ == 401U);
  }
  BOOST_TEST(Call(MakeRequest("/safe/x")).status_ == 200U);
  Run([this] {
    const Time now = ReadBootTime();
    BOOST_TEST(GetState().IsServing(now));
    BOOST_TEST(!GetState().IsServing(now + std::chrono::seconds(6)));
  });
}

// A key must not be accepted from tables that may be out of date. A daemon
// without access to the store rejects the request and reports that it has not
// run.
BOOST_FIXTURE_TEST_CASE(StaleTablesDoNotAuthenticate, ServingFixture)
{
  FakeBackendServer server(MakeCustomerEcho());
  AddServer("s1", "desk", server);
  Run([this] {
    GetState().ApplyTables(MakeTablesWithKeys(1, { "k1" }),
                           ReadMonotonicTime());
    GetState().ConfirmTables(GetState().GetTables()->GetVersion(),
                             ReadBootTime() - std::chrono::seconds(6));
  });
  const CallerAnswer response = Call(MakeRequest("/safe/x", "X-Key: k1\r\n"));
  BOOST_TEST(response.status_ == 503U);
  BOOST_TEST(response.FindHeader("X-Azurecross-Verdict") == "not_run");
}

// A planned shutdown must not cut off a short generation whose prompt is still
// being processed.
BOOST_FIXTURE_TEST_CASE(PlannedShutdownRejectsGenerationWithPendingPrompt,
                        ServingFixture)
{
  std::atomic<int> requests = 0;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    requests += aConnection.ReadRequest().empty() ? 0 : 1;
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  Run([this] {
    const Time now = ReadMonotonicTime();
    GetServices().shutdown_ =
      ShutdownPlan(now, now + std::chrono::milliseconds(400));
  });
  BOOST_TEST(Call(MakeRequest("/stream/x", "X-Output: 4\r\n")).status_ == 503U);
  BOOST_TEST(requests == 0);
}

// A request whose tables are replaced during the check of its key must end at
// the time limit of the new tables: it was held to the old one.
BOOST_FIXTURE_TEST_CASE(ReplacedTablesLimitTheRequest, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.WaitForClose();
    }
  });
  AddServer("s1", "desk", server);
  ServingTables::Content after = MakeTablesWithKeys(2, { "k1" });
  after.routes_[0].timeout_ = std::chrono::milliseconds(200);
  ReplaceTablesDuringKeyCheck(*this, MakeTablesWithKeys(1, { "k1" }), after);
  const Time startTime = ReadMonotonicTime();
  BOOST_TEST(Call(MakeRequest("/once/x", "X-Key: k1\r\n")).status_ == 504U);
  BOOST_TEST(ToSeconds(ReadMonotonicTime() - startTime) < 1.0);
}

// A request whose tables are replaced during the check of its key must go on
// with the priority of the new tables.
BOOST_FIXTURE_TEST_CASE(ReplacedTablesSetThePriority, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Answer(200, aConnection.FindHeader("X-Priority"));
    }
  });
  AddServer("s1", "desk", server);
  ServingTables::Content after = MakeTablesWithKeys(2, { "k1" });
  after.routes_[0].priority_ = 2;
  ReplaceTablesDuringKeyCheck(*this, MakeTablesWithKeys(1, { "k1" }), after);
  BOOST_TEST(Call(MakeRequest("/once/x", "X-Key: k1\r\n")).body_ == "2");
}

// A request without a key whose route becomes public during the check was
// refused with 401.
BOOST_FIXTURE_TEST_CASE(RouteThatBecamePublicNeedsNoKey, ServingFixture)
{
  FakeBackendServer server(MakeCustomerEcho());
  AddServer("s1", "desk", server);
  ServingTables::Content after = MakeTablesWithKeys(2, { "k1" });
  after.routes_[0].isPublic_ = true;
  ReplaceTablesDuringKeyCheck(*this, MakeTablesWithKeys(1, { "k1" }), after);
  BOOST_TEST(Call(MakeRequest("/once/x")).status_ == 200U);
}

// While the store is unreachable, callers must be rejected without a wait and
// with a retry delay that suits an outage.
BOOST_FIXTURE_TEST_CASE(UnreachableStoreRejectsWithoutDelay, ServingFixture)
{
  FakeBackendServer server(MakeCustomerEcho());
  AddServer("s1", "desk", server);
  Run([this] {
    GetState().ApplyTables(MakeTablesWithKeys(1, { "k1" }),
                           ReadMonotonicTime());
    GetState().SetStoreReachable(false);
  });
  const Time startTime = ReadMonotonicTime();
  const CallerAnswer response = Call(MakeRequest("/safe/x", "X-Key: k1\r\n"));
  BOOST_TEST(response.status_ == 503U);
  BOOST_TEST(response.FindHeader("Retry-After") == "2.000");
  BOOST_TEST(ToSeconds(ReadMonotonicTime() - startTime) < 0.2);
}

// An older version of the tables must not replace a newer one.
BOOST_FIXTURE_TEST_CASE(OlderTablesAreIgnored, ServingFixture)
{
  SetTables(MakeTables(5));
  SetTables(MakeTables(4));
  Run([this] { BOOST_TEST(GetState().GetTables()->GetVersion() == 5U); });
}

// Requests that a planned shutdown would cut off must be rejected.
BOOST_FIXTURE_TEST_CASE(PlannedShutdownRejectsRequestsItWouldCutOff,
                        ServingFixture)
{
  FakeBackendServer server(MakeCustomerEcho());
  SetTables(MakeTables());
  AddServer("s1", "desk", server);
  Run([this] {
    const Time now = ReadMonotonicTime();
    GetServices().shutdown_ = ShutdownPlan(now, now + std::chrono::seconds(5));
  });
  const CallerAnswer beforeShutdown = Call(MakeRequest("/once/x"));
  BOOST_TEST(beforeShutdown.status_ == 200U);
  BOOST_TEST(beforeShutdown.FindHeader("Connection") == "close");
  Run([this] {
    const Time now = ReadMonotonicTime();
    GetServices().shutdown_ =
      ShutdownPlan(now, now + std::chrono::milliseconds(300));
  });
  BOOST_TEST(Call(MakeRequest("/once/x")).status_ == 503U);
}

} // namespace azurecross
