#include "PeerAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** @returns whether no other socket holds the port for TCP or UDP. */
bool
IsFree(const SocketAddress& aAddress)
{
  asio::io_context context;
  const auto host = asio::ip::make_address(aAddress.host_);
  try {
    const asio::ip::tcp::acceptor acceptor(context, { host, aAddress.port_ });
    const asio::ip::udp::socket socket(context, { host, aAddress.port_ });
    return true;
  } catch (const boost::system::system_error& error) {
    // Other failures are reported when the daemon binds the address.
    return error.code() != asio::error::address_in_use;
  }
}

} // namespace

SocketAddress
FindPeerAddress(const SocketAddress& aFirst, std::uint16_t aCount)
{
  SocketAddress address = aFirst;
  for (std::uint16_t offset = 0; offset < aCount; ++offset) {
    address.port_ = static_cast<std::uint16_t>(aFirst.port_ + offset);
    if (IsFree(address)) {
      if (offset > 0) {
        WriteLog(LogLevel::Warning,
                 "port for other daemons is not free; using another one",
                 { { "address", aFirst.Format() }, { "port", address.port_ } });
      }
      return address;
    }
  }
  return aFirst;
}

} // namespace azurecross
