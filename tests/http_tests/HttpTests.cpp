#define BOOST_TEST_MODULE http_tests
#include <boost/test/unit_test.hpp>

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <thread>

namespace azurecross {

namespace {

namespace asio = boost::asio;

std::atomic<int> gNoticedPeers = 0;

/** More than the buffers of two sockets can hold. */
constexpr std::size_t kSentBytes = std::size_t{ 64 } << 20;
constexpr std::size_t kAcceptedBytes = std::size_t{ 24 } << 20;

/** Sends a text and then the same byte until the peer closes or `kSentBytes`
 * have been sent. @returns the number of these bytes. */
std::size_t
SendWithoutEnd(asio::ip::tcp::socket& aSocket, const std::string& aText)
{
  boost::system::error_code code;
  asio::write(aSocket, asio::buffer(aText), code);
  const std::string block(std::size_t{ 64 } * 1024, 'x');
  std::size_t sentBytes = 0;
  while (!code && sentBytes < kSentBytes) {
    asio::write(aSocket, asio::buffer(block), code);
    sentBytes += block.size();
  }
  return sentBytes;
}

asio::awaitable<void>
AnswerForTest(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.GetRequest();
  // Named: GCC 12 destroys an aggregate temporary of a co_await expression
  // twice.
  HttpResponse header;
  if (request.GetPath() == "/stream") {
    co_await aExchange.StartStream(header);
    co_await aExchange.WritePart("one ");
    co_await aExchange.WritePart("two");
    co_await aExchange.FinishStream();
  } else if (request.GetPath() == "/abort") {
    aExchange.Abort();
  } else if (request.GetPath() == "/cut") {
    co_await aExchange.StartStream(header);
    co_await aExchange.WritePart("one ");
    aExchange.Abort();
  } else if (request.GetPath() == "/wait") {
    // Answers nothing until the peer has gone.
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!aExchange.IsPeerGone()) {
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
    gNoticedPeers.fetch_add(1);
  } else {
    co_await aExchange.Respond(
      MakeJsonResponse(201, request.FindQueryValue("q") + request.body_));
  }
}

struct Fixture
{
  Fixture()
    : server_(context_.get_executor(), { "127.0.0.1", 0 }, AnswerForTest)
    , client_(context_.get_executor())
  {
    server_.Start();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Fixture()
  {
    server_.Stop();
    guard_.reset();
    thread_.join();
  }

  AsyncResult<HttpResponse> Send(HttpRequest aRequest)
  {
    return asio::co_spawn(
             context_,
             client_.Send(server_.GetAddress(), std::move(aRequest)),
             asio::use_future)
      .get();
  }

  AsyncResult<HttpResponse> Stream(const std::string& aTarget,
                                   std::string& aBody)
  {
    return asio::co_spawn(context_,
                          client_.Stream(server_.GetAddress(),
                                         { "GET", aTarget, {}, "" },
                                         [&](std::string_view aPart) {
                                           aBody += aPart;
                                           return true;
                                         }),
                          asio::use_future)
      .get();
  }

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_{
    context_.get_executor()
  };
  HttpServer server_;
  HttpClient client_;
  std::thread thread_;
};

} // namespace

// Guards against a peer that asks to close the connection getting no answer:
// load balancers ask for readiness in this way.
BOOST_FIXTURE_TEST_CASE(RequestThatClosesIsAnswered, Fixture)
{
  const auto response =
    Send({ "GET", "/x?q=closing", { { "Connection", "close" } }, "" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status_ == 201);
  BOOST_TEST(response->body_ == "closing");
}

// Guards against lost bodies, queries and headers.
BOOST_FIXTURE_TEST_CASE(RequestIsAnswered, Fixture)
{
  const auto response = Send({ "POST", "/x?a=1&q=b%20c", {}, "body" });
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status_ == 201U);
  BOOST_TEST(response->body_ == "b cbody");
  BOOST_TEST(response->FindHeader("content-type") == "application/json");
}

// Guards against parts of a stream that are lost or repeated.
BOOST_FIXTURE_TEST_CASE(StreamIsReadToItsEnd, Fixture)
{
  std::string body;
  BOOST_TEST(Stream("/stream", body).has_value());
  BOOST_TEST(body == "one two");
}

// Guards against a stream cut in the middle that passes for a whole one.
BOOST_FIXTURE_TEST_CASE(CutStreamIsAnError, Fixture)
{
  std::string body;
  const auto response = Stream("/cut", body);
  BOOST_REQUIRE(response.has_error());
  BOOST_CHECK(response.error().verdict_ == Verdict::MayHaveRun);
}

// Guards against a false `not_run` after the request has been sent.
BOOST_FIXTURE_TEST_CASE(LostAnswerMayHaveRun, Fixture)
{
  const auto response = Send({ "POST", "/abort", {}, "" });
  BOOST_REQUIRE(response.has_error());
  BOOST_CHECK(response.error().verdict_ == Verdict::MayHaveRun);
}

// Guards against a refused connection being reported as possibly run.
BOOST_FIXTURE_TEST_CASE(RefusedConnectionDidNotRun, Fixture)
{
  const auto response =
    asio::co_spawn(context_,
                   client_.Send({ "127.0.0.1", 1 }, HttpRequest{}),
                   asio::use_future)
      .get();
  BOOST_REQUIRE(response.has_error());
  BOOST_CHECK(response.error().verdict_ == Verdict::NotRun);
}

// Guards against work that goes on for a caller that has left.
BOOST_FIXTURE_TEST_CASE(GonePeerIsNoticed, Fixture)
{
  HttpClientLimits limits;
  limits.answerTimeout_ = std::chrono::milliseconds(50);
  HttpClient impatient(context_.get_executor(), limits);
  HttpRequest request;
  request.target_ = "/wait";
  const auto response =
    asio::co_spawn(context_,
                   impatient.Send(server_.GetAddress(), std::move(request)),
                   asio::use_future)
      .get();
  BOOST_TEST(response.has_error());
  for (int wait = 0; wait < 400 && gNoticedPeers.load() == 0; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  BOOST_TEST(gNoticedPeers.load() == 1);
}

// Guards against unbounded memory for a large body.
BOOST_FIXTURE_TEST_CASE(LargeBodyIsRefused, Fixture)
{
  const auto response =
    Send({ "POST", "/", {}, std::string((8U << 20U) + 1, 'x') });
  BOOST_TEST((response.has_error() || response->status_ == 413U));
}

// Guards against a status that HTTP doesn't define and that passes for a
// success, because it is below that of each failure.
BOOST_FIXTURE_TEST_CASE(UndefinedStatusIsNoAnswer, Fixture)
{
  for (const std::string status : { "000", "099", "101", "600", "999" }) {
    for (const bool isStreamed : { false, true }) {
      BOOST_TEST_CONTEXT(status << (isStreamed ? ", streamed" : ""))
      {
        asio::io_context peerContext;
        asio::ip::tcp::acceptor acceptor(
          peerContext, { asio::ip::address_v4::loopback(), 0 });
        std::thread peer([&] {
          asio::ip::tcp::socket socket = acceptor.accept();
          asio::write(socket,
                      asio::buffer("HTTP/1.1 " + status +
                                   " Odd\r\nContent-Length: 2\r\n\r\nno"));
          std::array<char, 1024> buffer{};
          boost::system::error_code code;
          while (!code) {
            socket.read_some(asio::buffer(buffer), code);
          }
        });
        const SocketAddress address{ "127.0.0.1",
                                     acceptor.local_endpoint().port() };
        int parts = 0;
        const auto response =
          asio::co_spawn(context_,
                         isStreamed ? client_.Stream(address,
                                                     HttpRequest{},
                                                     [&](std::string_view) {
                                                       ++parts;
                                                       return true;
                                                     })
                                    : client_.Send(address, HttpRequest{}),
                         asio::use_future)
            .get();
        peer.join();
        BOOST_TEST(response.has_error());
        BOOST_TEST(parts == 0);
      }
    }
  }
}

// Guards against a chunk size line without end that fills the memory of a
// client; the limits of head and body don't cover it.
BOOST_FIXTURE_TEST_CASE(EndlessChunkSizeLineOfAnAnswerIsBounded, Fixture)
{
  asio::io_context peerContext;
  asio::ip::tcp::acceptor acceptor(peerContext,
                                   { asio::ip::address_v4::loopback(), 0 });
  std::size_t sentBytes = 0;
  std::thread peer([&] {
    asio::ip::tcp::socket socket = acceptor.accept();
    sentBytes = SendWithoutEnd(
      socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;");
  });
  const auto response =
    asio::co_spawn(
      context_,
      client_.Send({ "127.0.0.1", acceptor.local_endpoint().port() },
                   HttpRequest{}),
      asio::use_future)
      .get();
  peer.join();
  BOOST_TEST(response.has_error());
  BOOST_TEST(sentBytes < kAcceptedBytes);
}

// Guards against the same line in a request.
BOOST_FIXTURE_TEST_CASE(EndlessChunkSizeLineOfARequestIsBounded, Fixture)
{
  asio::io_context peerContext;
  asio::ip::tcp::socket socket(peerContext);
  const SocketAddress address = server_.GetAddress();
  socket.connect({ asio::ip::make_address(address.host_), address.port_ });
  BOOST_TEST(SendWithoutEnd(socket,
                            "POST / HTTP/1.1\r\nHost: x\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n1;") <
             kAcceptedBytes);
}

// Guards against streams that our own end breaks off in a partition of a few
// seconds: their connections bear more silence than the usual.
BOOST_AUTO_TEST_CASE(SilenceOfAPeerIsBounded)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
  const auto readTimeout = [&] {
    unsigned milliseconds = 0;
    socklen_t size = sizeof(milliseconds);
    BOOST_REQUIRE(getsockopt(socket.native_handle(),
                             IPPROTO_TCP,
                             TCP_USER_TIMEOUT,
                             &milliseconds,
                             &size) == 0);
    return milliseconds;
  };
  SetKeepAlive(socket.native_handle());
  BOOST_TEST(readTimeout() == 3000U);
  SetKeepAlive(socket.native_handle(), std::chrono::seconds(12));
  BOOST_TEST(readTimeout() == 12000U);
}

} // namespace azurecross
