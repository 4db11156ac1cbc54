#include "WatchStream.h"

namespace azurecross {

namespace {

// One transaction of the store is at most a few MB in base64.
constexpr std::size_t kMostMessageBytes = std::size_t{ 64 } << 20;

} // namespace

WatchStream::WatchStream(WatchHandler aHandler)
  : handler_(std::move(aHandler))
{
}

bool
WatchStream::Feed(std::string_view aPart)
{
  std::size_t searched = buffer_.size();
  buffer_ += aPart;
  std::size_t begin = 0;
  while (!end_) {
    const std::size_t newline = buffer_.find('\n', searched);
    if (newline == std::string::npos) {
      break;
    }
    HandleLine(std::string_view(buffer_).substr(begin, newline - begin));
    begin = newline + 1;
    searched = begin;
  }
  buffer_.erase(0, begin);
  if (!end_ && buffer_.size() > kMostMessageBytes) {
    Error error;
    error.code_ = ErrorCode::StoreUnavailable;
    error.message_ = "a watch message is too large";
    end_ = AsyncResult<WatchEnd>(std::move(error));
  }
  return !end_;
}

void
WatchStream::HandleLine(std::string_view aLine)
{
  if (aLine.empty()) {
    return;
  }
  const auto message = CaptureResult([&] { return ParseWatchMessage(aLine); });
  if (message.has_error()) {
    end_ = AsyncResult<WatchEnd>(message.error());
    return;
  }
  isCreated_ = isCreated_ || message->batch_.isCreated_;
  if (message->compactRevision_ != 0) {
    end_ = AsyncResult<WatchEnd>(WatchEnd::Compacted);
  } else if (message->isCancelled_) {
    end_ = AsyncResult<WatchEnd>(WatchEnd::Cancelled);
  } else if (!handler_(message->batch_)) {
    end_ = AsyncResult<WatchEnd>(WatchEnd::Stopped);
  }
}

} // namespace azurecross
