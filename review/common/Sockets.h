#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** An IPv4 address and a port. */
struct Endpoint
{
  std::string ip_;
  std::uint16_t port_ = 0;

  std::string Format() const { return ip_ + ":" + std::to_string(port_); }
};

/** How an operation on a socket ended. */
enum class IoResult
{
  Done,
  /** The peer closed the connection in order. */
  Ended,
  /** The peer reset the connection, or it failed otherwise. */
  Failed,
  TimedOut,
};

/** A TCP connection; the destructor closes it. */
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  ~Socket();

  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /** @returns whether the connection was established in time. */
  bool Connect(const Endpoint& aEndpoint, Milliseconds aTimeout);
  /** Sends all bytes. @returns whether the socket took them. */
  bool Send(std::string_view aBytes);
  /** Appends what arrives to the buffer, at least one byte. */
  IoResult Receive(std::string& aBuffer, Milliseconds aTimeout);
  /** @returns whether the peer has neither closed nor sent anything. */
  bool IsQuiet() const;

  bool IsOpen() const { return descriptor_ >= 0; }
  /** Closes the connection with a reset. */
  void Reset();
  /** Ends the connection in both directions, so that other threads return. */
  void ShutDown();
  void Close();
  int GetDescriptor() const { return descriptor_; }

private:
  int descriptor_ = -1;
};

/** Accepts connections and serves each one on a thread of its own. */
class Listener
{
public:
  using Handler = std::function<void(Socket& aSocket)>;

  /** Listens on a free port of the address if the port is 0. */
  Listener(const Endpoint& aEndpoint, Handler aHandler);
  ~Listener();

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Endpoint& GetEndpoint() const { return endpoint_; }
  /** Closes the listening socket and all connections, and joins the threads.
   */
  void Stop();

private:
  void Accept();

  Endpoint endpoint_;
  Handler handler_;
  int descriptor_ = -1;
  std::atomic<bool> isStopped_ = false;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> workers_;
  std::thread acceptor_;
};

/** @returns a port that was free on the address a moment ago. */
std::uint16_t
FindFreePort(const std::string& aIp);

} // namespace review
