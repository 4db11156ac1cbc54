#include "ControlLoop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Recent requests that can be explained. */
constexpr std::size_t kRememberedRequests = 10'000;

std::uint32_t
ClampTokens(std::uint64_t aTokens)
{
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(aTokens, kMost));
}

GrantRequest
MakeGrantRequest(const RequestId& aId, DispatchRequest aRequest)
{
  GrantRequest request;
  request.request_ = aId;
  request.customer_ = std::move(aRequest.customer_);
  request.rank_ = aRequest.rank_;
  request.route_ = std::move(aRequest.route_);
  request.model_ = std::move(aRequest.model_);
  request.promptTokens_ = ClampTokens(aRequest.promptTokens_);
  request.outputLimit_ = ClampTokens(aRequest.outputLimit_.value_or(0));
  request.prefixHashes_ = std::move(aRequest.prefixHashes_);
  request.deadline_ = aRequest.deadline_.value_or(Time::max());
  request.excluded_ = std::move(aRequest.excluded_);
  return request;
}

GrantOutcome
ToGrantOutcome(const ReleaseOutcome& aOutcome)
{
  switch (aOutcome.result_) {
    case ReleaseResult::Completed:
      return GrantOutcome::Completed;
    case ReleaseResult::BackendServerFailed:
      return aOutcome.verdict_ == Verdict::NotRun ? GrantOutcome::Unreachable
                                                  : GrantOutcome::Failed;
    case ReleaseResult::CallerLeft:
    case ReleaseResult::NotUsed:
      break;
  }
  return GrantOutcome::Cancelled;
}

} // namespace

ControlLoop::ControlLoop(asio::io_context& aContext,
                         const ControlSettings& aSettings,
                         SharedView& aView,
                         Metrics& aMetrics)
  : context_(aContext)
  , settings_(aSettings)
  , view_(aView)
  , timer_(aContext)
  , peers_(
      aContext,
      aSettings,
      [this](const wire::PeerMessage& aMessage) { TakeMessage(aMessage); },
      [this](const std::vector<Member>& aChanges) {
        TakeMemberChanges(aChanges);
      })
  , tables_(aContext,
            aSettings,
            peers_,
            aMetrics,
            [this](Tables::Version aTables) { TakeTables(std::move(aTables)); })
  , operations_(aContext, aSettings, peers_, tables_.GetStore())
  , orders_(aContext, aSettings, tables_.GetStore())
  , retries_(DrawSystemSeed())
  , news_(peers_, directory_)
  , groups_(std::make_shared<GroupMap>())
  , grants_(aSettings.entryId_,
            aSettings.availabilityZone_,
            aSettings.arbiter_,
            DrawSystemSeed())
  , peaks_(aContext, tables_.GetStore(), grants_, aMetrics)
  , poller_(aContext.get_executor(),
            [this](const LoadReport& aReport) { TakeLoad(aReport); })
  , peerMetrics_(aMetrics)
  , membersGauge_(
      aMetrics.GetGauge("azurecross_zone_members", "Live entries of the zone."))
  , homesGauge_(
      aMetrics.GetGauge("azurecross_home_groups",
                        "Arbitration groups with this entry as home."))
  , heldGauge_(aMetrics.GetGauge("azurecross_held_grants",
                                 "Slots that this entry holds."))
  , pendingGauge_(aMetrics.GetGauge("azurecross_pending_requests",
                                    "Requests that wait for a slot."))
  , vmListFailures_(aMetrics.GetCounter("azurecross_vm_list_failures_total",
                                        "Failed calls of the VM list."))
  , retriesRefused_(
      aMetrics.GetCounter("azurecross_retries_refused_total",
                          "Retries that the retry budget did not allow."))
{
}

Result<void>
ControlLoop::Start()
{
  BOOST_LEAF_CHECK(peers_.Start());
  operations_.Start();
  asio::co_spawn(context_, RunTicks(), asio::detached);
  if (settings_.vmList_) {
    asio::co_spawn(context_, PollVmList(*settings_.vmList_), asio::detached);
  }
  return {};
}

void
ControlLoop::Stop()
{
  isStopped_ = true;
  timer_.cancel();
  tables_.Stop();
  peers_.Stop();
}

void
ControlLoop::BeginDrain()
{
  view_.isDraining_ = true;
  orders_.Release();
  peaks_.Flush();
  peers_.AnnounceLeaving(ReadMonotonicTime());
  UpdateHomes();
}

asio::awaitable<void>
ControlLoop::RunTicks()
{
  while (!isStopped_) {
    Tick(ReadMonotonicTime());
    timer_.expires_after(kTickInterval);
    boost::system::error_code ignored;
    co_await timer_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void
ControlLoop::Tick(Time aNow)
{
  peers_.Tick(aNow);
  tables_.Tick(aNow);
  if (areHomesStale_) {
    UpdateHomes();
  }
  GrantActions actions;
  grants_.Tick(aNow, actions);
  Process(std::move(actions));
  operations_.Tick(aNow);
  peaks_.Tick(aNow);
  if (!view_.isDraining_) {
    orders_.Tick(aNow);
  }
  PollLoads(aNow);
  if (news_.Exchange(grants_, *groups_, aNow)) {
    RebuildGroups();
  }
  peerMetrics_.Update(peers_.ReadCounters());
  heldGauge_.Set(static_cast<double>(grants_.CountHeld()));
  pendingGauge_.Set(static_cast<double>(grants_.CountPending()));
}

void
ControlLoop::PollLoads(Time aNow)
{
  if (aNow - lastPoll_ < settings_.loadPollInterval_) {
    return;
  }
  lastPoll_ = aNow;
  std::vector<LoadTarget> targets;
  for (const GroupId& group : grants_.ListHomeGroups()) {
    const auto found = groups_->groups_.find(group);
    const bool hasReports = found != groups_->groups_.end() &&
                            found->second.kind_ == PoolKind::Engine;
    if (!hasReports) {
      continue;
    }
    for (const BackendServerDescription& server : found->second.servers_) {
      targets.push_back(
        { server.id_, groups_->servers_.at(server.id_).address_ });
    }
  }
  poller_.Poll(targets);
}

void
ControlLoop::TakeLoad(const LoadReport& aReport)
{
  const BackendServerId& server = aReport.load_.id_;
  const Time now = ReadMonotonicTime();
  if (directory_.TakeSelfReport(server, aReport.isLeaving_, now)) {
    WriteLog(LogLevel::Info,
             aReport.isLeaving_ ? "backend server is leaving"
                                : "backend server stays",
             { { "backend_server", server } });
    RebuildGroups();
  }
  if (aReport.isLeaving_) {
    news_.PublishLeaving(server, now);
  } else {
    news_.WithdrawLeaving(server, now);
  }
  for (const GroupId& group : grants_.ListHomeGroups()) {
    const auto found = groups_->groups_.find(group);
    const auto isSame = [&](const BackendServerDescription& aOther) {
      return aOther.id_ == server;
    };
    const bool isMember = found != groups_->groups_.end() &&
                          std::any_of(found->second.servers_.begin(),
                                      found->second.servers_.end(),
                                      isSame);
    if (isMember) {
      GrantActions actions;
      grants_.ReportLoad(group, aReport.load_, now, actions);
      Process(std::move(actions));
      return;
    }
  }
}

asio::awaitable<void>
ControlLoop::PollVmList(SocketAddress aAddress)
{
  VmListClient client(context_.get_executor(), aAddress);
  Random random(DrawSystemSeed());
  asio::steady_timer timer(context_);
  while (!isStopped_) {
    auto list = co_await client.Fetch();
    if (list.has_value()) {
      TakeVmList(std::move(*list));
    } else {
      vmListFailures_.Increment();
      WriteLog(LogLevel::Warning,
               "VM list not read",
               { { "error", list.error().message_ } });
    }
    timer.expires_after(random.Jitter(settings_.vmListInterval_, 0.2));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void
ControlLoop::TakeVmList(VmList aList)
{
  std::vector<ListedEntry> entries;
  for (const Vm& vm : aList.vms_) {
    if (vm.role_ == VmRole::Entry && vm.state_ == VmState::Live) {
      entries.push_back({ EntryId(vm.id_), vm.availabilityZone_, vm.address_ });
    }
  }
  peers_.GetView().GetMembership().SetListedEntries(std::move(entries));
  directory_.SetVmList(std::move(aList));
  RebuildGroups();
}

void
ControlLoop::TakeTables(Tables::Version aTables)
{
  view_.tables_.Replace(aTables);
  directory_.SetTables(std::move(aTables));
  RebuildGroups();
}

void
ControlLoop::RebuildGroups()
{
  groups_ = directory_.Build();
  view_.groups_.Replace(groups_);
  GrantActions actions;
  grants_.SetGroups(groups_, ReadMonotonicTime(), actions);
  Process(std::move(actions));
  UpdateHomes();
}

void
ControlLoop::TakeMemberChanges(const std::vector<Member>& aChanges)
{
  areHomesStale_ = true;
  for (const Member& member : aChanges) {
    WriteLog(LogLevel::Info,
             "member changed",
             { { "entry", member.entry_ },
               { "state", kMemberStateNames.FindName(member.state_) },
               { "availability_zone", member.zone_ },
               { "incarnation", member.incarnation_.GetValue() } });
    if (member.state_ == MemberState::Dead) {
      GrantActions actions;
      grants_.RemoveEntry(member.entry_, ReadMonotonicTime(), actions);
      Process(std::move(actions));
    }
  }
}

void
ControlLoop::UpdateHomes()
{
  areHomesStale_ = false;
  const Membership& membership = peers_.GetMembership();
  HomeView view;
  for (const Member& member : membership.ListEligible()) {
    view.zoneMembers_.insert(member.entry_);
  }
  for (const auto& [group, content] : groups_->groups_) {
    const auto home = membership.GetSelector(group.zone_).ChooseHome(group);
    if (home) {
      view.homes_.emplace(group, *home);
    }
  }
  membersGauge_.Set(static_cast<double>(view.zoneMembers_.size()));
  GrantActions actions;
  grants_.SetHomes(std::move(view), ReadMonotonicTime(), actions);
  Process(std::move(actions));
  const std::vector<GroupId> homes = grants_.ListHomeGroups();
  homesGauge_.Set(static_cast<double>(homes.size()));
  if (!view_.isDraining_) {
    orders_.SetGroups(tables_.GetState().GetTables(), groups_, homes);
  }
}

void
ControlLoop::TakeMessage(const wire::PeerMessage& aMessage)
{
  GrantActions actions;
  if (grants_.Receive(aMessage, ReadMonotonicTime(), actions)) {
    Process(std::move(actions));
    return;
  }
  if (!tables_.Receive(aMessage)) {
    operations_.Receive(aMessage);
  }
}

void
ControlLoop::Acquire(const RequestId& aId,
                     DispatchRequest aRequest,
                     AcquireCallback aCallback)
{
  const Time now = ReadMonotonicTime();
  if (!AdmitRetry(aRequest, now)) {
    retriesRefused_.Increment();
    aCallback(Error{ ErrorCode::BackendServerFailed,
                     Verdict::NotRun,
                     "the retry budget is used up",
                     std::chrono::seconds(1) });
    return;
  }
  RememberRequest(aRequest.requestId_, aId);
  waiting_[aId] = { std::move(aCallback), aRequest.requestId_ };
  const PoolName pool = aRequest.pool_;
  GrantActions actions;
  grants_.Request(
    pool, MakeGrantRequest(aId, std::move(aRequest)), now, actions);
  Process(std::move(actions));
}

bool
ControlLoop::AdmitRetry(const DispatchRequest& aRequest, Time aNow)
{
  const auto attempts = static_cast<std::uint32_t>(aRequest.excluded_.size());
  return attempts == 0 || retries_.TakeRetry(attempts, aNow).has_value();
}

void
ControlLoop::CancelAcquire(const RequestId& aId)
{
  GrantActions actions;
  grants_.Cancel(aId, ReadMonotonicTime(), actions);
  Process(std::move(actions));
  const auto found = waiting_.find(aId);
  if (found == waiting_.end()) {
    return;
  }
  const AcquireCallback callback = std::move(found->second.callback_);
  waiting_.erase(found);
  callback(Error{
    ErrorCode::Cancelled, Verdict::NotRun, "the caller left the queue", {} });
}

void
ControlLoop::ReportProgress(GrantId aGrant, std::uint64_t aTokens)
{
  grants_.ReportProgress(aGrant, ClampTokens(aTokens));
}

void
ControlLoop::Release(GrantId aGrant, const ReleaseOutcome& aOutcome)
{
  const Time now = ReadMonotonicTime();
  if (aOutcome.result_ == ReleaseResult::Completed) {
    retries_.RecordSuccess(now);
  }
  GrantActions actions;
  grants_.Release(aGrant,
                  ToGrantOutcome(aOutcome),
                  ClampTokens(aOutcome.outputTokens_),
                  now,
                  actions);
  Process(std::move(actions));
}

void
ControlLoop::Process(GrantActions aActions)
{
  peers_.Send(std::move(aActions.messages_));
  for (const SlotGranted& granted : aActions.granted_) {
    Grant(granted);
  }
  for (const SlotRefused& refused : aActions.refused_) {
    Refuse(refused);
  }
}

void
ControlLoop::Grant(const SlotGranted& aGranted)
{
  const auto found = waiting_.find(aGranted.request_);
  const auto server = groups_->servers_.find(aGranted.backendServer_);
  const bool isUsable =
    found != waiting_.end() && server != groups_->servers_.end();
  if (!isUsable) {
    GrantActions actions;
    grants_.Release(aGranted.grant_,
                    GrantOutcome::Cancelled,
                    0,
                    ReadMonotonicTime(),
                    actions);
    Process(std::move(actions));
    if (found != waiting_.end()) {
      Refuse({ aGranted.request_,
               ErrorCode::NoBackendServer,
               std::chrono::seconds(1) });
    }
    return;
  }
  const AcquireCallback callback = std::move(found->second.callback_);
  waiting_.erase(found);
  callback(Assignment{
    aGranted.grant_, aGranted.backendServer_, server->second.address_ });
}

void
ControlLoop::Refuse(const SlotRefused& aRefused)
{
  const auto found = waiting_.find(aRefused.request_);
  if (found == waiting_.end()) {
    return;
  }
  const AcquireCallback callback = std::move(found->second.callback_);
  waiting_.erase(found);
  Error error;
  error.code_ = aRefused.reason_;
  error.verdict_ = Verdict::NotRun;
  error.message_ = "no slot on a backend server: " +
                   std::string(kErrorCodeNames.FindName(aRefused.reason_));
  error.retryAfter_ =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRefused.retryAfter_);
  callback(std::move(error));
}

void
ControlLoop::RememberRequest(const RequestId& aCaller, const RequestId& aId)
{
  if (recentIds_.insert_or_assign(aCaller, aId).second) {
    recentOrder_.push_back(aCaller);
  }
  if (recentOrder_.size() > kRememberedRequests) {
    recentIds_.erase(recentOrder_.front());
    recentOrder_.pop_front();
  }
}

} // namespace azurecross
