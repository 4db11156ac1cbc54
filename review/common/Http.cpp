#include "Http.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace review {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kHexBase = 16;

std::string
ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
}

std::string
Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t\r");
  const std::size_t last = aText.find_last_not_of(" \t\r");
  return first == std::string_view::npos
           ? std::string()
           : std::string(aText.substr(first, last - first + 1));
}

void
ParseHead(std::string_view aHead, HttpMessage& aMessage)
{
  aMessage = HttpMessage();
  std::size_t end = aHead.find(kLineEnd);
  aMessage.startLine_ = aHead.substr(0, end);
  while (end != std::string_view::npos) {
    aHead.remove_prefix(end + kLineEnd.size());
    end = aHead.find(kLineEnd);
    const std::string_view line = aHead.substr(0, end);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      aMessage.headers_[ToLower(Trim(line.substr(0, colon)))] =
        Trim(line.substr(colon + 1));
    }
  }
}

} // namespace

std::string
HttpMessage::Find(const std::string& aLowerCaseName) const
{
  const auto found = headers_.find(aLowerCaseName);
  return found == headers_.end() ? std::string() : found->second;
}

std::string
HttpMessage::GetWord(std::size_t aIndex) const
{
  std::size_t begin = 0;
  for (std::size_t word = 0; word < aIndex; ++word) {
    begin = startLine_.find(' ', begin);
    if (begin == std::string::npos) {
      return {};
    }
    ++begin;
  }
  return startLine_.substr(begin, startLine_.find(' ', begin) - begin);
}

std::string
HttpMessage::GetPath() const
{
  const std::string target = GetTarget();
  return target.substr(0, target.find('?'));
}

std::string
HttpMessage::FindQuery(const std::string& aName) const
{
  const std::string target = GetTarget();
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string field = target.substr(begin, at - begin);
    if (!field.starts_with(aName + "=")) {
      continue;
    }
    std::string value;
    for (std::size_t index = aName.size() + 1; index < field.size(); ++index) {
      if (field[index] == '%' && index + 2 < field.size()) {
        value += static_cast<char>(
          std::strtol(field.substr(index + 1, 2).c_str(), nullptr, kHexBase));
        index += 2;
      } else {
        value += field[index];
      }
    }
    return value;
  }
  return {};
}

int
HttpMessage::GetStatus() const
{
  return std::atoi(GetWord(1).c_str()); // NOLINT(cert-err34-c)
}

ReadResult
HttpReader::Fill(Clock::time_point aDeadline)
{
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aDeadline - Clock::now());
  switch (socket_.Receive(buffer_, std::max(left, Milliseconds(0)))) {
    case IoResult::Done:
      return ReadResult::Complete;
    case IoResult::TimedOut:
      return ReadResult::TimedOut;
    default:
      return buffer_.empty() ? ReadResult::Nothing : ReadResult::CutOff;
  }
}

ReadResult
HttpReader::ReadHead(HttpMessage& aMessage, Clock::time_point aDeadline)
{
  std::size_t end = buffer_.find(kHeadEnd);
  while (end == std::string::npos) {
    const ReadResult result = Fill(aDeadline);
    if (result != ReadResult::Complete) {
      return result;
    }
    end = buffer_.find(kHeadEnd);
  }
  ParseHead(std::string_view(buffer_).substr(0, end), aMessage);
  buffer_.erase(0, end + kHeadEnd.size());
  return ReadResult::Complete;
}

ReadResult
HttpReader::ReadChunks(HttpMessage& aMessage, Clock::time_point aDeadline)
{
  for (;;) {
    const std::size_t lineEnd = buffer_.find(kLineEnd);
    if (lineEnd != std::string::npos) {
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, kHexBase);
      const std::size_t end = lineEnd + kLineEnd.size() + size;
      if (buffer_.size() >= end + kLineEnd.size()) {
        aMessage.body_ += buffer_.substr(lineEnd + kLineEnd.size(), size);
        buffer_.erase(0, end + kLineEnd.size());
        if (size == 0) {
          return ReadResult::Complete;
        }
        continue;
      }
    }
    const ReadResult result = Fill(aDeadline);
    if (result != ReadResult::Complete) {
      return result == ReadResult::Nothing ? ReadResult::CutOff : result;
    }
  }
}

ReadResult
HttpReader::ReadBody(HttpMessage& aMessage, Clock::time_point aDeadline)
{
  if (ToLower(aMessage.Find("transfer-encoding")) == "chunked") {
    return ReadChunks(aMessage, aDeadline);
  }
  const std::size_t length =
    std::strtoul(aMessage.Find("content-length").c_str(), nullptr, 10);
  while (buffer_.size() < length) {
    const ReadResult result = Fill(aDeadline);
    if (result != ReadResult::Complete) {
      return result == ReadResult::Nothing ? ReadResult::CutOff : result;
    }
  }
  aMessage.body_ = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return ReadResult::Complete;
}

ReadResult
HttpReader::Read(HttpMessage& aMessage, Milliseconds aTimeout)
{
  const Clock::time_point deadline = Clock::now() + aTimeout;
  const ReadResult head = ReadHead(aMessage, deadline);
  return head == ReadResult::Complete ? ReadBody(aMessage, deadline) : head;
}

std::string
FormatResponse(int aStatus,
               const std::string& aHeaders,
               const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
FormatJsonResponse(int aStatus, const std::string& aBody)
{
  return FormatResponse(aStatus, "Content-Type: application/json\r\n", aBody);
}

} // namespace review
