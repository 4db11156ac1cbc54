#include "LoadExchange.h"

#include "PermitMessageCodec.h"

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
/** Interval between the summaries of a zone. The two summarizers of a zone
 * halve it, and a summary passes two hops before its load expires. */
constexpr Duration kSummaryInterval = std::chrono::milliseconds(600);
/** Many daemons may know at the same time that a fingerprint is sound;
 * each one waits for a different part of this time. */
constexpr Duration kMaxCorrectionDelay = std::chrono::milliseconds(60);
/** A larger report is sent without its findings. */
constexpr std::size_t kMaxDatagramBytes = 60000;
/** Names of the load that summaries cover; no daemon's address has a space. */
constexpr std::string_view kZoneNamePrefix = "zone ";
constexpr std::string_view kOtherZonesName = "other zones";

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
  , topology_(GetAddress(), zone_)
  , correctionTimer_(aContext)
  , correctionDelayShare_(Random(HashBytes(name_)).DrawUnit())
{
  socket_.non_blocking(true);
  state_.GetLimiter().SetMembers({ name_, zone_ }, {}, ReadMonotonicTime());
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
  ScheduleOwnZoneReport();
  ScheduleOtherZonesReport();
}

void
LoadExchange::SetMembers(const std::vector<MemberRecord>& aMembers)
{
  const SocketAddress self = GetAddress();
  std::set<SocketAddress> members;
  for (const MemberRecord& member : aMembers) {
    if (member.peerAddress_ != self) {
      members.insert(member.peerAddress_);
    }
  }
  for (const SocketAddress& address : members) {
    if (!members_.contains(address)) {
      log_.Write(Decision::MemberChanged,
                 { { "member", address.Format() }, { "change", "joined" } });
    }
  }
  for (const SocketAddress& address : members_) {
    if (!members.contains(address)) {
      log_.Write(Decision::MemberChanged,
                 { { "member", address.Format() }, { "change", "left" } });
    }
  }
  members_ = std::move(members);
  topology_.SetMembers(aMembers);
  std::vector<PermitPeer> permitPeers;
  permitPeers.reserve(aMembers.size());
  for (const MemberRecord& member : aMembers) {
    permitPeers.push_back({ member.peerAddress_.Format(), member.zone_ });
  }
  state_.GetLimiter().SetMembers(
    { name_, zone_ }, std::move(permitPeers), ReadMonotonicTime());
}

Duration
LoadExchange::GetReportInterval(std::size_t aReceivers)
{
  const double seconds =
    static_cast<double>(aReceivers) / kRegularDatagramsPerSecond;
  return std::clamp(FromSeconds(seconds), kReportInterval, kMaxReportInterval);
}

void
LoadExchange::ScheduleOwnZoneReport()
{
  ownZoneTimer_.expires_after(GetReportInterval(topology_.GetOwnZone().size()));
  ownZoneTimer_.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      SendOwnReport(topology_.GetOwnZone(), ReportContent::EvidenceAndFindings);
      ScheduleOwnZoneReport();
    }
  });
}

void
LoadExchange::ScheduleOtherZonesReport()
{
  otherZonesTimer_.expires_after(
    topology_.UsesSummaries()
      ? kSummaryInterval
      : GetReportInterval(topology_.GetOtherZones().size()));
  otherZonesTimer_.async_wait([this](const boost::system::error_code& aCode) {
    if (aCode) {
      return;
    }
    const bool includesFindings =
      ++otherZoneReports_ % kReportsPerFindings == 0;
    if (topology_.IsSummarizer()) {
      SendSummaries(includesFindings);
    } else if (!topology_.UsesSummaries()) {
      SendOwnReport(topology_.GetOtherZones(),
                    includesFindings ? ReportContent::EvidenceAndFindings
                                     : ReportContent::Evidence);
    }
    ScheduleOtherZonesReport();
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
    if (aCode) {
      return;
    }
    SendPlacementReport(topology_.GetOwnZone());
    if (!topology_.UsesSummaries()) {
      SendPlacementReport(topology_.GetOtherZones());
    }
  });
}

void
LoadExchange::SendPlacementReport(const std::vector<SocketAddress>& aReceivers)
{
  if (placementBudget_.TryTake(aReceivers.size(), ReadMonotonicTime())) {
    SendOwnReport(aReceivers, ReportContent::LoadOnly);
  }
}

void
LoadExchange::SendReports()
{
  SendOwnReport(topology_.GetOwnZone(), ReportContent::EvidenceAndFindings);
  SendOwnReport(topology_.GetOtherZones(), ReportContent::EvidenceAndFindings);
}

void
LoadExchange::ScheduleCorrection()
{
  if (isCorrectionPending_) {
    return;
  }
  isCorrectionPending_ = true;
  correctionTimer_.expires_after(
    FromSeconds(ToSeconds(kMaxCorrectionDelay) * correctionDelayShare_));
  correctionTimer_.async_wait([this](const boost::system::error_code& aCode) {
    if (aCode) {
      return;
    }
    isCorrectionPending_ = false;
    if (state_.GetQuarantine().HasUntoldCorrections()) {
      SendEvidence();
    }
  });
}

void
LoadExchange::SendEvidence()
{
  state_.GetQuarantine().MarkCorrectionsTold();
  SendOwnReport(topology_.GetOwnZone(), ReportContent::Evidence);
  SendOwnReport(topology_.GetOtherZones(), ReportContent::Evidence);
}

LoadReport
LoadExchange::MakeReport() const
{
  LoadReport report;
  report.sender_ = name_;
  report.zone_ = zone_.GetValue();
  report.leaving_ = state_.GetLeavingServers();
  report.hasStoreAccess_ = state_.IsStoreReachable();
  report.tablesVersion_ =
    state_.GetTables() ? state_.GetTables()->GetVersion() : 0;
  report.limits_ =
    state_.GetLimiter().GetTable().GetNewest(ReadMonotonicTime());
  report.cold_ = state_.GetLimiter().GetWarmUps().GetCold(ReadMonotonicTime());
  return report;
}

void
LoadExchange::SendOwnReport(const std::vector<SocketAddress>& aReceivers,
                            ReportContent aContent)
{
  ServerLoadTracker& tracker = state_.GetLoadTracker();
  const Time now = ReadMonotonicTime();
  LoadReport report = MakeReport();
  report.uses_ = tracker.GetOwnUsage();
  report.paces_ = tracker.GetOwnPaces(now);
  report.disturbedRatio_ = tracker.GetOwnDisturbedRatio();
  if (aContent != ReportContent::LoadOnly) {
    report.evidence_ = state_.GetQuarantine().GetEvidence(now);
  }
  if (aContent == ReportContent::EvidenceAndFindings) {
    report.findings_ = tracker.GetOwnStatistics(now);
  }
  Send(std::move(report), aReceivers);
}

void
LoadExchange::SendSummaries(bool aIncludesFindings)
{
  ServerLoadTracker& tracker = state_.GetLoadTracker();
  const auto sendSummary = [&](LoadScope aScope,
                               LoadSummary aSummary,
                               const std::vector<SocketAddress>& aReceivers) {
    LoadReport report = MakeReport();
    report.scope_ = aScope;
    report.daemonCount_ = aSummary.daemonCount_;
    report.uses_ = std::move(aSummary.usage_);
    report.evidence_ = state_.GetQuarantine().GetEvidence(ReadMonotonicTime());
    if (aIncludesFindings) {
      report.findings_ = std::move(aSummary.statistics_);
    }
    report.paces_ = std::move(aSummary.paces_);
    report.disturbedRatio_ = aSummary.disturbedRatio_;
    Send(std::move(report), aReceivers);
  };
  sendSummary(LoadScope::Zone,
              tracker.SummarizeDaemons(ReadMonotonicTime()),
              topology_.GetOtherZones());
  sendSummary(
    LoadScope::OtherZones, tracker.SummarizeZones(), topology_.GetOwnZone());
}

void
LoadExchange::Send(LoadReport aReport,
                   const std::vector<SocketAddress>& aReceivers)
{
  if (aReceivers.empty()) {
    return;
  }
  std::string datagram = FormatLoadReport(aReport, ReadMonotonicTime());
  if (datagram.size() > kMaxDatagramBytes) {
    aReport.findings_.reset();
    aReport.paces_.clear();
    datagram = FormatLoadReport(aReport, ReadMonotonicTime());
  }
  for (const SocketAddress& receiver : aReceivers) {
    SendDatagram(datagram, receiver);
  }
}

void
LoadExchange::SendDatagram(const std::string& aDatagram,
                           const SocketAddress& aReceiver)
{
  boost::system::error_code code;
  const auto address = asio::ip::make_address(aReceiver.host_, code);
  if (!code) {
    // The next report replaces a report that can't be sent, and a message about
    // a permit is repeated.
    socket_.send_to(
      asio::buffer(aDatagram), { address, aReceiver.port_ }, 0, code);
  }
}

void
LoadExchange::SendPermitMessages(const std::vector<PermitMessage>& aMessages)
{
  for (const PermitMessage& message : aMessages) {
    const auto receiver = ParseSocketAddress(message.receiver_);
    if (receiver) {
      SendDatagram(FormatPermitMessage(message, ReadMonotonicTime()),
                   *receiver);
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
LoadExchange::HandleStoreAccess(const LoadReport& aReport, Time aNow)
{
  if (aReport.hasStoreAccess_) {
    storeAccessReportedAt_[aReport.sender_] = aNow;
  } else {
    storeAccessReportedAt_.erase(aReport.sender_);
  }
  const bool isNotificationDue =
    aReport.hasStoreAccess_ != state_.IsStoreReachable() &&
    aNow - storeAccessNotifiedAt_ >= kStoreAccessNotificationInterval;
  const auto address = ParseSocketAddress(aReport.sender_);
  if (isNotificationDue && address && onStoreAccess_) {
    storeAccessNotifiedAt_ = aNow;
    onStoreAccess_(*address, aReport.hasStoreAccess_);
  }
}

void
LoadExchange::HandleLeavingServers(const LoadReport& aReport, Time aNow)
{
  const std::size_t leavingBefore = state_.GetLeavingServers().size();
  for (const BackendServerId& server : aReport.leaving_) {
    state_.HandleLeavingNotice(server, "told by " + aReport.sender_, aNow);
  }
  const bool isNewInZone = topology_.IsSummarizer() &&
                           aReport.zone_ != zone_.GetValue() &&
                           state_.GetLeavingServers().size() > leavingBefore;
  if (isNewInZone) {
    // The sender has told only the summarizers of this zone.
    SendOwnReport(topology_.GetOwnZone(), ReportContent::LoadOnly);
  }
}

void
LoadExchange::HandlePromptEvidence(const LoadReport& aReport, Time aNow)
{
  const bool isNew = state_.MergeEvidence(aReport.evidence_, aNow);
  if (isNew && topology_.IsSummarizer() && aReport.zone_ != zone_.GetValue()) {
    // The sender has told only the summarizers of this zone.
    SendOwnReport(topology_.GetOwnZone(), ReportContent::Evidence);
  }
}

std::optional<std::string>
LoadExchange::FindPeerName(const LoadReport& aReport) const
{
  const bool isFromOwnZone = aReport.zone_ == zone_.GetValue();
  switch (aReport.scope_) {
    case LoadScope::Daemon:
      if (isFromOwnZone || !topology_.UsesSummaries()) {
        return aReport.sender_;
      }
      break;
    case LoadScope::Zone:
      if (!isFromOwnZone && topology_.IsSummarizer()) {
        return std::string(kZoneNamePrefix) + aReport.zone_;
      }
      break;
    case LoadScope::OtherZones:
      if (isFromOwnZone && !topology_.IsSummarizer()) {
        return std::string(kOtherZonesName);
      }
      break;
  }
  return std::nullopt;
}

void
LoadExchange::HandleReport(LoadReport aReport)
{
  const Time now = ReadMonotonicTime();
  HandleStoreAccess(aReport, now);
  HandleLeavingServers(aReport, now);
  HandlePromptEvidence(aReport, now);
  state_.MergeServerLimits(aReport.limits_);
  for (const auto& [server, warmUp] : aReport.cold_) {
    state_.GetLimiter().MergeWarmUp(server, warmUp, now);
  }
  state_.RecordPeerVersion(aReport.tablesVersion_);
  const std::optional<std::string> name = FindPeerName(aReport);
  if (!name) {
    return;
  }
  ServerLoadTracker& tracker = state_.GetLoadTracker();
  tracker.SetPeerUsage(
    *name, std::move(aReport.uses_), now, aReport.scope_, aReport.daemonCount_);
  if (aReport.findings_) {
    tracker.SetPeerStatistics(*name, std::move(*aReport.findings_), now);
  }
  tracker.SetPeerPaces(
    *name, std::move(aReport.paces_), aReport.disturbedRatio_, now);
  state_.NotifyLoadChanged();
}

void
LoadExchange::HandleDatagram(std::string_view aDatagram)
{
  const Time now = ReadMonotonicTime();
  if (IsPermitMessage(aDatagram)) {
    const auto message = ParsePermitMessage(aDatagram, now);
    if (message) {
      state_.HandlePermitMessage(*message, now);
    }
    return;
  }
  auto report = ParseLoadReport(aDatagram, now);
  if (report) {
    HandleReport(std::move(*report));
  }
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
        HandleDatagram(std::string_view(buffer_.data(), aLength));
      }
      ReceiveReports();
    });
}

} // namespace azurecross
