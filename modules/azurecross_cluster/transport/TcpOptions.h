#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azurecross {

/**
 * Sets an integer option of TCP that Asio has no type for. A socket that has
 * failed already refuses it; its next read or write tells.
 */
inline void
SetTcpOption(boost::asio::ip::tcp::socket& aSocket, int aOption, int aValue)
{
  setsockopt(
    aSocket.native_handle(), IPPROTO_TCP, aOption, &aValue, sizeof(aValue));
}

} // namespace azurecross
