#pragma once

#include <azurecross_core/azurecross_core.h>

#include <mutex>
#include <set>
#include <string>

namespace azurecross {

/**
 * Peers whose links are cut in both directions, for tests of partitions. Can
 * be changed from any thread.
 */
class LinkFilter
{
public:
  void Block(const EntryId& aPeer);
  void Unblock(const EntryId& aPeer);
  void UnblockAll();
  bool IsBlocked(const EntryId& aPeer) const;

private:
  mutable std::mutex mutex_;
  std::set<EntryId> blocked_;
};

} // namespace azurecross
