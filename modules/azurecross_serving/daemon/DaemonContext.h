#pragma once

#include <boost/asio/io_context.hpp>

namespace azurecross {

/** The event loop of a daemon. Its coroutines can be destroyed while the
 * objects that they use still exist. */
class DaemonContext : public boost::asio::io_context
{
public:
  DaemonContext()
    : boost::asio::io_context(1)
  {
  }

  /** Destroys all suspended coroutines and pending handlers without running
   * them. The context can't run again. */
  void DestroyPending() { shutdown(); }
};

} // namespace azurecross
