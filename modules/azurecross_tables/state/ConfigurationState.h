#pragma once

#include "../tables/Tables.h"
#include "DeltaChain.h"
#include "TableUpdate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** What became of a snapshot or delta. */
enum class ConfigurationVerdict
{
  /** A higher valid revision is now in force. */
  Activated,
  /** The revision in force was confirmed. */
  Unchanged,
  /** The source is behind the revision in force, or behind one that a peer is
   * known to have. */
  Older,
  /** The source has other edits in place of ones that are in force here. */
  Forked,
  /** Something between is missing; the reader has to read a snapshot. */
  Gap,
  /** The rows are not valid, or are not those that `head` stands for. */
  Invalid,
};

inline constexpr NameTable<ConfigurationVerdict, 6> kConfigurationVerdictNames{
  { { { ConfigurationVerdict::Activated, "activated" },
      { ConfigurationVerdict::Unchanged, "unchanged" },
      { ConfigurationVerdict::Older, "older" },
      { ConfigurationVerdict::Forked, "forked" },
      { ConfigurationVerdict::Gap, "gap" },
      { ConfigurationVerdict::Invalid, "invalid" } } }
};

struct ConfigurationOutcome
{
  ConfigurationVerdict verdict_ = ConfigurationVerdict::Unchanged;
  /** For the log; empty if nothing is wrong. */
  std::string message_;
  /**
   * The tables to publish, if there are new ones. Also set with another verdict
   * if only the first edits of a batch were valid.
   */
  Tables::Version tables_;
};

/**
 * Decides which revision of the tables an entry has in force. Does no I/O.
 *
 * It only ever moves to a higher revision whose tables validate and that
 * descends from the one in force; otherwise the one in force stays. It keeps
 * recent deltas so that peers can catch up.
 *
 * @code
 * const auto outcome = state.ApplySnapshot(snapshot);
 * if (outcome.tables_) { cell.Replace(outcome.tables_); }
 * if (outcome.verdict_ == ConfigurationVerdict::Gap) { ReadSnapshot(); }
 * @endcode
 */
class ConfigurationState
{
public:
  explicit ConfigurationState(DeltaChainLimits aLimits = {});

  /** Takes all rows as read from the store. */
  ConfigurationOutcome ApplySnapshot(const TableSnapshot& aSnapshot);
  /** Takes edits in rising order, from a watch. */
  ConfigurationOutcome ApplyDeltas(const std::vector<TableDelta>& aDeltas);
  /**
   * Takes what a peer sent. A snapshot that does not prove that it descends
   * from the revision in force is a gap, because the peer may have started
   * from a restored store.
   */
  ConfigurationOutcome ApplyPeerUpdate(const TableUpdate& aUpdate);

  /**
   * Notes a revision that a peer has in force. Until this entry has tables, it
   * takes no older ones.
   */
  void NoteKnownRevision(const TableRevision& aRevision);

  /** @returns the tables in force; null before the first valid revision. */
  const Tables::Version& GetTables() const { return tables_; }
  /** @returns the revision in force; number 0 if there is none. */
  const TableRevision& GetRevision() const { return revision_; }
  /** @returns the highest revision that this entry or a peer has. */
  const TableRevision& GetKnownRevision() const { return known_; }
  /** @returns what was refused last, until a revision is confirmed or taken. */
  const std::optional<ConfigurationOutcome>& GetRefusal() const
  {
    return refusal_;
  }

  /**
   * @returns what brings a peer from its revision to the one in force: deltas
   * if they are still kept, else all rows; nothing if the peer is not behind.
   */
  std::optional<TableUpdate> MakeDelta(const TableRevision& aFrom) const;

private:
  /** Whether a snapshot is known to follow the revision in force. */
  enum class Descent
  {
    Proven,
    Forked,
    Unknown,
  };

  Descent CheckDescent(const TableSnapshot& aSnapshot) const;
  std::optional<ConfigurationOutcome> CheckNumber(
    const TableSnapshot& aSnapshot) const;
  ConfigurationOutcome Consider(const TableSnapshot& aSnapshot,
                                bool aIsFromPeer);
  ConfigurationOutcome ConsiderDeltas(const std::vector<TableDelta>& aDeltas);
  ConfigurationOutcome Activate(const TableRevision& aRevision,
                                TableRows aRows);
  ConfigurationOutcome Record(ConfigurationOutcome aOutcome);

  DeltaChain chain_;
  TableRevision revision_;
  TableRevision known_;
  TableRows rows_;
  Tables::Version tables_;
  std::optional<ConfigurationOutcome> refusal_;
};

} // namespace azurecross
