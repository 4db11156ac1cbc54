#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <deque>
#include <map>

namespace azurecross {

/**
 * Limits the retries that one daemon sends to a pool within a sliding window.
 * The bound applies to all daemons together, so each daemon may use a ratio of
 * its own requests and an equal part of the fixed slack. Half of both stays
 * unused because the number of daemons is known only with a delay.
 */
class RetryAllowance
{
public:
  struct Bounds
  {
    /** Retries per request in the window. */
    double ratio_ = 0.2;
    /** Retries in the window regardless of the number of requests, for all
     * daemons together. */
    double slack_ = 50.0;
    Duration window_ = std::chrono::seconds(10);
  };

  explicit RetryAllowance(const Bounds& aBounds)
    : bounds_(aBounds)
  {
  }

  void SetBounds(const Bounds& aBounds) { bounds_ = aBounds; }
  /** Sets the number of live daemons, this one included. */
  void SetDaemonCount(std::size_t aCount);

  /** Counts a request for the pool. */
  void CountRequest(const PoolName& aPool, Time aNow);

  /** Counts a retry if one is allowed.
   * @returns whether the retry is allowed. */
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
