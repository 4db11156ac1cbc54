#include "BackendConnection.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Holds dozens of tokens; 2,000 streams take 16 MB. */
constexpr std::size_t kReadBytes = 8192;
/** The head of an answer may take at most this much, and so may the line with
 * the size of a chunk and the trailer: the parser bounds the head only. */
constexpr std::uint32_t kHeadLimitBytes = 32 * 1024;
/** Interim answers that may precede an answer. */
constexpr int kMaxInterimAnswers = 16;

bool
IsInterim(unsigned aStatus)
{
  return aStatus >= 100 && aStatus < 200 && aStatus != 101;
}

} // namespace

BackendConnection::BackendConnection(const WorkerExecutor& aExecutor,
                                     DeadlineList& aDeadlines)
  : socket_(aExecutor)
  , deadline_([this] {
    timedOut_ = true;
    Close();
  })
{
  aDeadlines.Add(deadline_);
}

asio::awaitable<std::optional<Error>>
BackendConnection::Connect(SocketAddress aAddress, Time aDeadline)
{
  address_ = std::move(aAddress);
  boost::system::error_code code;
  const auto host = asio::ip::make_address(address_.host_, code);
  if (code) {
    co_return MakeError("cannot read the address of", code);
  }
  const asio::ip::tcp::endpoint endpoint(host, address_.port_);
  deadline_.Set(aDeadline);
  co_await socket_.async_connect(
    endpoint, asio::redirect_error(asio::use_awaitable, code));
  deadline_.Clear();
  if (code || cancelled_) {
    co_return MakeError("cannot connect to", code);
  }
  socket_.set_option(asio::ip::tcp::no_delay(true), code);
  socket_.non_blocking(true, code);
  SetKeepAlive(socket_.native_handle());
  Reset();
  co_return std::nullopt;
}

asio::awaitable<std::optional<Error>>
BackendConnection::Send(std::string_view aRequestId,
                        std::string_view aHead,
                        std::string_view aBody,
                        Time aDeadline)
{
  if (HasCarried(aRequestId)) {
    co_return Error{ ErrorCode::Internal,
                     Verdict::NotRun,
                     "the connection to " + address_.Format() +
                       " has carried the request before",
                     {} };
  }
  requests_.push_back(HashBytes(aRequestId));
  const std::array<asio::const_buffer, 2> buffers = {
    asio::buffer(aHead.data(), aHead.size()),
    asio::buffer(aBody.data(), aBody.size())
  };
  boost::system::error_code code;
  deadline_.Set(aDeadline);
  // Set before the write: a failed write does not say what has left.
  mayHaveSent_ = true;
  auto token = asio::redirect_error(asio::use_awaitable, code);
  co_await asio::async_write(socket_, buffers, token);
  deadline_.Clear();
  if (code || cancelled_) {
    co_return MakeError("cannot send to", code);
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<Error>>
BackendConnection::ReadHead(bool aIsHeadRequest, Time aDeadline)
{
  parser_->skip(aIsHeadRequest);
  deadline_.Set(aDeadline);
  int interimAnswers = 0;
  for (;;) {
    // After a skipped answer, bytes of the next one may be there already.
    if (auto error = ParseBuffer()) {
      co_return error;
    }
    while (parser_->is_header_done() && IsInterim(GetHead().result_int())) {
      if (++interimAnswers > kMaxInterimAnswers) {
        co_return MakeError("too many interim answers from",
                            http::error::bad_status);
      }
      ResetParser();
      parser_->skip(aIsHeadRequest);
      if (auto error = ParseBuffer()) {
        co_return error;
      }
    }
    if (parser_->is_header_done()) {
      break;
    }
    boost::system::error_code code;
    const std::size_t length = co_await socket_.async_read_some(
      PrepareRead(), asio::redirect_error(asio::use_awaitable, code));
    if (code || cancelled_) {
      co_return MakeError("no answer from", code);
    }
    end_ += length;
    hasReceived_ = true;
  }
  deadline_.Clear();
  const unsigned status = GetHead().result_int();
  if (!IsFinalStatus(status)) {
    // What follows on the connection is unknown.
    Close();
    co_return Error{ ErrorCode::BackendServerFailed,
                     Verdict::MayHaveRun,
                     "undefined status " + std::to_string(status) +
                       " in the answer of " + address_.Format(),
                     {} };
  }
  co_return std::nullopt;
}

asio::awaitable<AsyncResult<std::string>>
BackendConnection::ReadBody(BodyLimits aLimits,
                            BufferBudget::Reservation& aReservation)
{
  std::string body;
  for (;;) {
    for (const std::string_view piece : GetPieces()) {
      const bool isTooLarge = body.size() + piece.size() > aLimits.sizeBytes_ ||
                              !aReservation.Grow(piece.size());
      if (isTooLarge) {
        co_return Error{
          ErrorCode::BackendServerFailed,
          Verdict::Ran,
          "the answer of " + address_.Format() +
            " is larger than its limit or than the memory for all answers",
          {}
        };
      }
      body += piece;
    }
    if (IsDone()) {
      deadline_.Clear();
      co_return body;
    }
    boost::system::error_code code;
    deadline_.Set(
      std::min(ReadMonotonicTime() + aLimits.silence_, aLimits.deadline_));
    const std::size_t length = co_await socket_.async_read_some(
      PrepareRead(), asio::redirect_error(asio::use_awaitable, code));
    if (auto error = TakeRead(code, length)) {
      co_return *error;
    }
  }
}

asio::awaitable<std::optional<Error>>
BackendConnection::SkipAnswer(bool aIsHeadRequest, Time aDeadline)
{
  ResetParser();
  co_return co_await ReadHead(aIsHeadRequest, aDeadline);
}

asio::mutable_buffer
BackendConnection::PrepareRead()
{
  parser_->get().body().clear();
  if (begin_ == end_) {
    begin_ = 0;
    end_ = 0;
  } else if (begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (end_ == buffer_.size()) {
    // `ParseBuffer` bounds what is kept.
    buffer_.resize(buffer_.size() * 2);
  }
  return asio::buffer(buffer_.data() + end_, buffer_.size() - end_);
}

std::optional<Error>
BackendConnection::TakeRead(const boost::system::error_code& aCode,
                            std::size_t aLength)
{
  if (cancelled_ || timedOut_ || (aCode && aCode != asio::error::eof)) {
    return MakeError("the answer breaks off from", aCode);
  }
  if (aCode == asio::error::eof) {
    boost::system::error_code code;
    parser_->put_eof(code);
    if (code) {
      return MakeError("the answer breaks off from", aCode);
    }
    return std::nullopt;
  }
  end_ += aLength;
  return ParseBuffer();
}

std::optional<Error>
BackendConnection::ParseBuffer()
{
  while (begin_ < end_ && !parser_->is_done()) {
    boost::system::error_code code;
    const std::size_t used =
      parser_->put(asio::buffer(buffer_.data() + begin_, end_ - begin_), code);
    begin_ += used;
    if (code == http::error::need_more) {
      const bool isTooLong = end_ - begin_ > kHeadLimitBytes;
      return isTooLong ? std::optional(
                           MakeError("an endless chunk size or trailer from",
                                     http::error::buffer_overflow))
                       : std::nullopt;
    }
    if (code) {
      return MakeError("malformed answer from", code);
    }
  }
  return std::nullopt;
}

bool
BackendConnection::HasCarried(std::string_view aRequestId) const
{
  return std::find(requests_.begin(), requests_.end(), HashBytes(aRequestId)) !=
         requests_.end();
}

bool
BackendConnection::IsReusable() const
{
  return socket_.is_open() && !cancelled_ && !timedOut_ && parser_ &&
         parser_->is_done() && parser_->keep_alive() && begin_ == end_ &&
         requests_.size() < kMaxRequests;
}

std::uint16_t
BackendConnection::GetLocalPort() const
{
  boost::system::error_code code;
  const asio::ip::tcp::endpoint endpoint = socket_.local_endpoint(code);
  return code ? 0 : endpoint.port();
}

void
BackendConnection::Reset()
{
  ResetParser();
  if (buffer_.size() != kReadBytes) {
    buffer_ = std::vector<char>(kReadBytes);
  }
  begin_ = 0;
  end_ = 0;
  mayHaveSent_ = false;
  hasReceived_ = false;
}

void
BackendConnection::ResetParser()
{
  parser_.emplace();
  parser_->header_limit(kHeadLimitBytes);
  parser_->body_limit(boost::none);
  parser_->eager(true);
}

void
BackendConnection::Cancel()
{
  cancelled_ = true;
  Close();
}

void
BackendConnection::Close()
{
  deadline_.Clear();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

Error
BackendConnection::MakeError(std::string_view aStep,
                             const boost::system::error_code& aCode) const
{
  ErrorCode reason = ErrorCode::BackendServerFailed;
  std::string detail = aCode.message();
  if (cancelled_) {
    reason = ErrorCode::Cancelled;
    detail = "cancelled";
  } else if (timedOut_) {
    reason = ErrorCode::DeadlineExceeded;
    detail = "timed out";
  } else if (mayHaveSent_ && parser_->is_header_done()) {
    reason = ErrorCode::AnswerTruncated;
  }
  const Verdict verdict = mayHaveSent_ ? Verdict::MayHaveRun : Verdict::NotRun;
  return Error{ reason,
                verdict,
                std::string(aStep) + " " + address_.Format() + ": " + detail,
                {} };
}

} // namespace azurecross
