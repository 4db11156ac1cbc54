#include "OperationShell.h"

#include "OperationWire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Memory of one record without its answer. */
constexpr std::size_t kRecordBytes = 300;

} // namespace

OperationShell::OperationShell(asio::io_context& aContext,
                               const ControlSettings& aSettings,
                               PeerBridge& aPeers,
                               EtcdClient& aStore)
  : context_(aContext)
  , settings_(aSettings)
  , peers_(aPeers)
  , claims_(aStore, aSettings.operationRetention_)
{
}

void
OperationShell::Start()
{
  OperationSettings settings;
  settings.entry_ = settings_.entryId_;
  settings.incarnation_ = peers_.GetMembership().GetIncarnation();
  settings.secret_ = DrawUniqueName();
  settings.seed_ = DrawSystemSeed();
  settings.startMilliseconds_ = ReadUnixMilliseconds();
  settings.start_ = ReadMonotonicTime();
  settings.keyLifetime_ = settings_.operationRetention_;
  settings.ledger_.recordLimit_ =
    settings_.operationMemoryBytes_ / 2 / kRecordBytes;
  settings.ledger_.totalAnswerLimitBytes_ = settings_.operationMemoryBytes_ / 2;
  coordinator_ = std::make_unique<OperationCoordinator>(settings);
}

void
OperationShell::Begin(std::uint64_t aToken,
                      OperationRequest aRequest,
                      DecisionCallback aCallback)
{
  calls_[aToken] = { std::move(aCallback), aRequest.key_, aRequest.customer_ };
  const Time now = ReadMonotonicTime();
  OperationCall call;
  call.token_ = aToken;
  call.key_ = std::move(aRequest.key_);
  call.customer_ = std::move(aRequest.customer_);
  call.fingerprint_ = aRequest.fingerprint_;
  call.isFirstAttempt_ = aRequest.isFirstAttempt_;
  call.deadline_ = now + kDecisionTimeout;
  OperationActions actions;
  coordinator_->Begin(std::move(call), now, actions);
  Process(std::move(actions));
}

void
OperationShell::Cancel(std::uint64_t aToken)
{
  OperationActions actions;
  coordinator_->Cancel(aToken, ReadMonotonicTime(), actions);
  Process(std::move(actions));
  Answer(aToken,
         Error{ ErrorCode::Cancelled,
                Verdict::MayHaveRun,
                "the caller left before the decision",
                {} });
}

void
OperationShell::Finish(const std::string& aAttempt, OperationAnswer aAnswer)
{
  std::optional<StoredAnswer> answer;
  if (aAnswer.verdict_ == Verdict::Ran) {
    answer = StoredAnswer{ aAnswer.status_,
                           std::move(aAnswer.contentType_),
                           std::move(aAnswer.body_) };
  }
  OperationActions actions;
  coordinator_->Finish(aAttempt,
                       aAnswer.verdict_,
                       std::move(answer),
                       ReadMonotonicTime(),
                       actions);
  Process(std::move(actions));
}

AsyncResult<std::string>
OperationShell::IssueKey()
{
  const auto key = coordinator_->IssueKey(ReadMonotonicTime());
  if (!key) {
    return Error{ ErrorCode::Draining,
                  Verdict::NotRun,
                  "this entry is stopping and issues no keys",
                  std::chrono::milliseconds(0) };
  }
  return *key;
}

bool
OperationShell::Receive(const wire::PeerMessage& aMessage)
{
  const EntryId sender(aMessage.sender());
  const Time now = ReadMonotonicTime();
  OperationActions actions;
  if (aMessage.has_operation_forward()) {
    if (const auto forward = FromWire(aMessage.operation_forward())) {
      coordinator_->TakeForward(sender, *forward, now, actions);
    }
  } else if (aMessage.has_operation_reply()) {
    if (const auto reply = FromWire(aMessage.operation_reply())) {
      coordinator_->TakeReply(*reply, now, actions);
    }
  } else if (aMessage.has_operation_handover()) {
    if (const auto part = FromWire(aMessage.operation_handover())) {
      coordinator_->TakeHandover(*part, actions);
    }
  } else if (aMessage.has_handover_acknowledgement()) {
    const auto& message = aMessage.handover_acknowledgement();
    coordinator_->TakeHandoverAcknowledgement({ message.id(), message.part() });
  } else if (aMessage.has_owner_move()) {
    coordinator_->TakeOwnerMove(FromWire(aMessage.owner_move()));
  } else {
    return false;
  }
  Process(std::move(actions));
  return true;
}

void
OperationShell::Tick(Time aNow)
{
  OperationActions actions;
  coordinator_->Tick(aNow, actions);
  Process(std::move(actions));
}

void
OperationShell::StartHandover()
{
  for (const Member& member : peers_.GetMembership().ListPeers()) {
    if (!member.IsEligible()) {
      continue;
    }
    hasSuccessor_ = true;
    OperationActions actions;
    coordinator_->StartHandover(
      member.entry_, member.start_, ReadMonotonicTime(), actions);
    Process(std::move(actions));
    return;
  }
}

bool
OperationShell::IsHandedOver() const
{
  return !hasSuccessor_ || coordinator_->IsHandedOver();
}

std::size_t
OperationShell::CountRecords() const
{
  return coordinator_->GetLedger().CountRecords();
}

void
OperationShell::Process(OperationActions aActions)
{
  for (const OperationAction& action : aActions) {
    std::visit([this](const auto& aContent) { Do(aContent); }, action);
  }
}

void
OperationShell::Answer(std::uint64_t aToken,
                       AsyncResult<TimedDecision> aDecision)
{
  const auto found = calls_.find(aToken);
  if (found == calls_.end()) {
    return;
  }
  const DecisionCallback callback = std::move(found->second.callback_);
  calls_.erase(found);
  callback(std::move(aDecision));
}

void
OperationShell::Do(const RunOperation& aAction)
{
  const auto found = calls_.find(aAction.token_);
  if (found == calls_.end()) {
    // The caller left in the meantime; nothing has been sent.
    OperationAnswer answer;
    answer.verdict_ = Verdict::NotRun;
    Finish(aAction.attempt_, std::move(answer));
    return;
  }
  TimedDecision decision;
  decision.decision_.action_ = OperationDecision::Action::Run;
  decision.decision_.attempt_ = { found->second.key_,
                                  found->second.customer_,
                                  aAction.attempt_ };
  decision.runBefore_ = aAction.runBefore_;
  Answer(aAction.token_, std::move(decision));
}

void
OperationShell::Do(const ReplayAnswer& aAction)
{
  TimedDecision decision;
  decision.decision_.action_ = OperationDecision::Action::Replay;
  decision.decision_.answer_ = { Verdict::Ran,
                                 aAction.answer_.status_,
                                 aAction.answer_.contentType_,
                                 aAction.answer_.body_ };
  Answer(aAction.token_, std::move(decision));
}

void
OperationShell::Do(const RefuseOperation& aAction)
{
  Answer(aAction.token_, aAction.error_);
}

void
OperationShell::Do(const WriteClaims& aAction)
{
  asio::co_spawn(context_, WriteBatch(aAction.batch_), asio::detached);
}

void
OperationShell::Do(const ReadClaim& aAction)
{
  asio::co_spawn(context_, ReadOne(aAction), asio::detached);
}

asio::awaitable<void>
OperationShell::WriteBatch(ClaimBatch aBatch)
{
  const std::uint64_t id = aBatch.id_;
  auto results = co_await claims_.Write(std::move(aBatch));
  OperationActions actions;
  coordinator_->TakeWriteResults(
    id, std::move(results), ReadMonotonicTime(), actions);
  Process(std::move(actions));
}

asio::awaitable<void>
OperationShell::ReadOne(ReadClaim aAction)
{
  const auto result = co_await claims_.Read(aAction.storeKey_);
  OperationActions actions;
  coordinator_->TakeReadResult(
    aAction.attempt_, result, ReadMonotonicTime(), actions);
  Process(std::move(actions));
}

void
OperationShell::Do(const ForwardToOwner& aAction)
{
  wire::PeerMessage message;
  *message.mutable_operation_forward() = ToWire(aAction.forward_);
  peers_.Send(aAction.to_, std::move(message));
}

void
OperationShell::Do(const ReplyToEntry& aAction)
{
  wire::PeerMessage message;
  *message.mutable_operation_reply() = ToWire(aAction.reply_);
  peers_.Send(aAction.to_, std::move(message));
}

void
OperationShell::Do(const HandOver& aAction)
{
  wire::PeerMessage message;
  *message.mutable_operation_handover() = ToWire(aAction.part_);
  peers_.Send(aAction.to_, std::move(message));
}

void
OperationShell::Do(const AcknowledgeHandover& aAction)
{
  wire::PeerMessage message;
  auto* acknowledgement = message.mutable_handover_acknowledgement();
  acknowledgement->set_id(aAction.acknowledgement_.id_);
  acknowledgement->set_part(aAction.acknowledgement_.part_);
  peers_.Send(aAction.to_, std::move(message));
}

void
OperationShell::Do(const AnnounceOwner& aAction)
{
  for (const Member& member : peers_.GetMembership().ListPeers()) {
    wire::PeerMessage message;
    *message.mutable_owner_move() = ToWire(aAction.move_);
    peers_.Send(member.entry_, std::move(message));
  }
}

} // namespace azurecross
