#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** What a caller's request says of itself, besides method, path and body. */
struct RequestMetadata
{
  /** Identifies this attempt of the caller; backend servers echo it. */
  std::string attemptId_;
  /** How long the caller waits from now on; nothing if it did not say. */
  std::optional<Duration> remainingTime_;
  std::string apiKey_;
  GenerationDemand generation_;
};

/** A copy of a generation's memory from which it can go on. */
struct KvCacheCopy
{
  /** The engine that takes the generation over. */
  BackendServerId server_;
  SocketAddress address_;
  /** The engine that made the copy, and its name for it. */
  SocketAddress source_;
  std::string handle_;
};

/** How a request is put to one backend server. */
struct SendOptions
{
  BackendServerId server_;
  SocketAddress address_;
  /** How long the backend server may work on it. */
  Duration remainingTime_{};
  /** Set when the request carried a key. */
  std::optional<CustomerId> customer_;
  int priority_ = 0;
  /** Set when a generation goes on from a copy of its memory. */
  std::optional<KvCacheCopy> copy_;
  /** The last event that the caller has of a generation that goes on. */
  std::string lastEventId_;
  /** Whether the caller's own position in an earlier stream is passed on. */
  bool forwardsLastEventId_ = false;
};

/** What the head of a backend server's answer says. */
struct ResponseInfo
{
  /** Whether it names another request than the one that was sent. */
  bool isForOtherRequest_ = false;
  /** Whether the server states that it did not run the request. */
  bool isNotExecuted_ = false;
  /** Whether the server is another one than the request was meant for. */
  bool isFromOtherServer_ = false;
  /** Whether the caller may take it for the answer: it names the request, has
   * what proves its origin and is not encoded on the way. */
  bool isVerified_ = false;
  bool isEventStream_ = false;
  /** How long the server keeps the idle connection, if it said so. */
  std::optional<Duration> keepAliveTimeout_;
};

/** What an engine says of itself. */
struct EngineStatus
{
  /** Whether it takes no new work because it goes away. */
  bool isDraining_ = false;
  /** How long it still serves, if it knows. */
  std::optional<Duration> timeUntilShutdown_;
};

/** Asks an engine to copy a running generation's memory to another engine. */
struct MoveRequest
{
  std::string attemptId_;
  SocketAddress target_;
  /** Whether the generation stops, so that it can go on elsewhere. */
  bool isFinal_ = false;
};

/** How a copy of a generation's memory ended. */
enum class MoveResult
{
  Copied,
  /** The target has no room or can't be reached. */
  NoRoom,
  /** The generation does not run on that engine. */
  NoSuchRun,
  /** No usable answer. */
  Unknown,
};

inline constexpr NameTable<MoveResult, 4> kMoveResultNames{
  { { { MoveResult::Copied, "copied" },
      { MoveResult::NoRoom, "no_room" },
      { MoveResult::NoSuchRun, "no_such_run" },
      { MoveResult::Unknown, "unknown" } } }
};

struct MoveResponse
{
  MoveResult result_ = MoveResult::Unknown;
  /** Names the copy at the engine that made it; empty if there is none. */
  std::string handle_;
};

/**
 * Translates between the product's types and the headers and calls that
 * callers and backend servers use. Called once or twice for each request.
 */
class WireProtocol
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  virtual ~WireProtocol() = default;

  /** @returns what the request says; a failure is `InvalidRequest`. */
  virtual AsyncResult<RequestMetadata> ParseRequest(
    const Request& aRequest) const = 0;

  /** @returns the head of the request for a backend server. */
  virtual std::string BuildRequestHead(const Request& aRequest,
                                       const SendOptions& aPlan) const = 0;

  virtual ResponseInfo ParseResponseHead(const BackendConnection::Head& aHead,
                                         std::string_view aAttemptId) const = 0;

  virtual HttpRequest BuildStatusRequest() const = 0;
  /** @returns nothing when the answer can't be read. */
  virtual std::optional<EngineStatus> ParseStatusResponse(
    const HttpResponse& aResponse) const = 0;

  virtual HttpRequest BuildMoveRequest(const MoveRequest& aCall) const = 0;
  virtual MoveResponse ParseMoveResponse(
    const HttpResponse& aResponse) const = 0;
  /** @returns the call that frees a copy, for the engine that made it. */
  virtual HttpRequest BuildReleaseRequest(const std::string& aHandle) const = 0;
};

} // namespace azurecross
