#include "GatewayFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

namespace azurecross {

// Guards against a planned stop that cuts a stream or takes new work.
BOOST_FIXTURE_TEST_CASE(DrainLetsStreamFinish, GatewayFixture)
{
  std::promise<void> goOn;
  auto mayGoOn = goOn.get_future();
  FakeBackendServer engine([&](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.StartStream();
    aConnection.SendToken("g1", 0);
    mayGoOn.wait();
    aConnection.SendToken("g1", 1);
    aConnection.FinishStream();
  });
  controller_.AddBackendServer("a", engine.GetAddress());
  TestCaller idle = Connect();
  idle.Send("GET /none HTTP/1.1\r\nHost: x\r\n\r\n");
  idle.ReadAnswer();
  TestCaller fresh = Connect();
  TestCaller streaming = Connect();
  streaming.Send(MakeStreamRequest("X-Request-Id: r-1\r\n"));
  streaming.ReadUntil("id: a.g1.0");

  std::promise<void> drained;
  auto isDrained = drained.get_future();
  server_->BeginDrain([&] { drained.set_value(); });
  BOOST_TEST(idle.WaitForClose());
  // The first request of an open connection may already be on its way.
  fresh.Send(MakeStreamRequest());
  BOOST_TEST(fresh.ReadAnswer().status_ == 503U);
  const CallerAnswer refused = Call(MakeStreamRequest());
  BOOST_TEST(refused.status_ == 503U);
  BOOST_TEST(refused.Count("\"code\":\"draining\"") == 1);
  BOOST_TEST(refused.FindHeader("Connection") == "close");
  BOOST_TEST(refused.FindHeader("Retry-After") == "1");
  BOOST_TEST(refused.FindHeader("X-Azurecross-Verdict") == "not_run");
  BOOST_TEST(server_->DescribeRunning().find("\"request_id\":\"r-1\"") !=
             std::string::npos);
  BOOST_CHECK(isDrained.wait_for(std::chrono::milliseconds(100)) ==
              std::future_status::timeout);

  goOn.set_value();
  const CallerAnswer answer = streaming.ReadAnswer();
  BOOST_TEST(answer.isWhole_);
  BOOST_TEST(answer.Count("id: a.g1.") == 2);
  BOOST_TEST(answer.Count("[DONE]") == 1);
  BOOST_CHECK(isDrained.wait_for(std::chrono::seconds(3)) ==
              std::future_status::ready);
  BOOST_TEST(server_->DescribeRunning() == "[]");
}

// Guards against a false `not_run` for a key under which an earlier attempt may
// have run: while the entry drains, nobody has looked.
BOOST_FIXTURE_TEST_CASE(DrainDoesNotClaimThatAKeyDidNotRun, GatewayFixture)
{
  std::promise<void> drained;
  server_->BeginDrain([&] { drained.set_value(); });
  const std::string request = "POST /bookings/1 HTTP/1.1\r\nHost: x\r\n"
                              "Idempotency-Key: k\r\n"
                              "Content-Length: 0\r\n";
  const CallerAnswer repeat = Call(request + "\r\n");
  BOOST_TEST(repeat.status_ == 503U);
  BOOST_TEST(repeat.FindHeader("X-Azurecross-Verdict") == "may_have_run");
  const CallerAnswer first =
    Call(request + "X-Azurecross-First-Attempt: true\r\n\r\n");
  BOOST_TEST(first.FindHeader("X-Azurecross-Verdict") == "not_run");
}

// Guards against grants lost when the server is stopped in mid-stream.
BOOST_FIXTURE_TEST_CASE(StopReleasesGrants, GatewayFixture)
{
  FakeBackendServer engine([&](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.StartStream();
    aConnection.SendToken("g1", 0);
    aConnection.WaitForClose();
  });
  controller_.AddBackendServer("a", engine.GetAddress());
  TestCaller caller = Connect();
  caller.Send(MakeStreamRequest());
  caller.ReadUntil("id: a.g1.0");
  server_->Stop();
  BOOST_TEST(controller_.WaitForReleases());
}

// Guards against an operations port that hides the state of the daemon.
BOOST_FIXTURE_TEST_CASE(OperationsPortShowsState, GatewayFixture)
{
  FakeBackendServer engine(MakeEngineScript("g1", 3));
  controller_.AddBackendServer("a", engine.GetAddress());
  Call(MakeStreamRequest());
  // The worker adds its counts to the metrics every 100 ms.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  boost::asio::io_context context;
  std::atomic<bool> isReady = false;
  OperationsServer operations(context.get_executor(),
                              { "127.0.0.1", 0 },
                              metrics_,
                              [&] { return isReady.load(); });
  operations.AddPage("/status", [](const HttpRequest&) { return "{\"a\":1}"; });
  operations.Start();
  std::thread thread([&] { context.run(); });
  const auto get = [&](const std::string& aPath) {
    TestCaller caller(operations.GetAddress());
    caller.Send("GET " + aPath + " HTTP/1.1\r\n\r\n");
    return caller.ReadAnswer();
  };
  BOOST_TEST(get("/healthz").status_ == 200U);
  BOOST_TEST(get("/readyz").status_ == 503U);
  isReady = true;
  BOOST_TEST(get("/readyz").status_ == 200U);
  BOOST_TEST(get("/status").body_ == "{\"a\":1}");
  BOOST_TEST(get("/explain").status_ == 404U);
  const CallerAnswer metrics = get("/metrics");
  BOOST_TEST(
    metrics.Count("azurecross_gateway_tokens_total{rank=\"urgent\"} 3\n") == 1);
  BOOST_TEST(metrics.Count("azurecross_gateway_requests_total{rank=\"urgent\","
                           "route=\"paint\",status=\"200\"} 1\n") == 1);
  context.stop();
  thread.join();
}

} // namespace azurecross
