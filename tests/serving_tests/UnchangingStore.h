#pragma once

#include "ServingFixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** A fake store whose state doesn't change. */
struct UnchangingStore
{
  boost::asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    TablesSnapshot result;
    result.content_ = tables_;
    result.revision_ = 5;
    co_return result;
  }
  boost::asio::awaitable<AsyncResult<TablesSnapshot>> WatchTables(std::uint64_t)
  {
    co_await WaitForever();
    co_return TablesSnapshot();
  }
  boost::asio::awaitable<AsyncResult<ServersUpdate>> ListServers()
  {
    ServersUpdate result;
    result.revision_ = 5;
    result.servers_ = servers_;
    co_return result;
  }
  boost::asio::awaitable<AsyncResult<ServersUpdate>> WatchServers(std::uint64_t)
  {
    co_await WaitForever();
    co_return ServersUpdate();
  }
  boost::asio::awaitable<AsyncResult<bool>> Register(MemberRecord aMember)
  {
    members_ = { aMember };
    co_return true;
  }
  boost::asio::awaitable<AsyncResult<bool>> KeepAlive() { co_return true; }
  boost::asio::awaitable<AsyncResult<bool>> RecordCustomers()
  {
    co_return true;
  }
  boost::asio::awaitable<AsyncResult<bool>> WereCustomersRecorded()
  {
    co_return false;
  }
  boost::asio::awaitable<AsyncResult<std::vector<MemberRecord>>> ListMembers(
    bool)
  {
    co_return members_;
  }
  AsyncResult<ServingTables::Content> ParseTables(const std::string&) const
  {
    return tables_;
  }
  std::optional<ServerRecord> ParseServer(const std::string&,
                                          const std::string&) const
  {
    return std::nullopt;
  }

  /** Adds a backend server to a pool of the tables. */
  void AddServer(const std::string& aId,
                 const std::string& aPool,
                 const FakeBackendServer& aServer)
  {
    ServerRecord record;
    record.id_ = BackendServerId(aId);
    record.pool_ = PoolName(aPool);
    record.address_ = aServer.GetAddress();
    record.zone_ = AvailabilityZone("a");
    record.slots_ = 4;
    servers_.push_back({ record.id_, record, "" });
  }

  static boost::asio::awaitable<void> WaitForever()
  {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    std::chrono::hours(1));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  ServingTables::Content tables_ = ServingFixture::MakeTables();
  std::vector<ServerEvent> servers_;
  std::vector<MemberRecord> members_;
};

/** @returns the settings of a daemon at ports that the system selects. */
inline ServingSettings
MakeDaemonSettings(Duration aGracePeriod)
{
  ServingSettings settings;
  settings.entryId_ = "entry";
  settings.zone_ = AvailabilityZone("a");
  for (SocketAddress* address : { &settings.listen_,
                                  &settings.readinessListen_,
                                  &settings.metricsListen_,
                                  &settings.peerListen_ }) {
    *address = { "127.0.0.1", 0 };
  }
  settings.shutdownGracePeriod_ = aGracePeriod;
  return settings;
}

} // namespace azurecross
