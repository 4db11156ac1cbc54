#include "ServingMetrics.h"

namespace azurecross {

namespace {

/** In seconds, from the few milliseconds of a plain call to the longest
 * generation. */
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
  0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 2.5, 4.0, 8.0, 16.0, 40.0
};
/** In seconds, around the gaps that readers of a stream notice as stalls. */
const prometheus::Histogram::BucketBoundaries kEventGapBounds = {
  0.02, 0.037, 0.05, 0.075, 0.1, 0.18, 0.3, 0.5, 1.0
};

} // namespace

ServingMetrics::ServingMetrics(Metrics& aMetrics)
  : metrics_(aMetrics)
  , firstEventLatency_(aMetrics.GetHistogram(
      "azurecross_forward_first_event_seconds",
      "Time from a request's arrival to the first event of its stream",
      kLatencyBounds))
  , eventGap_(aMetrics.GetHistogram(
      "azurecross_forward_event_gap_seconds",
      "Time between two events of a stream as they are passed on",
      kEventGapBounds))
  , queueWait_(aMetrics.GetHistogram(
      "azurecross_forward_queue_wait_seconds",
      "Time from a request's arrival to its start on a backend server",
      kLatencyBounds))
  , permitWait_(aMetrics.GetHistogram(
      "azurecross_forward_permit_wait_seconds",
      "Wait of requests for a permit of a backend server that limits its rate",
      kLatencyBounds))
  , limitedServers_(aMetrics.GetGauge("azurecross_forward_limited_servers",
                                      "Backend servers that limit their rate"))
  , coldServers_(
      aMetrics.GetGauge("azurecross_forward_cold_servers",
                        "Backend servers that are limited while they are cold"))
  , evacuatedZones_(
      aMetrics.GetGauge("azurecross_forward_evacuated_zones",
                        "Availability zones that the operator has evacuated"))
  , quarantinedParts_(aMetrics.GetGauge(
      "azurecross_forward_quarantined_prompt_parts",
      "Parts of prompts whose requests are refused because they end engines"))
  , quarantinedRequests_(aMetrics.GetGauge(
      "azurecross_forward_quarantined_requests",
      "Requests that are refused because they end backend servers"))
  , queuedRequests_(
      aMetrics.GetGauge("azurecross_forward_queued_requests",
                        "Requests that wait for a backend server"))
  , tablesVersion_(aMetrics.GetGauge("azurecross_forward_tables_version",
                                     "Version of the tables in force"))
  , tablesConfirmationAge_(aMetrics.GetGauge(
      "azurecross_forward_tables_proof_age_seconds",
      "Time since the tables were last known to be the newest"))
  , livePeers_(aMetrics.GetGauge("azurecross_forward_live_peers",
                                 "Other daemons heard of lately"))
  , suppressedLogRecords_(
      aMetrics.GetGauge("azurecross_forward_log_records_left_out",
                        "Log records left out over their budget"))
{
}

void
ServingMetrics::CountRequest(CallKind aKind,
                             unsigned aStatus,
                             Verdict aVerdict,
                             Duration aLatency)
{
  auto& counter = requests_[{ aKind, aStatus, aVerdict }];
  if (counter == nullptr) {
    counter = &metrics_.GetCounter(
      "azurecross_forward_requests_total",
      "Requests by kind, status and whether they may have run",
      { { "kind", std::string(kCallKindNames.FindName(aKind)) },
        { "status", std::to_string(aStatus) },
        { "verdict", std::string(kVerdictNames.FindName(aVerdict)) } });
  }
  counter->Increment();
  auto& latency = latencies_[aKind];
  if (latency == nullptr) {
    latency = &metrics_.GetHistogram(
      "azurecross_forward_request_seconds",
      "Time from a request's arrival to the end of its answer",
      kLatencyBounds,
      { { "kind", std::string(kCallKindNames.FindName(aKind)) } });
  }
  latency->Observe(ToSeconds(aLatency));
}

void
ServingMetrics::CountConnectionClose(CloseReason aReason,
                                     UnansweredRequest aRequest)
{
  metrics_
    .GetCounter(
      "azurecross_forward_connections_closed_total",
      "Closed connections of callers by reason and unanswered request",
      { { "reason", std::string(kCloseReasonNames.FindName(aReason)) },
        { "unanswered_request",
          std::string(kUnansweredRequestNames.FindName(aRequest)) } })
    .Increment();
}

void
ServingMetrics::CountFailure(ErrorCode aReason)
{
  metrics_
    .GetCounter(
      "azurecross_forward_failures_total",
      "Requests that were refused or failed, and streams that were cut off",
      { { "reason", std::string(kErrorCodeNames.FindName(aReason)) } })
    .Increment();
}

void
ServingMetrics::ObserveFirstEvent(Duration aLatency)
{
  firstEventLatency_.Observe(ToSeconds(aLatency));
}

void
ServingMetrics::ObserveEventGap(Duration aGap)
{
  eventGap_.Observe(ToSeconds(aGap));
}

void
ServingMetrics::CountLateStream(LateCause aCause)
{
  metrics_
    .GetCounter("azurecross_forward_late_streams_total",
                "Complete streams that missed a target of their route",
                { { "cause", std::string(kLateCauseNames.FindName(aCause)) } })
    .Increment();
}

void
ServingMetrics::ObserveQueueWait(Duration aWait)
{
  queueWait_.Observe(ToSeconds(aWait));
}

void
ServingMetrics::CountRetry(bool aIsAllowed)
{
  metrics_
    .GetCounter("azurecross_forward_retries_total",
                "Requests for another send, by whether the budget allowed it",
                { { "allowed", aIsAllowed ? "yes" : "no" } })
    .Increment();
}

void
ServingMetrics::CountMove(std::string_view aOutcome)
{
  metrics_
    .GetCounter("azurecross_forward_moves_total",
                "Moves of running generations by outcome",
                { { "outcome", std::string(aOutcome) } })
    .Increment();
}

void
ServingMetrics::CountResume(bool aIsSuccessful)
{
  metrics_
    .GetCounter("azurecross_forward_resumes_total",
                "Generations that went on from a copy of their memory",
                { { "outcome", aIsSuccessful ? "done" : "failed" } })
    .Increment();
}

void
ServingMetrics::CountStoreCall(std::string_view aCall, bool aIsAnswered)
{
  metrics_
    .GetCounter("azurecross_forward_store_calls_total",
                "Calls to the store by whether they were answered",
                { { "call", std::string(aCall) },
                  { "answered", aIsAnswered ? "yes" : "no" } })
    .Increment();
}

void
ServingMetrics::CountBackendConnection(bool aIsReused)
{
  metrics_
    .GetCounter("azurecross_forward_backend_connections_total",
                "Connections used for requests, new or used again",
                { { "reused", aIsReused ? "yes" : "no" } })
    .Increment();
}

void
ServingMetrics::CountSkippedResponse()
{
  metrics_
    .GetCounter("azurecross_forward_skipped_responses_total",
                "Responses that carried the id of another request")
    .Increment();
}

void
ServingMetrics::CountRejectedTables()
{
  metrics_
    .GetCounter("azurecross_forward_rejected_tables_total",
                "Versions of the tables that can't be used")
    .Increment();
}

void
ServingMetrics::CountRejection(bool aIsReused)
{
  metrics_
    .GetCounter("azurecross_forward_rejections_total",
                "Responses by which a backend server stated that it did not "
                "run the request",
                { { "reused_connection", aIsReused ? "yes" : "no" } })
    .Increment();
}

void
ServingMetrics::CountQuarantineChange(FingerprintKind aKind,
                                      QuarantineChange aChange)
{
  const bool isPart = aKind == FingerprintKind::PromptPart;
  metrics_
    .GetCounter(
      isPart ? "azurecross_forward_quarantine_changes_total"
             : "azurecross_forward_request_quarantine_changes_total",
      isPart ? "Changes of the quarantine of parts of prompts"
             : "Changes of the quarantine of requests",
      { { "change", std::string(kQuarantineChangeNames.FindName(aChange)) } })
    .Increment();
}

void
ServingMetrics::SetQuarantined(FingerprintKind aKind, std::size_t aCount)
{
  prometheus::Gauge& gauge = aKind == FingerprintKind::PromptPart
                               ? quarantinedParts_
                               : quarantinedRequests_;
  gauge.Set(static_cast<double>(aCount));
}

void
ServingMetrics::SetLimitedServers(std::size_t aCount)
{
  limitedServers_.Set(static_cast<double>(aCount));
}

void
ServingMetrics::SetColdServers(std::size_t aCount)
{
  coldServers_.Set(static_cast<double>(aCount));
}

void
ServingMetrics::SetEvacuatedZones(std::size_t aCount)
{
  evacuatedZones_.Set(static_cast<double>(aCount));
}

void
ServingMetrics::SetPermitCounts(const PermitCounts& aCounts)
{
  const auto add = [&](std::string_view aOutcome,
                       std::uint64_t PermitCounts::*aCount) {
    const std::uint64_t increase = aCounts.*aCount - permitCounts_.*aCount;
    if (increase > 0) {
      metrics_
        .GetCounter("azurecross_forward_permits_total",
                    "Permits for servers that limit their rate, by what became "
                    "of them",
                    { { "outcome", std::string(aOutcome) } })
        .Increment(static_cast<double>(increase));
    }
  };
  add("granted", &PermitCounts::granted_);
  add("denied", &PermitCounts::denied_);
  add("unanswered", &PermitCounts::unanswered_);
  add("returned", &PermitCounts::returned_);
  add("sent without", &PermitCounts::charged_);
  permitCounts_ = aCounts;
}

void
ServingMetrics::ObservePermitWait(Duration aWait)
{
  permitWait_.Observe(ToSeconds(aWait));
}

void
ServingMetrics::SetQueuedRequests(std::size_t aCount)
{
  queuedRequests_.Set(static_cast<double>(aCount));
}

void
ServingMetrics::SetTablesVersion(std::uint64_t aVersion)
{
  tablesVersion_.Set(static_cast<double>(aVersion));
}

void
ServingMetrics::SetTablesConfirmationAge(Duration aAge)
{
  tablesConfirmationAge_.Set(ToSeconds(aAge));
}

void
ServingMetrics::SetLivePeers(std::size_t aCount)
{
  livePeers_.Set(static_cast<double>(aCount));
}

void
ServingMetrics::SetSuppressedLogRecords(std::uint64_t aCount)
{
  suppressedLogRecords_.Set(static_cast<double>(aCount));
}

} // namespace azurecross
