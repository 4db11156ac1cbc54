#pragma once

#include "../relay/BodyViews.h"
#include "../relay/WorkerSocket.h"
#include "../server/DeadlineList.h"
#include "BufferBudget.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/**
 * One connection to a backend server: one request at a time, and its answer
 * read without copies. Knows whether a byte of the request may have left, so
 * its failures carry the right verdict.
 *
 * A connection carries each request at most once. A server may repeat an answer
 * late, where the next one is due; only the id of the request tells such a copy
 * from the answer to a later request.
 */
class BackendConnection
{
public:
  using Parser = boost::beast::http::response_parser<BodyViews>;
  using Head = boost::beast::http::response_header<>;

  BackendConnection(const WorkerExecutor& aExecutor, DeadlineList& aDeadlines);

  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /** Connects; @returns the failure, if any. */
  boost::asio::awaitable<std::optional<Error>> Connect(SocketAddress aAddress,
                                                       Time aDeadline);

  /** Sends a request that the connection has not carried yet. The texts must
   * live until it is done.
   * @param aRequestId the id that the server repeats in its answer. */
  boost::asio::awaitable<std::optional<Error>> Send(std::string_view aRequestId,
                                                    std::string_view aHead,
                                                    std::string_view aBody,
                                                    Time aDeadline);

  /** @returns whether a request with this id was sent on the connection. */
  bool HasCarried(std::string_view aRequestId) const;

  /** Reads the head of the answer. A head with a status that no final answer
   * has is a failure and closes the connection. */
  boost::asio::awaitable<std::optional<Error>> ReadHead(bool aIsHeadRequest,
                                                        Time aDeadline);

  /** Bounds of the body of one answer. */
  struct BodyLimits
  {
    std::size_t sizeBytes_ = 0;
    /** Longest pause between two reads. */
    Duration silence_{};
    /** The time by which the whole body must have been read. A server that
     * sends a byte now and then is never silent. */
    Time deadline_ = Time::max();
  };

  /** Reads the rest of the answer; @returns the body.
   * @param aReservation grows with the body. */
  boost::asio::awaitable<AsyncResult<std::string>> ReadBody(
    BodyLimits aLimits,
    BufferBudget::Reservation& aReservation);

  const Head& GetHead() const { return parser_->get().base(); }

  /** @returns the body pieces of the last read; `PrepareRead` ends them. */
  const BodyPieces& GetPieces() const { return parser_->get().body(); }

  /** @returns whether the whole answer has been read. */
  bool IsDone() const { return parser_->is_done(); }

  /** @returns whether only the end of the connection ends the body. */
  bool IsUnframed() const { return parser_->get().need_eof(); }

  /** @returns whether another request may follow on this connection. */
  bool IsReusable() const;

  /** @returns whether a byte of the current request may have left. */
  bool MayHaveSent() const { return mayHaveSent_; }

  /** @returns whether a byte has arrived since the request was sent. */
  bool HasReceived() const { return hasReceived_; }

  const SocketAddress& GetAddress() const { return address_; }
  /** @returns the port of this process, or 0 if the connection is closed. */
  std::uint16_t GetLocalPort() const;

  /** The steps of one read, for the relay: prepare, receive, take. */
  boost::asio::mutable_buffer PrepareRead();
  /** @returns the failure; none at an orderly end that ends the body. */
  std::optional<Error> TakeRead(const boost::system::error_code& aCode,
                                std::size_t aLength);
  WorkerSocket& GetSocket() { return socket_; }
  Deadline& GetDeadline() { return deadline_; }

  /** Goes on to the answer that follows the present one, whose body has been
   * read: a server may send an answer that belongs to no request. */
  boost::asio::awaitable<std::optional<Error>> SkipAnswer(bool aIsHeadRequest,
                                                          Time aDeadline);

  /** Forgets the last answer, before the connection is used again. */
  void Reset();

  /** Ends all that goes on; the waiting step fails with `Cancelled`. */
  void Cancel();
  void Close();

private:
  /** A connection that has carried this many requests is not used again, so
   * that the list of their ids stays small. */
  static constexpr std::size_t kMaxRequests = 512;

  std::optional<Error> ParseBuffer();
  Error MakeError(std::string_view aStep,
                  const boost::system::error_code& aCode) const;
  void ResetParser();

  WorkerSocket socket_;
  Deadline deadline_;
  SocketAddress address_;
  std::optional<Parser> parser_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  bool mayHaveSent_ = false;
  bool hasReceived_ = false;
  bool timedOut_ = false;
  bool cancelled_ = false;
  /** Hashes of the ids of the requests that were sent. */
  std::vector<std::uint64_t> requests_;
};

} // namespace azurecross
