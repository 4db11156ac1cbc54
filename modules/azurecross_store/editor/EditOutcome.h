#pragma once

#include "../store/StoreTypes.h"

#include <string>
#include <vector>

namespace azurecross {

/** What became of an edit that was not refused for its content. */
enum class EditVerdict
{
  /** The edit is in the store. */
  Applied,
  /** The rows already were as asked for; nothing was written. */
  NothingToDo,
  /** Another edit came first; nothing was written. */
  Conflict,
};

inline constexpr NameTable<EditVerdict, 3> kEditVerdictNames{
  { { { EditVerdict::Applied, "applied" },
      { EditVerdict::NothingToDo, "nothing_to_do" },
      { EditVerdict::Conflict, "conflict" } } }
};

struct EditOutcome
{
  EditVerdict verdict_ = EditVerdict::Applied;
  /** The store's revision after the edit or at the conflict. */
  TableRevision revision_;
  /** The edit's own changes. */
  std::vector<AuditChange> changes_;
  /** At a conflict: the edits that came first, oldest first. */
  std::vector<AuditEntry> others_;
};

/** @returns the outcome as text for an operator. */
std::string
DescribeOutcome(const EditOutcome& aOutcome);

/** @returns the transaction that writes a plan if `head` is unchanged. */
Transaction
MakeEditTransaction(const EditPlan& aPlan);

} // namespace azurecross
