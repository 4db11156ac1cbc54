#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <cstdint>

namespace azurecross {

/** Bounds of the gateway's connections, requests and answers. */
struct GatewayLimits
{
  std::uint32_t headerLimitBytes_ = 16 * 1024;
  std::size_t bodyLimitBytes_ = std::size_t{ 8 } << 20;
  /** Largest total of the bodies of the requests that one worker holds. */
  std::size_t bodiesLimitBytes_ = std::size_t{ 128 } << 20;
  /** Largest answer that is not an event stream. */
  std::size_t answerLimitBytes_ = std::size_t{ 8 } << 20;
  /** Largest total of the answers that one worker reads at the same time. */
  std::size_t answersLimitBytes_ = std::size_t{ 64 } << 20;
  /** Largest event of a stream. */
  std::size_t eventLimitBytes_ = std::size_t{ 1 } << 20;
  /** Largest amount read ahead from a caller while its request runs. */
  std::size_t readAheadBytes_ = std::size_t{ 64 } * 1024;
  /** Connections over this number are closed at once. */
  std::size_t connectionLimit_ = 20000;

  /** How long a connection may wait for its next request. */
  Duration idleTimeout_ = std::chrono::seconds(60);
  /** From the first byte of a request to the end of its header. */
  Duration headerTimeout_ = std::chrono::seconds(10);
  /** From the end of the header to the end of the body. */
  Duration bodyTimeout_ = std::chrono::seconds(30);
  /** How long a caller may keep one write waiting. */
  Duration writeTimeout_ = std::chrono::seconds(30);
  Duration connectTimeout_ = std::chrono::seconds(2);
  /** From the request to the head of the answer, where no route sets less. */
  Duration answerTimeout_ = std::chrono::minutes(10);
  /** Longest silence of a backend server within an answer. */
  Duration silenceTimeout_ = std::chrono::seconds(60);
  /** How often one request may be tried, the first time included. */
  unsigned attemptLimit_ = 3;
};

} // namespace azurecross
