#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>

namespace azurecross {

/** Why a caller's connection was closed. */
enum class CloseReason
{
  CallerClosed,
  /** The caller did not read in time, or vanished during a response. */
  CallerLeft,
  IdleLimit,
  /** The rest of a request did not arrive in time. */
  ReadTimeout,
  RequestRefused,
  /** The response or its request said that the connection closes. */
  AfterResponse,
  /** A response was cut: its time was over, or its server broke it off. */
  ResponseCut,
  Shutdown,
  ConnectionLimit,
};

inline constexpr NameTable<CloseReason, 9> kCloseReasonNames{
  { { { CloseReason::CallerClosed, "caller_closed" },
      { CloseReason::CallerLeft, "caller_left" },
      { CloseReason::IdleLimit, "idle_limit" },
      { CloseReason::ReadTimeout, "read_timeout" },
      { CloseReason::RequestRefused, "request_refused" },
      { CloseReason::AfterResponse, "after_response" },
      { CloseReason::ResponseCut, "response_cut" },
      { CloseReason::Shutdown, "shutdown" },
      { CloseReason::ConnectionLimit, "connection_limit" } } }
};

/** How much of a request without an answer a closed connection had. */
enum class UnansweredRequest
{
  None,
  /** Bytes that do not reach to the end of a header. */
  Partial,
  /** At least one whole header. */
  WholeHead,
};

inline constexpr NameTable<UnansweredRequest, 3> kUnansweredRequestNames{
  { { { UnansweredRequest::None, "none" },
      { UnansweredRequest::Partial, "partial" },
      { UnansweredRequest::WholeHead, "whole_head" } } }
};

/** The end of a caller's connection, for logs and metrics. */
struct ConnectionClose
{
  CloseReason reason_ = CloseReason::CallerClosed;
  UnansweredRequest request_ = UnansweredRequest::None;
  /** Bytes of requests that were not answered, read or discarded. */
  std::size_t unansweredBytes_ = 0;
  /** Of these, the bytes that arrived after the close. */
  std::size_t discardedBytes_ = 0;
  /** How long the last wait for a request took. */
  Duration idleTime_{ 0 };
  /** The idle limit in force at the close. */
  Duration idleLimit_{ 0 };
};

} // namespace azurecross
