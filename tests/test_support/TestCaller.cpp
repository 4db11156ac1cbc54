#include "TestCaller.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <sstream>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

std::string
CallerAnswer::FindHeader(std::string_view aName) const
{
  std::istringstream lines(head_);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos &&
        boost::beast::iequals(line.substr(0, colon), aName)) {
      line.erase(line.find_last_not_of('\r') + 1);
      return line.substr(colon + 2);
    }
  }
  return {};
}

int
CallerAnswer::Count(std::string_view aText) const
{
  int count = 0;
  for (std::size_t at = body_.find(aText); at != std::string::npos;
       at = body_.find(aText, at + 1)) {
    ++count;
  }
  return count;
}

TestCaller::TestCaller(const SocketAddress& aAddress)
  : socket_(context_)
{
  socket_.connect({ asio::ip::make_address(aAddress.host_), aAddress.port_ });
  const timeval limit{ 5, 0 };
  ::setsockopt(
    socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool
TestCaller::Send(std::string_view aText)
{
  boost::system::error_code code;
  asio::write(socket_, asio::buffer(aText.data(), aText.size()), code);
  return !code;
}

CallerAnswer
TestCaller::ReadAnswer(bool aIsHeadRequest)
{
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  parser.skip(aIsHeadRequest);
  boost::beast::flat_buffer buffer;
  buffer.commit(
    asio::buffer_copy(buffer.prepare(buffer_.size()), asio::buffer(buffer_)));
  boost::system::error_code code;
  http::read(socket_, buffer, parser, code);
  buffer_.assign(static_cast<const char*>(buffer.data().data()), buffer.size());
  CallerAnswer answer;
  answer.isWhole_ = !code && parser.is_done();
  answer.status_ = parser.is_header_done() ? parser.get().result_int() : 0;
  std::ostringstream head;
  head << parser.get().base();
  answer.head_ = head.str();
  answer.body_ = parser.get().body();
  return answer;
}

std::string
TestCaller::ReadUntil(std::string_view aText)
{
  boost::system::error_code code;
  asio::read_until(
    socket_, asio::dynamic_buffer(buffer_), std::string(aText), code);
  return buffer_;
}

CallerRemainder
TestCaller::ReadToEnd()
{
  boost::system::error_code code;
  asio::read(socket_, asio::dynamic_buffer(buffer_), code);
  return { std::move(buffer_), code == asio::error::eof };
}

bool
TestCaller::WaitForClose(Duration aTime)
{
  const Time end = ReadMonotonicTime() + aTime;
  std::array<char, 4096> bytes{};
  while (ReadMonotonicTime() < end) {
    pollfd waiting{ socket_.native_handle(), POLLIN, 0 };
    if (::poll(&waiting, 1, 50) <= 0) {
      continue;
    }
    boost::system::error_code code;
    socket_.read_some(asio::buffer(bytes), code);
    if (code) {
      return true;
    }
  }
  return false;
}

void
TestCaller::Close()
{
  boost::system::error_code ignored;
  socket_.close(ignored);
}

std::string
MakePost(std::string_view aTarget,
         std::string_view aBody,
         std::string_view aHeaders)
{
  std::ostringstream request;
  request << "POST " << aTarget << " HTTP/1.1\r\nHost: entry\r\n"
          << aHeaders << "Content-Length: " << aBody.size() << "\r\n\r\n"
          << aBody;
  return request.str();
}

std::string
MakeStreamRequest(std::string_view aHeaders)
{
  return MakePost(
    "/v1/completions", R"({"model":"m","prompt":"p","stream":true})", aHeaders);
}

} // namespace azurecross
