#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace azurecross {

/** An answer as a caller sees it, with the chunks taken off. */
struct CallerAnswer
{
  unsigned status_ = 0;
  std::string head_;
  std::string body_;
  /** Whether the body ended as its head says. */
  bool isWhole_ = false;

  /** @returns the value of a header. */
  std::string FindHeader(std::string_view aName) const;
  /** @returns how often a text occurs in the body. */
  int Count(std::string_view aText) const;
};

/** What a caller read up to the end of its connection. */
struct CallerRemainder
{
  std::string bytes_;
  /** Whether the peer closed the connection, and neither reset it nor kept it
   * open for 5 s. */
  bool isClosedOrderly_ = false;
};

/** A caller's connection; its calls block, reads for 5 s at most. */
class TestCaller
{
public:
  explicit TestCaller(const SocketAddress& aAddress);

  bool Send(std::string_view aText);
  /** Reads the next answer. */
  CallerAnswer ReadAnswer(bool aIsHeadRequest = false);
  /** Reads until the text has arrived; @returns all bytes so far. */
  std::string ReadUntil(std::string_view aText);
  /** Reads to the end of the connection; @returns all bytes not yet taken. */
  CallerRemainder ReadToEnd();
  /** @returns whether the peer closes within this time. */
  bool WaitForClose(Duration aTime = std::chrono::seconds(3));
  void Close();
  boost::asio::ip::tcp::socket& GetSocket() { return socket_; }

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::string buffer_;
};

/** @returns the text of a POST request with a JSON body. */
std::string
MakePost(std::string_view aTarget,
         std::string_view aBody,
         std::string_view aHeaders = {});

/** @returns the text of a request for a stream from the model "m". */
std::string
MakeStreamRequest(std::string_view aHeaders = {});

} // namespace azurecross
