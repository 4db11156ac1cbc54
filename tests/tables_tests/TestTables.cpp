#include "TestTables.h"

namespace azurecross {

Pool
MakePool(const std::string& aName)
{
  Pool pool;
  pool.name_ = PoolName(aName);
  pool.group_ = "group-" + aName;
  pool.models_ = { ModelName("paint") };
  return pool;
}

Route
MakeRoute(const std::string& aName, const std::string& aPool)
{
  Route route;
  route.name_ = RouteName(aName);
  route.pool_ = PoolName(aPool);
  return route;
}

RowChange
SetRoute(const Route& aRoute)
{
  return { TableKind::Routes, aRoute.name_.GetValue(), SerializeRoute(aRoute) };
}

RowChange
SetPool(const Pool& aPool)
{
  return { TableKind::Pools, aPool.name_.GetValue(), SerializePool(aPool) };
}

TableDelta
TestStore::Edit(const std::string& aEditId,
                const std::vector<RowChange>& aChanges)
{
  TableRevision& head = snapshot_.revision_;
  TableDelta delta;
  delta.baseNumber_ = head.number_;
  delta.baseEditId_ = head.editId_;
  delta.changes_ = aChanges;
  snapshot_.rows_.Apply(aChanges);
  head = {
    head.number_ + 1, aEditId, head.editId_, snapshot_.rows_.ComputeDigest()
  };
  snapshot_.headModRevision_ += 1;
  delta.revision_ = head;
  history_.push_back(head);
  return delta;
}

TableSnapshot
TestStore::Read(const TableRevision& aReader) const
{
  TableSnapshot snapshot = snapshot_;
  for (const TableRevision& revision : history_) {
    if (revision.number_ == aReader.number_) {
      snapshot.ancestor_ = revision;
    }
  }
  return snapshot;
}

} // namespace azurecross
