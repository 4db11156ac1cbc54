#include "ServerLimiter.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Time for which a permit may be used. */
constexpr Duration kPermitLifetime = std::chrono::milliseconds(400);
/** A permit beyond the number of waiting requests is kept this long for the
 * next one. */
constexpr Duration kSurplusLifetime = std::chrono::milliseconds(30);
/** A reply takes a few milliseconds; then other servers are considered. */
constexpr Duration kUsualReplyTime = std::chrono::milliseconds(20);
/** A request without a reply is repeated, in case a datagram was lost. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(100);
constexpr unsigned kMaxSends = 2;
/** Time for which an issuer that has not replied is not asked. */
constexpr Duration kSilentIssuerTime = std::chrono::seconds(2);
/** Time for which the wait in a denial is taken as given. */
constexpr Duration kDenialLifetime = std::chrono::seconds(1);
/** Permits that can be used within one second, in seconds of issuing: a permit
 * may be used some time after its slot, and the issuer keeps unused slots. */
constexpr double kIssueTimePerSecond =
  1.0 + ToSeconds(kPermitLifetime) + ToSeconds(PermitIssuer::kBurstTime);
/** Issuers and substitutes may issue this share of the rate together, while
 * some daemons reach the issuer and others don't. */
constexpr double kIssuedShare = 1.5;

} // namespace

bool
ServerLimiter::SetWarmUp(const BackendServerId& aServer,
                         double aRequestsPerSecond,
                         double aMaxInSecond,
                         Duration aRemaining,
                         Time aNow)
{
  const double rate = std::min(
    aRequestsPerSecond, aMaxInSecond / (kIssueTimePerSecond * kIssuedShare));
  return warmUps_.Set(aServer, rate, aRemaining, aNow);
}

void
ServerLimiter::MergeWarmUp(const BackendServerId& aServer,
                           const WarmUp& aWarmUp,
                           Time aNow)
{
  // The remaining time grows by the delay of each message, so that daemons
  // would extend it for each other.
  if (!warmUps_.Find(aServer, aNow)) {
    warmUps_.Set(
      aServer, aWarmUp.requestsPerSecond_, aWarmUp.until_ - aNow, aNow);
  }
}

void
ServerLimiter::Forget(const BackendServerId& aServer, Time aNow)
{
  table_.Forget(aServer, aNow);
  warmUps_.Forget(aServer);
  paces_.erase(aServer);
}

std::optional<double>
ServerLimiter::FindRate(const BackendServerId& aServer, Time aNow) const
{
  std::optional<double> rate = table_.Find(aServer);
  const auto lower = [&rate](double aLimit) {
    rate = std::min(rate.value_or(aLimit), aLimit);
  };
  if (const auto warmUp = warmUps_.Find(aServer, aNow)) {
    lower(warmUp->requestsPerSecond_);
  }
  const auto pace = paces_.find(aServer);
  if (pace != paces_.end()) {
    lower(pace->second);
  }
  return rate;
}

PermitStatus
ServerLimiter::FindStatus(const BackendServerId& aServer,
                          Duration aMaxWait,
                          Time aNow) const
{
  if (!FindRate(aServer, aNow)) {
    return {};
  }
  const auto found = holdings_.find(aServer);
  if (found == holdings_.end()) {
    return { PermitState::Obtainable, Duration::zero(), false };
  }
  const Holding& holding = found->second;
  if (!holding.permits_.empty()) {
    // Sorted by the time at which they may be used.
    const Duration wait = holding.permits_.front().usableAt_ - aNow;
    return { wait <= Duration::zero() ? PermitState::Held
                                      : PermitState::Obtainable,
             std::max(wait, Duration::zero()),
             true };
  }
  if (holding.pending_) {
    const bool isOverdue =
      aNow - holding.pending_->requestedAt_ > kUsualReplyTime;
    return { isOverdue ? PermitState::Unavailable : PermitState::Obtainable,
             Duration::zero(),
             true };
  }
  Duration wait{};
  if (holding.denial_ && aNow < holding.denial_->until_) {
    wait = std::max(holding.denial_->slotAt_ - aNow, Duration::zero());
  }
  const Duration maxWait =
    HasPaceOnly(aServer, aNow) ? Duration::zero() : aMaxWait;
  return { wait > maxWait ? PermitState::Unavailable : PermitState::Obtainable,
           wait,
           false };
}

bool
ServerLimiter::HasPaceOnly(const BackendServerId& aServer, Time aNow) const
{
  return paces_.contains(aServer) && !table_.Find(aServer) &&
         !warmUps_.Find(aServer, aNow);
}

const std::string&
ServerLimiter::FindReachableIssuer(const BackendServerId& aServer,
                                   const AvailabilityZone& aServerZone,
                                   Time aNow) const
{
  const auto isReachable = [&](const std::string& aName) {
    const auto found = silentUntil_.find(aName);
    return found == silentUntil_.end() || aNow >= found->second;
  };
  const std::string& issuer = selector_.FindIssuer(aServer, aServerZone);
  if (isReachable(issuer)) {
    return issuer;
  }
  const std::string& substitute =
    selector_.FindSubstitute(aServer, aServerZone);
  return isReachable(substitute) ? substitute : selector_.GetSelf();
}

std::optional<double>
ServerLimiter::GetIssueRate(const BackendServerId& aServer,
                            const AvailabilityZone& aServerZone,
                            Time aNow) const
{
  const std::optional<double> limit = FindRate(aServer, aNow);
  if (!limit) {
    return std::nullopt;
  }
  return *limit * selector_.GetShare(aServer, aServerZone, aNow);
}

PermitDecision
ServerLimiter::Issue(const BackendServerId& aServer,
                     const AvailabilityZone& aServerZone,
                     Duration aMaxWait,
                     int aRank,
                     Time aNow)
{
  const std::optional<double> rate = GetIssueRate(aServer, aServerZone, aNow);
  if (!rate) {
    return { true, Duration::zero() };
  }
  if (HasPaceOnly(aServer, aNow)) {
    return issuer_.IssueByRank(aServer, *rate, aRank, aNow);
  }
  return issuer_.Issue(aServer, *rate, aMaxWait, aNow);
}

void
ServerLimiter::Apply(Holding& aHolding,
                     const std::string& aIssuer,
                     const PermitDecision& aDecision,
                     Time aNow)
{
  ++(aDecision.isGranted_ ? counts_.granted_ : counts_.denied_);
  if (!aDecision.isGranted_) {
    aHolding.denial_ = Denial{ aNow + aDecision.wait_, aNow + kDenialLifetime };
    return;
  }
  aHolding.denial_.reset();
  aHolding.permits_.push_back({ aNow + aDecision.wait_, aIssuer });
  std::sort(aHolding.permits_.begin(),
            aHolding.permits_.end(),
            [](const Permit& aLeft, const Permit& aRight) {
              return aLeft.usableAt_ < aRight.usableAt_;
            });
}

void
ServerLimiter::Request(const BackendServerId& aServer,
                       const AvailabilityZone& aServerZone,
                       Duration aMaxWait,
                       Time aNow,
                       int aRank)
{
  Holding& holding = holdings_[aServer];
  holding.serverZone_ = aServerZone;
  if (holding.pending_ || !holding.permits_.empty()) {
    return;
  }
  const std::string& issuer = FindReachableIssuer(aServer, aServerZone, aNow);
  if (issuer == selector_.GetSelf()) {
    Apply(holding,
          issuer,
          Issue(aServer, aServerZone, aMaxWait, aRank, aNow),
          aNow);
    return;
  }
  holding.pending_ =
    PendingRequest{ nextId_++, issuer, aNow, aNow, 1, aMaxWait, aRank };
  SendRequest(aServer, holding, aNow);
}

void
ServerLimiter::Use(const BackendServerId& aServer,
                   const AvailabilityZone& aServerZone,
                   Time aNow)
{
  if (!FindRate(aServer, aNow)) {
    return;
  }
  Holding& holding = holdings_[aServer];
  holding.serverZone_ = aServerZone;
  const bool isHeld =
    !holding.permits_.empty() && holding.permits_.front().usableAt_ <= aNow;
  if (isHeld) {
    holding.permits_.erase(holding.permits_.begin());
    return;
  }
  // A generation that resumes from a copy has no prompt to read.
  if (HasPaceOnly(aServer, aNow)) {
    return;
  }
  ++counts_.charged_;
  Report(PermitMessageKind::Charge,
         aServer,
         aServerZone,
         FindReachableIssuer(aServer, aServerZone, aNow),
         1,
         aNow);
}

void
ServerLimiter::Report(PermitMessageKind aKind,
                      const BackendServerId& aServer,
                      const AvailabilityZone& aServerZone,
                      const std::string& aIssuer,
                      std::uint32_t aCount,
                      Time aNow)
{
  if (aIssuer == selector_.GetSelf()) {
    Account(aKind, aServer, aServerZone, aCount, aNow);
    return;
  }
  PermitMessage message =
    MakeMessage(aKind, aServer, aServerZone, aIssuer, aNow);
  message.count_ = aCount;
  messages_.push_back(std::move(message));
}

void
ServerLimiter::Account(PermitMessageKind aKind,
                       const BackendServerId& aServer,
                       const AvailabilityZone& aServerZone,
                       std::uint32_t aCount,
                       Time aNow)
{
  const std::optional<double> rate = GetIssueRate(aServer, aServerZone, aNow);
  if (!rate) {
    return;
  }
  if (aKind == PermitMessageKind::Charge) {
    issuer_.Charge(aServer, *rate, aCount, aNow);
    return;
  }
  for (std::uint32_t permit = 0; permit < aCount; ++permit) {
    issuer_.Return(aServer, *rate);
  }
}

PermitMessage
ServerLimiter::MakeMessage(PermitMessageKind aKind,
                           const BackendServerId& aServer,
                           const AvailabilityZone& aServerZone,
                           std::string aReceiver,
                           Time aNow) const
{
  PermitMessage message;
  message.kind_ = aKind;
  message.sender_ = selector_.GetSelf();
  message.receiver_ = std::move(aReceiver);
  message.server_ = aServer;
  message.serverZone_ = aServerZone;
  message.limit_ = table_.FindStatement(aServer);
  message.warmUp_ = warmUps_.Find(aServer, aNow);
  return message;
}

void
ServerLimiter::SendRequest(const BackendServerId& aServer,
                           const Holding& aHolding,
                           Time aNow)
{
  const PendingRequest& pending = *aHolding.pending_;
  PermitMessage message = MakeMessage(PermitMessageKind::Request,
                                      aServer,
                                      aHolding.serverZone_,
                                      pending.issuer_,
                                      aNow);
  message.id_ = pending.id_;
  message.wait_ = pending.maxWait_;
  message.rank_ = pending.rank_;
  messages_.push_back(std::move(message));
}

void
ServerLimiter::Handle(const PermitMessage& aMessage, Time aNow)
{
  if (aMessage.limit_) {
    table_.Merge(*aMessage.limit_);
  }
  if (aMessage.warmUp_) {
    MergeWarmUp(aMessage.server_, *aMessage.warmUp_, aNow);
  }
  switch (aMessage.kind_) {
    case PermitMessageKind::Request:
      HandleRequest(aMessage, aNow);
      break;
    case PermitMessageKind::Reply:
      HandleReply(aMessage, aNow);
      break;
    case PermitMessageKind::Return:
    case PermitMessageKind::Charge:
      Account(aMessage.kind_,
              aMessage.server_,
              aMessage.serverZone_,
              aMessage.count_,
              aNow);
      break;
  }
}

void
ServerLimiter::HandleRequest(const PermitMessage& aMessage, Time aNow)
{
  const PermitDecision decision = Issue(aMessage.server_,
                                        aMessage.serverZone_,
                                        aMessage.wait_,
                                        aMessage.rank_,
                                        aNow);
  PermitMessage reply = MakeMessage(PermitMessageKind::Reply,
                                    aMessage.server_,
                                    aMessage.serverZone_,
                                    aMessage.sender_,
                                    aNow);
  reply.id_ = aMessage.id_;
  reply.isGranted_ = decision.isGranted_;
  reply.wait_ = decision.wait_;
  messages_.push_back(std::move(reply));
}

void
ServerLimiter::HandleReply(const PermitMessage& aMessage, Time aNow)
{
  silentUntil_.erase(aMessage.sender_);
  const auto found = holdings_.find(aMessage.server_);
  const bool isExpected = found != holdings_.end() && found->second.pending_ &&
                          found->second.pending_->id_ == aMessage.id_ &&
                          found->second.pending_->issuer_ == aMessage.sender_;
  if (!isExpected) {
    if (aMessage.isGranted_) {
      ++counts_.returned_;
      Report(PermitMessageKind::Return,
             aMessage.server_,
             aMessage.serverZone_,
             aMessage.sender_,
             1,
             aNow);
    }
    return;
  }
  Holding& holding = found->second;
  holding.pending_.reset();
  Apply(
    holding, aMessage.sender_, { aMessage.isGranted_, aMessage.wait_ }, aNow);
}

void
ServerLimiter::CheckPending(const BackendServerId& aServer,
                            Holding& aHolding,
                            Time aNow)
{
  if (!aHolding.pending_ || aNow - aHolding.pending_->sentAt_ < kReplyTimeout) {
    return;
  }
  PendingRequest& pending = *aHolding.pending_;
  if (pending.sends_ < kMaxSends) {
    ++pending.sends_;
    pending.sentAt_ = aNow;
    SendRequest(aServer, aHolding, aNow);
    return;
  }
  ++counts_.unanswered_;
  silentUntil_[pending.issuer_] = aNow + kSilentIssuerTime;
  aHolding.pending_.reset();
}

void
ServerLimiter::ReturnExpired(const BackendServerId& aServer,
                             Holding& aHolding,
                             Time aNow)
{
  std::erase_if(aHolding.permits_, [&](const Permit& aPermit) {
    const bool isExpired = aNow - aPermit.usableAt_ > kPermitLifetime;
    if (isExpired) {
      ++counts_.returned_;
      Report(PermitMessageKind::Return,
             aServer,
             aHolding.serverZone_,
             aPermit.issuer_,
             1,
             aNow);
    }
    return isExpired;
  });
}

void
ServerLimiter::ReturnSurplus(std::size_t aNeeded, Time aNow)
{
  std::size_t held = 0;
  for (const auto& [server, holding] : holdings_) {
    held += holding.permits_.size();
  }
  for (auto& [server, holding] : holdings_) {
    while (held > aNeeded && !holding.permits_.empty()) {
      const Permit& last = holding.permits_.back();
      const Duration usableFor = aNow - last.usableAt_;
      if (usableFor >= Duration::zero() && usableFor < kSurplusLifetime) {
        break;
      }
      ++counts_.returned_;
      Report(PermitMessageKind::Return,
             server,
             holding.serverZone_,
             last.issuer_,
             1,
             aNow);
      holding.permits_.pop_back();
      --held;
    }
  }
}

void
ServerLimiter::Tick(std::size_t aNeeded, Time aNow)
{
  for (auto& [server, holding] : holdings_) {
    CheckPending(server, holding, aNow);
    ReturnExpired(server, holding, aNow);
  }
  ReturnSurplus(aNeeded, aNow);
  std::erase_if(holdings_, [&](const auto& aEntry) {
    const Holding& holding = aEntry.second;
    const bool isEmpty = holding.permits_.empty() && !holding.pending_ &&
                         (!holding.denial_ || aNow >= holding.denial_->until_);
    return isEmpty || !FindRate(aEntry.first, aNow);
  });
  std::erase_if(silentUntil_,
                [&](const auto& aPeer) { return aNow >= aPeer.second; });
  issuer_.Tick(aNow);
  table_.Tick(aNow);
  warmUps_.Tick(aNow);
}

std::size_t
ServerLimiter::CountOutstanding(Time aNow) const
{
  std::size_t count = 0;
  for (const auto& [server, holding] : holdings_) {
    // Another engine can be asked instead of one whose issuer is silent.
    const bool isPending =
      holding.pending_ &&
      (aNow - holding.pending_->requestedAt_ <= kUsualReplyTime ||
       !HasPaceOnly(server, aNow));
    count += holding.permits_.size() + (isPending ? 1 : 0);
  }
  return count;
}

std::vector<PermitMessage>
ServerLimiter::TakeMessages()
{
  return std::exchange(messages_, {});
}

} // namespace azurecross
