#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurecross {

/**
 * The metrics of one worker thread. What is counted for each token is kept
 * here without locks and added to the process's metrics by `Flush`.
 */
class WorkerMetrics
{
public:
  explicit WorkerMetrics(Metrics& aMetrics);

  WorkerMetrics(const WorkerMetrics&) = delete;
  WorkerMetrics& operator=(const WorkerMetrics&) = delete;

  /** Counts a request that has ended. */
  void CountRequest(std::string_view aRoute, Rank aRank, unsigned aStatus);
  /** Counts a failure that a caller was told of. */
  void CountFailure(ErrorCode aCode, Verdict aVerdict);
  void CountFirstToken(Rank aRank, Duration aSinceArrival);
  void CountToken(Rank aRank, Duration aGap);
  void CountRetry() { retries_.Increment(); }
  void CountCancelledByCaller() { cancelled_.Increment(); }
  void CountMismatchedAnswer() { mismatched_.Increment(); }
  void CountConnection(int aChange);
  void CountStream(Rank aRank, int aChange);

  /** Adds the counts since the last call to the process's metrics. */
  void Flush();

private:
  /** Counts of one histogram since the last flush. */
  struct LocalHistogram
  {
    prometheus::Histogram* histogram_ = nullptr;
    std::vector<double> counts_;
    double sum_ = 0;

    void Observe(double aValue);
    void Flush();
  };

  struct ByRank
  {
    LocalHistogram firstToken_;
    LocalHistogram gap_;
    prometheus::Counter* tokens_ = nullptr;
    std::uint64_t tokenCount_ = 0;
    prometheus::Gauge* streams_ = nullptr;
  };

  using CounterByRoute =
    std::map<std::string, prometheus::Counter*, std::less<>>;

  Metrics& metrics_;
  std::array<ByRank, kRankCount> byRank_;
  prometheus::Counter& retries_;
  prometheus::Counter& cancelled_;
  prometheus::Counter& mismatched_;
  prometheus::Gauge& connections_;
  std::map<std::pair<Rank, unsigned>, CounterByRoute> requests_;
  std::map<std::pair<ErrorCode, Verdict>, prometheus::Counter*> failures_;
};

} // namespace azurecross
