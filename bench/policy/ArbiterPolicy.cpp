#include "ArbiterPolicy.h"

namespace azurecross::bench {
namespace {

/** Entries learn each other's summaries from gossip this often. */
constexpr Duration kSummaryInterval = std::chrono::milliseconds(250);
/** Backend servers in one arbitration group. */
constexpr std::size_t kLargestGroup = 64;

AvailabilityZone
MakeZone(std::size_t aZone)
{
  return AvailabilityZone(std::to_string(aZone));
}

} // namespace

ArbiterPolicy::ArbiterPolicy(const PolicyOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , live_(aOptions.servers_.size(), true)
  , nextSeed_(aOptions.seed_ * 1000)
{
  for (std::size_t zone = 0; zone < options_.zoneCount_; ++zone) {
    routers_.emplace_back(MakeZone(zone), aOptions.seed_ + zone);
  }
  switch (aOptions.kind_) {
    case PolicyKind::HomePerServer:
      AddHomesPerServer();
      break;
    case PolicyKind::FixedShares:
      AddHomesPerEntry(static_cast<std::uint32_t>(options_.entries_));
      break;
    case PolicyKind::TwoChoices:
      AddHomesPerEntry(1);
      break;
    default:
      AddHomesPerGroup();
  }
  for (Home& home : homes_) {
    Describe(home, Time());
  }
}

void
ArbiterPolicy::AddHome(std::vector<std::size_t> aServers,
                       std::size_t aZone,
                       std::uint32_t aMembers)
{
  ArbiterOptions options;
  options.seed_ = ++nextSeed_;
  options.isPaced_ = options_.isPaced_;
  if (options_.kind_ == PolicyKind::TwoChoices) {
    options.placementChoices_ = 2;
  }
  Home home{ Arbiter(options), std::move(aServers), aZone, {} };
  home.arbiter_.SetCapacityDivisor(aMembers);
  homes_.push_back(std::move(home));
}

void
ArbiterPolicy::AddHomesPerGroup()
{
  for (std::size_t zone = 0; zone < options_.zoneCount_; ++zone) {
    std::vector<std::size_t> servers;
    for (std::size_t server = 0; server < options_.servers_.size(); ++server) {
      if (options_.zones_[server] != zone) {
        continue;
      }
      servers.push_back(server);
      if (servers.size() == kLargestGroup) {
        AddHome(std::exchange(servers, {}), zone, 1);
      }
    }
    if (!servers.empty()) {
      AddHome(std::move(servers), zone, 1);
    }
  }
}

void
ArbiterPolicy::AddHomesPerServer()
{
  for (std::size_t server = 0; server < options_.servers_.size(); ++server) {
    AddHome({ server }, options_.zones_[server], 1);
  }
}

void
ArbiterPolicy::AddHomesPerEntry(std::uint32_t aMembers)
{
  isPerEntry_ = true;
  for (std::size_t entry = 0; entry < options_.entries_; ++entry) {
    std::vector<std::size_t> servers(options_.servers_.size());
    for (std::size_t server = 0; server < servers.size(); ++server) {
      servers[server] = server;
    }
    AddHome(std::move(servers), 0, aMembers);
  }
}

void
ArbiterPolicy::Describe(Home& aHome, Time aNow)
{
  std::vector<BackendServerDescription> descriptions;
  for (std::size_t server : aHome.servers_) {
    if (live_[server]) {
      descriptions.push_back(options_.servers_[server]);
    }
  }
  aHome.arbiter_.SetBackendServers(descriptions, aNow, actions_);
}

void
ArbiterPolicy::SetLive(const std::vector<bool>& aLive,
                       Time aNow,
                       Decisions& aDecisions)
{
  live_ = aLive;
  for (std::size_t home = 0; home < homes_.size(); ++home) {
    Describe(homes_[home], aNow);
    Deliver(home, aDecisions);
  }
}

std::size_t
ArbiterPolicy::ChooseHome(std::size_t aEntry,
                          std::size_t aZone,
                          Rank aRank,
                          Time aNow)
{
  if (isPerEntry_) {
    return aEntry % homes_.size();
  }
  const std::size_t zone =
    options_.zoneCount_ == 1
      ? 0
      : ParseIndex(routers_[aZone].ChooseZone(aRank, aNow).GetValue());
  std::vector<std::size_t> choices;
  for (std::size_t home = 0; home < homes_.size(); ++home) {
    if (homes_[home].zone_ == zone) {
      choices.push_back(home);
    }
  }
  // Of two random groups, the one that was less saturated last.
  const std::size_t first = choices[random_.DrawBelow(choices.size())];
  const std::size_t second = choices[random_.DrawBelow(choices.size())];
  return homes_[first].summary_.saturation_ <=
             homes_[second].summary_.saturation_
           ? first
           : second;
}

void
ArbiterPolicy::Enqueue(std::size_t aRequest,
                       const GrantRequest& aGrantRequest,
                       std::size_t aEntry,
                       std::size_t aZone,
                       Time aNow,
                       Decisions& aDecisions)
{
  const std::size_t home = ChooseHome(aEntry, aZone, aGrantRequest.rank_, aNow);
  placed_[aRequest] = { home, {} };
  timer_.Measure(
    [&] { homes_[home].arbiter_.Enqueue(aGrantRequest, aNow, actions_); });
  Deliver(home, aDecisions);
}

void
ArbiterPolicy::ReportProgress(std::size_t aRequest,
                              std::uint32_t aTokens,
                              Time aNow,
                              Decisions& aDecisions)
{
  const auto position = placed_.find(aRequest);
  if (position == placed_.end()) {
    return;
  }
  const Placed placed = position->second;
  homes_[placed.home_].arbiter_.ReportProgress(
    placed.grant_, aTokens, aNow, actions_);
  Deliver(placed.home_, aDecisions);
}

void
ArbiterPolicy::Release(std::size_t aRequest,
                       GrantOutcome aOutcome,
                       Time aNow,
                       Decisions& aDecisions)
{
  const auto position = placed_.find(aRequest);
  if (position == placed_.end()) {
    return;
  }
  const Placed placed = position->second;
  placed_.erase(position);
  timer_.Measure([&] {
    Arbiter& arbiter = homes_[placed.home_].arbiter_;
    if (placed.grant_ == GrantId()) {
      arbiter.Cancel(MakeRequestId(aRequest), aNow, actions_);
    } else {
      arbiter.Release(placed.grant_, aOutcome, aNow, actions_);
    }
  });
  Deliver(placed.home_, aDecisions);
}

void
ArbiterPolicy::ReportLoad(const BackendServerLoad& aLoad,
                          Time aNow,
                          Decisions& aDecisions)
{
  for (std::size_t home = 0; home < homes_.size(); ++home) {
    homes_[home].arbiter_.ReportLoad(aLoad, aNow, actions_);
    Deliver(home, aDecisions);
  }
}

void
ArbiterPolicy::ReportCacheEvent(const CacheEvent& aEvent, Time aNow)
{
  for (Home& home : homes_) {
    home.arbiter_.ReportCacheEvent(aEvent, aNow);
  }
}

void
ArbiterPolicy::Tick(Time aNow, Decisions& aDecisions)
{
  for (std::size_t home = 0; home < homes_.size(); ++home) {
    homes_[home].arbiter_.Tick(aNow, actions_);
    Deliver(home, aDecisions);
  }
  if (aNow - lastSummary_ < kSummaryInterval) {
    return;
  }
  lastSummary_ = aNow;
  for (Home& home : homes_) {
    home.summary_ = home.arbiter_.Summarize();
    for (std::size_t zone = 0; zone < routers_.size(); ++zone) {
      if (!isCut_ || zone == home.zone_) {
        routers_[zone].ReportSummary(MakeZone(home.zone_), home.summary_, aNow);
      } else {
        routers_[zone].RemoveZone(MakeZone(home.zone_));
      }
    }
  }
}

void
ArbiterPolicy::LoseHome(Time aNow)
{
  homes_.clear();
  placed_.clear();
  AddHomesPerEntry(static_cast<std::uint32_t>(options_.entries_));
  for (Home& home : homes_) {
    Describe(home, aNow);
  }
}

void
ArbiterPolicy::RecoverHome(const std::vector<InFlightGrant>& aGrants, Time aNow)
{
  homes_.clear();
  placed_.clear();
  isPerEntry_ = false;
  AddHomesPerGroup();
  for (std::size_t home = 0; home < homes_.size(); ++home) {
    Describe(homes_[home], aNow);
    homes_[home].arbiter_.ReportInFlight(aGrants, aNow);
  }
  for (const InFlightGrant& grant : aGrants) {
    placed_[ParseIndex(grant.request_.request_.GetValue())] = { 0,
                                                                grant.grant_ };
  }
}

std::vector<std::string>
ArbiterPolicy::Explain(std::size_t aRequest) const
{
  const auto position = placed_.find(aRequest);
  if (position == placed_.end()) {
    return {};
  }
  return homes_[position->second.home_].arbiter_.Explain(
    MakeRequestId(aRequest));
}

void
ArbiterPolicy::Deliver(std::size_t aHome, Decisions& aDecisions)
{
  for (const ArbiterAction& action : actions_) {
    if (const auto* grant = std::get_if<GrantAction>(&action)) {
      const std::size_t request = ParseIndex(grant->request_.GetValue());
      placed_[request] = { aHome, grant->grant_ };
      aDecisions.push_back(
        { request, true, ParseIndex(grant->backendServer_.GetValue()) });
    } else if (const auto* refusal = std::get_if<RefuseAction>(&action)) {
      const std::size_t request = ParseIndex(refusal->request_.GetValue());
      placed_.erase(request);
      aDecisions.push_back({ request, false, 0 });
    }
  }
  actions_.clear();
}

} // namespace azurecross::bench
