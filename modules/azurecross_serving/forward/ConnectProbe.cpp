#include "ConnectProbe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <variant>

namespace azurecross {

namespace asio = boost::asio;

asio::awaitable<ConnectOutcome>
ProbeConnect(SocketAddress aAddress, Duration aTimeout)
{
  using namespace asio::experimental::awaitable_operators;
  boost::system::error_code code;
  const auto host = asio::ip::make_address(aAddress.host_, code);
  if (code) {
    co_return ConnectOutcome::Unanswered;
  }
  const auto executor = co_await asio::this_coro::executor;
  asio::ip::tcp::socket socket(executor);
  asio::steady_timer timer(executor, aTimeout);
  const asio::ip::tcp::endpoint endpoint(host, aAddress.port_);
  constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
  const auto first = co_await (socket.async_connect(endpoint, kToken) ||
                               timer.async_wait(kToken));
  const auto* connected = std::get_if<0>(&first);
  if (connected == nullptr) {
    co_return ConnectOutcome::Unanswered;
  }
  const boost::system::error_code result = std::get<0>(*connected);
  if (result == asio::error::connection_refused) {
    co_return ConnectOutcome::Refused;
  }
  co_return result ? ConnectOutcome::Unanswered : ConnectOutcome::Accepted;
}

} // namespace azurecross
