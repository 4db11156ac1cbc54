#include "PeerMetrics.h"

namespace azurecross {

namespace {

constexpr const char* kLostHelp =
  "Peer messages that did not arrive, by reason.";

prometheus::Counter&
GetLostCounter(Metrics& aMetrics, const std::string& aReason)
{
  return aMetrics.GetCounter("azurecross_peer_messages_lost_total",
                             kLostHelp,
                             { { "reason", aReason } });
}

void
Add(prometheus::Counter& aCounter, std::uint64_t aNow, std::uint64_t aLast)
{
  // A transport that has stopped reads 0.
  if (aNow > aLast) {
    aCounter.Increment(static_cast<double>(aNow - aLast));
  }
}

} // namespace

PeerMetrics::PeerMetrics(Metrics& aMetrics)
  : sentMessages_(
      aMetrics.GetCounter("azurecross_peer_messages_sent_total",
                          "Messages written to connections of peers."))
  , receivedMessages_(
      aMetrics.GetCounter("azurecross_peer_messages_received_total",
                          "Messages read from connections of peers."))
  , sentBytes_(aMetrics.GetCounter(
      "azurecross_peer_sent_bytes_total",
      "Bytes of messages sent to peers, without their frames."))
  , receivedBytes_(aMetrics.GetCounter(
      "azurecross_peer_received_bytes_total",
      "Bytes of messages received from peers, without their frames."))
  , dropped_(GetLostCounter(aMetrics, "dropped"))
  , malformed_(GetLostCounter(aMetrics, "malformed"))
  , rejected_(GetLostCounter(aMetrics, "rejected"))
  , blocked_(GetLostCounter(aMetrics, "blocked"))
{
}

void
PeerMetrics::Update(const PeerTransportCounters& aCounters)
{
  Add(sentMessages_, aCounters.sentMessages_, last_.sentMessages_);
  Add(receivedMessages_, aCounters.receivedMessages_, last_.receivedMessages_);
  Add(sentBytes_, aCounters.sentBytes_, last_.sentBytes_);
  Add(receivedBytes_, aCounters.receivedBytes_, last_.receivedBytes_);
  Add(dropped_, aCounters.droppedMessages_, last_.droppedMessages_);
  Add(malformed_, aCounters.malformedMessages_, last_.malformedMessages_);
  Add(rejected_, aCounters.rejectedMessages_, last_.rejectedMessages_);
  Add(blocked_, aCounters.blockedMessages_, last_.blockedMessages_);
  last_ = aCounters;
}

} // namespace azurecross
