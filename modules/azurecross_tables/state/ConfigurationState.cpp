#include "ConfigurationState.h"

namespace azurecross {

namespace {

ConfigurationOutcome
Refuse(ConfigurationVerdict aVerdict, std::string aMessage)
{
  return { aVerdict, std::move(aMessage), nullptr };
}

} // namespace

ConfigurationState::ConfigurationState(DeltaChainLimits aLimits)
  : chain_(aLimits)
{
}

ConfigurationOutcome
ConfigurationState::ApplySnapshot(const TableSnapshot& aSnapshot)
{
  return Record(Consider(aSnapshot, false));
}

ConfigurationOutcome
ConfigurationState::ApplyDeltas(const std::vector<TableDelta>& aDeltas)
{
  ConfigurationOutcome outcome = ConsiderDeltas(aDeltas);
  if (outcome.verdict_ != ConfigurationVerdict::Invalid || aDeltas.size() < 2) {
    return Record(std::move(outcome));
  }
  // Checking a batch once is cheaper; if its end is not valid, the edits
  // before the invalid one still have to take effect.
  Tables::Version newest;
  for (const TableDelta& delta : aDeltas) {
    outcome = ConsiderDeltas({ delta });
    if (outcome.verdict_ == ConfigurationVerdict::Activated) {
      newest = outcome.tables_;
    } else if (outcome.verdict_ != ConfigurationVerdict::Unchanged) {
      break;
    }
  }
  outcome.tables_ = newest;
  return Record(std::move(outcome));
}

ConfigurationOutcome
ConfigurationState::ApplyPeerUpdate(const TableUpdate& aUpdate)
{
  if (const auto* snapshot = std::get_if<TableSnapshot>(&aUpdate)) {
    return Record(Consider(*snapshot, true));
  }
  return ApplyDeltas(std::get<std::vector<TableDelta>>(aUpdate));
}

void
ConfigurationState::NoteKnownRevision(const TableRevision& aRevision)
{
  if (aRevision.number_ > known_.number_) {
    known_ = aRevision;
  }
}

std::optional<ConfigurationOutcome>
ConfigurationState::CheckNumber(const TableSnapshot& aSnapshot) const
{
  const TableRevision& offered = aSnapshot.revision_;
  const bool isFirst = tables_ == nullptr;
  const TableRevision& floor = isFirst ? known_ : revision_;
  const std::string comparison =
    "offered " + DescribeRevision(offered) + ", but " +
    (isFirst ? "a peer has " : "in force is ") + DescribeRevision(floor);
  if (offered.number_ < floor.number_) {
    return Refuse(ConfigurationVerdict::Older, comparison);
  }
  if (offered.number_ > floor.number_) {
    return std::nullopt;
  }
  if (offered.number_ > 0 && offered.editId_ != floor.editId_) {
    return Refuse(ConfigurationVerdict::Forked, comparison);
  }
  if (isFirst) {
    return std::nullopt;
  }
  if (aSnapshot.rows_.ComputeDigest() != rows_.ComputeDigest()) {
    return Refuse(ConfigurationVerdict::Invalid,
                  "the rows of " + DescribeRevision(offered) +
                    " were changed past the tool");
  }
  return Refuse(ConfigurationVerdict::Unchanged, "");
}

ConfigurationState::Descent
ConfigurationState::CheckDescent(const TableSnapshot& aSnapshot) const
{
  if (revision_.number_ == 0 ||
      aSnapshot.revision_.parentEditId_ == revision_.editId_) {
    return Descent::Proven;
  }
  const auto& ancestor = aSnapshot.ancestor_;
  if (ancestor && ancestor->number_ == revision_.number_) {
    return ancestor->editId_ == revision_.editId_ ? Descent::Proven
                                                  : Descent::Forked;
  }
  return aSnapshot.revision_.number_ == revision_.number_ + 1
           ? Descent::Forked
           : Descent::Unknown;
}

ConfigurationOutcome
ConfigurationState::Consider(const TableSnapshot& aSnapshot, bool aIsFromPeer)
{
  if (auto decided = CheckNumber(aSnapshot)) {
    return *decided;
  }
  const Descent descent = CheckDescent(aSnapshot);
  if (descent == Descent::Forked) {
    return Refuse(ConfigurationVerdict::Forked,
                  "offered " + DescribeRevision(aSnapshot.revision_) +
                    " does not descend from " + DescribeRevision(revision_) +
                    ", which is in force");
  }
  // The store drops old audit entries, so a store snapshot is taken without
  // proof; an entry that was cut off for that long has nothing newer.
  if (descent == Descent::Unknown && aIsFromPeer) {
    return Refuse(ConfigurationVerdict::Gap,
                  "a peer's " + DescribeRevision(aSnapshot.revision_) +
                    " does not prove that it descends from " +
                    DescribeRevision(revision_));
  }
  return Activate(aSnapshot.revision_, aSnapshot.rows_);
}

ConfigurationOutcome
ConfigurationState::ConsiderDeltas(const std::vector<TableDelta>& aDeltas)
{
  TableRows rows = rows_;
  TableRevision reached = revision_;
  for (const TableDelta& delta : aDeltas) {
    if (delta.revision_.number_ <= reached.number_) {
      if (delta.revision_.number_ == reached.number_ &&
          delta.revision_.editId_ != reached.editId_) {
        return Refuse(ConfigurationVerdict::Forked,
                      "offered " + DescribeRevision(delta.revision_) +
                        ", but in force is " + DescribeRevision(reached));
      }
      continue;
    }
    if (delta.baseNumber_ != reached.number_) {
      return Refuse(ConfigurationVerdict::Gap,
                    "a delta to " + DescribeRevision(delta.revision_) +
                      " does not start at " + DescribeRevision(reached));
    }
    if (delta.baseEditId_ != reached.editId_) {
      return Refuse(ConfigurationVerdict::Forked,
                    "offered " + DescribeRevision(delta.revision_) +
                      " follows edit " + delta.baseEditId_ +
                      ", but in force is " + DescribeRevision(reached));
    }
    rows.Apply(delta.changes_);
    reached = delta.revision_;
  }
  if (reached.number_ == revision_.number_) {
    return Refuse(ConfigurationVerdict::Unchanged, "");
  }
  if (tables_ == nullptr && reached.number_ < known_.number_) {
    return Refuse(ConfigurationVerdict::Older,
                  "offered " + DescribeRevision(reached) + ", but a peer has " +
                    DescribeRevision(known_));
  }
  if (rows.ComputeDigest() != reached.rowsDigest_) {
    return Refuse(ConfigurationVerdict::Gap,
                  "the rows after the delta are not those of " +
                    DescribeRevision(reached));
  }
  return Activate(reached, std::move(rows));
}

ConfigurationOutcome
ConfigurationState::Activate(const TableRevision& aRevision, TableRows aRows)
{
  if (aRows.ComputeDigest() != aRevision.rowsDigest_) {
    return Refuse(ConfigurationVerdict::Invalid,
                  "the rows are not those of " + DescribeRevision(aRevision) +
                    "; a row was written past the tool");
  }
  auto tables = CaptureResult([&] { return Tables::Make(aRevision, aRows); });
  if (tables.has_error()) {
    return Refuse(ConfigurationVerdict::Invalid,
                  DescribeRevision(aRevision) +
                    " is not valid: " + tables.error().message_);
  }
  chain_.Append({ revision_.number_,
                  revision_.editId_,
                  aRevision,
                  rows_.ComputeChanges(aRows) });
  rows_ = std::move(aRows);
  revision_ = aRevision;
  tables_ = std::move(*tables);
  NoteKnownRevision(revision_);
  return { ConfigurationVerdict::Activated, "", tables_ };
}

ConfigurationOutcome
ConfigurationState::Record(ConfigurationOutcome aOutcome)
{
  if (aOutcome.verdict_ == ConfigurationVerdict::Activated ||
      aOutcome.verdict_ == ConfigurationVerdict::Unchanged) {
    refusal_.reset();
  } else {
    refusal_ = aOutcome;
  }
  return aOutcome;
}

std::optional<TableUpdate>
ConfigurationState::MakeDelta(const TableRevision& aFrom) const
{
  if (tables_ == nullptr || aFrom.number_ >= revision_.number_) {
    return std::nullopt;
  }
  const auto editId = chain_.FindEditId(aFrom.number_);
  if (editId == aFrom.editId_) {
    auto deltas = chain_.CollectAfter(aFrom.number_);
    if (!deltas.empty()) {
      return deltas;
    }
  }
  TableSnapshot snapshot;
  snapshot.revision_ = revision_;
  snapshot.rows_ = rows_;
  if (editId) {
    snapshot.ancestor_ = TableRevision{ aFrom.number_, *editId, "", 0 };
  }
  return snapshot;
}

} // namespace azurecross
