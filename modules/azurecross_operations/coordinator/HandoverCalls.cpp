#include "OperationCoordinator.h"

namespace azurecross {

namespace {

constexpr std::string_view kRemoteRunPrefix = "r:";

} // namespace

void
OperationCoordinator::StartHandover(const EntryId& aSuccessor,
                                    Incarnation aSuccessorIncarnation,
                                    Time aNow,
                                    OperationActions& aActions)
{
  // A first successor may have taken everything although its answers were
  // lost; a second one must not start operations as well.
  const bool isFirst = !owners_.HasMovedAll();
  std::vector<OperationDomain> domains = owners_.CollectLocal();
  for (OperationDomain& domain : domains) {
    domain.mayStartNew_ = domain.mayStartNew_ && isFirst;
  }
  std::vector<std::string> attempts;
  for (const auto& entry : pending_) {
    attempts.push_back(entry.first);
  }
  for (const std::string& attempt : attempts) {
    RefuseUnproven(
      attempt, ErrorCode::Draining, "this entry is stopping", aActions);
  }
  owners_.MoveAll(aSuccessor);
  successor_ = aSuccessor;

  handoverParts_.clear();
  OperationHandover part;
  // Not a counter: an acknowledgement to an earlier incarnation must not fit.
  part.id_ = random_.DrawBits();
  part.from_ = settings_.entry_;
  part.incarnation_ = settings_.incarnation_;
  part.successorIncarnation_ = aSuccessorIncarnation;
  part.domains_ = std::move(domains);
  std::size_t bytes = 0;
  ledger_.ForEach([&](const std::string& aId, const OperationRecord& aRecord) {
    if (aId.starts_with(kRemoteRunPrefix)) {
      return;
    }
    OperationRecord record = aRecord;
    // A run that goes on here can't report to the successor any more.
    const bool runsHere = record.state_ == OperationState::Running &&
                          record.runner_ == settings_.entry_;
    if (runsHere) {
      record.state_ = OperationState::Unknown;
    }
    bytes += record.answer_ ? record.answer_->CountBytes() : 0;
    part.records_.emplace_back(aId, std::move(record));
    if (part.records_.size() >= settings_.handoverPartRecords_ ||
        bytes >= settings_.handoverPartBytes_) {
      handoverParts_.emplace(part.part_, part);
      part.records_.clear();
      ++part.part_;
      bytes = 0;
    }
  });
  handoverParts_.emplace(part.part_, part);
  for (auto& entry : handoverParts_) {
    entry.second.partCount_ = part.part_ + 1;
  }
  nextHandoverAt_ = aNow;
  SendHandoverParts(aNow, aActions);
  StepReports(aNow, aActions);
}

bool
OperationCoordinator::IsHandedOver() const
{
  return owners_.HasMovedAll() && handoverParts_.empty();
}

void
OperationCoordinator::SendHandoverParts(Time aNow, OperationActions& aActions)
{
  if (handoverParts_.empty() || aNow < nextHandoverAt_) {
    return;
  }
  nextHandoverAt_ = aNow + settings_.forwardInterval_;
  for (const auto& entry : handoverParts_) {
    aActions.emplace_back(HandOver{ successor_, entry.second });
  }
}

void
OperationCoordinator::TakeHandover(const OperationHandover& aPart,
                                   OperationActions& aActions)
{
  if (owners_.HasMovedAll() ||
      aPart.successorIncarnation_ != settings_.incarnation_) {
    // No acknowledgement: the sender has to find another successor.
    return;
  }
  aActions.emplace_back(
    AcknowledgeHandover{ aPart.from_, { aPart.id_, aPart.part_ } });
  auto& received =
    receivedParts_[{ aPart.from_, aPart.incarnation_, aPart.id_ }];
  if (!received.insert(aPart.part_).second) {
    return;
  }
  for (const auto& [id, record] : aPart.records_) {
    ledger_.Import(id, record);
  }
  if (received.size() < aPart.partCount_) {
    return;
  }
  for (const OperationDomain& domain : aPart.domains_) {
    owners_.Adopt(domain);
    aActions.emplace_back(AnnounceOwner{
      { domain.owner_, domain.incarnation_, settings_.entry_ } });
  }
}

void
OperationCoordinator::TakeHandoverAcknowledgement(
  const HandoverAcknowledgement& aAcknowledgement)
{
  const auto found = handoverParts_.find(aAcknowledgement.part_);
  if (found != handoverParts_.end() &&
      found->second.id_ == aAcknowledgement.id_) {
    handoverParts_.erase(found);
  }
}

} // namespace azurecross
