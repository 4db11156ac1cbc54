#include "EditOutcome.h"

#include <algorithm>

namespace azurecross {

namespace {

/** @returns the rows that both this edit and an earlier one change. */
std::string
DescribeOverlap(const EditOutcome& aOutcome)
{
  std::string text;
  for (const AuditChange& own : aOutcome.changes_) {
    const bool overlaps =
      std::any_of(aOutcome.others_.begin(),
                  aOutcome.others_.end(),
                  [&](const AuditEntry& aEntry) {
                    return std::any_of(aEntry.changes_.begin(),
                                       aEntry.changes_.end(),
                                       [&](const AuditChange& aOther) {
                                         return aOther.table_ == own.table_ &&
                                                aOther.name_ == own.name_;
                                       });
                  });
    if (overlaps) {
      text += (text.empty() ? "" : ", ") + FormatRowName(own.table_, own.name_);
    }
  }
  return text;
}

std::string
DescribeConflict(const EditOutcome& aOutcome)
{
  std::string text = "conflict: the store is now at " +
                     DescribeRevision(aOutcome.revision_) +
                     "; nothing was written\n";
  for (const AuditEntry& entry : aOutcome.others_) {
    text += DescribeRevision(entry.revision_) + " by " + entry.author_ + ":\n" +
            DescribeChanges(entry.changes_);
  }
  const std::string overlap = DescribeOverlap(aOutcome);
  text += "your edit:\n" + DescribeChanges(aOutcome.changes_);
  text += overlap.empty() ? "no row is changed by both\n"
                          : "changed by both: " + overlap + "\n";
  return text;
}

} // namespace

std::string
DescribeOutcome(const EditOutcome& aOutcome)
{
  switch (aOutcome.verdict_) {
    case EditVerdict::Applied:
      return "applied as " + DescribeRevision(aOutcome.revision_) + "\n" +
             DescribeChanges(aOutcome.changes_);
    case EditVerdict::NothingToDo:
      return "nothing to do at " + DescribeRevision(aOutcome.revision_) + "\n";
    case EditVerdict::Conflict:
      break;
  }
  return DescribeConflict(aOutcome);
}

Transaction
MakeEditTransaction(const EditPlan& aPlan)
{
  Transaction transaction;
  transaction.compares_.push_back({ std::string(kHeadKey),
                                    CompareTarget::ModRevision,
                                    aPlan.GetHeadModRevision() });
  for (const KeyValue& put : aPlan.GetPuts()) {
    transaction.success_.emplace_back(
      PutRequest{ put.key_, put.value_, LeaseId() });
  }
  for (const std::string& key : aPlan.GetDeletes()) {
    transaction.success_.emplace_back(DeleteRequest{ key, "" });
  }
  if (const auto end = aPlan.FindAuditEnd()) {
    transaction.success_.emplace_back(
      DeleteRequest{ std::string(kAuditPrefix), *end });
  }
  return transaction;
}

} // namespace azurecross
