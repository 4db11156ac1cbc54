#pragma once

#include "Scenario.h"

#include <azurecross_cluster/azurecross_cluster.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace azurecross {

/**
 * Plays the peers of the measured entry in one process. Each peer has its own
 * `ClusterView` and transport; messages between peers stay in memory, those to
 * the entry go over TCP.
 */
class Feeder
{
public:
  Feeder(const Scenario& aScenario, SocketAddress aEntryAddress);

  /** @returns the address of the first peer, which the entry uses as seed. */
  SocketAddress GetSeed() const;

  /** Plays until the process is ended. */
  void Run();

private:
  struct Peer
  {
    EntryId id_;
    SocketAddress address_;
    std::unique_ptr<PeerTransport> transport_;
    std::unique_ptr<ClusterView> view_;
  };

  struct Received
  {
    std::size_t peer_ = 0;
    wire::PeerMessage message_;
  };

  void AddPeer(int aIndex);
  void JoinPeers();
  void Step(Time aNow);
  void Submit(std::size_t aPeer, ClusterActions& aActions);
  void DeliverLocal(Time aNow);
  void HandleRemote(Time aNow);
  void Answer(std::size_t aPeer, const wire::PeerMessage& aMessage);
  void PublishSummaries(Time aNow);
  void FeedZones(Time aNow);
  void FeedGrants(Time aNow);
  void FeedTables(Time aNow);
  void SendToEntry(std::size_t aPeer, wire::PeerMessage aMessage);

  const Scenario scenario_;
  const SocketAddress entryAddress_;
  std::mutex mutex_;
  std::vector<Received> received_;
  std::vector<Peer> peers_;
  std::map<SocketAddress, std::size_t> byAddress_;
  std::deque<Received> local_;
  std::uint64_t grants_ = 0;
  std::uint64_t released_ = 0;
  std::uint64_t round_ = 0;
  std::uint64_t revision_ = 1;
  Time start_;
  Time nextSecond_;
  Time nextZones_;
  Time nextProgress_;
};

} // namespace azurecross
