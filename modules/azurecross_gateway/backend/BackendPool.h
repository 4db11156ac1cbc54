#pragma once

#include "BackendConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace azurecross {

/** Idle connections of one worker thread, for requests that may be repeated. */
class BackendPool
{
public:
  /** @returns an open connection to this address, or null. */
  std::unique_ptr<BackendConnection> Take(const SocketAddress& aAddress);

  /** Keeps a connection for later, if it can be used again. */
  void Give(std::unique_ptr<BackendConnection> aConnection);

  /** Closes connections that have been idle too long. */
  void Tick(Time aNow);

private:
  struct Idle
  {
    std::unique_ptr<BackendConnection> connection_;
    Time since_;
  };

  std::map<SocketAddress, std::vector<Idle>> idle_;
};

} // namespace azurecross
