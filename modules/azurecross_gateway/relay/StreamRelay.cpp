#include "StreamRelay.h"

#include "../messages/ErrorReply.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;

StreamRelay::StreamRelay(Parts aParts)
  : parts_(std::move(aParts))
  , parser_(parts_.limits_.eventLimitBytes_)
  , framer_(parts_.isChunked_)
{
}

asio::awaitable<RelayOutcome>
StreamRelay::Run()
{
  BackendConnection& backend = parts_.backend_;
  boost::system::error_code code;
  auto token = asio::redirect_error(asio::use_awaitable, code);
  backend.GetDeadline().Set(parts_.firstEventDeadline_);
  now_ = ReadMonotonicTime();
  co_await TakePieces();
  while (state_ == State::Open) {
    if (backend.IsDone()) {
      Fail(ErrorCode::AnswerTruncated,
           "the stream ended before its last event");
      break;
    }
    const std::size_t length = co_await backend.GetSocket().async_read_some(
      backend.PrepareRead(), token);
    auto error = backend.TakeRead(code, length);
    now_ = ReadMonotonicTime();
    co_await TakePieces();
    if (error && state_ == State::Open) {
      Fail(std::move(*error));
    }
    if (hasBegun_) {
      backend.GetDeadline().Set(now_ + parts_.limits_.silenceTimeout_);
    }
  }
  backend.GetDeadline().Clear();
  if (hasBegun_ && state_ == State::Failed && !parts_.caller_.HasLeft()) {
    framer_.AddText(FormatErrorEvent(*error_));
  }
  if (hasBegun_) {
    framer_.AddEnd();
    co_await Flush();
  }
  RelayOutcome outcome;
  outcome.error_ = std::move(error_);
  outcome.hasDelivered_ = hasBegun_;
  co_return outcome;
}

asio::awaitable<void>
StreamRelay::TakePieces()
{
  for (const std::string_view piece : parts_.backend_.GetPieces()) {
    parser_.Give(piece);
    while (state_ == State::Open) {
      const auto event = parser_.Next();
      if (!event) {
        break;
      }
      TakeEvent(*event);
      if (framer_.IsFull()) {
        co_await Flush();
      }
    }
    if (parser_.HasFailed() && state_ == State::Open) {
      Fail(ErrorCode::BackendServerFailed, "an event is larger than the limit");
    }
  }
  // The end of the body goes out together with the last event.
  if (state_ == State::Open && !framer_.IsEmpty()) {
    co_await Flush();
  }
}

void
StreamRelay::TakeEvent(const StreamEvent& aEvent)
{
  switch (parts_.checker_.Check(aEvent)) {
    case EventKind::Token:
      BeginAnswer();
      framer_.AddEvent(aEvent, parts_.checker_.GetOffset());
      parts_.progress_.CountToken(now_);
      return;
    case EventKind::Done:
      BeginAnswer();
      framer_.AddBlock(aEvent);
      state_ = State::Done;
      return;
    case EventKind::Comment:
      if (hasBegun_) {
        framer_.AddBlock(aEvent);
      }
      return;
    case EventKind::EngineError:
      return Fail(ErrorCode::BackendServerFailed,
                  "the engine reported a failure");
    case EventKind::Mismatched:
      return Fail(ErrorCode::AnswerMismatched,
                  "an event belongs to another generation");
    case EventKind::Duplicated:
      return Fail(ErrorCode::AnswerMismatched, "an event was repeated");
    case EventKind::Gap:
      return Fail(ErrorCode::AnswerTruncated, "an event is missing");
  }
}

void
StreamRelay::BeginAnswer()
{
  if (hasBegun_) {
    return;
  }
  hasBegun_ = true;
  framer_.SetOrigin(parts_.backendServer_, parts_.checker_.GetGeneration());
  framer_.AddHead(std::move(parts_.head_));
}

asio::awaitable<void>
StreamRelay::Flush()
{
  auto buffers = framer_.Finish();
  if (!parts_.caller_.TryWrite(buffers)) {
    const bool isSent = co_await parts_.caller_.Write(buffers);
    if (!isSent && state_ != State::Failed) {
      Error error;
      error.code_ = ErrorCode::Cancelled;
      error.message_ = "the caller left or stopped reading";
      Fail(std::move(error));
    }
  }
  framer_.Clear();
}

void
StreamRelay::Fail(ErrorCode aCode, std::string aMessage)
{
  Error error;
  error.code_ = aCode;
  error.message_ = std::move(aMessage);
  Fail(std::move(error));
}

void
StreamRelay::Fail(Error aError)
{
  state_ = State::Failed;
  // An event that was delivered proves that the generation ran.
  aError.verdict_ = hasBegun_ ? Verdict::Ran : Verdict::MayHaveRun;
  error_ = std::move(aError);
}

} // namespace azurecross
