#pragma once

#include "Scenario.h"

#include <azurecross_cluster/azurecross_cluster.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace azurecross {

/**
 * The part of an entry's control thread that this module provides, on an
 * `io_context` as in the daemon. The arbiter, the store client and the tables
 * are not part of it.
 */
class MeasuredEntry
{
public:
  explicit MeasuredEntry(const Scenario& aScenario);

  SocketAddress GetAddress() const { return transport_->GetListenAddress(); }

  /** Runs the warm-up and the measured time. */
  Measurement Run(const SocketAddress& aSeed);

private:
  struct Reading
  {
    Time time_;
    Duration processor_{};
    PeerTransportCounters counters_;
  };

  void Handle(const wire::PeerMessage& aMessage);
  void RunTimers();
  void RunSecond(Time aNow);
  void AskForGrants(Time aNow);
  void ReportProgress(Time aNow);
  void Submit();
  void SendToPeer(wire::PeerMessage aMessage);
  Reading TakeReading() const;

  const Scenario scenario_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<ClusterView> view_;
  ClusterActions actions_;
  Random random_{ 17 };
  std::uint64_t asked_ = 0;
  std::uint64_t granted_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t requestedRevision_ = 1;
  Time start_;
  Time nextTick_;
  Time nextSecond_;
  Time nextProgress_;
  Time end_;
};

} // namespace azurecross
