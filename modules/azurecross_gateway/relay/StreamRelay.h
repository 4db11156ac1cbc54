#pragma once

#include "../backend/BackendConnection.h"
#include "../events/GenerationChecker.h"
#include "../server/GatewayLimits.h"
#include "CallerChannel.h"
#include "EventFramer.h"
#include "StreamProgress.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>

#include <optional>
#include <string>

namespace azurecross {

/** How a relayed stream ended. */
struct RelayOutcome
{
  /** The failure; none when the stream ended with `[DONE]`. */
  std::optional<Error> error_;
  /** Whether the caller was sent an event, so that no retry is possible. */
  bool hasDelivered_ = false;
};

/**
 * Relays the events of one generation from a backend server to a caller.
 *
 * Each event is checked before it is sent. The next bytes are read only when
 * the last ones have been taken by the caller's socket, so a slow caller slows
 * its own stream and memory stays bounded. A failure after the first event is
 * told to the caller as the last event of the stream.
 *
 * The steps between two events are plain callbacks: resuming a coroutine for
 * each token goes through a type-erased executor and allocates.
 */
class StreamRelay
{
public:
  struct Parts
  {
    CallerChannel& caller_;
    BackendConnection& backend_;
    StreamProgress& progress_;
    const GatewayLimits& limits_;
    /** Sent with the first event. */
    std::string head_;
    bool isChunked_ = true;
    BackendServerId backendServer_;
    GenerationChecker checker_;
    /** Limit for the first event. */
    Time firstEventDeadline_;
  };

  explicit StreamRelay(Parts aParts);

  /** Relays until the end; the head of the answer has been read before. */
  boost::asio::awaitable<RelayOutcome> Run();

private:
  enum class State
  {
    Open,
    Done,
    Failed,
  };

  void Read();
  void TakeRead(const boost::system::error_code& aCode, std::size_t aLength);
  void Advance();
  bool TakeEvents();
  void TakeEvent(const StreamEvent& aEvent);
  void BeginAnswer();
  bool Flush();
  void Finish();
  void Fail(ErrorCode aCode, std::string aMessage);
  void Fail(Error aError);

  Parts parts_;
  EventParser parser_;
  EventFramer framer_;
  /** Cancelled when the stream has ended, which resumes `Run`. */
  boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    WorkerExecutor>
    ended_;
  State state_ = State::Open;
  std::optional<Error> readError_;
  std::optional<Error> error_;
  std::size_t nextPiece_ = 0;
  bool hasBegun_ = false;
  bool isFinishing_ = false;
  bool hasEnded_ = false;
  Time now_;
};

} // namespace azurecross
