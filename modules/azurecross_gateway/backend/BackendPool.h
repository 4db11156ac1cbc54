#pragma once

#include "BackendConnection.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace azurecross {

/** Idle connections of one worker thread. */
class BackendPool
{
public:
  /** @returns an open connection to this address that has not carried this
   * request, or null. */
  std::unique_ptr<BackendConnection> Take(const SocketAddress& aAddress,
                                          std::string_view aRequestId);

  /**
   * Keeps a connection for later, if it can be used again.
   * @param aIdleTime longest time to keep it.
   */
  void Give(std::unique_ptr<BackendConnection> aConnection,
            Duration aIdleTime = kIdleTime);

  /** Closes all idle connections to an address. */
  void Drop(const SocketAddress& aAddress) { idle_.erase(aAddress); }

  /** Closes connections that have been idle too long. */
  void Tick(Time aNow);

private:
  /** Shorter than the keep-alive time of the usual servers. */
  static constexpr Duration kIdleTime = std::chrono::seconds(4);

  struct Idle
  {
    std::unique_ptr<BackendConnection> connection_;
    Time until_;
  };

  std::map<SocketAddress, std::vector<Idle>> idle_;
};

} // namespace azurecross
