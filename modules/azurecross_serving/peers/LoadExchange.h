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
 * Tells the other daemons over UDP what this one uses of each backend server,
 * and takes the same from them. A lost report is made up for by the next one.
 */
class LoadExchange
{
public:
  /** Binds the address; throws `boost::system::system_error` if it can't. */
  LoadExchange(boost::asio::io_context& aContext,
               const SocketAddress& aAddress,
               AvailabilityZone aZone,
               ServingState& aState,
               DecisionLog& aLog);

  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  void Start();
  /** Takes the daemons that exist, this one included. */
  void SetMembers(const std::vector<MemberRecord>& aMembers);

  /** Sends a report to all now, beside the regular ones. */
  void SendReports();

  /** Sends a report soon after a placement, as far as the budget goes. */
  void SchedulePlacementReport();

  /** Is told of a daemon that knows otherwise of the store than this one, and
   * whether that one hears from it. */
  using StoreAccessHandler = std::function<void(const SocketAddress&, bool)>;
  void SetStoreAccessHandler(StoreAccessHandler aHandler)
  {
    onStorePeer_ = std::move(aHandler);
  }

  /** @returns whether a daemon heard of lately hears from the store. */
  bool HasPeerWithStoreAccess(Time aNow) const;

  /** @returns this daemon's name in the reports. */
  const std::string& GetName() const { return name_; }
  SocketAddress GetAddress() const;

private:
  void ScheduleReport(bool aIsOwnZone);
  /** @param aTellsFindings whether what was learned goes along. */
  void SendTo(bool aIsOwnZone, bool aTellsFindings);
  void SendPlacement(bool aIsOwnZone);
  void Receive();
  void TakeReport(LoadReport aReport);
  /** @returns the pause between reports: longer among many daemons, so that
   * the cost for one daemon stays bounded. */
  Duration FindInterval(bool aIsOwnZone) const;
  std::size_t CountMembers(bool aIsOwnZone) const;

  /** A report of a daemon that uses 200 servers fits. */
  static constexpr std::size_t kLargestReport = 16384;

  ServingState& state_;
  DecisionLog& log_;
  boost::asio::ip::udp::socket socket_;
  /** For the daemons of the own zone, whose engines this one prefers, and for
   * the others. */
  boost::asio::steady_timer ownZoneTimer_;
  boost::asio::steady_timer otherZonesTimer_;
  boost::asio::steady_timer placementTimer_;
  bool isPlacementPending_ = false;
  /** Regular reports sent to other zones. */
  unsigned reports_ = 0;
  ReportBudget budget_;
  StoreAccessHandler onStorePeer_;
  Time storePeerToldAt_;
  /** When each daemon last said that it hears from the store. */
  std::map<std::string, Time> storePeers_;
  AvailabilityZone zone_;
  std::string name_;
  std::map<SocketAddress, AvailabilityZone> members_;
  std::array<char, kLargestReport> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

} // namespace azurecross
