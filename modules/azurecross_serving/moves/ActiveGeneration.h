#pragma once

#include "../dispatch/AsyncDispatcher.h"
#include "../forward/Signal.h"
#include "../wire/WireTranslator.h"

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <functional>
#include <optional>
#include <string>

namespace azurecross {

/** How far the move of a generation has come. */
enum class MoveStage
{
  None,
  /** Its memory is copied while it runs. */
  Copying,
  /** A copy is complete but for what has been generated since. */
  Copied,
  /** It is being stopped for the last part of the copy. */
  Stopping,
  /** It has stopped and goes on from `copy_`. */
  Stopped,
  /** It had ended by itself before it could be stopped. */
  Ended,
  /** The engine did not say whether it has stopped it. */
  Unclear,
};

inline constexpr NameTable<MoveStage, 7> kMoveStageNames{
  { { { MoveStage::None, "none" },
      { MoveStage::Copying, "copying" },
      { MoveStage::Copied, "copied" },
      { MoveStage::Stopping, "stopping" },
      { MoveStage::Stopped, "stopped" },
      { MoveStage::Ended, "ended" },
      { MoveStage::Unclear, "unclear" } } }
};

/**
 * A generation whose stream is being passed on, shared by the exchange that
 * relays it and the mover that takes it to another engine.
 */
struct ActiveGeneration
{
  explicit ActiveGeneration(const WorkerExecutor& aExecutor)
    : changed_(aExecutor)
  {
  }

  std::string attemptId_;
  PlacementRequest request_;
  BackendServerId server_;
  SocketAddress address_;
  RunReservation hold_;
  /** Output tokens that have arrived. */
  std::uint32_t tokens_ = 0;

  MoveStage stage_ = MoveStage::None;
  /** Whether a move is in progress, which then drops a copy that is left. */
  bool isMoving_ = false;
  /** Counts the moves, so that one that was overtaken notices. */
  unsigned moveNumber_ = 0;
  /** The newest copy of its memory on another engine. */
  std::optional<GenerationCopy> copy_;
  /** The place that is kept for it there. */
  RunReservation copyHold_;
  /** Notified when the stage changes. */
  Signal changed_;
  /** Set once the stream has ended. */
  bool isFinished_ = false;
  /** Bounds the wait for the end of a stream that has been stopped. */
  std::function<void()> expectEnd_;
};

} // namespace azurecross
