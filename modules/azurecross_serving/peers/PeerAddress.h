#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>

namespace azurecross {

/**
 * Selects the port for communication with other daemons. They learn it from the
 * daemon's member record, so that any of the ports serves.
 *
 * @param aFirst the address with the first of the ports.
 * @param aCount the number of consecutive ports.
 * @returns the address with the first port that is free for TCP and UDP, or
 * with the first port if none is.
 */
SocketAddress
FindPeerAddress(const SocketAddress& aFirst, std::uint16_t aCount);

} // namespace azurecross
