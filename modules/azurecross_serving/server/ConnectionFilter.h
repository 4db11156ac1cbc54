#pragma once

namespace azurecross {

/**
 * Lets the kernel ignore further requests for connections to a listening
 * socket. Connections whose handshake has begun are still completed. Without
 * this, closing the socket resets the connections that are completed between
 * the last accept and the close, of which callers believe that they are served.
 *
 * Callers whose request was ignored repeat it after a second, and are refused
 * if the socket has been closed by then.
 *
 * @returns whether the kernel accepts the filter.
 */
bool
IgnoreConnectionRequests(int aListener);

} // namespace azurecross
