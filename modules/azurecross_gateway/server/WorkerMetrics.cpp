#include "WorkerMetrics.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Seconds; 0.037 and 2 are the targets between tokens and for the first. */
const std::vector<double> kGapBounds = { 0.001, 0.002, 0.005, 0.01, 0.02,
                                         0.037, 0.05,  0.1,   0.2,  0.5,
                                         1,     2,     5 };
const std::vector<double> kFirstTokenBounds = { 0.01, 0.02, 0.05, 0.1, 0.2, 0.5,
                                                1,    2,    5,    10,  30 };

MetricLabels
MakeRankLabel(Rank aRank)
{
  return { { "rank", std::string(kRankNames.FindName(aRank)) } };
}

} // namespace

void
WorkerMetrics::LocalHistogram::Observe(double aValue)
{
  const auto& bounds =
    counts_.size() == kGapBounds.size() + 1 ? kGapBounds : kFirstTokenBounds;
  const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), aValue);
  ++counts_[bucket - bounds.begin()];
  sum_ += aValue;
}

void
WorkerMetrics::LocalHistogram::Flush()
{
  if (sum_ > 0) {
    histogram_->ObserveMultiple(counts_, sum_);
    std::fill(counts_.begin(), counts_.end(), 0);
    sum_ = 0;
  }
}

WorkerMetrics::WorkerMetrics(Metrics& aMetrics)
  : metrics_(aMetrics)
  , retries_(aMetrics.GetCounter("azurecross_gateway_retries_total",
                                 "Requests tried on another backend server"))
  , cancelled_(
      aMetrics.GetCounter("azurecross_gateway_cancelled_by_caller_total",
                          "Requests whose caller left before their end"))
  , mismatched_(
      aMetrics.GetCounter("azurecross_gateway_mismatched_answers_total",
                          "Answers that belong to another request"))
  , connections_(aMetrics.GetGauge("azurecross_gateway_connections",
                                   "Open connections of callers"))
{
  for (const auto& [rank, name] : kRankNames.GetEntries()) {
    const MetricLabels labels = MakeRankLabel(rank);
    ByRank& byRank = byRank_[static_cast<std::size_t>(rank)];
    byRank.firstToken_.histogram_ =
      &aMetrics.GetHistogram("azurecross_gateway_first_token_seconds",
                             "From a request's arrival to its first token",
                             kFirstTokenBounds,
                             labels);
    byRank.firstToken_.counts_.resize(kFirstTokenBounds.size() + 1);
    byRank.gap_.histogram_ =
      &aMetrics.GetHistogram("azurecross_gateway_token_gap_seconds",
                             "Between two tokens of one stream",
                             kGapBounds,
                             labels);
    byRank.gap_.counts_.resize(kGapBounds.size() + 1);
    byRank.tokens_ = &aMetrics.GetCounter(
      "azurecross_gateway_tokens_total", "Tokens sent to callers", labels);
    byRank.streams_ = &aMetrics.GetGauge(
      "azurecross_gateway_streams", "Streams in progress", labels);
  }
}

void
WorkerMetrics::CountRequest(std::string_view aRoute,
                            Rank aRank,
                            unsigned aStatus)
{
  CounterByRoute& byRoute = requests_[{ aRank, aStatus }];
  const auto found = byRoute.find(aRoute);
  if (found != byRoute.end()) {
    found->second->Increment();
    return;
  }
  MetricLabels labels = MakeRankLabel(aRank);
  labels["route"] = aRoute;
  labels["status"] = std::to_string(aStatus);
  prometheus::Counter& counter = metrics_.GetCounter(
    "azurecross_gateway_requests_total", "Requests that have ended", labels);
  byRoute.emplace(std::string(aRoute), &counter);
  counter.Increment();
}

void
WorkerMetrics::CountFailure(ErrorCode aCode, Verdict aVerdict)
{
  prometheus::Counter*& counter = failures_[{ aCode, aVerdict }];
  if (counter == nullptr) {
    counter = &metrics_.GetCounter(
      "azurecross_gateway_failures_total",
      "Failures that callers were told of",
      { { "code", std::string(kErrorCodeNames.FindName(aCode)) },
        { "verdict", std::string(kVerdictNames.FindName(aVerdict)) } });
  }
  counter->Increment();
}

void
WorkerMetrics::CountFirstToken(Rank aRank, Duration aSinceArrival)
{
  ByRank& byRank = byRank_[static_cast<std::size_t>(aRank)];
  byRank.firstToken_.Observe(ToSeconds(aSinceArrival));
  ++byRank.tokenCount_;
}

void
WorkerMetrics::CountToken(Rank aRank, Duration aGap)
{
  ByRank& byRank = byRank_[static_cast<std::size_t>(aRank)];
  byRank.gap_.Observe(ToSeconds(aGap));
  ++byRank.tokenCount_;
}

void
WorkerMetrics::CountConnection(int aChange)
{
  connections_.Increment(aChange);
}

void
WorkerMetrics::CountStream(Rank aRank, int aChange)
{
  byRank_[static_cast<std::size_t>(aRank)].streams_->Increment(aChange);
}

void
WorkerMetrics::Flush()
{
  for (ByRank& byRank : byRank_) {
    byRank.firstToken_.Flush();
    byRank.gap_.Flush();
    if (byRank.tokenCount_ > 0) {
      byRank.tokens_->Increment(static_cast<double>(byRank.tokenCount_));
      byRank.tokenCount_ = 0;
    }
  }
}

} // namespace azurecross
