#pragma once

#include "../log/DecisionLog.h"
#include "../state/ServingState.h"
#include "LoadReport.h"
#include "ReportTopology.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/**
 * Exchanges load reports with the other daemons over UDP. A report holds the
 * sender's full use of each backend server, so the next report replaces a lost
 * one.
 *
 * @see ReportTopology
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

  /** Sends a report to the own zone and to the daemons of other zones that this
   * one reports to, in addition to the regular reports. */
  void SendReports();

  /** Sends the evidence about fingerprints to the same daemons. */
  void SendEvidence();

  /** Sends messages about permits to the daemons that they name. */
  void SendPermitMessages(const std::vector<PermitMessage>& aMessages);

  /** Schedules a report with the evidence, which acquits a fingerprint.
   * The report is skipped if another daemon sends the correction first. */
  void ScheduleCorrection();

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
  void ScheduleOwnZoneReport();
  void ScheduleOtherZonesReport();
  /** What a report contains in addition to the load. */
  enum class ReportContent
  {
    LoadOnly,
    /** The evidence about fingerprints. */
    Evidence,
    EvidenceAndFindings,
  };

  /** Sends the load of this daemon. */
  void SendOwnReport(const std::vector<SocketAddress>& aReceivers,
                     ReportContent aContent);
  /** Sends the load of the own zone to the summarizers of the other zones, and
   * the load of the other zones to the daemons of the own zone. */
  void SendSummaries(bool aIncludesFindings);
  void SendPlacementReport(const std::vector<SocketAddress>& aReceivers);
  void Send(LoadReport aReport, const std::vector<SocketAddress>& aReceivers);
  /** @returns a report without load. */
  LoadReport MakeReport() const;
  void SendDatagram(const std::string& aDatagram,
                    const SocketAddress& aReceiver);
  /** Handles a datagram of another daemon. */
  void HandleDatagram(std::string_view aDatagram);
  void ReceiveReports();
  void HandleReport(LoadReport aReport);
  void HandleStoreAccess(const LoadReport& aReport, Time aNow);
  void HandleLeavingServers(const LoadReport& aReport, Time aNow);
  void HandlePromptEvidence(const LoadReport& aReport, Time aNow);
  /** @returns the name under which the load of a report is kept, or nothing if
   * other reports cover that load. */
  std::optional<std::string> FindPeerName(const LoadReport& aReport) const;
  /** @returns the interval between reports; longer with many receivers, so that
   * the cost for each daemon stays bounded. */
  static Duration GetReportInterval(std::size_t aReceivers);

  /** The largest datagram of UDP over IPv4 fits. */
  static constexpr std::size_t kMaxReportBytes = 65536;

  ServingState& state_;
  DecisionLog& log_;
  boost::asio::ip::udp::socket socket_;
  /** Separate timers for the daemons of the own zone, whose engines this daemon
   * prefers, and for the daemons of the other zones. */
  boost::asio::steady_timer ownZoneTimer_;
  boost::asio::steady_timer otherZonesTimer_;
  boost::asio::steady_timer placementTimer_;
  bool isPlacementPending_ = false;
  /** The number of regular reports or summaries sent to other zones. */
  unsigned otherZoneReports_ = 0;
  ReportRateLimiter placementBudget_;
  StoreAccessHandler onStoreAccess_;
  Time storeAccessNotifiedAt_;
  /** When each peer last reported that the store answers it. */
  std::map<std::string, Time> storeAccessReportedAt_;
  AvailabilityZone zone_;
  std::string name_;
  ReportTopology topology_;
  std::set<SocketAddress> members_;
  std::array<char, kMaxReportBytes> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
  boost::asio::steady_timer correctionTimer_;
  bool isCorrectionPending_ = false;
  /** This daemon's part of the longest delay of a correction. */
  double correctionDelayShare_ = 0.0;
};

} // namespace azurecross
