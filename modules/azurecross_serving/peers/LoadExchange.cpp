#include "LoadExchange.h"

#include <algorithm>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Regular reports carry what has ended; placements are told at once. */
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
/** Gathers placements that follow each other into one report. */
constexpr Duration kGatherTime = std::chrono::milliseconds(5);
/** A daemon that said so this recently passes on what the store says. */
constexpr Duration kPeerStoreTime = std::chrono::milliseconds(1500);
/** Reports of many daemons that differ from what this one knows of the store
 * make it check this often. */
constexpr Duration kStoreNewsInterval = std::chrono::milliseconds(200);
/** What was learned goes to other zones with each third report: bytes between
 * zones are dear, and it holds for seconds. */
constexpr unsigned kFindingsInterval = 3;
/** Below the time for which a report is used. */
constexpr Duration kLongestInterval = std::chrono::milliseconds(1200);
/** Datagrams of regular reports that one daemon sends in a second to its own
 * zone, and as many to the others. */
constexpr double kRegularPerSecond = 30.0;
/** Datagrams that follow placements in a second, and at most at once: a report
 * of 300 bytes to each costs a daemon 18 KB/s, within its 25 KB/s for control.
 */
constexpr double kPlacementsPerSecond = 60.0;
constexpr double kMostPlacements = 240.0;

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
  , budget_(kPlacementsPerSecond, kMostPlacements)
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
  Receive();
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
LoadExchange::FindInterval(bool aIsOwnZone) const
{
  const double seconds =
    static_cast<double>(CountMembers(aIsOwnZone)) / kRegularPerSecond;
  return std::clamp(FromSeconds(seconds), kReportInterval, kLongestInterval);
}

void
LoadExchange::ScheduleReport(bool aIsOwnZone)
{
  auto& timer = aIsOwnZone ? ownZoneTimer_ : otherZonesTimer_;
  timer.expires_after(FindInterval(aIsOwnZone));
  timer.async_wait([this, aIsOwnZone](const boost::system::error_code& aCode) {
    if (!aCode) {
      SendTo(aIsOwnZone, aIsOwnZone || ++reports_ % kFindingsInterval == 0);
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
  placementTimer_.expires_after(kGatherTime);
  placementTimer_.async_wait([this](const boost::system::error_code& aCode) {
    isPlacementPending_ = false;
    if (!aCode) {
      SendPlacement(true);
      SendPlacement(false);
    }
  });
}

void
LoadExchange::SendPlacement(bool aIsOwnZone)
{
  if (!budget_.Take(CountMembers(aIsOwnZone), ReadMonotonicTime())) {
    return;
  }
  SendTo(aIsOwnZone, false);
}

void
LoadExchange::SendReports()
{
  SendTo(true, true);
  SendTo(false, true);
}

void
LoadExchange::SendTo(bool aIsOwnZone, bool aTellsFindings)
{
  if (members_.empty()) {
    return;
  }
  LoadBoard& board = state_.GetLoadBoard();
  LoadReport report{ name_,
                     board.DescribeOwnUse(),
                     state_.GetLeavingServers(),
                     state_.IsStoreReachable(),
                     std::nullopt };
  if (aTellsFindings) {
    report.findings_ = board.DescribeFindings(ReadMonotonicTime());
  }
  const std::string text = FormatLoadReport(report);
  for (const auto& [member, zone] : members_) {
    if ((zone == zone_) != aIsOwnZone) {
      continue;
    }
    boost::system::error_code code;
    const auto address = asio::ip::make_address(member.host_, code);
    if (!code) {
      // A report that can't be sent now is made up for by the next one.
      socket_.send_to(asio::buffer(text), { address, member.port_ }, 0, code);
    }
  }
}

bool
LoadExchange::HasPeerWithStoreAccess(Time aNow) const
{
  return std::any_of(
    storePeers_.begin(), storePeers_.end(), [&](const auto& aPeer) {
      return aNow - aPeer.second < kPeerStoreTime;
    });
}

void
LoadExchange::TakeReport(LoadReport aReport)
{
  const Time now = ReadMonotonicTime();
  if (aReport.hasStoreAccess_) {
    storePeers_[aReport.sender_] = now;
  } else {
    storePeers_.erase(aReport.sender_);
  }
  const bool isNews = aReport.hasStoreAccess_ != state_.IsStoreReachable() &&
                      now - storePeerToldAt_ >= kStoreNewsInterval;
  const auto address = ParseSocketAddress(aReport.sender_);
  if (isNews && address && onStorePeer_) {
    storePeerToldAt_ = now;
    onStorePeer_(*address, aReport.hasStoreAccess_);
  }
  for (const BackendServerId& server : aReport.leaving_) {
    state_.HandleLeavingNotice(server, "told by " + aReport.sender_, now);
  }
  LoadBoard& board = state_.GetLoadBoard();
  board.SetPeerUse(aReport.sender_, std::move(aReport.uses_), now);
  if (aReport.findings_) {
    board.SetPeerFindings(aReport.sender_, std::move(*aReport.findings_), now);
  }
  state_.NotifyLoadChanged();
}

void
LoadExchange::Receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_),
    sender_,
    [this](const boost::system::error_code& aCode, std::size_t aLength) {
      if (aCode == asio::error::operation_aborted) {
        return;
      }
      // Other errors report an earlier datagram that found no listener.
      if (!aCode) {
        auto report =
          ParseLoadReport(std::string_view(buffer_.data(), aLength));
        if (report) {
          TakeReport(std::move(*report));
        }
      }
      Receive();
    });
}

} // namespace azurecross
