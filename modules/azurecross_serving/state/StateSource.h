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

/** The tables as the store holds them, at a revision of the store. */
struct TablesSnapshot
{
  /** Nothing while the operator has written none yet. */
  std::optional<ServingTables::Content> content_;
  std::uint64_t revision_ = 0;
  /** The tables as the store holds them, for other daemons. */
  std::string text_;
  /** How old the reading was when it was asked for: it may have come through
   * another daemon. */
  Duration age_{};
};

/** A change of one registration. */
struct ServerEvent
{
  BackendServerId id_;
  /** Nothing when the registration is gone or can't be read. */
  std::optional<ServerRecord> record_;
  /** The registration as the store holds it, for other daemons. */
  std::string text_;
};

/** All registrations, or those that changed, at a revision of the store. */
struct ServersUpdate
{
  std::vector<ServerEvent> servers_;
  std::uint64_t revision_ = 0;
};

/** Another daemon of the same system. */
struct MemberRecord
{
  /** Where it takes reports from its peers. */
  SocketAddress peerAddress_;
  AvailabilityZone zone_;
};

/**
 * The store that holds what must last: the operator's tables, the
 * registrations of backend servers, and the list of live daemons.
 *
 * - `ReadTables` and `ListServers` return the newest state there is.
 * - `WatchTables` and `WatchServers` return once something has changed after
 *   the revision, or without changes after a while. `GenerationLost` says that
 *   the changes are no longer known, so that the whole state must be read.
 * - `Register` writes this daemon's own record under a lease, which `KeepAlive`
 *   renews; `GenerationLost` says that the lease has ended.
 * - `ListMembers` may be some seconds old if the caller allows it.
 * - `ParseTables` and `ParseServer` read what another daemon passes on.
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
