#pragma once

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_core/azurecross_core.h>

namespace azurecross {

/** Shows the counters of the peer transport as metrics. */
class PeerMetrics
{
public:
  explicit PeerMetrics(Metrics& aMetrics);

  /** Takes the counters; they count from the start of the transport. */
  void Update(const PeerTransportCounters& aCounters);

private:
  PeerTransportCounters last_;
  prometheus::Counter& sentMessages_;
  prometheus::Counter& receivedMessages_;
  prometheus::Counter& sentBytes_;
  prometheus::Counter& receivedBytes_;
  prometheus::Counter& dropped_;
  prometheus::Counter& malformed_;
  prometheus::Counter& rejected_;
  prometheus::Counter& blocked_;
};

} // namespace azurecross
