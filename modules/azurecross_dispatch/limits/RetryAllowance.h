#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <deque>
#include <map>

namespace azurecross {

/**
 * One daemon's share of the sends beyond the first that a pool may get, over a
 * sliding window. The bound holds for all daemons together, so each spends a
 * ratio of its own requests and an equal part of the fixed slack. Half of both
 * stays unused: the number of daemons is known with a delay.
 */
class RetryAllowance
{
public:
  struct Bounds
  {
    /** Extra sends for each request in the window. */
    double ratio_ = 0.2;
    /** Extra sends in the window whatever the requests, for all daemons. */
    double slack_ = 50.0;
    Duration window_ = std::chrono::seconds(10);
  };

  explicit RetryAllowance(const Bounds& aBounds)
    : bounds_(aBounds)
  {
  }

  void SetBounds(const Bounds& aBounds) { bounds_ = aBounds; }
  /** Takes the number of live daemons, this one included. */
  void SetDaemonCount(std::size_t aCount);

  /** Counts a request for the pool. */
  void CountRequest(const PoolName& aPool, Time aNow);

  /** @returns whether another send is allowed; it is counted then. */
  bool TakeRetry(const PoolName& aPool, Time aNow);

private:
  struct Usage
  {
    std::deque<Time> requests_;
    std::deque<Time> retries_;
  };

  void Expire(Usage& aUsage, Time aNow) const;

  Bounds bounds_;
  std::size_t daemons_ = 1;
  std::map<PoolName, Usage> usage_;
};

} // namespace azurecross
