#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace azurecross {

namespace {

FakeBackendServer::Script
MakeEcho()
{
  return [](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Answer(200, aConnection.FindHeader("X-Customer"));
    }
  };
}

ServingTables::Content
MakeKeyedTables(std::uint64_t aVersion, std::vector<std::string> aKeys)
{
  ServingTables::Content tables = ServingFixture::MakeTables(aVersion);
  tables.customers_ = { { CustomerId("painters"), std::move(aKeys), {} } };
  return tables;
}

} // namespace

// Guards against a 404 from a daemon that does not know the tables yet.
BOOST_FIXTURE_TEST_CASE(WithoutTablesCallersAreToldToComeBack, ServingFixture)
{
  const CallerAnswer answer = Call(MakeRequest("/safe/x"));
  BOOST_TEST(answer.status_ == 503U);
  BOOST_TEST(!answer.FindHeader("Retry-After").empty());
  BOOST_TEST(answer.FindHeader("X-Azurecross-Verdict") == "not_run");
}

// Guards against unknown routes that reach a server or get another status.
BOOST_FIXTURE_TEST_CASE(UnknownRouteIsNotFound, ServingFixture)
{
  SetTables(MakeTables());
  BOOST_TEST(Call(MakeRequest("/other/x")).status_ == 404U);
}

// Guards against keys that are passed on, and customers taken from the caller.
BOOST_FIXTURE_TEST_CASE(KeyBecomesTheCustomer, ServingFixture)
{
  FakeBackendServer server(MakeEcho());
  SetTables(MakeKeyedTables(1, { "k1" }));
  AddServer("s1", "desk", server);
  const CallerAnswer answer =
    Call(MakeRequest("/safe/x", "X-Key: k1\r\nX-Customer: other\r\n"));
  BOOST_TEST(answer.status_ == 200U);
  BOOST_TEST(answer.body_ == "painters");
  BOOST_TEST(Call(MakeRequest("/safe/x", "X-Key: k2\r\n")).status_ == 401U);
}

// Guards against a removed key that works on.
BOOST_FIXTURE_TEST_CASE(RemovedKeyIsRefused, ServingFixture)
{
  FakeBackendServer server(MakeEcho());
  SetTables(MakeKeyedTables(1, { "k1" }));
  AddServer("s1", "desk", server);
  BOOST_TEST(Call(MakeRequest("/safe/x", "X-Key: k1\r\n")).status_ == 200U);
  SetTables(MakeKeyedTables(2, { "k2" }));
  BOOST_TEST(Call(MakeRequest("/safe/x", "X-Key: k1\r\n")).status_ == 401U);
}

// Guards against keys trusted by tables that may be old: a daemon that the
// store turned away refuses, and says that the request has not run.
BOOST_FIXTURE_TEST_CASE(OldTablesDecideNoKey, ServingFixture)
{
  FakeBackendServer server(MakeEcho());
  AddServer("s1", "desk", server);
  Run([this] {
    GetState().ApplyTables(MakeKeyedTables(1, { "k1" }), ReadMonotonicTime());
    GetState().ConfirmTables(ReadBootTime() - std::chrono::seconds(6));
  });
  const CallerAnswer answer = Call(MakeRequest("/safe/x", "X-Key: k1\r\n"));
  BOOST_TEST(answer.status_ == 503U);
  BOOST_TEST(answer.FindHeader("X-Azurecross-Verdict") == "not_run");
}

// Guards against a short generation whose prompt would still be read when the
// planned stop cuts it off.
BOOST_FIXTURE_TEST_CASE(PlannedStopLeavesTimeForThePrompt, ServingFixture)
{
  std::atomic<int> requests = 0;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    requests += aConnection.ReadRequest().empty() ? 0 : 1;
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  Run([this] {
    GetServices().stopsAt_ =
      ReadMonotonicTime() + std::chrono::milliseconds(400);
  });
  BOOST_TEST(Call(MakeRequest("/stream/x", "X-Output: 4\r\n")).status_ == 503U);
  BOOST_TEST(requests == 0);
}

// Guards against callers held, or sent back too soon, while the store is away.
BOOST_FIXTURE_TEST_CASE(LostStoreRefusesAtOnce, ServingFixture)
{
  FakeBackendServer server(MakeEcho());
  AddServer("s1", "desk", server);
  Run([this] {
    GetState().ApplyTables(MakeKeyedTables(1, { "k1" }), ReadMonotonicTime());
    GetState().SetStoreReachable(false);
  });
  const Time began = ReadMonotonicTime();
  const CallerAnswer answer = Call(MakeRequest("/safe/x", "X-Key: k1\r\n"));
  BOOST_TEST(answer.status_ == 503U);
  BOOST_TEST(answer.FindHeader("Retry-After") == "2.000");
  BOOST_TEST(ToSeconds(ReadMonotonicTime() - began) < 0.2);
}

// Guards against an older version of the tables that comes into force again.
BOOST_FIXTURE_TEST_CASE(TablesNeverGoBack, ServingFixture)
{
  SetTables(MakeTables(5));
  SetTables(MakeTables(4));
  Run([this] { BOOST_TEST(GetState().GetTables()->GetVersion() == 5U); });
}

// Guards against requests that are taken shortly before a planned stop and cut
// off by it.
BOOST_FIXTURE_TEST_CASE(PlannedStopRefusesWhatItWouldCut, ServingFixture)
{
  FakeBackendServer server(MakeEcho());
  SetTables(MakeTables());
  AddServer("s1", "desk", server);
  Run([this] {
    GetServices().stopsAt_ = ReadMonotonicTime() + std::chrono::seconds(5);
  });
  const CallerAnswer early = Call(MakeRequest("/once/x"));
  BOOST_TEST(early.status_ == 200U);
  BOOST_TEST(early.FindHeader("Connection") == "close");
  Run([this] {
    GetServices().stopsAt_ =
      ReadMonotonicTime() + std::chrono::milliseconds(300);
  });
  BOOST_TEST(Call(MakeRequest("/once/x")).status_ == 503U);
}

} // namespace azurecross
