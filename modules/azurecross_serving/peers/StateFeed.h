#pragma once

#include "../forward/Signal.h"
#include "../state/StateSource.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** Tables as one daemon passes them on to another. */
struct TablesFeedResponse
{
  std::uint64_t version_ = 0;
  /** Age of the proof that they are the newest, when the answer was made. */
  Duration age_{};
  /** Empty if the asking daemon has this version. */
  std::string text_;
};

/** Registrations as one daemon passes them on to another. */
struct ServersFeedResponse
{
  /** Drawn at the start of the feeding daemon; numbers of another epoch mean
   * nothing. */
  std::uint64_t epoch_ = 0;
  /** Number of the last change. */
  std::uint64_t last_ = 0;
  /** Whether the list is complete rather than what has changed. */
  bool isWhole_ = false;
  /** Id and text; an empty text for a registration that is gone. */
  std::vector<std::pair<std::string, std::string>> servers_;
};

std::string
FormatTablesFeedResponse(const TablesFeedResponse& aTables);
std::optional<TablesFeedResponse>
ParseTablesFeedResponse(std::string_view aText);

std::string
FormatServersFeedResponse(const ServersFeedResponse& aServers);
std::optional<ServersFeedResponse>
ParseServersFeedResponse(std::string_view aText);

/**
 * Passes what this daemon reads from the store on to other daemons, so that
 * the calls to the store do not grow with their number. Answers
 * `GET /feed/tables` and `GET /feed/servers`, which wait for changes like the
 * store's watches.
 */
class StateFeed
{
public:
  /** Binds the address; throws `boost::system::system_error` if it can't. */
  StateFeed(boost::asio::io_context& aContext,
            const SocketAddress& aAddress,
            std::uint64_t aEpoch);

  StateFeed(const StateFeed&) = delete;
  StateFeed& operator=(const StateFeed&) = delete;

  void Start() { server_.Start(); }
  SocketAddress GetAddress() const { return server_.GetAddress(); }

  void SetTables(std::uint64_t aVersion, const std::string& aText);
  /** @param aSentAt boot time at which the proving read was sent. */
  void ConfirmTables(Time aSentAt);
  /** Refuses all calls, waiting ones too, until the next proof: the store does
   * not answer this daemon, though it may answer others. */
  void Suspend();
  void UpdateServers(const std::vector<ServerEvent>& aServers, bool aIsWhole);

  /** @returns the tables for a daemon that has a version. */
  TablesFeedResponse MakeTablesResponse(std::uint64_t aKnown,
                                        Time aBootNow) const;
  /** @returns what has changed since a number of an epoch. */
  ServersFeedResponse MakeServersResponse(std::uint64_t aEpoch,
                                          std::uint64_t aKnown) const;

private:
  struct Entry
  {
    std::string text_;
    std::uint64_t change_ = 0;
  };

  boost::asio::awaitable<void> Serve(HttpExchange& aExchange);
  boost::asio::awaitable<HttpResponse> AnswerTables(HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> AnswerServers(HttpRequest aRequest);

  std::uint64_t epoch_;
  Signal changed_;
  std::uint64_t version_ = 0;
  std::string tables_;
  /** Nothing while the store does not answer. */
  std::optional<Time> provedAt_;
  std::map<std::string, Entry> servers_;
  bool hasServers_ = false;
  std::uint64_t change_ = 0;
  HttpServer server_;
};

} // namespace azurecross
