#pragma once

#include "Sockets.h"

#include <map>
#include <string>
#include <string_view>

namespace review {

/** An HTTP/1.1 request or response. */
struct HttpMessage
{
  /** The request line or the status line. */
  std::string startLine_;
  /** By name in lower case. */
  std::map<std::string, std::string> headers_;
  std::string body_;

  /** @returns the value of a header, or an empty text. */
  std::string Find(const std::string& aLowerCaseName) const;
  /** @returns a word of the first line: 0 is the method, 1 the target. */
  std::string GetWord(std::size_t aIndex) const;
  std::string GetMethod() const { return GetWord(0); }
  std::string GetTarget() const { return GetWord(1); }
  std::string GetPath() const;
  /** @returns the decoded value of a query parameter, or an empty text. */
  std::string FindQuery(const std::string& aName) const;
  int GetStatus() const;
};

/** How reading a message ended. */
enum class ReadResult
{
  Complete,
  /** The connection ended, in order or not, before the first byte. */
  Nothing,
  /** The connection ended within the message. */
  CutOff,
  TimedOut,
};

/** Reads messages from a connection. */
class HttpReader
{
public:
  explicit HttpReader(Socket& aSocket)
    : socket_(aSocket)
  {
  }

  ReadResult Read(HttpMessage& aMessage, Milliseconds aTimeout);
  /** @returns bytes that follow the last message. */
  const std::string& GetRest() const { return buffer_; }

private:
  ReadResult ReadHead(HttpMessage& aMessage, Clock::time_point aDeadline);
  ReadResult ReadBody(HttpMessage& aMessage, Clock::time_point aDeadline);
  ReadResult ReadChunks(HttpMessage& aMessage, Clock::time_point aDeadline);
  ReadResult Fill(Clock::time_point aDeadline);

  Socket& socket_;
  std::string buffer_;
};

/** @returns a response with a length. */
std::string
FormatResponse(int aStatus,
               const std::string& aHeaders,
               const std::string& aBody);

/** @returns a response with a JSON body. */
std::string
FormatJsonResponse(int aStatus, const std::string& aBody);

} // namespace review
