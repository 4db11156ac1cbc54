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

/** Metadata of a request, in addition to method, path and body. */
struct RequestMetadata
{
  /** Identifies this attempt of the caller; backend servers echo the ID. */
  std::string attemptId_;
  /** How long the caller still waits, if specified. */
  std::optional<Duration> remainingTime_;
  std::string apiKey_;
  GenerationDemand generation_;
};

/** A copy of the KV cache from which a generation can resume. */
struct KvCacheCopy
{
  /** The engine that resumes the generation. */
  BackendServerId server_;
  SocketAddress address_;
  /** The engine that made the copy, and its handle for the copy. */
  SocketAddress source_;
  std::string handle_;
};

/** Parameters for sending a request to one backend server. */
struct SendOptions
{
  BackendServerId server_;
  SocketAddress address_;
  /** How long the backend server may take. */
  Duration remainingTime_{};
  /** Set if the request was authenticated by an API key. */
  std::optional<CustomerId> customer_;
  int priority_ = 0;
  /** Set if a generation resumes from a copy of its KV cache. */
  std::optional<KvCacheCopy> copy_;
  /** The last event that the caller received of a resumed generation. */
  std::string lastEventId_;
  /** Whether the caller's own Last-Event-ID is forwarded. */
  bool forwardsLastEventId_ = false;
};

/** Properties of a response, taken from its head. */
struct ResponseInfo
{
  /** Whether the response carries the ID of the request. */
  bool isIdentified_ = false;
  /** Whether the response carries the ID of another request. */
  bool isForOtherRequest_ = false;
  /** Whether the server states that it did not execute the request. */
  bool isNotExecuted_ = false;
  /** Whether the server is not the one that the request was addressed to. */
  bool isFromOtherServer_ = false;
  /**
   * Whether the response may be forwarded as a success: it carries the ID of
   * the request and a proof of its origin, and has no content encoding.
   */
  bool isVerified_ = false;
  bool isEventStream_ = false;
  /** How long a server that rejected the request asks this daemon to send it
   * nothing, if it states that. */
  std::optional<Duration> pause_;
  /** Whether the server states that it leaves and takes no new requests. */
  bool isServerLeaving_ = false;
  /** The requests per second that the server takes from all daemons together,
   * if it states a limit. */
  std::optional<double> requestLimit_;
  /** How long the server stays cold, if it states that. */
  std::optional<Duration> warmUpTime_;
  /** How long the server keeps an idle connection open, if announced. */
  std::optional<Duration> keepAliveTimeout_;
};

/** Largest response of an engine to a request for its status or for a copy;
 * sound ones have a few KB. */
inline constexpr std::size_t kEngineResponseLimitBytes =
  std::size_t{ 64 } * 1024;

/** Status that an engine reports. */
struct EngineStatus
{
  /** Whether the engine takes no new requests because it will shut down. */
  bool isDraining_ = false;
  /** Time until the engine shuts down, if known. */
  std::optional<Duration> timeUntilShutdown_;
};

/**
 * Request to an engine to copy the KV cache of a running generation to another
 * engine.
 */
struct MoveRequest
{
  std::string attemptId_;
  SocketAddress target_;
  /**
   * Whether the engine stops the generation, so that it can resume elsewhere.
   */
  bool isFinal_ = false;
};

/** Outcome of a copy of a KV cache. */
enum class MoveResult
{
  Copied,
  /** The target has no room or is unreachable. */
  NoRoom,
  /** The generation is not running on that engine. */
  NoSuchRun,
  /** No connection to the engine. */
  Unreachable,
  /** The engine took the request and did not respond in time. */
  NoResponse,
  /** No usable response. */
  Unknown,
};

inline constexpr NameTable<MoveResult, 6> kMoveResultNames{
  { { { MoveResult::Copied, "copied" },
      { MoveResult::NoRoom, "no_room" },
      { MoveResult::NoSuchRun, "no_such_run" },
      { MoveResult::Unreachable, "unreachable" },
      { MoveResult::NoResponse, "no_response" },
      { MoveResult::Unknown, "unknown" } } }
};

struct MoveResponse
{
  MoveResult result_ = MoveResult::Unknown;
  /** Handle of the copy at the engine that made it; empty if there is none. */
  std::string handle_;
};

/**
 * Maps between internal types and the headers and requests that callers and
 * backend servers use. Implemented for each deployment. Called once or twice
 * per request.
 */
class WireProtocol
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  virtual ~WireProtocol() = default;

  /**
   * @returns the metadata of the request; the error of a malformed request is
   * `InvalidRequest`.
   */
  virtual AsyncResult<RequestMetadata> ParseRequest(
    const Request& aRequest) const = 0;

  /** @returns the head of the request as sent to a backend server. */
  virtual std::string BuildRequestHead(const Request& aRequest,
                                       const SendOptions& aOptions) const = 0;

  /** @param aAttemptId the ID that a response to the request must carry. */
  virtual ResponseInfo ParseResponseHead(const BackendConnection::Head& aHead,
                                         std::string_view aAttemptId) const = 0;

  /** @returns the request for the status of an engine. */
  virtual HttpRequest BuildStatusRequest() const = 0;
  /** @returns the status, or nothing if the response is malformed. */
  virtual std::optional<EngineStatus> ParseStatusResponse(
    const HttpResponse& aResponse) const = 0;

  virtual HttpRequest BuildMoveRequest(
    const MoveRequest& aMoveRequest) const = 0;
  virtual MoveResponse ParseMoveResponse(
    const HttpResponse& aResponse) const = 0;
  /**
   * @returns the request that frees a copy, addressed to the engine that made
   * it.
   */
  virtual HttpRequest BuildReleaseRequest(const std::string& aHandle) const = 0;
};

} // namespace azurecross
