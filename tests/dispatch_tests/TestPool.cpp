#include "TestPool.h"

namespace azurecross {

std::string
MakeZoneName(int aZone)
{
  return "z" + std::to_string(aZone);
}

ServerRecord
MakeEngine(const std::string& aId, const std::string& aZone)
{
  ServerRecord record;
  record.id_ = BackendServerId(aId);
  record.pool_ = PoolName("engines");
  record.address_ = { "10.0.0.1", 80 };
  record.zone_ = AvailabilityZone(aZone);
  record.slots_ = 8;
  return record;
}

ServerRecord
MakeService(const std::string& aId, const std::string& aZone)
{
  ServerRecord record = MakeEngine(aId, aZone);
  record.pool_ = PoolName("desk");
  record.slots_ = 2;
  return record;
}

EngineTraits
MakeTraits()
{
  EngineTraits traits;
  traits.slots_ = 8;
  traits.memoryTokens_ = 20000;
  traits.bytesPerToken_ = 35000;
  traits.linkBitsPerSecond_ = 5e9;
  traits.canMove_ = true;
  traits.tokensPerEvent_ = 4;
  return traits;
}

void
AddEngine(ServerLoadTracker& aTracker,
          const std::string& aId,
          const std::string& aZone)
{
  aTracker.Update(MakeEngine(aId, aZone), MakeTraits(), kStart);
}

PlacementRequest
MakeGeneration(std::uint32_t aPromptTokens)
{
  PlacementRequest request;
  request.pool_ = PoolName("engines");
  request.route_ = RouteName("plan");
  request.customer_ = CustomerId("c");
  request.kind_ = CallKind::Generation;
  request.demand_.promptTokens_ = aPromptTokens;
  request.demand_.outputLimit_ = 1000;
  request.timeToTarget_ = std::chrono::seconds(4);
  return request;
}

PlacementRequest
MakeCall()
{
  PlacementRequest request;
  request.pool_ = PoolName("desk");
  request.route_ = RouteName("book");
  request.customer_ = CustomerId("c");
  request.timeToTarget_ = std::chrono::milliseconds(300);
  return request;
}

RunId
StartGeneration(ServerLoadTracker& aTracker,
                const std::string& aServer,
                std::uint32_t aPromptTokens,
                Time aNow)
{
  const PlacementRequest request = MakeGeneration(aPromptTokens);
  const RunId run = aTracker.Start({ BackendServerId(aServer),
                                     request.route_,
                                     request.customer_,
                                     request.kind_,
                                     request.demand_,
                                     0,
                                     aNow });
  aTracker.ObserveEvent(run, 4, aNow + std::chrono::milliseconds(100));
  return run;
}

} // namespace azurecross
