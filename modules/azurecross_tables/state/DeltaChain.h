#pragma once

#include "TableDelta.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** Bounds of the recent deltas that an entry keeps for its peers. */
struct DeltaChainLimits
{
  /** About 40 minutes of edits at 38,000 edits a day. */
  std::size_t mostDeltas_ = 1024;
  /** Row texts of the kept deltas. */
  std::size_t mostBytes_ = std::size_t{ 1 } << 20;
};

/** The recent deltas of an entry, each based on the one before. */
class DeltaChain
{
public:
  explicit DeltaChain(DeltaChainLimits aLimits = {})
    : limits_(aLimits)
  {
  }

  /** Appends a delta that is based on the last one. */
  void Append(TableDelta aDelta);

  /** @returns the edit id of a revision in the chain, or nothing. */
  std::optional<std::string> FindEditId(std::int64_t aNumber) const;

  /** @returns the deltas after a revision; empty if it is not in the chain. */
  std::vector<TableDelta> CollectAfter(std::int64_t aNumber) const;

  std::size_t GetCount() const { return deltas_.size(); }
  std::size_t GetBytes() const { return bytes_; }

private:
  DeltaChainLimits limits_;
  std::deque<TableDelta> deltas_;
  std::size_t bytes_ = 0;
};

} // namespace azurecross
