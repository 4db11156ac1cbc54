#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace rig {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** An IPv4 address and a port. */
struct Endpoint
{
  std::string host_;
  std::uint16_t port_ = 0;

  std::string Format() const { return host_ + ":" + std::to_string(port_); }
};

/** A connected TCP socket; the destructor closes it. */
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }
  ~Socket() { Close(); }
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Connect(const Endpoint& aEndpoint, Milliseconds aTimeout);
  /** @returns whether all bytes were taken. */
  bool Send(const std::string& aBytes) const;
  /** Waits for bytes. @returns their number, 0 at the end, -1 after the timeout
   * or a failure. */
  int Receive(char* aBuffer, int aSize, Milliseconds aTimeout) const;
  /** @returns whether the peer has neither closed nor sent anything. */
  bool IsQuiet() const;
  bool IsOpen() const { return descriptor_ >= 0; }
  /** Ends pending calls of other threads. */
  void Shutdown() const;
  void Close();

private:
  int descriptor_ = -1;
};

/** A request or a response of HTTP/1.1. Names of headers are in lower case. */
struct HttpMessage
{
  std::string startLine_;
  std::map<std::string, std::string> headers_;
  std::string body_;

  std::string Find(const std::string& aName) const;
  /** @returns the second word of the start line: a target or a status. */
  std::string GetSecondWord() const;
  int GetStatus() const;
};

/** Reads messages with a length or in chunks from a socket. */
class HttpReader
{
public:
  explicit HttpReader(const Socket& aSocket)
    : socket_(aSocket)
  {
  }

  /** Forgets the bytes of an earlier connection. */
  void Reset() { buffer_.clear(); }
  /** @returns whether a whole message arrived before the timeout. */
  bool Read(HttpMessage& aMessage, Milliseconds aTimeout);

private:
  bool Fill(Clock::time_point aDeadline);
  bool ReadLine(std::string& aLine, Clock::time_point aDeadline);
  bool ReadBytes(std::size_t aCount,
                 std::string& aOut,
                 Clock::time_point aDeadline);

  const Socket& socket_;
  std::string buffer_;
};

std::string
FormatResponse(int aStatus,
               const std::string& aHeaders,
               const std::string& aBody);

/** Accepts connections and serves each one on a thread of its own. */
class Listener
{
public:
  using Handler = std::function<void(Socket&)>;

  Listener(const std::string& aHost, Handler aHandler);
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Endpoint& GetEndpoint() const { return endpoint_; }
  /** Refuses new connections, ends the present ones and waits for their
   * threads. */
  void Stop();

private:
  struct Connection
  {
    Socket socket_;
    std::thread thread_;
  };

  void Accept();

  int descriptor_ = -1;
  Endpoint endpoint_;
  Handler handler_;
  std::atomic<bool> isStopped_ = false;
  std::mutex mutex_;
  std::list<Connection> connections_;
  std::thread thread_;
};

} // namespace rig
