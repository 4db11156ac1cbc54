#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>
#include <initializer_list>

namespace azurecross {

/** The kinds of logged events and decisions. */
enum class Decision
{
  Started,
  Stopping,
  Stopped,
  Reloaded,
  DependencyLost,
  DependencyRegained,
  TablesApplied,
  TablesRejected,
  StoreTablesCompared,
  ServerChanged,
  MemberChanged,
  RecordMissing,
  FeedRoleChanged,
  RequestRefused,
  RequestFailed,
  RequestServed,
  RequestSent,
  RequestRetried,
  RequestRejected,
  ResponseSkipped,
  CallerLeft,
  ConnectionClosed,
  MovePlanned,
  MoveEnded,
  GenerationResumed,
  ServerExamined,
  PromptQuarantineChanged,
  RequestQuarantineChanged,
  ServerLimitChanged,
  ServerPaused,
  ZoneEvacuationChanged,
  WarmUpChanged,
  StreamLate,
  RecordsDropped,
};

inline constexpr NameTable<Decision, 34> kDecisionNames{
  { { { Decision::Started, "started" },
      { Decision::Stopping, "stopping" },
      { Decision::Stopped, "stopped" },
      { Decision::Reloaded, "reloaded" },
      { Decision::DependencyLost, "dependency_lost" },
      { Decision::DependencyRegained, "dependency_regained" },
      { Decision::TablesApplied, "tables_applied" },
      { Decision::TablesRejected, "tables_rejected" },
      { Decision::StoreTablesCompared, "store_tables_compared" },
      { Decision::ServerChanged, "server_changed" },
      { Decision::MemberChanged, "member_changed" },
      { Decision::RecordMissing, "member_record_missing" },
      { Decision::FeedRoleChanged, "feed_role_changed" },
      { Decision::RequestRefused, "request_refused" },
      { Decision::RequestFailed, "request_failed" },
      { Decision::RequestServed, "request_served" },
      { Decision::RequestSent, "request_sent" },
      { Decision::RequestRetried, "request_retried" },
      { Decision::RequestRejected, "request_rejected" },
      { Decision::ResponseSkipped, "response_skipped" },
      { Decision::CallerLeft, "caller_left" },
      { Decision::ConnectionClosed, "connection_closed" },
      { Decision::MovePlanned, "move_planned" },
      { Decision::MoveEnded, "move_ended" },
      { Decision::GenerationResumed, "generation_resumed" },
      { Decision::ServerExamined, "server_examined" },
      { Decision::PromptQuarantineChanged, "prompt_quarantine_changed" },
      { Decision::RequestQuarantineChanged, "request_quarantine_changed" },
      { Decision::ServerLimitChanged, "server_limit_changed" },
      { Decision::ServerPaused, "server_paused" },
      { Decision::ZoneEvacuationChanged, "zone_evacuation_changed" },
      { Decision::WarmUpChanged, "warm_up_changed" },
      { Decision::StreamLate, "stream_late" },
      { Decision::RecordsDropped, "records_dropped" } } }
};

/**
 * A rate-limited log of events and decisions. Each kind has a separate budget
 * of records per second, so that records of successful requests never displace
 * those of failed requests. Records above the budget are suppressed, counted
 * and reported.
 */
class DecisionLog
{
public:
  /** @param aRecordsPerSecond the budget of each kind. */
  explicit DecisionLog(
    std::uint32_t aRecordsPerSecond = kDefaultRecordsPerSecond)
    : recordsPerSecond_(aRecordsPerSecond)
  {
  }

  /** Writes a record, or counts it as suppressed if the budget of its kind is
   * exhausted. */
  void Write(Decision aDecision, std::initializer_list<LogField> aFields);

  /** Renews the budgets once a second and then reports the number of suppressed
   * and dropped records. To be called at least once a second. */
  void Tick(Time aNow);

  /** @returns the number of records suppressed since the start. */
  std::uint64_t CountSuppressedRecords() const
  {
    return totalSuppressedRecords_;
  }

private:
  /** Ample: a typical daemon serves about ten requests per second. */
  static constexpr std::uint32_t kDefaultRecordsPerSecond = 100;
  static constexpr std::size_t kDecisionCount =
    kDecisionNames.GetEntries().size();

  std::uint32_t recordsPerSecond_;
  std::array<std::uint32_t, kDecisionCount> writtenRecords_{};
  std::uint64_t suppressedRecords_ = 0;
  std::uint64_t totalSuppressedRecords_ = 0;
  std::uint64_t lastDroppedCount_ = 0;
  Time windowStart_;
};

} // namespace azurecross
