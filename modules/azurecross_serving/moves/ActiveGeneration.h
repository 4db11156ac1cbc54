#pragma once

#include "../dispatch/AsyncDispatcher.h"
#include "../forward/AsyncCondition.h"
#include "../wire/WireProtocol.h"

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <functional>
#include <optional>
#include <string>

namespace azurecross {

/** Progress of the move of a generation to another engine. */
enum class MoveStage
{
  None,
  /** The KV cache is copied while the generation runs. */
  Copying,
  /** A copy exists; only the tokens generated since are missing from it. */
  Copied,
  /** The engine was asked to stop the generation and copy the remainder. */
  Stopping,
  /** The engine stopped the generation; it resumes from `copy_`. */
  Stopped,
  /** The generation ended before the engine could stop it. */
  AlreadyEnded,
  /** The engine is gone or can't be reached. */
  EngineGone,
  /** The engine took the stop request, which it carries out before it copies,
   * and did not respond in time. */
  Unanswered,
  /**
   * No usable response to the stop request: the generation may have stopped.
   */
  Indeterminate,
};

inline constexpr NameTable<MoveStage, 9> kMoveStageNames{
  { { { MoveStage::None, "none" },
      { MoveStage::Copying, "copying" },
      { MoveStage::Copied, "copied" },
      { MoveStage::Stopping, "stopping" },
      { MoveStage::Stopped, "stopped" },
      { MoveStage::AlreadyEnded, "ended" },
      { MoveStage::EngineGone, "engine gone" },
      { MoveStage::Unanswered, "unanswered" },
      { MoveStage::Indeterminate, "unclear" } } }
};

/**
 * A generation whose stream is being forwarded. Shared by the exchange that
 * forwards the stream and the mover that moves the generation to another
 * engine.
 */
struct ActiveGeneration
{
  explicit ActiveGeneration(const WorkerExecutor& aExecutor)
    : stageChanged_(aExecutor)
  {
  }

  std::string attemptId_;
  PlacementRequest request_;
  BackendServerId server_;
  SocketAddress address_;
  RunReservation reservation_;
  /** Output tokens received so far. */
  std::uint32_t tokens_ = 0;

  MoveStage stage_ = MoveStage::None;
  /** When the engine was last asked to stop the generation. */
  Time stopRequestedAt_{};
  /** Whether the stream broke off: the engine may still run the generation and
   * must be stopped before the generation resumes elsewhere. */
  bool isBroken_ = false;
  /** Whether a move is in progress; the move then releases an unused copy. */
  bool isMoving_ = false;
  /**
   * Incremented at the start of each move and resume. A move that finds another
   * id after a suspension has been superseded and leaves the generation alone.
   */
  unsigned moveId_ = 0;
  /** The newest copy of the KV cache on another engine. */
  std::optional<KvCacheCopy> copy_;
  /** The capacity reserved for the generation on that engine. */
  RunReservation copyReservation_;
  /** Notified when `stage_` changes. */
  AsyncCondition stageChanged_;
  /** Whether the stream has ended. */
  bool isFinished_ = false;
  /**
   * Called once the engine has stopped the generation, to limit the wait for
   * the end of the stream.
   */
  std::function<void()> onStopped_;
};

} // namespace azurecross
