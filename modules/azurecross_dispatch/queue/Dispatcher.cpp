#include "Dispatcher.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Added to the priority of requests that have missed their target time. */
constexpr int kLatePriorityOffset = 100;
/** Duration of a run before the first one has ended. */
constexpr double kAssumedRunSeconds = 1.0;
/** Smoothing factor of the average run duration. */
constexpr double kRunTimeSmoothing = 0.1;
/** Share of the remaining time that a request may be expected to wait. The rest
 * is needed for the answer. */
constexpr double kUsableWaitShare = 0.5;
/** Callers honour a retry delay of at most a third of their remaining time. */
constexpr double kMaximumRetryAfterShare = 0.3;
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(200);
/** A waiting request is refused after this share of its total time. */
constexpr double kLatestStartShare = 0.5;
/** Time to read a prompt token before a server has been chosen. */
constexpr double kAssumedSecondsPerPromptToken = 1.0 / 7000.0;
/** Probabilities with which an output exceeds the quantiles of its length. */
constexpr double kMedianProbability = 0.5;
constexpr double kLongProbability = 0.1;
/** Work of an output token in relation to a prompt token: it occupies the
 * engine for a step that reads some hundred prompt tokens, shared by about 20
 * runs. */
constexpr double kOutputTokenWork = 5.0;
/** The longest wait for a reserved permit of the most urgent requests. Less
 * urgent ones divide it by their rank, so that urgent ones get the next free
 * permits. */
constexpr Duration kMaxPermitWait = std::chrono::seconds(1);

/** @returns the charge of a request for fair queueing, in tokens. Plain calls
 * have separate queues, so any constant works for them. */
double
ComputeCharge(const PlacementRequest& aRequest)
{
  return 1.0 + aRequest.demand_.promptTokens_;
}

Time
FindLatestStart(const DispatchTicket& aTicket)
{
  const Duration total = aTicket.deadline_ - aTicket.arrival_;
  return aTicket.arrival_ + FromSeconds(kLatestStartShare * ToSeconds(total));
}

/** @returns the longest usable wait of a request for a permit. */
Duration
GetMaxPermitWait(const DispatchTicket& aTicket, Time aNow)
{
  const Duration byPriority =
    kMaxPermitWait / (std::max(aTicket.priority_, 0) + 1);
  return std::clamp(
    FindLatestStart(aTicket) - aNow, Duration::zero(), byPriority);
}

} // namespace

Dispatcher::Dispatcher(ServerLoadTracker& aLoadTracker,
                       ServerLimiter& aLimiter,
                       RequestQuarantine& aQuarantine,
                       ServerPlacement aPlacement,
                       std::uint64_t aSeed)
  : loadTracker_(aLoadTracker)
  , limiter_(aLimiter)
  , quarantine_(aQuarantine)
  , placement_(std::move(aPlacement))
  , random_(aSeed)
{
}

bool
Dispatcher::IsReadyServer(const ServerLoad& aServer,
                          const PlacementRequest& aRequest)
{
  return aServer.record_.pool_ == aRequest.pool_ &&
         aServer.record_.state_ == ServerState::Ready &&
         !aServer.isEvacuated_ &&
         std::find(aRequest.excludedServers_.begin(),
                   aRequest.excludedServers_.end(),
                   aServer.record_.id_) == aRequest.excludedServers_.end();
}

bool
Dispatcher::IsEvacuated(const PoolName& aPool) const
{
  if (!loadTracker_.HasEvacuatedZones()) {
    return false;
  }
  bool hasServers = false;
  for (const auto& [id, server] : loadTracker_.GetServers()) {
    if (server.record_.pool_ != aPool) {
      continue;
    }
    if (!server.isEvacuated_) {
      return false;
    }
    hasServers = true;
  }
  return hasServers;
}

bool
Dispatcher::HasReadyServer(const PlacementRequest& aRequest) const
{
  const auto& servers = loadTracker_.GetServers();
  return std::any_of(servers.begin(), servers.end(), [&](const auto& aServer) {
    return IsReadyServer(aServer.second, aRequest);
  });
}

std::size_t
Dispatcher::CountLimitedServers(const PoolName& aPool) const
{
  const auto& servers = loadTracker_.GetServers();
  return static_cast<std::size_t>(
    std::count_if(servers.begin(), servers.end(), [&](const auto& aServer) {
      return aServer.second.record_.pool_ == aPool &&
             limiter_.GetTable().Find(aServer.first);
    }));
}

double
Dispatcher::EstimateServerWait(const DispatchTicket& aTicket, Time aNow) const
{
  std::optional<Duration> shortest;
  for (const auto& [id, server] : loadTracker_.GetServers()) {
    if (!IsReadyServer(server, aTicket.request_)) {
      continue;
    }
    const PermitStatus permit =
      limiter_.FindStatus(id, GetMaxPermitWait(aTicket, aNow), aNow);
    const bool isPaused = aNow < server.pausedUntil_;
    if (permit.state_ != PermitState::Unavailable && !isPaused) {
      return 0.0;
    }
    const Duration wait = std::max(permit.wait_, server.pausedUntil_ - aNow);
    shortest = std::min(shortest.value_or(wait), wait);
  }
  return ToSeconds(shortest.value_or(Duration::zero()));
}

void
Dispatcher::Enqueue(DispatchTicket aTicket, Time aNow, DispatchDecisions& aOut)
{
  if (RefuseIfQuarantined(aTicket, aNow, aOut)) {
    return;
  }
  const TicketId ticketId = aTicket.id_;
  const PlacementRequest& request = aTicket.request_;
  const double wait = EstimateWait(aTicket, aNow);
  const double left = ToSeconds(aTicket.deadline_ - aNow);
  // A request that has failed on all servers is refused at once, and so is one
  // to whose servers nothing may be sent. Without any known server the request
  // waits: this daemon may just have started.
  const bool hasFailedEverywhere =
    !request.excludedServers_.empty() && !HasReadyServer(request);
  if (hasFailedEverywhere || IsEvacuated(request.pool_) ||
      wait > kUsableWaitShare * left) {
    aOut.refusals_.push_back(
      { ticketId,
        HasReadyServer(request) ? ErrorCode::DeadlineUnreachable
                                : ErrorCode::NoBackendServer,
        ComputeRetryAfter(wait, aTicket.deadline_ - aNow),
        Duration::zero(),
        queued_.size(),
        CountLimitedServers(request.pool_),
        std::nullopt });
    return;
  }
  const QueueKey key(request.pool_, aTicket.priority_);
  queues_[key].Push(request.customer_, ticketId);
  QueueEntry entry;
  if (request.isRankedByCost_) {
    entry.relativeWork_ = ComputeRelativeWork(request);
    entry.expectedService_ = FromSeconds(kAssumedSecondsPerPromptToken *
                                         request.demand_.promptTokens_);
  }
  entry.ticket_ = std::move(aTicket);
  entry.key_ = key;
  queued_.emplace(ticketId, std::move(entry));
  Dispatch(aNow, aOut);
}

bool
Dispatcher::RefuseIfQuarantined(const DispatchTicket& aTicket,
                                Time aNow,
                                DispatchDecisions& aOut) const
{
  const auto quarantined =
    quarantine_.FindQuarantined(aTicket.request_.fingerprints_, aNow);
  if (!quarantined) {
    return false;
  }
  aOut.refusals_.push_back(
    { aTicket.id_,
      quarantined->fingerprint_.kind_ == FingerprintKind::PromptPart
        ? ErrorCode::PromptQuarantined
        : ErrorCode::RequestQuarantined,
      quarantined->untilTrial_,
      aNow - aTicket.arrival_,
      queued_.size(),
      0,
      quarantined });
  return true;
}

double
Dispatcher::EstimateWait(const DispatchTicket& aTicket, Time aNow) const
{
  const double serverWait = EstimateServerWait(aTicket, aNow);
  std::size_t ahead = 0;
  for (const auto& [key, queue] : queues_) {
    if (key.first == aTicket.request_.pool_ &&
        key.second <= aTicket.priority_) {
      ahead += queue.CountItems();
    }
  }
  if (ahead == 0) {
    return serverWait;
  }
  // Capacity becomes free at the rate at which current runs end, and this
  // daemon gets a part in proportion to its own runs.
  std::uint32_t ownRuns = 0;
  for (const auto& [id, server] : loadTracker_.GetServers()) {
    if (server.record_.pool_ == aTicket.request_.pool_) {
      ownRuns += server.ownUsage_.runs_;
    }
  }
  const auto average = runSeconds_.find(aTicket.request_.pool_);
  const double seconds =
    average == runSeconds_.end() ? kAssumedRunSeconds : average->second;
  return std::max(serverWait,
                  static_cast<double>(ahead) * seconds /
                    std::max<double>(ownRuns, 1.0));
}

Duration
Dispatcher::ComputeRetryAfter(double aWaitSeconds, Duration aTimeLeft)
{
  const double maximum = kMaximumRetryAfterShare * ToSeconds(aTimeLeft);
  const double minimum = ToSeconds(kMinimumRetryAfter);
  const double base =
    std::clamp(aWaitSeconds, minimum, std::max(minimum, maximum));
  // Jitter keeps refused callers from retrying at the same time.
  return std::max(random_.Jitter(FromSeconds(base), 0.3), kMinimumRetryAfter);
}

void
Dispatcher::Cancel(TicketId aTicket)
{
  Remove(aTicket);
}

void
Dispatcher::Remove(TicketId aTicket)
{
  const auto found = queued_.find(aTicket);
  if (found == queued_.end()) {
    return;
  }
  const QueueEntry& queued = found->second;
  queues_[queued.key_].Remove(queued.ticket_.request_.customer_, aTicket);
  queued_.erase(found);
}

void
Dispatcher::DemoteLateRequest(QueueEntry& aEntry)
{
  const CustomerId& customer = aEntry.ticket_.request_.customer_;
  const TicketId ticketId = aEntry.ticket_.id_;
  queues_[aEntry.key_].Remove(customer, ticketId);
  aEntry.key_.second += kLatePriorityOffset;
  queues_[aEntry.key_].Push(customer, ticketId);
}

std::optional<PlacementChoice>
Dispatcher::ChooseServer(QueueEntry& aEntry, Time aNow)
{
  DispatchTicket& ticket = aEntry.ticket_;
  ticket.request_.timeToTarget_ = ticket.targetTime_ - aNow;
  ticket.request_.maxPermitWait_ = GetMaxPermitWait(ticket, aNow);
  const std::size_t serverCount = loadTracker_.GetServers().size();
  for (std::size_t attempt = 0; attempt <= serverCount; ++attempt) {
    ticket.request_.mayRequestPermit_ =
      limiter_.CountOutstanding(aNow) < queued_.size();
    auto choice =
      placement_.Choose(loadTracker_, limiter_, ticket.request_, aNow);
    if (choice) {
      aEntry.expectedService_ = FromSeconds(choice->expectedSeconds_);
    }
    if (!choice || !choice->awaitedPermit_) {
      return choice;
    }
    if (!aEntry.permitAwaitedSince_) {
      aEntry.permitAwaitedSince_ = aNow;
    }
    const Duration maxWait = *choice->awaitedPermit_;
    if (limiter_.FindStatus(choice->server_, maxWait, aNow).isRequested_) {
      return std::nullopt;
    }
    limiter_.Request(
      choice->server_, choice->zone_, maxWait, aNow, ComputeRank(aEntry, aNow));
  }
  return std::nullopt;
}

bool
Dispatcher::TryStartNext(FairQueue& aQueue, Time aNow, DispatchDecisions& aOut)
{
  const auto ticketId = aQueue.PeekNext();
  if (!ticketId) {
    return false;
  }
  QueueEntry& entry = queued_.at(*ticketId);
  DispatchTicket& ticket = entry.ticket_;
  if (RefuseIfQuarantined(ticket, aNow, aOut)) {
    Remove(*ticketId);
    return true;
  }
  auto choice = ChooseServer(entry, aNow);
  if (!choice) {
    return false;
  }
  limiter_.Use(choice->server_, choice->zone_, aNow);
  StartDecision start;
  start.ticketId_ = *ticketId;
  start.waited_ = aNow - ticket.arrival_;
  start.permitWait_ = aNow - entry.permitAwaitedSince_.value_or(aNow);
  start.run_ = loadTracker_.Start({ choice->server_,
                                    ticket.request_.route_,
                                    ticket.request_.customer_,
                                    ticket.request_.kind_,
                                    ticket.request_.demand_,
                                    0,
                                    aNow });
  start.choice_ = std::move(*choice);
  quarantine_.RecordSend(ticket.request_.fingerprints_, aNow);
  aQueue.Charge(ticket.request_.customer_, ComputeCharge(ticket.request_));
  Remove(*ticketId);
  aOut.starts_.push_back(std::move(start));
  return true;
}

double
Dispatcher::ComputeRelativeWork(const PlacementRequest& aRequest)
{
  // The length is unknown. The mean of the median and of a high quantile tells
  // requests that may become long from those that are surely short.
  double output = 0.0;
  for (const double probability : { kMedianProbability, kLongProbability }) {
    output += loadTracker_.PredictOutputQuantile(
      aRequest.route_, aRequest.customer_, aRequest.demand_, probability);
  }
  const double work =
    aRequest.demand_.promptTokens_ + kOutputTokenWork * output / 2.0;
  DecayedMean& mean = work_[aRequest.pool_];
  mean.Add(work);
  return work / std::max(mean.GetMean(work, 0.0), 1.0);
}

int
Dispatcher::ComputeRank(const QueueEntry& aEntry, Time aNow)
{
  const DispatchTicket& ticket = aEntry.ticket_;
  if (!ticket.request_.isRankedByCost_) {
    return std::clamp(aEntry.key_.second, 0, ScarcityPolicy::kMaxRank);
  }
  return ScarcityPolicy::ComputeRank({ ticket.priority_,
                                       ticket.targetTime_ - aNow,
                                       aEntry.expectedService_,
                                       aNow - ticket.arrival_,
                                       aEntry.relativeWork_ });
}

void
Dispatcher::DispatchByPriority(QueueIterator aBegin,
                               QueueIterator aEnd,
                               Time aNow,
                               DispatchDecisions& aOut)
{
  for (auto queue = aBegin; queue != aEnd; ++queue) {
    while (TryStartNext(queue->second, aNow, aOut)) {
    }
    // Requests of lower priority must not take the capacity that a waiting
    // request of the same pool needs.
    if (queue->second.CountItems() > 0) {
      return;
    }
  }
}

void
Dispatcher::DispatchByCost(QueueIterator aBegin,
                           QueueIterator aEnd,
                           Time aNow,
                           DispatchDecisions& aOut)
{
  for (bool hasStarted = true; hasStarted;) {
    std::vector<std::pair<int, FairQueue*>> heads;
    for (auto queue = aBegin; queue != aEnd; ++queue) {
      const auto ticketId = queue->second.PeekNext();
      if (ticketId) {
        heads.emplace_back(ComputeRank(queued_.at(*ticketId), aNow),
                           &queue->second);
      }
    }
    std::sort(
      heads.begin(), heads.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
    // A request that no engine can serve in time doesn't hold up others that
    // have more of it.
    hasStarted =
      std::any_of(heads.begin(), heads.end(), [&](const auto& aHead) {
        return TryStartNext(*aHead.second, aNow, aOut);
      });
  }
}

void
Dispatcher::Dispatch(Time aNow, DispatchDecisions& aOut)
{
  for (auto begin = queues_.begin(); begin != queues_.end();) {
    bool isRankedByCost = false;
    auto end = begin;
    for (; end != queues_.end() && end->first.first == begin->first.first;
         ++end) {
      const auto ticketId = end->second.PeekNext();
      isRankedByCost =
        isRankedByCost ||
        (ticketId && queued_.at(*ticketId).ticket_.request_.isRankedByCost_);
    }
    if (isRankedByCost) {
      DispatchByCost(begin, end, aNow, aOut);
    } else {
      DispatchByPriority(begin, end, aNow, aOut);
    }
    begin = end;
  }
}

void
Dispatcher::Tick(Time aNow, DispatchDecisions& aOut)
{
  std::vector<TicketId> expired;
  std::vector<TicketId> quarantined;
  for (auto& [ticketId, queued] : queued_) {
    const bool isQuarantined = RefuseIfQuarantined(queued.ticket_, aNow, aOut);
    if (isQuarantined) {
      quarantined.push_back(ticketId);
    } else if (aNow >= FindLatestStart(queued.ticket_) ||
               IsEvacuated(queued.ticket_.request_.pool_)) {
      expired.push_back(ticketId);
    } else if (aNow >= queued.ticket_.targetTime_ &&
               queued.key_.second < kLatePriorityOffset) {
      DemoteLateRequest(queued);
    }
  }
  for (const TicketId ticketId : expired) {
    Refuse(ticketId, aNow, aOut);
  }
  for (const TicketId ticketId : quarantined) {
    Remove(ticketId);
  }
  Dispatch(aNow, aOut);
  limiter_.Tick(queued_.size(), aNow);
}

void
Dispatcher::Refuse(TicketId aTicket, Time aNow, DispatchDecisions& aOut)
{
  const DispatchTicket& ticket = queued_.at(aTicket).ticket_;
  const ErrorCode reason = HasReadyServer(ticket.request_)
                             ? ErrorCode::DeadlineUnreachable
                             : ErrorCode::NoBackendServer;
  aOut.refusals_.push_back(
    { aTicket,
      reason,
      ComputeRetryAfter(EstimateWait(ticket, aNow), ticket.deadline_ - aNow),
      aNow - ticket.arrival_,
      queued_.size(),
      CountLimitedServers(ticket.request_.pool_),
      std::nullopt });
  Remove(aTicket);
}

void
Dispatcher::RecordRunDuration(const PoolName& aPool, Duration aRunTime)
{
  const auto [position, isNew] =
    runSeconds_.try_emplace(aPool, ToSeconds(aRunTime));
  if (!isNew) {
    position->second +=
      kRunTimeSmoothing * (ToSeconds(aRunTime) - position->second);
  }
}

} // namespace azurecross
