#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>
#include <initializer_list>

namespace azurecross {

/** The kinds of decisions that are logged. */
enum class Decision
{
  Started,
  Stopping,
  Stopped,
  Reloaded,
  DependencyLost,
  DependencyRegained,
  TablesApplied,
  ServerChanged,
  MemberChanged,
  RequestRefused,
  RequestFailed,
  RequestServed,
  RequestSent,
  RequestRetried,
  CallerLeft,
  MovePlanned,
  MoveEnded,
  GenerationResumed,
  RecordsDropped,
};

inline constexpr NameTable<Decision, 19> kDecisionNames{
  { { { Decision::Started, "started" },
      { Decision::Stopping, "stopping" },
      { Decision::Stopped, "stopped" },
      { Decision::Reloaded, "reloaded" },
      { Decision::DependencyLost, "dependency_lost" },
      { Decision::DependencyRegained, "dependency_regained" },
      { Decision::TablesApplied, "tables_applied" },
      { Decision::ServerChanged, "server_changed" },
      { Decision::MemberChanged, "member_changed" },
      { Decision::RequestRefused, "request_refused" },
      { Decision::RequestFailed, "request_failed" },
      { Decision::RequestServed, "request_served" },
      { Decision::RequestSent, "request_sent" },
      { Decision::RequestRetried, "request_retried" },
      { Decision::CallerLeft, "caller_left" },
      { Decision::MovePlanned, "move_planned" },
      { Decision::MoveEnded, "move_ended" },
      { Decision::GenerationResumed, "generation_resumed" },
      { Decision::RecordsDropped, "records_dropped" } } }
};

/**
 * Writes one record for each decision, at most a fixed number a second of each
 * kind. What is left out is counted and reported. Each kind has a budget of its
 * own, so that records of good requests never displace those of failed ones.
 */
class DecisionLog
{
public:
  /** @param aBudget records a second of each kind. */
  explicit DecisionLog(std::uint32_t aBudget = kUsualBudget)
    : budget_(aBudget)
  {
  }

  void Write(Decision aDecision, std::initializer_list<LogField> aFields);

  /** Reports what was left out; call about every second. */
  void Tick(Time aNow);

  std::uint64_t CountSuppressedRecords() const { return leftOutInAll_; }

private:
  /** A daemon of the usual size serves about ten requests a second. */
  static constexpr std::uint32_t kUsualBudget = 100;
  static constexpr std::size_t kKinds = 19;

  std::uint32_t budget_;
  std::array<std::uint32_t, kKinds> written_{};
  std::uint64_t leftOut_ = 0;
  std::uint64_t leftOutInAll_ = 0;
  std::uint64_t droppedBefore_ = 0;
  Time windowBegan_;
};

} // namespace azurecross
