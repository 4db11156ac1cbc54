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

namespace azurecross::harness {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** An IPv4 address and a port. */
struct Endpoint
{
  std::string ip_;
  std::uint16_t port_ = 0;

  std::string Format() const { return ip_ + ":" + std::to_string(port_); }
};

/** An HTTP/1.1 message without interim responses. */
struct Message
{
  /** The request line or the status line. */
  std::string firstLine_;
  /** Names are in lower case. */
  std::map<std::string, std::string> headers_;
  std::string body_;

  std::string Find(const std::string& aName) const;
  /** The second word of the first line: the target or the status. */
  std::string GetSecondWord() const;
  /** @returns the status of a response, or 0. */
  int GetStatus() const;
  /** @returns the target up to the query. */
  std::string GetPath() const;
  /** @returns the decoded value of a query parameter. */
  std::string FindQuery(const std::string& aName) const;
};

/** A connected TCP socket. */
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket_(aSocket)
  {
  }
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool IsOpen() const { return socket_ >= 0; }
  bool Send(const std::string& aBytes) const;
  /** Reads one message. @returns false if it did not arrive whole in time. */
  bool Read(Message& aMessage, Milliseconds aTimeout);
  /** Makes a blocked read or write fail. Used by other threads. */
  void Interrupt() const;
  /** Lets the destructor reset the connection. */
  void ResetOnClose() const;

private:
  bool Receive(Clock::time_point aDeadline);
  bool ReadChunks(std::string& aBody, Clock::time_point aDeadline);
  /** Reads until the buffer holds this many bytes. */
  bool ReceiveUpTo(std::size_t aSize, Clock::time_point aDeadline);

  int socket_;
  std::string buffer_;
};

/** @returns the socket, or -1. */
int
Connect(const Endpoint& aEndpoint, Milliseconds aTimeout);

/** Accepts connections and serves each on a thread of its own. */
class Listener
{
public:
  using Handler = std::function<void(Connection&)>;

  /** Listens on a free port, which it keeps over `Close` and `Open`. */
  Listener(std::string aIp, Handler aHandler);
  ~Listener();

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Endpoint& GetEndpoint() const { return endpoint_; }
  void Open();
  /** Closes the port and resets all connections, as when a process dies. */
  void Close();

private:
  void Accept(int aSocket);

  Endpoint endpoint_;
  Handler handler_;
  std::mutex mutex_;
  int socket_ = -1;
  std::thread thread_;
  std::list<Connection*> connections_;
  std::atomic<int> active_ = 0;
};

/** @returns the text of a response with a length. */
std::string
FormatResponse(int aStatus,
               const std::string& aHeaders,
               const std::string& aBody);

/** @returns the n-th loopback address of this run, from 1 to 250. Each run has
 * its own range, because the port of the entries' metrics is fixed. */
std::string
MakeLoopbackIp(unsigned aNumber);

} // namespace azurecross::harness
