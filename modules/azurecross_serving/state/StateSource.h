#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/** The operator's tables at a revision of the store. */
struct TablesSnapshot
{
  /** Empty if the operator has not written any tables yet, or if the tables
   * are malformed. */
  std::optional<ServingTables::Content> content_;
  /** Why the tables of this version can't be used; empty if they can. */
  std::string defect_;
  std::uint64_t revision_ = 0;
  /** The version of the tables that the source holds, also if `content_` is
   * empty because they are known; 0 if there are none. */
  std::uint64_t version_ = 0;
  /** The tables in the store's format, to be forwarded to other daemons. */
  std::string text_;
  /** The evacuated zones; empty if the source doesn't tell them. */
  std::optional<EvacuatedZones> evacuatedZones_;
  /** Age of the snapshot when the request for the snapshot was sent; not zero
   * if another daemon served the snapshot. */
  Duration age_{};

  /** @returns the version of the tables that the source holds. */
  std::uint64_t GetVersion() const
  {
    return content_ ? content_->version_ : version_;
  }
};

/** The new state of one backend server's registration. */
struct ServerEvent
{
  BackendServerId id_;
  /** Empty if the registration was removed or can't be parsed. */
  std::optional<ServerRecord> record_;
  /** The registration in the store's format, to be forwarded to other
   * daemons. */
  std::string text_;
};

/** All registrations, or only the changed ones, at a revision of the store. */
struct ServersUpdate
{
  std::vector<ServerEvent> servers_;
  std::uint64_t revision_ = 0;
  /** Whether the store has just been restored from a backup, so that
   * registrations of live servers may be missing. */
  bool isAfterRestore_ = false;
};

/** A live entry daemon, as registered in the store. */
struct MemberRecord
{
  /** The address at which the daemon receives load reports. */
  SocketAddress peerAddress_;
  AvailabilityZone zone_;
  /** Capacity of the VM's link; 0 if unknown. Daemons with faster links serve
   * the others. */
  std::uint32_t linkMbps_ = 0;
};

/** @returns whether a source has answered: the loss of the change history and
 * tables that can't be read are answers too. */
template<typename Value>
bool
IsSourceAnswer(const AsyncResult<Value>& aResult)
{
  return aResult.has_value() ||
         aResult.error().code_ == ErrorCode::GenerationLost ||
         aResult.error().code_ == ErrorCode::InvalidTables;
}

/**
 * The store of the durable state: the operator's tables, the registrations of
 * backend servers and the records of live daemons.
 *
 * - `ReadTables` and `ListServers` return the newest state. The tables come
 *   with the evacuated zones.
 * - `WatchTables` and `WatchServers` return after a change that is newer than
 *   the revision, or without changes after a timeout. `GenerationLost` means
 *   that the changes since the revision are no longer available and that the
 *   caller must read the full state.
 * - `Register` writes this daemon's record under a lease and `KeepAlive` renews
 *   the lease; `GenerationLost` means that the lease has expired.
 * - `ListMembers` may return a list that is some seconds old if the argument is
 *   true.
 * - `RecordCustomers` records for good that the tables have listed customers;
 *   false means that other daemons do that. `WereCustomersRecorded` returns
 *   whether it has been recorded.
 * - `ParseTables` and `ParseServer` parse text that was forwarded by another
 *   daemon.
 */
template<typename Source>
concept StateSource = requires(Source& aSource,
                               std::uint64_t aRevision,
                               const MemberRecord& aMember,
                               const std::string& aText)
{
  {
    aSource.ReadTables()
    } -> std::same_as<boost::asio::awaitable<AsyncResult<TablesSnapshot>>>;
  {
    aSource.WatchTables(aRevision)
    } -> std::same_as<boost::asio::awaitable<AsyncResult<TablesSnapshot>>>;
  {
    aSource.ListServers()
    } -> std::same_as<boost::asio::awaitable<AsyncResult<ServersUpdate>>>;
  {
    aSource.WatchServers(aRevision)
    } -> std::same_as<boost::asio::awaitable<AsyncResult<ServersUpdate>>>;
  {
    aSource.Register(aMember)
    } -> std::same_as<boost::asio::awaitable<AsyncResult<bool>>>;
  {
    aSource.KeepAlive()
    } -> std::same_as<boost::asio::awaitable<AsyncResult<bool>>>;
  {
    aSource.RecordCustomers()
    } -> std::same_as<boost::asio::awaitable<AsyncResult<bool>>>;
  {
    aSource.WereCustomersRecorded()
    } -> std::same_as<boost::asio::awaitable<AsyncResult<bool>>>;
  {
    aSource.ListMembers(true)
    } -> std::same_as<
      boost::asio::awaitable<AsyncResult<std::vector<MemberRecord>>>>;
  {
    aSource.ParseTables(aText)
    } -> std::same_as<AsyncResult<ServingTables::Content>>;
  {
    aSource.ParseServer(aText, aText)
    } -> std::same_as<std::optional<ServerRecord>>;
};

} // namespace azurecross
