#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <string>

namespace azurecross {

/** A non-idempotent request that carries a key. */
struct OperationRequest
{
  /**
   * The `Idempotency-Key` header: a caller's own key, or one issued by
   * `POST /v1/operation-keys`. The controller tells them apart by format.
   */
  std::string key_;
  CustomerId customer_;
  RouteName route_;
  RequestId requestId_;
  /** Hash of method, target and body: a key belongs to one request only. */
  std::uint64_t fingerprint_ = 0;
  /** The caller declares that it has not sent the key before. */
  bool isFirstAttempt_ = false;
};

/** The right to run an operation once. Opaque to the gateway. */
struct OperationAttempt
{
  std::string key_;
  CustomerId customer_;
  /** Unique among all attempts under the key. */
  std::string attemptId_;
};

/** The answer to an operation, kept so that a repeat can be given it. */
struct OperationAnswer
{
  /**
   * `Ran`: the answer below is the backend server's. `MayHaveRun`: the outcome
   * is unknown; never run it again. `NotRun`: no byte left; the key may be
   * used again.
   */
  Verdict verdict_ = Verdict::MayHaveRun;
  unsigned status_ = 0;
  std::string contentType_;
  std::string body_;
};

/** Says what to do with an operation; a refusal is an `Error` instead. */
struct OperationDecision
{
  enum class Action
  {
    /** Run it, then call `FinishOperation` with `attempt_`. */
    Run,
    /** Give the caller `answer_`. */
    Replay,
  };

  Action action_ = Action::Run;
  OperationAttempt attempt_;
  OperationAnswer answer_;
};

} // namespace azurecross
