#include "StreamCaller.h"

#include "Sockets.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

namespace {

class StreamCaller
{
public:
  StreamCaller(const BenchOptions& aOptions,
               std::uint64_t aTokensPerStream,
               SharedResults& aResults)
    : tokensPerStream_(aTokensPerStream)
    , results_(aResults)
    , epoll_(::epoll_create1(EPOLL_CLOEXEC))
    , streams_(aOptions.streams_)
  {
  }

  void Open(std::uint16_t aPort)
  {
    const std::string body = R"({"model":"m","prompt":"p","stream":true})";
    for (std::size_t index = 0; index < streams_.size(); ++index) {
      Stream& stream = streams_[index];
      stream.socket_ = ConnectToLoopback(aPort);
      const std::string request =
        "POST /v1/completions HTTP/1.1\r\nHost: b\r\nX-Request-Id: r-" +
        std::to_string(index) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
      if (::send(stream.socket_, request.data(), request.size(), MSG_NOSIGNAL) <
          0) {
        ++results_.failed_;
      }
      WatchForReading(epoll_, stream.socket_, index);
    }
  }

  void ReadAll()
  {
    std::array<epoll_event, 128> events{};
    while (ended_ < streams_.size()) {
      const int count = ::epoll_wait(epoll_, events.data(), events.size(), -1);
      for (int at = 0; at < count; ++at) {
        Read(streams_[events[at].data.u64]);
      }
    }
  }

private:
  struct Stream
  {
    int socket_ = -1;
    std::uint64_t next_ = 0;
    std::string rest_;
    bool isDone_ = false;
  };

  void Read(Stream& aStream)
  {
    std::array<char, 16384> bytes; // NOLINT: filled by recv
    const ssize_t length =
      ::recv(aStream.socket_, bytes.data(), bytes.size(), 0);
    if (length <= 0) {
      if (length < 0 && errno == EAGAIN) {
        return;
      }
      return End(aStream);
    }
    const std::uint64_t now = ReadNanoseconds();
    std::string_view text(bytes.data(), length);
    if (!aStream.rest_.empty()) {
      aStream.rest_ += text;
      text = aStream.rest_;
    }
    const std::size_t used = TakeEvents(aStream, text, now);
    std::string rest(text.substr(used));
    aStream.rest_ = std::move(rest);
    if (aStream.isDone_) {
      End(aStream);
    }
  }

  /** @returns how many bytes belong to whole events. */
  std::size_t TakeEvents(Stream& aStream,
                         std::string_view aText,
                         std::uint64_t aNow)
  {
    std::size_t used = 0;
    for (;;) {
      const std::size_t end = aText.find("\n\n", used);
      if (end == std::string_view::npos) {
        return used;
      }
      TakeEvent(aStream, aText.substr(used, end - used), aNow);
      used = end + 2;
    }
  }

  void TakeEvent(Stream& aStream, std::string_view aEvent, std::uint64_t aNow)
  {
    if (aEvent.find("[DONE]") != std::string_view::npos) {
      aStream.isDone_ = true;
      return;
    }
    const std::uint64_t number = ReadNumber(aEvent, "\"n\":");
    const std::uint64_t sentAt = ReadNumber(aEvent, "\"t\":");
    if (sentAt == 0) {
      ++results_.failed_;
      return;
    }
    if (number < aStream.next_) {
      ++results_.reordered_;
      return;
    }
    results_.lost_ += number - aStream.next_;
    aStream.next_ = number + 1;
    if (results_.isMeasuring_.load(std::memory_order_relaxed)) {
      const std::uint64_t microseconds = (aNow - sentAt) / 1000;
      ++results_.latencies_[std::min<std::uint64_t>(microseconds,
                                                    kLatencyBuckets - 1)];
      ++results_.tokens_;
    }
  }

  static std::uint64_t ReadNumber(std::string_view aText,
                                  std::string_view aName)
  {
    const std::size_t at = aText.rfind(aName);
    std::uint64_t number = 0;
    if (at != std::string_view::npos) {
      std::from_chars(
        aText.data() + at + aName.size(), aText.data() + aText.size(), number);
    }
    return number;
  }

  void End(Stream& aStream)
  {
    results_.lost_ += tokensPerStream_ - aStream.next_;
    ++(aStream.isDone_ ? results_.finished_ : results_.failed_);
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, aStream.socket_, nullptr);
    ::close(aStream.socket_);
    ++ended_;
  }

  std::uint64_t tokensPerStream_;
  SharedResults& results_;
  int epoll_;
  std::vector<Stream> streams_;
  std::size_t ended_ = 0;
};

} // namespace

void
RunStreamCaller(std::uint16_t aPort,
                const BenchOptions& aOptions,
                std::uint64_t aTokensPerStream,
                SharedResults& aResults)
{
  StreamCaller caller(aOptions, aTokensPerStream, aResults);
  caller.Open(aPort);
  caller.ReadAll();
}

} // namespace azurecross
