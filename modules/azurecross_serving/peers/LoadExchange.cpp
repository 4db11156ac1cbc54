#include "LoadExchange.h"

#include <algorithm>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Regular reports also cover finished runs; placements are reported
 * immediately. */
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
/** Batches placements in quick succession into one report. */
constexpr Duration kPlacementBatchDelay = std::chrono::milliseconds(5);
/** Time for which a peer's report that the store answers it is valid; the peer
 * relays the state of the store during that time. */
constexpr Duration kStoreAccessLifetime = std::chrono::milliseconds(1500);
/** Shortest interval between notifications about the store. The reports of many
 * daemons can contradict this daemon's view of the store at the same time. */
constexpr Duration kStoreAccessNotificationInterval =
  std::chrono::milliseconds(200);
/** Findings are sent to other zones with every third report only: traffic
 * between zones is expensive, and findings stay valid for seconds. */
constexpr unsigned kReportsPerFindings = 3;
/** Shorter than the time after which a report expires. */
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(1200);
/** Rate of regular datagrams that one daemon sends to its own zone, and also
 * the rate to all other zones. */
constexpr double kRegularDatagramsPerSecond = 30.0;
/** Sustained rate and burst size of the datagrams after placements. At 300
 * bytes for each report the rate amounts to 18 KB/s, within the 25 KB/s that a
 * daemon may use for control traffic. */
constexpr double kPlacementDatagramsPerSecond = 60.0;
constexpr double kMaxPlacementBurst = 240.0;

} // namespace

LoadExchange::LoadExchange(asio::io_context& aContext,
                           const SocketAddress& aAddress,
                           AvailabilityZone aZone,
                           ServingState& aState,
                           DecisionLog& aLog)
  : state_(aState)
  , log_(aLog)
  , socket_(aContext,
            { asio::ip::make_address(aAddress.host_), aAddress.port_ })
  , ownZoneTimer_(aContext)
  , otherZonesTimer_(aContext)
  , placementTimer_(aContext)
  , placementBudget_(kPlacementDatagramsPerSecond, kMaxPlacementBurst)
  , zone_(std::move(aZone))
  , name_(GetAddress().Format())
{
  socket_.non_blocking(true);
}

SocketAddress
LoadExchange::GetAddress() const
{
  const auto endpoint = socket_.local_endpoint();
  return { endpoint.address().to_string(), endpoint.port() };
}

void
LoadExchange::Start()
{
  ReceiveReports();
  ScheduleReport(true);
  ScheduleReport(false);
}

void
LoadExchange::SetMembers(const std::vector<MemberRecord>& aMembers)
{
  const SocketAddress self = GetAddress();
  std::map<SocketAddress, AvailabilityZone> members;
  for (const MemberRecord& member : aMembers) {
    if (member.peerAddress_ != self) {
      members.emplace(member.peerAddress_, member.zone_);
    }
  }
  for (const auto& [address, zone] : members) {
    if (!members_.contains(address)) {
      log_.Write(Decision::MemberChanged,
                 { { "member", address.Format() }, { "change", "joined" } });
    }
  }
  for (const auto& [address, zone] : members_) {
    if (!members.contains(address)) {
      log_.Write(Decision::MemberChanged,
                 { { "member", address.Format() }, { "change", "left" } });
    }
  }
  members_ = std::move(members);
}

std::size_t
LoadExchange::CountMembers(bool aIsOwnZone) const
{
  return static_cast<std::size_t>(
    std::count_if(members_.begin(), members_.end(), [&](const auto& aMember) {
      return (aMember.second == zone_) == aIsOwnZone;
    }));
}

Duration
LoadExchange::GetReportInterval(bool aIsOwnZone) const
{
  const double seconds =
    static_cast<double>(CountMembers(aIsOwnZone)) / kRegularDatagramsPerSecond;
  return std::clamp(FromSeconds(seconds), kReportInterval, kMaxReportInterval);
}

void
LoadExchange::ScheduleReport(bool aIsOwnZone)
{
  auto& timer = aIsOwnZone ? ownZoneTimer_ : otherZonesTimer_;
  timer.expires_after(GetReportInterval(aIsOwnZone));
  timer.async_wait([this, aIsOwnZone](const boost::system::error_code& aCode) {
    if (!aCode) {
      SendReport(aIsOwnZone,
                 aIsOwnZone || ++otherZoneReports_ % kReportsPerFindings == 0);
      ScheduleReport(aIsOwnZone);
    }
  });
}

void
LoadExchange::SchedulePlacementReport()
{
  if (isPlacementPending_) {
    return;
  }
  isPlacementPending_ = true;
  placementTimer_.expires_after(kPlacementBatchDelay);
  placementTimer_.async_wait([this](const boost::system::error_code& aCode) {
    isPlacementPending_ = false;
    if (!aCode) {
      SendPlacementReport(true);
      SendPlacementReport(false);
    }
  });
}

void
LoadExchange::SendPlacementReport(bool aIsOwnZone)
{
  if (!placementBudget_.TryTake(CountMembers(aIsOwnZone),
                                ReadMonotonicTime())) {
    return;
  }
  SendReport(aIsOwnZone, false);
}

void
LoadExchange::SendReports()
{
  SendReport(true, true);
  SendReport(false, true);
}

void
LoadExchange::SendReport(bool aIsOwnZone, bool aIncludesFindings)
{
  if (members_.empty()) {
    return;
  }
  ServerLoadTracker& tracker = state_.GetLoadTracker();
  LoadReport report{ name_,
                     tracker.GetOwnUsage(),
                     state_.GetLeavingServers(),
                     state_.IsStoreReachable(),
                     std::nullopt };
  if (aIncludesFindings) {
    report.findings_ = tracker.GetOwnStatistics(ReadMonotonicTime());
  }
  const std::string datagram = FormatLoadReport(report);
  for (const auto& [member, zone] : members_) {
    if ((zone == zone_) != aIsOwnZone) {
      continue;
    }
    boost::system::error_code code;
    const auto address = asio::ip::make_address(member.host_, code);
    if (!code) {
      // The next report replaces a report that can't be sent.
      socket_.send_to(
        asio::buffer(datagram), { address, member.port_ }, 0, code);
    }
  }
}

bool
LoadExchange::HasPeerWithStoreAccess(Time aNow) const
{
  return std::any_of(storeAccessReportedAt_.begin(),
                     storeAccessReportedAt_.end(),
                     [&](const auto& aPeer) {
                       return aNow - aPeer.second < kStoreAccessLifetime;
                     });
}

void
LoadExchange::HandleReport(LoadReport aReport)
{
  const Time now = ReadMonotonicTime();
  if (aReport.hasStoreAccess_) {
    storeAccessReportedAt_[aReport.sender_] = now;
  } else {
    storeAccessReportedAt_.erase(aReport.sender_);
  }
  const bool isNotificationDue =
    aReport.hasStoreAccess_ != state_.IsStoreReachable() &&
    now - storeAccessNotifiedAt_ >= kStoreAccessNotificationInterval;
  const auto address = ParseSocketAddress(aReport.sender_);
  if (isNotificationDue && address && onStoreAccess_) {
    storeAccessNotifiedAt_ = now;
    onStoreAccess_(*address, aReport.hasStoreAccess_);
  }
  for (const BackendServerId& server : aReport.leaving_) {
    state_.HandleLeavingNotice(server, "told by " + aReport.sender_, now);
  }
  ServerLoadTracker& tracker = state_.GetLoadTracker();
  tracker.SetPeerUsage(aReport.sender_, std::move(aReport.uses_), now);
  if (aReport.findings_) {
    tracker.SetPeerStatistics(
      aReport.sender_, std::move(*aReport.findings_), now);
  }
  state_.NotifyLoadChanged();
}

void
LoadExchange::ReceiveReports()
{
  socket_.async_receive_from(
    asio::buffer(buffer_),
    sender_,
    [this](const boost::system::error_code& aCode, std::size_t aLength) {
      if (aCode == asio::error::operation_aborted) {
        return;
      }
      // Other errors mean that an earlier datagram reached no listener.
      if (!aCode) {
        auto report =
          ParseLoadReport(std::string_view(buffer_.data(), aLength));
        if (report) {
          HandleReport(std::move(*report));
        }
      }
      ReceiveReports();
    });
}

} // namespace azurecross
