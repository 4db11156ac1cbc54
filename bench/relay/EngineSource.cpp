#include "EngineSource.h"

#include "Sockets.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

namespace azurecross {

namespace {

constexpr std::uint64_t kListenerData = UINT64_MAX;
/** Sleeps between groups of tokens; three tokens at 34,000 a second. */
constexpr long kPauseNanoseconds = 80000;

class EngineSource
{
public:
  EngineSource(int aListener,
               const BenchOptions& aOptions,
               std::uint64_t aTokensPerStream,
               SharedResults& aResults)
    : listener_(aListener)
    , options_(aOptions)
    , tokensPerStream_(aTokensPerStream)
    , results_(aResults)
    , epoll_(::epoll_create1(EPOLL_CLOEXEC))
  {
    PrepareSocket(listener_);
    WatchForReading(epoll_, listener_, kListenerData);
    // The default slack of 50 us would make the pace uneven.
    ::prctl(PR_SET_TIMERSLACK, 1000UL);
  }

  void OpenStreams()
  {
    std::array<epoll_event, 256> events{};
    while (open_ < options_.streams_) {
      const int count = ::epoll_wait(epoll_, events.data(), events.size(), -1);
      for (int at = 0; at < count; ++at) {
        if (events[at].data.u64 == kListenerData) {
          AcceptAll();
        } else {
          ReadRequest(events[at].data.u64);
        }
      }
    }
  }

  void SendTokens()
  {
    const std::uint64_t total = tokensPerStream_ * options_.streams_;
    const double interval = 1e9 / options_.tokensPerSecond_;
    const std::uint64_t start = ReadNanoseconds();
    results_.startNanoseconds_.store(start);
    for (std::uint64_t sent = 0; sent < total;) {
      const auto due = static_cast<std::uint64_t>(
        static_cast<double>(ReadNanoseconds() - start) / interval);
      for (; sent < due && sent < total; ++sent) {
        SendToken(sent % options_.streams_, sent / options_.streams_);
      }
      const timespec pause{ 0, kPauseNanoseconds };
      ::nanosleep(&pause, nullptr);
    }
    for (const Stream& stream : streams_) {
      if (stream.isOpen_) {
        Send(stream, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
      }
    }
  }

private:
  struct Stream
  {
    int socket_ = -1;
    std::string request_;
    bool isOpen_ = false;
  };

  void AcceptAll()
  {
    for (;;) {
      const int accepted = ::accept(listener_, nullptr, nullptr);
      if (accepted < 0) {
        return;
      }
      PrepareSocket(accepted);
      WatchForReading(epoll_, accepted, streams_.size());
      streams_.push_back({ accepted, {}, false });
    }
  }

  void ReadRequest(std::size_t aIndex)
  {
    Stream& stream = streams_[aIndex];
    std::array<char, 4096> bytes{};
    const ssize_t length =
      ::recv(stream.socket_, bytes.data(), bytes.size(), 0);
    if (length <= 0) {
      ::epoll_ctl(epoll_, EPOLL_CTL_DEL, stream.socket_, nullptr);
      return;
    }
    stream.request_.append(bytes.data(), length);
    // The body of each request ends with this member.
    if (stream.isOpen_ ||
        stream.request_.find("\r\n\r\n{") == std::string::npos) {
      return;
    }
    const std::string name = "X-Request-Id: ";
    const std::size_t at = stream.request_.find(name) + name.size();
    Send(stream,
         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\nX-Request-Id: " +
           stream.request_.substr(at, stream.request_.find('\r', at) - at) +
           "\r\n\r\n");
    stream.isOpen_ = true;
    ++open_;
  }

  void SendToken(std::size_t aStream, std::uint64_t aNumber)
  {
    constexpr int kChunkHeaderBytes = 5;
    std::array<char, 512> chunk{};
    const int length = std::snprintf(
      chunk.data() + kChunkHeaderBytes,
      chunk.size() - kChunkHeaderBytes,
      "id: %llu\ndata: {\"id\":\"gen-%06zu\",\"object\":\"text_completion\","
      "\"created\":1764800000,\"model\":\"m\",\"choices\":[{\"index\":0,"
      "\"text\":\" token\",\"logprobs\":null,\"finish_reason\":null}],"
      "\"n\":%llu,\"t\":%llu}\n\n\r\n",
      static_cast<unsigned long long>(aNumber),
      aStream,
      static_cast<unsigned long long>(aNumber),
      static_cast<unsigned long long>(ReadNanoseconds()));
    std::array<char, kChunkHeaderBytes + 1> header{};
    std::snprintf(header.data(), header.size(), "%03x\r\n", length - 2);
    std::copy_n(header.data(), kChunkHeaderBytes, chunk.data());
    Send(
      streams_[aStream],
      { chunk.data(), static_cast<std::size_t>(kChunkHeaderBytes + length) });
  }

  void Send(const Stream& aStream, std::string_view aText)
  {
    while (!aText.empty()) {
      const ssize_t sent =
        ::send(aStream.socket_, aText.data(), aText.size(), MSG_NOSIGNAL);
      if (sent >= 0) {
        aText.remove_prefix(sent);
        continue;
      }
      if (errno != EAGAIN) {
        return;
      }
      ++results_.engineStalls_;
      pollfd waiting{ aStream.socket_, POLLOUT, 0 };
      ::poll(&waiting, 1, 1000);
    }
  }

  int listener_;
  const BenchOptions& options_;
  std::uint64_t tokensPerStream_;
  SharedResults& results_;
  int epoll_;
  std::vector<Stream> streams_;
  std::size_t open_ = 0;
};

} // namespace

void
RunEngineSource(int aListener,
                const BenchOptions& aOptions,
                std::uint64_t aTokensPerStream,
                SharedResults& aResults)
{
  EngineSource source(aListener, aOptions, aTokensPerStream, aResults);
  source.OpenStreams();
  source.SendTokens();
  for (;;) {
    ::pause();
  }
}

} // namespace azurecross
