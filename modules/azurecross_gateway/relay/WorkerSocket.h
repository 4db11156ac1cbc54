#pragma once

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace azurecross {

using WorkerExecutor = boost::asio::io_context::executor_type;

/** A TCP socket of one worker thread, without a type-erased executor. */
using WorkerSocket =
  boost::asio::basic_stream_socket<boost::asio::ip::tcp, WorkerExecutor>;

} // namespace azurecross
