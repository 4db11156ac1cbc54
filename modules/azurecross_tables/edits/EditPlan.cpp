#include "EditPlan.h"

#include "../store/ConfigurationKeys.h"

#include <algorithm>

namespace azurecross {

namespace {

Error
MakeEditError(ErrorCode aCode, std::string aMessage)
{
  return Error{ aCode, Verdict::NotRun, std::move(aMessage), {} };
}

/** @returns why the store must not be written, or nothing. */
std::optional<Error>
FindStoreFault(const TableSnapshot& aBase, const EditRequest& aRequest)
{
  const TableRevision& head = aBase.revision_;
  if (aBase.rows_.ComputeDigest() != head.rowsDigest_ &&
      !aRequest.acceptsStoreRows_ && !aRequest.recoversStore_) {
    return MakeEditError(ErrorCode::InvalidTables,
                         "the store's rows are not those of " +
                           DescribeRevision(head) +
                           "; a row was written past the tool");
  }
  const auto& known = aRequest.knownRevision_;
  if (!known || aRequest.recoversStore_) {
    return std::nullopt;
  }
  if (known->number_ > head.number_) {
    return MakeEditError(ErrorCode::EditConflict,
                         "the store is at " + DescribeRevision(head) +
                           ", but an entry has " + DescribeRevision(*known) +
                           "; the store is older");
  }
  if (known->number_ == head.number_ && known->editId_ != head.editId_) {
    return MakeEditError(ErrorCode::EditConflict,
                         "the store is at " + DescribeRevision(head) +
                           ", but an entry has " + DescribeRevision(*known) +
                           "; the store has forked");
  }
  return std::nullopt;
}

TableRevision
MakeNextRevision(const TableSnapshot& aBase, const EditRequest& aRequest)
{
  TableRevision next;
  next.editId_ = aRequest.editId_;
  next.number_ = aBase.revision_.number_;
  next.parentEditId_ = aBase.revision_.editId_;
  if (aRequest.recoversStore_ && aRequest.knownRevision_) {
    next.number_ = std::max(next.number_, aRequest.knownRevision_->number_);
    next.parentEditId_ = aRequest.knownRevision_->editId_;
  }
  ++next.number_;
  return next;
}

/** Brings a valid row into the form that this module writes. */
RowChange
Normalize(RowChange aChange)
{
  if (!aChange.value_) {
    return aChange;
  }
  const auto text = CaptureResult([&]() -> Result<std::string> {
    if (aChange.table_ == TableKind::Routes) {
      BOOST_LEAF_AUTO(route, ParseRoute(aChange.name_, *aChange.value_));
      return SerializeRoute(route);
    }
    BOOST_LEAF_AUTO(pool, ParsePool(aChange.name_, *aChange.value_));
    return SerializePool(pool);
  });
  if (text.has_value()) {
    aChange.value_ = *text;
  }
  return aChange;
}

} // namespace

Result<EditPlan>
EditPlan::Make(const TableSnapshot& aBase, const EditRequest& aRequest)
{
  if (aRequest.author_.empty() || aRequest.editId_.empty()) {
    return MakeFailure(MakeEditError(ErrorCode::InvalidRequest,
                                     "an edit needs an author and an edit id"));
  }
  if (aRequest.recoversStore_ && !aRequest.knownRevision_) {
    return MakeFailure(
      MakeEditError(ErrorCode::InvalidRequest,
                    "a recovery needs an entry that states its revision"));
  }
  if (auto fault = FindStoreFault(aBase, aRequest)) {
    return MakeFailure(std::move(*fault));
  }
  TableRows rows = aBase.rows_;
  for (const RowChange& change : aRequest.changes_) {
    rows.Apply(Normalize(change));
  }

  EditPlan plan;
  plan.headModRevision_ = aBase.headModRevision_;
  plan.audit_.author_ = aRequest.author_;
  plan.audit_.unixMilliseconds_ = aRequest.unixMilliseconds_;
  plan.audit_.revision_ = MakeNextRevision(aBase, aRequest);
  plan.audit_.revision_.rowsDigest_ = rows.ComputeDigest();
  for (const RowChange& change : aBase.rows_.ComputeChanges(rows)) {
    plan.audit_.changes_.push_back(
      { change.table_,
        change.name_,
        aBase.rows_.FindText(change.table_, change.name_),
        change.value_ });
  }
  BOOST_LEAF_ASSIGN(plan.tables_, Tables::Make(plan.audit_.revision_, rows));
  BOOST_LEAF_CHECK(plan.AddWrites());
  return plan;
}

Result<void>
EditPlan::AddWrites()
{
  if (audit_.changes_.size() > kMostRowsPerEdit) {
    return MakeFailure(MakeEditError(
      ErrorCode::InvalidTables,
      "the edit changes " + std::to_string(audit_.changes_.size()) +
        " rows; at most " + std::to_string(kMostRowsPerEdit) +
        " fit into one transaction"));
  }
  for (const AuditChange& change : audit_.changes_) {
    std::string key = MakeRowKey(change.table_, change.name_);
    if (change.new_) {
      puts_.push_back({ std::move(key), *change.new_ });
    } else {
      deletes_.push_back(std::move(key));
    }
  }
  puts_.push_back(
    { std::string(kHeadKey), SerializeTableRevision(audit_.revision_) });
  puts_.push_back(
    { MakeAuditKey(audit_.revision_.number_), SerializeAuditEntry(audit_) });
  for (const KeyValue& put : puts_) {
    if (put.value_.size() > kMostValueBytes) {
      return MakeFailure(MakeEditError(ErrorCode::InvalidTables,
                                       put.key_ + " would have " +
                                         std::to_string(put.value_.size()) +
                                         " bytes; the store takes at most " +
                                         std::to_string(kMostValueBytes)));
    }
  }
  return {};
}

std::optional<std::string>
EditPlan::FindAuditEnd() const
{
  const std::int64_t oldest = audit_.revision_.number_ - kAuditEntries + 1;
  if (oldest <= 1) {
    return std::nullopt;
  }
  return MakeAuditKey(oldest);
}

} // namespace azurecross
