#pragma once

#include "../backend/BufferBudget.h"
#include "../server/DeadlineList.h"
#include "../server/GatewayLimits.h"
#include "ConnectionClose.h"
#include "WorkerSocket.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace azurecross {

/**
 * The bytes to and from one caller, with the time limits of its connection.
 * Buffers are bounded: a caller that does not read gets no further writes and
 * is dropped after the write timeout.
 */
class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
  using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  /** How reading a request ended. */
  enum class ReadEnd
  {
    Done,
    /** The caller closed the connection, or was idle too long. */
    Closed,
    /** The request is refused; the error says why. */
    Refused,
  };

  struct ReadOutcome
  {
    ReadEnd end_ = ReadEnd::Closed;
    Error error_;
  };

  CallerChannel(WorkerSocket aSocket,
                DeadlineList& aDeadlines,
                const GatewayLimits& aLimits,
                BufferBudget& aBodyBudget);

  /** Reads the next request, header and body. The memory of its body is
   * reserved until the next call; without memory the request is refused. */
  boost::asio::awaitable<ReadOutcome> ReadRequest(RequestParser& aParser);

  /**
   * Sends all buffers, at once as far as the socket takes them.
   * @returns false when the caller is gone or too slow.
   */
  boost::asio::awaitable<bool> Write(
    std::span<boost::asio::const_buffer> aBuffers);

  /**
   * Sends what the socket takes without waiting, and takes that off the
   * buffers. @returns whether all was sent; false also after a failure.
   */
  bool TryWrite(std::span<boost::asio::const_buffer>& aBuffers);

  /**
   * Sends what `TryWrite` left, as the caller reads it. The function is told
   * whether all was sent, and is not called from within this one.
   */
  void WriteRest(std::span<boost::asio::const_buffer> aBuffers,
                 std::function<void(bool aIsSent)> aDone);

  /**
   * Watches for the caller leaving while its request runs; what it sends
   * meanwhile is kept, up to a limit, as its next requests.
   */
  void StartWatch(std::function<void()> aOnLeft);
  /** Ends the watch, so that the next request can be read. */
  boost::asio::awaitable<void> StopWatch();
  /** Drops the callback of the watch at once; the connection can't be used for
   * another request afterwards. */
  void ForgetWatcher();

  /** @returns whether the caller is gone. */
  bool HasLeft() const { return hasLeft_; }
  /** @returns whether the connection waits for its next request and has no
   * unread bytes of it. */
  bool IsIdle() const { return isIdle_ && !HasUnreadBytes(); }
  /** @returns how long the connection has been waiting for its next request. */
  Duration GetIdleTime(Time aNow) const { return aNow - idleSince_; }

  /** Ends the reading of an incomplete request, which is then refused. Has no
   * effect while no request is being read. */
  void StopReading();

  /**
   * Says whether the end of the connection would complete the response that is
   * being written. While it would, closing resets the connection, so that a cut
   * response doesn't look complete.
   */
  void SetEndCompletesResponse(bool aDoes) { endCompletesResponse_ = aDoes; }
  /** Keeps the reason of the close; the first one counts. */
  void SetCloseReason(CloseReason aReason);
  /** @returns the end of the connection, complete once it is closed. */
  ConnectionClose DescribeClose() const;

  /** Ends the connection in order, so that the last answer arrives, or at once
   * if its end would complete a response. */
  boost::asio::awaitable<void> CloseOrderly();
  /** Ends the connection at once. */
  void Close();

private:
  /** @returns whether bytes have arrived that no request has been parsed from.
   */
  bool HasUnreadBytes() const;
  /** Ends the current wait unless its limit has been raised meanwhile. */
  void Expire();
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> Continue(RequestParser& aParser);
  /** Sets the memory that is reserved for a body of this size.
   * @returns whether there is enough. */
  bool ReserveBody(std::size_t aBytes);
  ReadOutcome RefuseBody();
  ReadOutcome Refuse(const RequestParser& aParser,
                     const boost::system::error_code& aCode);
  /** Reads and drops what the caller sends until it closes. */
  boost::asio::awaitable<void> DiscardInput(boost::system::error_code aCode);
  void WatchOnce();
  void Leave();

  WorkerSocket socket_;
  Deadline deadline_;
  const GatewayLimits& limits_;
  boost::beast::flat_buffer buffer_;
  BufferBudget::Reservation bodyMemory_;
  std::function<void()> onLeft_;
  /** When the current or last wait for a request began. */
  Time idleSince_;
  Duration idleTime_{ 0 };
  std::optional<CloseReason> closeReason_;
  /** Bytes of an unanswered request that its parser has taken. */
  std::size_t parsedBytes_ = 0;
  bool hasParsedHead_ = false;
  /** Bytes that arrived after the close, those kept in the buffer included. */
  std::size_t discardedBytes_ = 0;
  /** Bytes that are unanswered and not kept in the buffer. */
  std::size_t droppedBytes_ = 0;
  bool isIdle_ = false;
  /** Whether a request has begun to arrive and is incomplete. */
  bool isParsing_ = false;
  bool isReading_ = false;
  bool isWatched_ = false;
  bool timedOut_ = false;
  bool hasLeft_ = false;
  bool endCompletesResponse_ = false;
};

} // namespace azurecross
