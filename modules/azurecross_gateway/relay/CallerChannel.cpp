#include "CallerChannel.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kWatchReadBytes = 4096;
/** How long a caller may take to read the last answer and close. */
constexpr Duration kLingerTime = std::chrono::seconds(1);

/** Part of a body that takes nothing from the memory for all bodies, so that
 * small requests are read beside large ones. */
constexpr std::size_t kUnbudgetedBodyBytes = std::size_t{ 16 } * 1024;
/** When a body may find memory that there is none for now: others are read and
 * answered meanwhile. */
constexpr std::chrono::milliseconds kBodyRetryAfter{ 500 };

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

/** @returns whether a read failed because the caller closed or vanished. */
bool
IsGone(const boost::system::error_code& aCode)
{
  // Beast reports what is wrong with a request in a category of its own.
  const bool isParseError =
    aCode.category() == make_error_code(http::error::bad_method).category();
  return !isParseError || aCode == http::error::end_of_stream ||
         aCode == http::error::partial_message;
}

/** @returns whether the body has another coding than chunks. The parser takes
 * such a body for the next request. */
bool
HasUnknownCoding(const CallerChannel::RequestParser& aParser)
{
  const auto& request = aParser.get();
  const auto [begin, end] = request.equal_range(http::field::transfer_encoding);
  return std::any_of(begin, end, [&](const auto& aField) {
    return !boost::beast::iequals(aField.value(), "chunked") ||
           !aParser.chunked();
  });
}

} // namespace

CallerChannel::CallerChannel(WorkerSocket aSocket,
                             DeadlineList& aDeadlines,
                             const GatewayLimits& aLimits,
                             BufferBudget& aBodyBudget)
  : socket_(std::move(aSocket))
  , deadline_([this] { Expire(); })
  , limits_(aLimits)
  , buffer_(aLimits.headerLimitBytes_ + aLimits.readAheadBytes_)
  , bodyMemory_(aBodyBudget)
{
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  aDeadlines.Add(deadline_);
}

void
CallerChannel::Expire()
{
  if (isIdle_) {
    // New tables may have raised the limit since the wait began.
    const Time idleEnd = idleSince_ + limits_.idleTimeout_;
    if (ReadMonotonicTime() < idleEnd) {
      deadline_.Set(idleEnd);
      return;
    }
  }
  timedOut_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

bool
CallerChannel::HasUnreadBytes() const
{
  boost::system::error_code ignored;
  return buffer_.size() > 0 || socket_.available(ignored) > 0;
}

void
CallerChannel::StopReading()
{
  if (isParsing_) {
    timedOut_ = true;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }
}

asio::awaitable<bool>
CallerChannel::WaitForRequest()
{
  if (buffer_.size() > 0) {
    co_return true;
  }
  boost::system::error_code code;
  isIdle_ = true;
  idleSince_ = ReadMonotonicTime();
  deadline_.Set(idleSince_ + limits_.idleTimeout_);
  co_await socket_.async_wait(asio::socket_base::wait_read,
                              asio::redirect_error(asio::use_awaitable, code));
  deadline_.Clear();
  isIdle_ = false;
  idleTime_ = ReadMonotonicTime() - idleSince_;
  boost::system::error_code availability;
  if (timedOut_ && socket_.available(availability) > 0) {
    // A request arrived in the turn of the loop in which the wait ended.
    timedOut_ = false;
    co_return true;
  }
  if (timedOut_) {
    SetCloseReason(CloseReason::IdleLimit);
  }
  co_return !code && socket_.is_open();
}

asio::awaitable<CallerChannel::ReadOutcome>
CallerChannel::ReadRequest(RequestParser& aParser)
{
  timedOut_ = false;
  ReserveBody(0);
  if (hasLeft_ || !co_await WaitForRequest()) {
    co_return ReadOutcome();
  }
  isParsing_ = true;
  const ScopeGuard markParsed([this] { isParsing_ = false; });
  aParser.header_limit(limits_.headerLimitBytes_);
  aParser.body_limit(limits_.bodyLimitBytes_);
  boost::system::error_code code;
  deadline_.Set(ReadMonotonicTime() + limits_.headerTimeout_);
  co_await http::async_read_header(
    socket_, buffer_, aParser, asio::redirect_error(asio::use_awaitable, code));
  if (!code && HasUnknownCoding(aParser)) {
    code = http::error::bad_transfer_encoding;
  }
  if (!code && !aParser.is_done()) {
    deadline_.Set(ReadMonotonicTime() + limits_.bodyTimeout_);
    if (!ReserveBody(aParser.content_length().value_or(0))) {
      co_return RefuseBody();
    }
    if (!co_await Continue(aParser)) {
      SetCloseReason(CloseReason::CallerLeft);
      co_return ReadOutcome();
    }
    while (!code && !aParser.is_done()) {
      co_await http::async_read_some(
        socket_,
        buffer_,
        aParser,
        asio::redirect_error(asio::use_awaitable, code));
      if (!ReserveBody(aParser.get().body().capacity())) {
        co_return RefuseBody();
      }
    }
  }
  deadline_.Clear();
  if (code || timedOut_) {
    co_return Refuse(aParser, code);
  }
  ReadOutcome done;
  done.end_ = ReadEnd::Done;
  co_return done;
}

bool
CallerChannel::ReserveBody(std::size_t aBytes)
{
  return bodyMemory_.Resize(
    aBytes - std::min<std::size_t>(aBytes, kUnbudgetedBodyBytes));
}

CallerChannel::ReadOutcome
CallerChannel::RefuseBody()
{
  deadline_.Clear();
  ReserveBody(0);
  ReadOutcome outcome;
  outcome.end_ = ReadEnd::Refused;
  outcome.error_ = Error{ ErrorCode::BodyMemoryExhausted,
                          Verdict::NotRun,
                          "no memory for another body of this size at present",
                          kBodyRetryAfter };
  SetCloseReason(CloseReason::RequestRefused);
  return outcome;
}

asio::awaitable<bool>
CallerChannel::Continue(RequestParser& aParser)
{
  if (!boost::beast::iequals(aParser.get()[http::field::expect],
                             "100-continue")) {
    co_return true;
  }
  std::array<asio::const_buffer, 1> buffers = { asio::buffer(
    "HTTP/1.1 100 Continue\r\n\r\n", 25) };
  co_return co_await Write(buffers);
}

CallerChannel::ReadOutcome
CallerChannel::Refuse(const RequestParser& aParser,
                      const boost::system::error_code& aCode)
{
  ReadOutcome outcome;
  outcome.end_ = ReadEnd::Refused;
  outcome.error_.verdict_ = Verdict::NotRun;
  outcome.error_.code_ = ErrorCode::InvalidRequest;
  outcome.error_.message_ = "malformed HTTP request: " + aCode.message();
  if (timedOut_) {
    outcome.error_.code_ = ErrorCode::RequestTimeout;
    outcome.error_.message_ = "the request did not arrive in time";
  } else if (aCode == http::error::header_limit ||
             aCode == http::error::buffer_overflow) {
    outcome.error_.code_ = ErrorCode::HeaderTooLarge;
    outcome.error_.message_ = "the header is larger than the limit";
  } else if (aCode == http::error::body_limit) {
    outcome.error_.code_ = ErrorCode::BodyTooLarge;
    outcome.error_.message_ = "the body is larger than the limit";
  } else if (IsGone(aCode)) {
    outcome.end_ = ReadEnd::Closed;
    SetCloseReason(CloseReason::CallerClosed);
    if (aParser.is_header_done()) {
      parsedBytes_ = aParser.get().body().size();
      hasParsedHead_ = true;
    }
  }
  SetCloseReason(timedOut_ ? CloseReason::ReadTimeout
                           : CloseReason::RequestRefused);
  return outcome;
}

bool
CallerChannel::TryWrite(std::span<asio::const_buffer>& aBuffers)
{
  boost::system::error_code code;
  std::size_t sent = socket_.write_some(aBuffers, code);
  if (code && code != asio::error::would_block) {
    hasLeft_ = true;
    return false;
  }
  while (!aBuffers.empty() && sent >= aBuffers.front().size()) {
    sent -= aBuffers.front().size();
    aBuffers = aBuffers.subspan(1);
  }
  if (!aBuffers.empty()) {
    aBuffers.front() += sent;
  }
  return aBuffers.empty();
}

asio::awaitable<bool>
CallerChannel::Write(std::span<asio::const_buffer> aBuffers)
{
  if (hasLeft_) {
    co_return false;
  }
  if (TryWrite(aBuffers)) {
    co_return true;
  }
  if (hasLeft_) {
    co_return false;
  }
  boost::system::error_code code;
  const Time previous = deadline_.Get();
  deadline_.Set(ReadMonotonicTime() + limits_.writeTimeout_);
  co_await asio::async_write(
    socket_, aBuffers, asio::redirect_error(asio::use_awaitable, code));
  deadline_.Set(previous);
  if (code) {
    hasLeft_ = true;
  }
  co_return !code;
}

void
CallerChannel::WriteRest(std::span<asio::const_buffer> aBuffers,
                         std::function<void(bool)> aDone)
{
  if (hasLeft_) {
    asio::post(socket_.get_executor(),
               [done = std::move(aDone)] { done(false); });
    return;
  }
  deadline_.Set(ReadMonotonicTime() + limits_.writeTimeout_);
  asio::async_write(socket_,
                    aBuffers,
                    [this, done = std::move(aDone)](
                      const boost::system::error_code& aCode, std::size_t) {
                      deadline_.Clear();
                      hasLeft_ = hasLeft_ || aCode;
                      done(!aCode);
                    });
}

void
CallerChannel::StartWatch(std::function<void()> aOnLeft)
{
  onLeft_ = std::move(aOnLeft);
  isWatched_ = true;
  WatchOnce();
}

void
CallerChannel::WatchOnce()
{
  if (!isWatched_ || isReading_ || buffer_.size() >= limits_.readAheadBytes_) {
    return;
  }
  isReading_ = true;
  socket_.async_read_some(
    buffer_.prepare(
      std::min(kWatchReadBytes, buffer_.max_size() - buffer_.size())),
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aLength) {
      self->isReading_ = false;
      if (!aCode) {
        self->buffer_.commit(aLength);
        self->WatchOnce();
      } else if (self->isWatched_) {
        self->Leave();
      }
    });
}

void
CallerChannel::Leave()
{
  hasLeft_ = true;
  if (onLeft_) {
    onLeft_();
  }
}

void
CallerChannel::ForgetWatcher()
{
  isWatched_ = false;
  onLeft_ = nullptr;
}

asio::awaitable<void>
CallerChannel::StopWatch()
{
  ForgetWatcher();
  if (isReading_) {
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }
  while (isReading_) {
    co_await asio::post(asio::use_awaitable);
  }
}

asio::awaitable<void>
CallerChannel::CloseOrderly()
{
  if (endCompletesResponse_) {
    Close();
    co_return;
  }
  // Closing with unread bytes resets the connection, which can discard the
  // last answer before the caller has read it.
  boost::system::error_code code;
  socket_.shutdown(asio::socket_base::shutdown_send, code);
  deadline_.Set(ReadMonotonicTime() + kLingerTime);
  co_await DiscardInput(code);
  Close();
}

asio::awaitable<void>
CallerChannel::DiscardInput(boost::system::error_code aCode)
{
  std::array<char, kWatchReadBytes> bytes{};
  while (!aCode && !hasLeft_) {
    const std::size_t length = co_await socket_.async_read_some(
      asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, aCode));
    discardedBytes_ += length;
    // What the buffer keeps tells whether a whole header was discarded.
    if (buffer_.size() + length <= limits_.readAheadBytes_) {
      buffer_.commit(asio::buffer_copy(buffer_.prepare(length),
                                       asio::buffer(bytes, length)));
    } else {
      droppedBytes_ += length;
    }
  }
}

void
CallerChannel::SetCloseReason(CloseReason aReason)
{
  if (!closeReason_) {
    closeReason_ = aReason;
  }
}

ConnectionClose
CallerChannel::DescribeClose() const
{
  ConnectionClose close;
  close.reason_ = closeReason_.value_or(CloseReason::CallerClosed);
  close.discardedBytes_ = discardedBytes_;
  close.idleTime_ = idleTime_;
  close.idleLimit_ = limits_.idleTimeout_;
  if (close.reason_ == CloseReason::RequestRefused ||
      close.reason_ == CloseReason::ReadTimeout) {
    // The refusal answers the bytes read; later ones are the request's rest.
    return close;
  }
  close.unansweredBytes_ = buffer_.size() + parsedBytes_ + droppedBytes_;
  const auto kept = buffer_.data();
  const std::string_view text(static_cast<const char*>(kept.data()),
                              kept.size());
  if (hasParsedHead_ || text.find(kHeaderEnd) != std::string_view::npos) {
    close.request_ = UnansweredRequest::WholeHead;
  } else if (close.unansweredBytes_ > 0) {
    close.request_ = UnansweredRequest::Partial;
  }
  return close;
}

void
CallerChannel::Close()
{
  deadline_.Clear();
  boost::system::error_code ignored;
  if (socket_.is_open()) {
    droppedBytes_ += socket_.available(ignored);
    if (endCompletesResponse_) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
  }
  socket_.close(ignored);
}

} // namespace azurecross
