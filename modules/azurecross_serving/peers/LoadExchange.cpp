#include "LoadExchange.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** ServerPlacement tolerates loads of this age: fewer than one request arrives at a
 * daemon meanwhile. */
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
/** A daemon that was heard of this recently passes on what the store says. */
constexpr Duration kPeerStoreTime = std::chrono::seconds(1);
/** Datagrams that one daemon sends in a second at most. */
constexpr double kDatagramsPerSecond = 60.0;

} // namespace

LoadExchange::LoadExchange(asio::io_context& aContext,
                           const SocketAddress& aAddress,
                           ServingState& aState,
                           DecisionLog& aLog)
  : state_(aState)
  , log_(aLog)
  , socket_(aContext,
            { asio::ip::make_address(aAddress.host_), aAddress.port_ })
  , timer_(aContext)
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
  ScheduleReport();
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
}

Duration
LoadExchange::FindInterval() const
{
  const double seconds =
    static_cast<double>(members_.size()) / kDatagramsPerSecond;
  return std::max(kReportInterval, FromSeconds(seconds));
}

void
LoadExchange::ScheduleReport()
{
  timer_.expires_after(FindInterval());
  timer_.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      Report();
      ScheduleReport();
    }
  });
}

void
LoadExchange::Report()
{
  if (members_.empty()) {
    return;
  }
  const std::string text =
    FormatLoadReport({ name_,
                       state_.GetBoard().DescribeOwnUse(),
                       state_.DescribeLeaving(),
                       state_.IsStoreReachable() });
  for (const SocketAddress& member : members_) {
    boost::system::error_code code;
    const auto address = asio::ip::make_address(member.host_, code);
    if (!code) {
      // A report that can't be sent now is made up for by the next one.
      socket_.send_to(
        asio::buffer(text), { address, member.port_ }, 0, code);
    }
  }
}

bool
LoadExchange::HasPeerWithStore(Time aNow) const
{
  return aNow - peerWithStoreAt_ < kPeerStoreTime;
}

void
LoadExchange::TakeReport(LoadReport aReport)
{
  const Time now = ReadMonotonicTime();
  if (aReport.hasStore_) {
    peerWithStoreAt_ = now;
  }
  for (const BackendServerId& server : aReport.leaving_) {
    state_.TakeLeavingNotice(server, "told by " + aReport.sender_, now);
  }
  state_.GetBoard().SetPeerUse(aReport.sender_, std::move(aReport.uses_), now);
  state_.NotifyLoad();
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
