#include "GatewayWorker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <unistd.h>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Time limits are checked this often; the shortest one is a second. */
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/** How long requests may take to end after their connections were closed. */
constexpr Duration kStopTime = std::chrono::seconds(2);

} // namespace

GatewayWorker::GatewayWorker(ControllerPort& aController,
                             const GatewayLimits& aLimits,
                             Metrics& aMetrics,
                             RunningRequests& aRunning)
  : limits_(aLimits)
  , metrics_(aMetrics)
  , random_(DrawSystemSeed())
  , pool_(std::make_unique<BackendPool>())
  , context_(1)
  , guard_(context_.get_executor())
  , timer_(context_)
{
  services_ =
    std::make_unique<WorkerServices>(WorkerServices{ context_.get_executor(),
                                                     aController,
                                                     limits_,
                                                     deadlines_,
                                                     metrics_,
                                                     *pool_,
                                                     answerBudget_,
                                                     bodyBudget_,
                                                     aRunning,
                                                     random_ });
}

GatewayWorker::~GatewayWorker()
{
  Stop();
  // Its sockets belong to the context.
  pool_.reset();
}

void
GatewayWorker::Start()
{
  ScheduleTick();
  thread_ = std::thread([this] { context_.run(); });
}

void
GatewayWorker::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  asio::post(context_, [this] {
    isStopping_ = true;
    for (CallerConnection& connection : connections_) {
      connection.Close();
    }
    timer_.expires_after(kStopTime);
    timer_.async_wait(
      [this](const boost::system::error_code&) { context_.stop(); });
    if (connectionCount_ == 0) {
      context_.stop();
    }
  });
  thread_.join();
  metrics_.Flush();
}

void
GatewayWorker::Serve(WorkerSocket::native_handle_type aSocket, bool aIsV6)
{
  asio::post(context_, [this, aSocket, aIsV6] { ServeHere(aSocket, aIsV6); });
}

void
GatewayWorker::ServeHere(WorkerSocket::native_handle_type aSocket, bool aIsV6)
{
  if (isStopping_ || connectionCount_ >= limits_.connectionLimit_) {
    ::close(aSocket);
    return;
  }
  boost::system::error_code code;
  WorkerSocket socket(context_.get_executor());
  socket.assign(
    aIsV6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), aSocket, code);
  if (code) {
    ::close(aSocket);
    return;
  }
  auto connection =
    std::make_shared<CallerConnection>(std::move(socket), *services_);
  connections_.push_back(*connection);
  ++connectionCount_;
  asio::co_spawn(
    context_,
    [connection] { return connection->Run(); },
    [this, connection](const std::exception_ptr& aException) {
      --connectionCount_;
      if (aException) {
        try {
          std::rethrow_exception(aException);
        } catch (const std::exception& exception) {
          WriteLog(LogLevel::Error,
                   "a connection failed",
                   { { "reason", exception.what() } });
        }
      }
      if (isStopping_ && connectionCount_ == 0) {
        context_.stop();
      }
    });
}

void
GatewayWorker::CloseIdle()
{
  asio::post(context_, [this] {
    for (CallerConnection& connection : connections_) {
      connection.CloseIfIdle();
    }
  });
}

void
GatewayWorker::ScheduleTick()
{
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode && !isStopping_) {
      Tick();
      ScheduleTick();
    }
  });
}

void
GatewayWorker::Tick()
{
  const Time now = ReadMonotonicTime();
  deadlines_.Tick(now);
  pool_->Tick(now);
  metrics_.Flush();
}

} // namespace azurecross
