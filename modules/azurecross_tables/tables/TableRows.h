#pragma once

#include "../codec/TableCodec.h"
#include "../revisions/RowChange.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurecross {

/** A row as the store holds it, and decoded if it is valid. */
template<typename Row>
struct StoredRow
{
  std::string text_;
  /** Null if the text is not a valid row. */
  std::shared_ptr<const Row> row_;
  /** Why there is no row. */
  std::string problem_;
};

/**
 * The rows of both tables, by name, as the store holds them. Rows are decoded
 * once, when they are set; copies share them, so that a delta can be tried on
 * a copy.
 */
class TableRows
{
public:
  template<typename Row>
  using Map = std::map<std::string, std::shared_ptr<const StoredRow<Row>>>;

  /** Sets or deletes a row; an invalid one is kept with its problem. */
  void Apply(const RowChange& aChange);
  void Apply(const std::vector<RowChange>& aChanges);

  const Map<Route>& GetRoutes() const { return routes_; }
  const Map<Pool>& GetPools() const { return pools_; }
  std::size_t GetCount() const { return routes_.size() + pools_.size(); }

  /** @returns the text of a row, or nothing. */
  std::optional<std::string> FindText(TableKind aTable,
                                      const std::string& aName) const;

  /** @returns a hash of all names and texts that ignores their order. */
  std::uint64_t ComputeDigest() const { return digest_; }

  /** @returns the changes that turn these rows into others. */
  std::vector<RowChange> ComputeChanges(const TableRows& aOther) const;

  /** @returns all rows as changes from empty tables. */
  std::vector<RowChange> ListRows() const;

  friend bool operator==(const TableRows& aLeft, const TableRows& aRight);

private:
  Map<Route> routes_;
  Map<Pool> pools_;
  std::uint64_t digest_ = 0;
};

/** @returns the rows of a document. */
TableRows
MakeRows(const TableDocument& aDocument);

} // namespace azurecross
