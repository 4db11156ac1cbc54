#include <boost/test/unit_test.hpp>

#include <azurecross_control/azurecross_control.h>

namespace azurecross {

// Guards against counts that are added again at each update, or that go to the
// wrong metric.
BOOST_AUTO_TEST_CASE(PeerMetricsFollowTheCounters)
{
  Metrics metrics;
  PeerMetrics peers(metrics);
  PeerTransportCounters counters;
  counters.sentMessages_ = 1;
  counters.receivedMessages_ = 2;
  counters.sentBytes_ = 30;
  counters.receivedBytes_ = 40;
  counters.droppedMessages_ = 5;
  counters.malformedMessages_ = 6;
  counters.rejectedMessages_ = 7;
  counters.blockedMessages_ = 8;
  peers.Update(counters);
  counters.droppedMessages_ = 9;
  peers.Update(counters);
  peers.Update(counters);
  // What a stopped transport reads.
  peers.Update(PeerTransportCounters{});
  const std::string text = metrics.Serialize();
  for (const char* line :
       { "azurecross_peer_messages_sent_total 1\n",
         "azurecross_peer_messages_received_total 2\n",
         "azurecross_peer_sent_bytes_total 30\n",
         "azurecross_peer_received_bytes_total 40\n",
         "azurecross_peer_messages_lost_total{reason=\"dropped\"} 9\n",
         "azurecross_peer_messages_lost_total{reason=\"malformed\"} 6\n",
         "azurecross_peer_messages_lost_total{reason=\"rejected\"} 7\n",
         "azurecross_peer_messages_lost_total{reason=\"blocked\"} 8\n" }) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

} // namespace azurecross
