#include "LinkFilter.h"

namespace azurecross {

void
LinkFilter::Block(const EntryId& aPeer)
{
  const std::lock_guard lock(mutex_);
  blocked_.insert(aPeer);
}

void
LinkFilter::Unblock(const EntryId& aPeer)
{
  const std::lock_guard lock(mutex_);
  blocked_.erase(aPeer);
}

void
LinkFilter::UnblockAll()
{
  const std::lock_guard lock(mutex_);
  blocked_.clear();
}

bool
LinkFilter::IsBlocked(const EntryId& aPeer) const
{
  const std::lock_guard lock(mutex_);
  return blocked_.contains(aPeer);
}

} // namespace azurecross
