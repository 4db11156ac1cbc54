#pragma once

#include "../forward/AsyncCondition.h"
#include "../state/StateSource.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/** The response to `GET /feed/tables`: the tables for another daemon. */
struct TablesFeedResponse
{
  std::uint64_t version_ = 0;
  /** Time between the read that confirmed the tables as the newest and the
   * response. */
  Duration age_{};
  /** Empty if the requesting daemon has this version. */
  std::string text_;
  /** Empty if the store has no such list or the sender doesn't know it. */
  std::optional<EvacuatedZones> evacuatedZones_ = std::nullopt;
};

/** The response to `GET /feed/servers`: registrations for another daemon. */
struct ServersFeedResponse
{
  /** A random number that identifies the run of the serving daemon. Change
   * numbers are only comparable within one epoch. */
  std::uint64_t epoch_ = 0;
  /** The number of the latest change. */
  std::uint64_t lastChange_ = 0;
  /** Whether the list is complete; otherwise it holds only the changes. */
  bool isComplete_ = false;
  /** Whether the store has just been restored from a backup, so that
   * registrations of live servers may be missing. */
  bool isAfterRestore_ = false;
  /** Pairs of id and text; the text is empty for a removed registration. */
  std::vector<std::pair<std::string, std::string>> servers_;
};

/** @returns a number that identifies the evacuated zones; 0 for none. */
std::uint64_t
ComputeZonesDigest(const std::set<AvailabilityZone>& aZones);

/** @returns the response as JSON, with the tables compressed. */
std::string
FormatTablesFeedResponse(const TablesFeedResponse& aTables);
/** @returns the response, or nothing if the text is not a valid one. */
std::optional<TablesFeedResponse>
ParseTablesFeedResponse(std::string_view aText);

/** @returns the response as JSON, with the registrations compressed if the
 * requesting daemon accepts that. */
std::string
FormatServersFeedResponse(const ServersFeedResponse& aServers,
                          bool aIsCompressed);
/** @returns the response, or nothing if the text is not a valid one. */
std::optional<ServersFeedResponse>
ParseServersFeedResponse(std::string_view aText);

/** @returns the live daemons as JSON. */
std::string
FormatMembersFeedResponse(const std::vector<MemberRecord>& aMembers);
/** @returns the daemons, or nothing if the text is not a valid response. */
std::optional<std::vector<MemberRecord>>
ParseMembersFeedResponse(std::string_view aText);

/** @returns whether the body of a `/feed/ready` response says that the daemon
 * has no state yet, but reads it at this moment. */
bool
IsStartingFeedResponse(std::string_view aText);

/**
 * Serves the state that this daemon has read to other daemons, so that the load
 * on the store doesn't grow with the number of daemons. Handles
 * `GET /feed/tables` and `GET /feed/servers`, which are long polls that wait
 * for changes like the store's watches, `GET /feed/members`, and `GET
 * /feed/ready`, which waits until tables and servers are served.
 */
class StateFeed
{
public:
  /** Binds the address.
   * @param aEpoch a random number that identifies this run of the daemon.
   * @throws boost::system::system_error if the address can't be bound. */
  StateFeed(boost::asio::io_context& aContext,
            const SocketAddress& aAddress,
            std::uint64_t aEpoch);

  StateFeed(const StateFeed&) = delete;
  StateFeed& operator=(const StateFeed&) = delete;

  void Start() { server_.Start(); }
  SocketAddress GetAddress() const { return server_.GetAddress(); }

  /** Sets the tables to serve if the version is newer than the served one. */
  void SetTables(std::uint64_t aVersion, const std::string& aText);
  /** Sets the evacuated zones to serve, unless newer ones are served. */
  void SetEvacuatedZones(const EvacuatedZones& aZones);
  /** Records that the tables were confirmed as the newest, and resumes the feed
   * after `Suspend`.
   * @param aSentAt boot time at which the read of the store was sent that
   * confirmed them, here or at another daemon. */
  void ConfirmTables(Time aSentAt);
  /** Rejects all requests, including the waiting ones, until the next
   * `ConfirmTables`. Used while the store doesn't answer this daemon: peers may
   * still reach the store. */
  void Suspend();
  /** Updates the registrations to serve.
   * @param aIsComplete whether the list is complete, so that all other servers
   * count as removed. */
  void UpdateServers(const ServersUpdate& aServers, bool aIsComplete);

  /** Sets the live daemons to serve. */
  void SetMembers(std::vector<MemberRecord> aMembers);

  /** @returns the changes after a change number, or the complete list if the
   * epoch is a different one.
   * @param aEpoch the epoch of the last response that the daemon received.
   * @param aKnown the latest change in that response. */
  ServersFeedResponse MakeServersResponse(std::uint64_t aEpoch,
                                          std::uint64_t aKnown) const;

private:
  struct ServerEntry
  {
    std::string text_;
    std::uint64_t changeNumber_ = 0;
  };

  boost::asio::awaitable<void> HandleRequest(HttpExchange& aExchange);
  boost::asio::awaitable<HttpResponse> HandleTablesRequest(
    HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> HandleServersRequest(
    HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> HandleReadyRequest(HttpRequest aRequest);
  HttpResponse HandleMembersRequest() const;
  bool IsReady() const;
  bool IsAfterRestore() const
  {
    return ReadMonotonicTime() < afterRestoreUntil_;
  }
  /** @returns the response with the complete list, compressed. */
  const std::string& GetCompleteServersText();

  std::uint64_t epoch_;
  AsyncCondition changed_;
  std::uint64_t version_ = 0;
  std::string tables_;
  /** `tables_` in the encoding of the feed; empty until a daemon needs it. */
  std::string encodedTables_;
  std::optional<EvacuatedZones> evacuatedZones_;
  std::uint64_t zonesDigest_ = 0;
  std::vector<MemberRecord> members_;
  /** Boot time of the last confirmation; empty if the store doesn't answer. */
  std::optional<Time> confirmedAt_;
  /** Whether the store has failed to answer since the last confirmation. */
  bool isSuspended_ = false;
  std::map<std::string, ServerEntry> servers_;
  bool hasServerList_ = false;
  std::uint64_t changeNumber_ = 0;
  /** The compressed response with the complete list as of a change. All
   * subscribers of a relay ask for it at once after a common start. */
  std::string completeServersText_;
  std::uint64_t completeServersChange_ = 0;
  /** Until this time responses tell that the store was restored from a backup.
   */
  Time afterRestoreUntil_;
  bool isCompleteTextAfterRestore_ = false;
  HttpServer server_;
};

} // namespace azurecross
