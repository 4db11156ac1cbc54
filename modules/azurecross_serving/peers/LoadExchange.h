#pragma once

#include "../log/DecisionLog.h"
#include "../state/ServingState.h"
#include "LoadReport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace azurecross {

/**
 * Exchanges load reports with the other daemons over UDP. A report holds the
 * sender's full use of each backend server, so the next report replaces a lost
 * one.
 */
class LoadExchange
{
public:
  /** Binds the address.
   * @throws boost::system::system_error if the address can't be bound. */
  LoadExchange(boost::asio::io_context& aContext,
               const SocketAddress& aAddress,
               AvailabilityZone aZone,
               ServingState& aState,
               DecisionLog& aLog);

  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  void Start();
  /** Sets the live daemons, including this one. */
  void SetMembers(const std::vector<MemberRecord>& aMembers);

  /** Sends a report to all daemons now, in addition to the regular reports. */
  void SendReports();

  /** Schedules a report about a placement after a short delay. The report is
   * skipped if the budget for such reports is exhausted. */
  void SchedulePlacementReport();

  /** Receives the address of a peer whose store access differs from that of
   * this daemon, and whether the store answers the peer. */
  using StoreAccessHandler = std::function<void(const SocketAddress&, bool)>;
  void SetStoreAccessHandler(StoreAccessHandler aHandler)
  {
    onStoreAccess_ = std::move(aHandler);
  }

  /** @returns whether a peer recently reported that the store answers it. */
  bool HasPeerWithStoreAccess(Time aNow) const;

  /** @returns this daemon's sender name in the reports. */
  const std::string& GetName() const { return name_; }
  SocketAddress GetAddress() const;

private:
  void ScheduleReport(bool aIsOwnZone);
  /** Sends a report to all members of the own zone or of all other zones.
   * @param aIncludesFindings whether the report includes the findings. */
  void SendReport(bool aIsOwnZone, bool aIncludesFindings);
  void SendPlacementReport(bool aIsOwnZone);
  void ReceiveReports();
  void HandleReport(LoadReport aReport);
  /** @returns the interval between reports; longer with many daemons, so that
   * the cost for each daemon stays bounded. */
  Duration GetReportInterval(bool aIsOwnZone) const;
  std::size_t CountMembers(bool aIsOwnZone) const;

  /** Large enough for the report of a daemon that uses 200 servers. */
  static constexpr std::size_t kMaxReportBytes = 16384;

  ServingState& state_;
  DecisionLog& log_;
  boost::asio::ip::udp::socket socket_;
  /** Separate timers for the daemons of the own zone, whose engines this daemon
   * prefers, and for the daemons of the other zones. */
  boost::asio::steady_timer ownZoneTimer_;
  boost::asio::steady_timer otherZonesTimer_;
  boost::asio::steady_timer placementTimer_;
  bool isPlacementPending_ = false;
  /** The number of regular reports sent to other zones. */
  unsigned otherZoneReports_ = 0;
  ReportBudget placementBudget_;
  StoreAccessHandler onStoreAccess_;
  Time storeAccessNotifiedAt_;
  /** When each peer last reported that the store answers it. */
  std::map<std::string, Time> storeAccessReportedAt_;
  AvailabilityZone zone_;
  std::string name_;
  std::map<SocketAddress, AvailabilityZone> members_;
  std::array<char, kMaxReportBytes> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

} // namespace azurecross
