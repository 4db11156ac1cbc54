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
  , ended_(parts_.backend_.GetSocket().get_executor())
{
}

asio::awaitable<RelayOutcome>
StreamRelay::Run()
{
  ended_.expires_at(std::chrono::steady_clock::time_point::max());
  parts_.backend_.GetDeadline().Set(parts_.firstEventDeadline_);
  now_ = ReadMonotonicTime();
  Advance();
  boost::system::error_code ignored;
  while (!hasEnded_) {
    co_await ended_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  parts_.backend_.GetDeadline().Clear();
  RelayOutcome outcome;
  outcome.error_ = std::move(error_);
  outcome.hasDelivered_ = hasBegun_;
  co_return outcome;
}

void
StreamRelay::Read()
{
  BackendConnection& backend = parts_.backend_;
  backend.GetSocket().async_read_some(
    backend.PrepareRead(),
    [this](const boost::system::error_code& aCode, std::size_t aLength) {
      TakeRead(aCode, aLength);
    });
}

void
StreamRelay::TakeRead(const boost::system::error_code& aCode,
                      std::size_t aLength)
{
  readError_ = parts_.backend_.TakeRead(aCode, aLength);
  now_ = ReadMonotonicTime();
  if (hasBegun_) {
    parts_.backend_.GetDeadline().Set(now_ + parts_.limits_.silenceTimeout_);
  }
  nextPiece_ = 0;
  Advance();
}

void
StreamRelay::Advance()
{
  if (!TakeEvents()) {
    return;
  }
  if (state_ == State::Open && readError_) {
    Fail(std::move(*readError_));
  } else if (state_ == State::Open && parts_.backend_.IsDone()) {
    Fail(ErrorCode::AnswerTruncated, "the stream ended before its last event");
  }
  if (state_ != State::Open) {
    return Finish();
  }
  if (framer_.IsEmpty() || Flush()) {
    Read();
  }
}

bool
StreamRelay::TakeEvents()
{
  const BodyPieces& pieces = parts_.backend_.GetPieces();
  while (state_ == State::Open) {
    if (const auto event = parser_.Next()) {
      TakeEvent(*event);
      if (framer_.IsFull() && !Flush()) {
        return false;
      }
    } else if (parser_.HasFailed()) {
      Fail(ErrorCode::BackendServerFailed, "an event is larger than the limit");
    } else if (nextPiece_ < pieces.size()) {
      parser_.Give(pieces[nextPiece_++]);
    } else {
      break;
    }
  }
  return true;
}

void
StreamRelay::Finish()
{
  if (!isFinishing_ && hasBegun_ && !parts_.caller_.HasLeft()) {
    isFinishing_ = true;
    if (state_ == State::Failed) {
      framer_.AddText(FormatErrorEvent(*error_));
    }
    framer_.AddEnd();
    if (!Flush()) {
      return;
    }
  }
  hasEnded_ = true;
  ended_.cancel();
}

/** @returns false if `Advance` will be called when the bytes are written. */
bool
StreamRelay::Flush()
{
  auto buffers = framer_.Finish();
  if (parts_.caller_.TryWrite(buffers)) {
    framer_.Clear();
    return true;
  }
  parts_.caller_.WriteRest(buffers, [this](bool aIsSent) {
    framer_.Clear();
    if (!aIsSent && state_ != State::Failed) {
      Fail(ErrorCode::Cancelled, "the caller left or stopped reading");
    }
    Advance();
  });
  return false;
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
