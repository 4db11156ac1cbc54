#include "Dispatcher.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Added to the priority of requests that can't be on time any more. */
constexpr int kLatePriority = 100;
/** Time of a run before one has ended. */
constexpr double kAssumedHoldSeconds = 1.0;
constexpr double kHoldWeight = 0.1;
/** A request may be expected to wait for this part of its time left; the rest
 * is for the answer. */
constexpr double kUsableWait = 0.5;
/** Callers honour a pause of at most a third of the time they have left. */
constexpr double kLongestPausePart = 0.3;
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(200);
/** A waiting request is refused when this part of its time is over. */
constexpr double kLatestStartPart = 0.5;

/** What a request adds to its customer's charge, in tokens; plain calls have
 * queues of their own, so any constant serves them. */
double
ComputeCharge(const PlacementRequest& aRequest)
{
  return 1.0 + aRequest.demand_.promptTokens_;
}

Time
FindLatestStart(const DispatchTicket& aTicket)
{
  const Duration whole = aTicket.end_ - aTicket.arrival_;
  return aTicket.arrival_ + FromSeconds(kLatestStartPart * ToSeconds(whole));
}

} // namespace

Dispatcher::Dispatcher(LoadBoard& aBoard,
                       ServerPlacement aPlacement,
                       std::uint64_t aSeed)
  : board_(aBoard)
  , placement_(std::move(aPlacement))
  , random_(aSeed)
{
}

bool
Dispatcher::HasServer(const PlacementRequest& aRequest) const
{
  const auto& servers = board_.GetServers();
  return std::any_of(servers.begin(), servers.end(), [&](const auto& aServer) {
    const ServerRecord& record = aServer.second.record_;
    return record.pool_ == aRequest.pool_ &&
           record.state_ == ServerState::Ready &&
           std::find(aRequest.excluded_.begin(),
                     aRequest.excluded_.end(),
                     record.id_) == aRequest.excluded_.end();
  });
}

void
Dispatcher::Enqueue(DispatchTicket aTicket, Time aNow, DispatchDecisions& aOut)
{
  const TicketNumber number = aTicket.number_;
  const PlacementRequest& request = aTicket.request_;
  const double wait = EstimateWait(aTicket);
  const double left = ToSeconds(aTicket.end_ - aNow);
  // A request that has failed at all servers gains nothing by waiting; one that
  // finds no server at all may be early after a start.
  const bool hasFailedEverywhere =
    !request.excluded_.empty() && !HasServer(request);
  if (hasFailedEverywhere || wait > kUsableWait * left) {
    aOut.refusals_.push_back({ number,
                               HasServer(request)
                                 ? ErrorCode::DeadlineUnreachable
                                 : ErrorCode::NoBackendServer,
                               ComputeRetryAfter(wait, aTicket.end_ - aNow),
                               Duration::zero(),
                               queued_.size() });
    return;
  }
  const QueueKey key(request.pool_, aTicket.priority_);
  queues_[key].Push(request.customer_, number);
  queued_.emplace(number, Queued{ std::move(aTicket), key });
  Dispatch(aNow, aOut);
}

double
Dispatcher::EstimateWait(const DispatchTicket& aTicket) const
{
  std::size_t ahead = 0;
  for (const auto& [key, queue] : queues_) {
    if (key.first == aTicket.request_.pool_ &&
        key.second <= aTicket.priority_) {
      ahead += queue.CountItems();
    }
  }
  if (ahead == 0) {
    return 0.0;
  }
  // Places come free at the rate at which the present runs end, and this
  // daemon gets them in proportion to its own runs.
  std::uint32_t own = 0;
  for (const auto& [id, server] : board_.GetServers()) {
    if (server.record_.pool_ == aTicket.request_.pool_) {
      own += server.own_.runs_;
    }
  }
  const auto hold = holdSeconds_.find(aTicket.request_.pool_);
  const double seconds =
    hold == holdSeconds_.end() ? kAssumedHoldSeconds : hold->second;
  return static_cast<double>(ahead) * seconds / std::max<double>(own, 1.0);
}

Duration
Dispatcher::ComputeRetryAfter(double aWaitSeconds, Duration aTimeLeft)
{
  const double longest = kLongestPausePart * ToSeconds(aTimeLeft);
  const double shortest = ToSeconds(kShortestRetryAfter);
  const double base =
    std::clamp(aWaitSeconds, shortest, std::max(shortest, longest));
  // Jitter keeps refused callers from returning all at once.
  return std::max(random_.Jitter(FromSeconds(base), 0.3), kShortestRetryAfter);
}

void
Dispatcher::Cancel(TicketNumber aTicket)
{
  Remove(aTicket);
}

void
Dispatcher::Remove(TicketNumber aTicket)
{
  const auto found = queued_.find(aTicket);
  if (found == queued_.end()) {
    return;
  }
  const Queued& queued = found->second;
  queues_[queued.key_].Remove(queued.ticket_.request_.customer_, aTicket);
  queued_.erase(found);
}

void
Dispatcher::MoveToLate(Queued& aQueued)
{
  const CustomerId& customer = aQueued.ticket_.request_.customer_;
  const TicketNumber number = aQueued.ticket_.number_;
  queues_[aQueued.key_].Remove(customer, number);
  aQueued.key_.second += kLatePriority;
  queues_[aQueued.key_].Push(customer, number);
}

bool
Dispatcher::TryStart(FairQueue& aQueue, Time aNow, DispatchDecisions& aOut)
{
  const auto number = aQueue.PeekNext();
  if (!number) {
    return false;
  }
  DispatchTicket& ticket = queued_.at(*number).ticket_;
  ticket.request_.timeToTarget_ = ticket.target_ - aNow;
  auto choice = placement_.Choose(board_, ticket.request_, aNow);
  if (!choice) {
    return false;
  }
  StartDecision start;
  start.ticket_ = *number;
  start.waited_ = aNow - ticket.arrival_;
  start.run_ = board_.Start({ choice->server_,
                              ticket.request_.route_,
                              ticket.request_.customer_,
                              ticket.request_.kind_,
                              ticket.request_.demand_,
                              0,
                              aNow });
  start.choice_ = std::move(*choice);
  aQueue.Charge(ticket.request_.customer_, ComputeCharge(ticket.request_));
  Remove(*number);
  aOut.starts_.push_back(std::move(start));
  return true;
}

void
Dispatcher::Dispatch(Time aNow, DispatchDecisions& aOut)
{
  std::map<PoolName, bool> blocked;
  for (auto& [key, queue] : queues_) {
    // A request that waits for room keeps lesser ones from taking it.
    if (blocked[key.first]) {
      continue;
    }
    while (TryStart(queue, aNow, aOut)) {
    }
    blocked[key.first] = queue.CountItems() > 0;
  }
}

void
Dispatcher::Tick(Time aNow, DispatchDecisions& aOut)
{
  std::vector<TicketNumber> expired;
  for (auto& [number, queued] : queued_) {
    if (aNow >= FindLatestStart(queued.ticket_)) {
      expired.push_back(number);
    } else if (aNow >= queued.ticket_.target_ &&
               queued.key_.second < kLatePriority) {
      MoveToLate(queued);
    }
  }
  for (const TicketNumber number : expired) {
    Refuse(number, aNow, aOut);
  }
  Dispatch(aNow, aOut);
}

void
Dispatcher::Refuse(TicketNumber aTicket, Time aNow, DispatchDecisions& aOut)
{
  const DispatchTicket& ticket = queued_.at(aTicket).ticket_;
  const ErrorCode reason = HasServer(ticket.request_)
                             ? ErrorCode::DeadlineUnreachable
                             : ErrorCode::NoBackendServer;
  aOut.refusals_.push_back(
    { aTicket,
      reason,
      ComputeRetryAfter(EstimateWait(ticket), ticket.end_ - aNow),
      aNow - ticket.arrival_,
      queued_.size() });
  Remove(aTicket);
}

void
Dispatcher::ObserveHold(const PoolName& aPool, Duration aHeld)
{
  const auto [position, isNew] =
    holdSeconds_.try_emplace(aPool, ToSeconds(aHeld));
  if (!isNew) {
    position->second += kHoldWeight * (ToSeconds(aHeld) - position->second);
  }
}

} // namespace azurecross
