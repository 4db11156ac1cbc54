#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace azurecross {

/** One accepted connection of a fake backend server; its calls block. */
class FakeConnection
{
public:
  explicit FakeConnection(boost::asio::ip::tcp::socket& aSocket)
    : socket_(aSocket)
  {
  }

  /** @returns the next request as text; empty when the peer closed. */
  std::string ReadRequest();
  /** @returns false when the peer is gone. */
  bool Send(std::string_view aText);
  /** Sends one HTTP chunk. */
  bool SendChunk(std::string_view aText);
  /** Waits for the peer to close; @returns whether it did within 3 s. */
  bool WaitForClose();
  /** Ends the connection with a reset. */
  void Abort();

  /** @returns the value of a header of the last request. */
  std::string FindHeader(std::string_view aName) const;

  /** Sends the head of an event stream that echoes the request id. */
  bool StartStream();
  /** Sends one token event of this generation. */
  bool SendToken(std::string_view aGeneration, int aOffset);
  /** Sends `[DONE]` and the end of the body. */
  bool FinishStream();
  /** Sends a whole answer that echoes the request id. */
  bool Answer(unsigned aStatus, std::string_view aBody);

private:
  boost::asio::ip::tcp::socket& socket_;
  std::string request_;
  std::string buffer_;
};

/** Runs a script on each connection, in a thread of its own. */
class FakeBackendServer
{
public:
  using Script = std::function<void(FakeConnection&)>;

  explicit FakeBackendServer(Script aScript);
  ~FakeBackendServer();

  FakeBackendServer(const FakeBackendServer&) = delete;
  FakeBackendServer& operator=(const FakeBackendServer&) = delete;

  SocketAddress GetAddress() const;
  /** @returns how many connections were accepted. */
  int CountConnections() const { return connections_.load(); }

private:
  void Accept();

  Script script_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> connections_ = 0;
  std::atomic<bool> isStopping_ = false;
  std::mutex mutex_;
  std::list<boost::asio::ip::tcp::socket> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptThread_;
};

/** Serves each request of a connection with a stream of this many tokens. */
FakeBackendServer::Script
MakeEngineScript(std::string aGeneration, int aTokens);

} // namespace azurecross
