#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <functional>
#include <string>

namespace azurecross {

enum class GenerationState
{
  Waiting,
  Running,
  Paused,
  Completed,
  Cancelled,
  Died,
};

inline constexpr NameTable<GenerationState, 6> kGenerationStateNames{
  { { { GenerationState::Waiting, "waiting" },
      { GenerationState::Running, "running" },
      { GenerationState::Paused, "paused" },
      { GenerationState::Completed, "completed" },
      { GenerationState::Cancelled, "cancelled" },
      { GenerationState::Died, "died" } } }
};

/** One generation and what the record says of it. */
struct Generation
{
  std::string id_;
  std::string requestId_;
  std::string customer_;
  std::string model_;
  bool isChat_ = false;
  bool cancelOnClose_ = false;
  /** A lower number is served first. */
  std::int64_t priority_ = 0;
  std::uint64_t sequence_ = 0;
  std::int64_t promptTokens_ = 1;
  std::int64_t length_ = 1;
  std::int64_t produced_ = 0;
  std::int64_t preemptions_ = 0;
  GenerationState state_ = GenerationState::Waiting;
  Time nextTokenAt_{};
  /** Connections that read the tokens now. */
  int readers_ = 0;
  /** When the last reader went, or when the generation ended without one. */
  Time unreadSince_{};
  std::int64_t createdMilliseconds_ = 0;
  std::int64_t startedMilliseconds_ = 0;
  std::int64_t endedMilliseconds_ = 0;
  /** Time between the leaving notice and the creation, or -1. */
  std::int64_t afterLeavingMilliseconds_ = -1;
  /** Called after each change that a reader waits for. */
  std::function<void()> notify_;

  bool IsEnded() const { return state_ >= GenerationState::Completed; }
  /** @returns the memory that it occupies while running. */
  std::int64_t GetMemory() const { return promptTokens_ + produced_; }
};

} // namespace azurecross
