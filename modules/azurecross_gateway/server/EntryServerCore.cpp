#include "EntryServerCore.h"

#include "GatewayWorker.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Wait after a failed accept, usually for want of file descriptors. */
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

} // namespace

/**
 * One acceptor hands the connections to the workers in turn. With
 * SO_REUSEPORT the kernel would spread them by hash, which is uneven for the
 * few long-lived connections of a load balancer, and connections in the
 * backlog of a socket that closes would be lost at a drain.
 */
class EntryServerCore::Impl
{
public:
  Impl(ControllerPort& aController,
       Metrics& aMetrics,
       EntryServerOptions aOptions)
    : options_(std::move(aOptions))
    , acceptor_(context_,
                { asio::ip::make_address(options_.address_.host_),
                  options_.address_.port_ })
    , timer_(context_)
  {
    for (unsigned worker = 0; worker < options_.workers_; ++worker) {
      workers_.push_back(std::make_unique<GatewayWorker>(
        aController, options_.limits_, aMetrics, running_));
    }
  }

  ~Impl() { Stop(); }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  SocketAddress GetAddress() const
  {
    const auto endpoint = acceptor_.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
  }

  void Start()
  {
    for (const auto& worker : workers_) {
      worker->Start();
    }
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }

  void Stop()
  {
    if (!thread_.joinable()) {
      return;
    }
    context_.stop();
    thread_.join();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& worker : workers_) {
      worker->Stop();
    }
  }

  void BeginDrain(std::function<void()> aOnDrained)
  {
    running_.BeginDrain(std::move(aOnDrained));
    for (const auto& worker : workers_) {
      worker->CloseIdle();
    }
  }

  const RunningRequests& GetRunning() const { return running_; }

private:
  void Accept()
  {
    acceptor_.async_accept([this](const boost::system::error_code& aCode,
                                  asio::ip::tcp::socket aSocket) {
      if (aCode) {
        return AcceptLater();
      }
      Pass(std::move(aSocket));
      Accept();
    });
  }

  void AcceptLater()
  {
    timer_.expires_after(kAcceptPause);
    timer_.async_wait([this](const boost::system::error_code& aCode) {
      if (!aCode) {
        Accept();
      }
    });
  }

  void Pass(asio::ip::tcp::socket aSocket)
  {
    const bool isV6 = acceptor_.local_endpoint().address().is_v6();
    boost::system::error_code code;
    const auto handle = aSocket.release(code);
    if (!code) {
      workers_[next_++ % workers_.size()]->Serve(handle, isV6);
    }
  }

  EntryServerOptions options_;
  asio::io_context context_{ 1 };
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  RunningRequests running_;
  std::vector<std::unique_ptr<GatewayWorker>> workers_;
  std::size_t next_ = 0;
  std::thread thread_;
};

EntryServerCore::EntryServerCore(ControllerPort& aController,
                                 Metrics& aMetrics,
                                 EntryServerOptions aOptions)
  : impl_(std::make_unique<Impl>(aController, aMetrics, std::move(aOptions)))
{
}

EntryServerCore::~EntryServerCore() = default;

SocketAddress
EntryServerCore::GetAddress() const
{
  return impl_->GetAddress();
}

void
EntryServerCore::Start()
{
  impl_->Start();
}

void
EntryServerCore::Stop()
{
  impl_->Stop();
}

void
EntryServerCore::BeginDrain(std::function<void()> aOnDrained)
{
  impl_->BeginDrain(std::move(aOnDrained));
}

std::string
EntryServerCore::DescribeRunning() const
{
  return impl_->GetRunning().Describe(ReadMonotonicTime());
}

std::size_t
EntryServerCore::CountRunning() const
{
  return impl_->GetRunning().Count();
}

} // namespace azurecross
