#pragma once

#include "NameTable.h"
#include "Verdict.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>

namespace azurecross {

/** The reason of a failure, as callers and logs see it. */
enum class ErrorCode
{
  InvalidRequest,
  HeaderTooLarge,
  BodyTooLarge,
  BodyMemoryExhausted,
  RequestTimeout,
  KeyUnknown,
  RouteNotFound,
  ModelNotFound,
  QueueFull,
  DeadlineUnreachable,
  DeadlineExceeded,
  NoBackendServer,
  PromptQuarantined,
  RequestQuarantined,
  BackendServerFailed,
  AnswerMismatched,
  AnswerTruncated,
  GenerationLost,
  OperationConflict,
  OperationUnknown,
  OwnerUnreachable,
  StoreUnavailable,
  EditConflict,
  InvalidTables,
  Draining,
  NotReady,
  Cancelled,
  Internal,
};

inline constexpr NameTable<ErrorCode, 28> kErrorCodeNames{
  { { { ErrorCode::InvalidRequest, "invalid_request" },
      { ErrorCode::HeaderTooLarge, "header_too_large" },
      { ErrorCode::BodyTooLarge, "body_too_large" },
      { ErrorCode::BodyMemoryExhausted, "body_memory_exhausted" },
      { ErrorCode::RequestTimeout, "request_timeout" },
      { ErrorCode::KeyUnknown, "key_unknown" },
      { ErrorCode::RouteNotFound, "route_not_found" },
      { ErrorCode::ModelNotFound, "model_not_found" },
      { ErrorCode::QueueFull, "queue_full" },
      { ErrorCode::DeadlineUnreachable, "deadline_unreachable" },
      { ErrorCode::DeadlineExceeded, "deadline_exceeded" },
      { ErrorCode::NoBackendServer, "no_backend_server" },
      { ErrorCode::PromptQuarantined, "prompt_quarantined" },
      { ErrorCode::RequestQuarantined, "request_quarantined" },
      { ErrorCode::BackendServerFailed, "backend_server_failed" },
      { ErrorCode::AnswerMismatched, "answer_mismatched" },
      { ErrorCode::AnswerTruncated, "answer_truncated" },
      { ErrorCode::GenerationLost, "generation_lost" },
      { ErrorCode::OperationConflict, "operation_conflict" },
      { ErrorCode::OperationUnknown, "operation_unknown" },
      { ErrorCode::OwnerUnreachable, "owner_unreachable" },
      { ErrorCode::StoreUnavailable, "store_unavailable" },
      { ErrorCode::EditConflict, "edit_conflict" },
      { ErrorCode::InvalidTables, "invalid_tables" },
      { ErrorCode::Draining, "draining" },
      { ErrorCode::NotReady, "not_ready" },
      { ErrorCode::Cancelled, "cancelled" },
      { ErrorCode::Internal, "internal" } } }
};

/** A failure: its reason, whether the request may have run, and a message. */
struct Error
{
  ErrorCode code_ = ErrorCode::Internal;
  Verdict verdict_ = Verdict::NotRun;
  std::string message_;
  /** When a repeat is worth trying, if known. */
  std::optional<std::chrono::milliseconds> retryAfter_;
};

std::ostream&
operator<<(std::ostream& aStream, const Error& aError);

/** A value, or an `Error` attached as the LEAF error object. */
template<typename Value>
using Result = boost::leaf::result<Value>;

/**
 * A value or an `Error`, for results that cross a thread or a coroutine
 * suspension. LEAF keeps error objects in thread-local storage, which neither
 * preserves.
 */
template<typename Value>
using AsyncResult = boost::system::result<Value, Error>;

/** Called by `AsyncResult::value()` when there is no value. */
[[noreturn]] void
throw_exception_from_error( // NOLINT: name fixed by Boost.System
  const Error& aError,
  const boost::source_location& aLocation);

/**
 * Starts a failure with a typed error.
 *
 * @code
 * return MakeFailure(ErrorCode::RouteNotFound, Verdict::NotRun, "no route");
 * @endcode
 * The other side calls `boost::leaf::try_handle_all` with a handler that takes
 * `const Error&`.
 */
inline boost::leaf::error_id
MakeFailure(Error aError)
{
  return boost::leaf::new_error(std::move(aError));
}

inline boost::leaf::error_id
MakeFailure(ErrorCode aCode, Verdict aVerdict, std::string aMessage)
{
  return MakeFailure(Error{ aCode, aVerdict, std::move(aMessage), {} });
}

} // namespace azurecross
