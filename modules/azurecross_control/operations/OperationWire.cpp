#include "OperationWire.h"

namespace azurecross {

namespace {

wire::StoredAnswer
ToWire(const StoredAnswer& aAnswer)
{
  wire::StoredAnswer message;
  message.set_status(aAnswer.status_);
  message.set_content_type(aAnswer.contentType_);
  message.set_body(aAnswer.body_);
  return message;
}

StoredAnswer
FromWire(const wire::StoredAnswer& aMessage)
{
  return { aMessage.status(), aMessage.content_type(), aMessage.body() };
}

template<typename Message>
std::optional<StoredAnswer>
ReadAnswer(const Message& aMessage)
{
  if (!aMessage.has_answer()) {
    return std::nullopt;
  }
  return FromWire(aMessage.answer());
}

template<typename Table, typename Value>
std::string
FindNameText(const Table& aTable, Value aValue)
{
  return std::string(aTable.FindName(aValue));
}

wire::OperationHandover::Record
ToWire(const std::string& aKey, const OperationRecord& aRecord)
{
  wire::OperationHandover::Record message;
  message.set_key(aKey);
  message.set_attempt(aRecord.attempt_);
  message.set_runner(aRecord.runner_.GetValue());
  message.set_customer(aRecord.customer_.GetValue());
  message.set_fingerprint(aRecord.fingerprint_);
  message.set_state(FindNameText(kOperationStateNames, aRecord.state_));
  if (aRecord.answer_) {
    *message.mutable_answer() = ToWire(*aRecord.answer_);
  }
  message.set_expires_ms(aRecord.expiresMilliseconds_);
  return message;
}

OperationRecord
FromWire(const wire::OperationHandover::Record& aMessage)
{
  OperationRecord record;
  record.attempt_ = aMessage.attempt();
  record.runner_ = EntryId(aMessage.runner());
  record.customer_ = CustomerId(aMessage.customer());
  record.fingerprint_ = aMessage.fingerprint();
  // A state of a newer version is one that must not run again.
  record.state_ = kOperationStateNames.FindValue(aMessage.state())
                    .value_or(OperationState::Unknown);
  record.answer_ = ReadAnswer(aMessage);
  record.expiresMilliseconds_ = aMessage.expires_ms();
  return record;
}

} // namespace

wire::OperationForward
ToWire(const OperationForward& aForward)
{
  wire::OperationForward message;
  message.set_kind(FindNameText(kForwardKindNames, aForward.kind_));
  message.set_owner(aForward.owner_.GetValue());
  message.set_incarnation(aForward.incarnation_.GetValue());
  message.set_attempt(aForward.attempt_);
  message.set_key(aForward.key_);
  message.set_customer(aForward.customer_.GetValue());
  message.set_fingerprint(aForward.fingerprint_);
  message.set_asked_attempt(aForward.askedAttempt_);
  message.set_verdict(FindNameText(kVerdictNames, aForward.verdict_));
  if (aForward.answer_) {
    *message.mutable_answer() = ToWire(*aForward.answer_);
  }
  return message;
}

std::optional<OperationForward>
FromWire(const wire::OperationForward& aMessage)
{
  const auto kind = kForwardKindNames.FindValue(aMessage.kind());
  const auto verdict = kVerdictNames.FindValue(aMessage.verdict());
  if (!kind || !verdict) {
    return std::nullopt;
  }
  OperationForward forward;
  forward.kind_ = *kind;
  forward.owner_ = EntryId(aMessage.owner());
  forward.incarnation_ = Incarnation(aMessage.incarnation());
  forward.attempt_ = aMessage.attempt();
  forward.key_ = aMessage.key();
  forward.customer_ = CustomerId(aMessage.customer());
  forward.fingerprint_ = aMessage.fingerprint();
  forward.askedAttempt_ = aMessage.asked_attempt();
  forward.verdict_ = *verdict;
  forward.answer_ = ReadAnswer(aMessage);
  return forward;
}

wire::OperationReply
ToWire(const OperationReply& aReply)
{
  wire::OperationReply message;
  message.set_asked(FindNameText(kForwardKindNames, aReply.asked_));
  message.set_attempt(aReply.attempt_);
  message.set_key(aReply.key_);
  message.set_asked_attempt(aReply.askedAttempt_);
  message.set_kind(FindNameText(kReplyKindNames, aReply.kind_));
  if (aReply.answer_) {
    *message.mutable_answer() = ToWire(*aReply.answer_);
  }
  message.set_owner(aReply.owner_.GetValue());
  message.set_incarnation(aReply.incarnation_.GetValue());
  message.set_successor(aReply.successor_.GetValue());
  return message;
}

std::optional<OperationReply>
FromWire(const wire::OperationReply& aMessage)
{
  const auto asked = kForwardKindNames.FindValue(aMessage.asked());
  const auto kind = kReplyKindNames.FindValue(aMessage.kind());
  if (!asked || !kind) {
    return std::nullopt;
  }
  OperationReply reply;
  reply.asked_ = *asked;
  reply.attempt_ = aMessage.attempt();
  reply.key_ = aMessage.key();
  reply.askedAttempt_ = aMessage.asked_attempt();
  reply.kind_ = *kind;
  reply.answer_ = ReadAnswer(aMessage);
  reply.owner_ = EntryId(aMessage.owner());
  reply.incarnation_ = Incarnation(aMessage.incarnation());
  reply.successor_ = EntryId(aMessage.successor());
  return reply;
}

wire::OperationHandover
ToWire(const OperationHandover& aHandover)
{
  wire::OperationHandover message;
  message.set_id(aHandover.id_);
  message.set_from(aHandover.from_.GetValue());
  message.set_incarnation(aHandover.incarnation_.GetValue());
  message.set_successor_incarnation(aHandover.successorIncarnation_.GetValue());
  message.set_part(aHandover.part_);
  message.set_part_count(aHandover.partCount_);
  for (const OperationDomain& domain : aHandover.domains_) {
    auto* item = message.add_domains();
    item->set_owner(domain.owner_.GetValue());
    item->set_incarnation(domain.incarnation_.GetValue());
    item->set_secret(domain.secret_);
    item->set_may_start_new(domain.mayStartNew_);
  }
  for (const auto& [key, record] : aHandover.records_) {
    *message.add_records() = ToWire(key, record);
  }
  return message;
}

std::optional<OperationHandover>
FromWire(const wire::OperationHandover& aMessage)
{
  if (aMessage.part() >= aMessage.part_count()) {
    return std::nullopt;
  }
  OperationHandover handover;
  handover.id_ = aMessage.id();
  handover.from_ = EntryId(aMessage.from());
  handover.incarnation_ = Incarnation(aMessage.incarnation());
  handover.successorIncarnation_ =
    Incarnation(aMessage.successor_incarnation());
  handover.part_ = aMessage.part();
  handover.partCount_ = aMessage.part_count();
  for (const auto& item : aMessage.domains()) {
    OperationDomain domain;
    domain.owner_ = EntryId(item.owner());
    domain.incarnation_ = Incarnation(item.incarnation());
    domain.secret_ = item.secret();
    domain.mayStartNew_ = item.may_start_new();
    handover.domains_.push_back(std::move(domain));
  }
  for (const auto& item : aMessage.records()) {
    handover.records_.emplace_back(item.key(), FromWire(item));
  }
  return handover;
}

wire::OwnerMove
ToWire(const OwnerMove& aMove)
{
  wire::OwnerMove message;
  message.set_owner(aMove.owner_.GetValue());
  message.set_incarnation(aMove.incarnation_.GetValue());
  message.set_successor(aMove.successor_.GetValue());
  return message;
}

OwnerMove
FromWire(const wire::OwnerMove& aMessage)
{
  return { EntryId(aMessage.owner()),
           Incarnation(aMessage.incarnation()),
           EntryId(aMessage.successor()) };
}

} // namespace azurecross
