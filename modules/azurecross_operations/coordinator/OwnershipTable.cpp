#include "OwnershipTable.h"

namespace azurecross {

namespace {

/** A zone of 47 entries restarted 5 times a day makes 235 notes a day. */
constexpr std::size_t kMoveLimit = 4096;

} // namespace

OwnershipTable::OwnershipTable(OperationDomain aOwn)
  : own_(std::move(aOwn))
{
}

const OperationDomain*
OwnershipTable::FindLocal(const EntryId& aOwner, Incarnation aIncarnation) const
{
  if (hasMovedAll_) {
    return nullptr;
  }
  if (aOwner == own_.owner_ && aIncarnation == own_.incarnation_) {
    return &own_;
  }
  const auto found = adopted_.find({ aOwner, aIncarnation });
  return found == adopted_.end() ? nullptr : &found->second;
}

EntryId
OwnershipTable::FindDecider(const EntryId& aOwner,
                            Incarnation aIncarnation) const
{
  const auto found = moves_.find({ aOwner, aIncarnation });
  return found == moves_.end() ? aOwner : found->second;
}

bool
OwnershipTable::IsMoved(const EntryId& aOwner, Incarnation aIncarnation) const
{
  return moves_.contains({ aOwner, aIncarnation });
}

std::vector<OperationDomain>
OwnershipTable::CollectLocal() const
{
  std::vector<OperationDomain> domains = { own_ };
  for (const auto& [key, domain] : adopted_) {
    domains.push_back(domain);
  }
  return domains;
}

void
OwnershipTable::Adopt(OperationDomain aDomain)
{
  const DomainKey key(aDomain.owner_, aDomain.incarnation_);
  adopted_.try_emplace(key, std::move(aDomain));
}

void
OwnershipTable::NoteMove(const OwnerMove& aMove)
{
  const DomainKey key(aMove.owner_, aMove.incarnation_);
  if (aMove.successor_ == own_.owner_ || FindLocal(key.first, key.second)) {
    return;
  }
  if (moves_.insert_or_assign(key, aMove.successor_).second) {
    moveOrder_.push_back(key);
  }
  if (moveOrder_.size() > kMoveLimit) {
    moves_.erase(moveOrder_.front());
    moveOrder_.pop_front();
  }
}

void
OwnershipTable::MoveAll(const EntryId& aSuccessor)
{
  const auto domains = CollectLocal();
  hasMovedAll_ = true;
  for (const OperationDomain& domain : domains) {
    NoteMove({ domain.owner_, domain.incarnation_, aSuccessor });
  }
}

} // namespace azurecross
