#pragma once

#include "../messages/OperationMessages.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace azurecross {

/**
 * Which operations this entry decides about, and which entry decides about
 * those of entries that have stopped.
 */
class OwnershipTable
{
public:
  explicit OwnershipTable(OperationDomain aOwn);

  const OperationDomain& GetOwn() const { return own_; }
  /** @returns the domain if this entry decides about it, or null. */
  const OperationDomain* FindLocal(const EntryId& aOwner,
                                   Incarnation aIncarnation) const;
  /** @returns whom to ask: the successor if known, else the owner. */
  EntryId FindDecider(const EntryId& aOwner, Incarnation aIncarnation) const;
  /** @returns whether the domain has moved, as far as this entry knows. */
  bool IsMoved(const EntryId& aOwner, Incarnation aIncarnation) const;
  /** @returns all domains that this entry decides about. */
  std::vector<OperationDomain> CollectLocal() const;

  /** Takes over a domain of a stopped entry. */
  void Adopt(OperationDomain aDomain);
  void NoteMove(const OwnerMove& aMove);
  /** Gives all domains to the successor, for good. */
  void MoveAll(const EntryId& aSuccessor);
  bool HasMovedAll() const { return hasMovedAll_; }

private:
  using DomainKey = std::pair<EntryId, Incarnation>;

  OperationDomain own_;
  std::map<DomainKey, OperationDomain> adopted_;
  std::map<DomainKey, EntryId> moves_;
  std::deque<DomainKey> moveOrder_;
  bool hasMovedAll_ = false;
};

} // namespace azurecross
