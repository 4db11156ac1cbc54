#pragma once

#include "../groups/GroupDirectory.h"
#include "../plane/ControlSettings.h"
#include "OrderLeaseClient.h"

#include <azurecross_http/azurecross_http.h>
#include <azurecross_orders/azurecross_orders.h>
#include <azurecross_store/azurecross_store.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <vector>

namespace azurecross {

/**
 * Gives the orders for the groups whose home is this entry: takes the lease of
 * each in the store, reads the engines' states and sends what
 * `OrderController` decides. Runs on the control thread.
 */
class OrderShell
{
public:
  OrderShell(boost::asio::io_context& aContext,
             const ControlSettings& aSettings,
             EtcdClient& aStore);

  /** Takes the tables, the groups and which of them have their home here. */
  void SetGroups(const Tables::Version& aTables,
                 const std::shared_ptr<const GroupMap>& aGroups,
                 const std::vector<GroupId>& aHomes);
  void Tick(Time aNow);
  /** Gives all leases back, on a planned stop. */
  void Release();

private:
  struct Group
  {
    Group(const OrderControllerSettings& aSettings, std::uint64_t aSeed)
      : controller_(aSettings, aSeed)
    {
    }

    OrderController controller_;
    std::string key_;
    OrderLeaseGrant grant_;
  };

  using GroupPointer = std::shared_ptr<Group>;

  void SetGroup(const GroupId& aId,
                const Pool& aPool,
                const GroupMap::Group& aContent);
  void Process(const GroupPointer& aGroup, OrderActions aActions);
  void Do(const GroupPointer& aGroup, const AcquireOrderLease& aAction);
  void Do(const GroupPointer& aGroup, const RenewOrderLease& aAction);
  void Do(const GroupPointer& aGroup, const ReleaseOrderLease& aAction);
  void Do(const GroupPointer& aGroup, const ReadEngineState& aAction);
  void Do(const GroupPointer& aGroup, const SendEngineOrder& aAction);

  boost::asio::awaitable<void> Acquire(GroupPointer aGroup,
                                       Duration aTimeToLive);
  boost::asio::awaitable<void> Renew(GroupPointer aGroup);
  boost::asio::awaitable<void> Revoke(LeaseId aLease);
  boost::asio::awaitable<void> Read(GroupPointer aGroup,
                                    ReadEngineState aAction);
  boost::asio::awaitable<void> Send(GroupPointer aGroup,
                                    SendEngineOrder aAction);
  std::optional<SocketAddress> FindAddress(const BackendServerId& aServer);

  boost::asio::io_context& context_;
  OrderLeaseClient<EtcdClient> leases_;
  HttpClient client_;
  std::shared_ptr<const GroupMap> map_;
  std::map<GroupId, GroupPointer> groups_;
};

} // namespace azurecross
