#pragma once

#include "../forward/StreamTiming.h"

#include <azurecross_core/azurecross_core.h>
#include <azurecross_dispatch/azurecross_dispatch.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace azurecross {

/** The metrics of the forwarding path. All labels have a bounded set of
 * values. */
class ServingMetrics
{
public:
  explicit ServingMetrics(Metrics& aMetrics);

  ServingMetrics(const ServingMetrics&) = delete;
  ServingMetrics& operator=(const ServingMetrics&) = delete;

  /** Counts a finished request and observes its latency. */
  void CountRequest(CallKind aKind,
                    unsigned aStatus,
                    Verdict aVerdict,
                    Duration aLatency);
  void CountConnectionClose(CloseReason aReason, UnansweredRequest aRequest);
  void CountFailure(ErrorCode aReason);
  void ObserveFirstEvent(Duration aLatency);
  void ObserveEventGap(Duration aGap);
  void CountLateStream(LateCause aCause);
  void ObserveQueueWait(Duration aWait);
  void CountRetry(bool aIsAllowed);
  void CountMove(std::string_view aOutcome);
  void CountResume(bool aIsSuccessful);
  void CountStoreCall(std::string_view aCall, bool aIsAnswered);
  void CountBackendConnection(bool aIsReused);
  void CountSkippedResponse();
  void CountRejectedTables();
  void CountRejection(bool aIsReused);
  void CountQuarantineChange(FingerprintKind aKind, QuarantineChange aChange);
  void SetQuarantined(FingerprintKind aKind, std::size_t aCount);
  void SetLimitedServers(std::size_t aCount);
  void SetColdServers(std::size_t aCount);
  void SetEvacuatedZones(std::size_t aCount);
  /** Counts what became of the requests for permits since the last call. */
  void SetPermitCounts(const PermitCounts& aCounts);
  void ObservePermitWait(Duration aWait);
  void SetQueuedRequests(std::size_t aCount);
  void SetTablesVersion(std::uint64_t aVersion);
  void SetTablesConfirmationAge(Duration aAge);
  void SetLivePeers(std::size_t aCount);
  void SetSuppressedLogRecords(std::uint64_t aCount);

private:
  Metrics& metrics_;
  std::map<std::tuple<CallKind, unsigned, Verdict>, prometheus::Counter*>
    requests_;
  std::map<CallKind, prometheus::Histogram*> latencies_;
  prometheus::Histogram& firstEventLatency_;
  prometheus::Histogram& eventGap_;
  prometheus::Histogram& queueWait_;
  prometheus::Histogram& permitWait_;
  prometheus::Gauge& limitedServers_;
  prometheus::Gauge& coldServers_;
  prometheus::Gauge& evacuatedZones_;
  PermitCounts permitCounts_;
  prometheus::Gauge& quarantinedParts_;
  prometheus::Gauge& quarantinedRequests_;
  prometheus::Gauge& queuedRequests_;
  prometheus::Gauge& tablesVersion_;
  prometheus::Gauge& tablesConfirmationAge_;
  prometheus::Gauge& livePeers_;
  prometheus::Gauge& suppressedLogRecords_;
};

} // namespace azurecross
