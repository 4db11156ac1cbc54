#pragma once

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_core/azurecross_core.h>
#include <azurecross_store/azurecross_store.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** A calendar month in UTC, the period that the supplier bills. */
using BillingMonth = std::chrono::year_month;

/** @returns the month of a time in milliseconds since the Unix epoch. */
BillingMonth
FindBillingMonth(std::int64_t aUnixMilliseconds);

/** @returns the store's key of a group's busiest minute. */
std::string
MakePeakKey(const GroupId& aGroup, BillingMonth aMonth);

/** @returns the value to store for a busiest minute, in charged tokens. */
std::string
FormatPeak(double aPeak);

/** @returns the busiest minute, or nothing if the text is not one. */
std::optional<double>
ParsePeak(std::string_view aText);

/** The busiest minute of a group as the store has it. */
struct StoredPeak
{
  /** Charged tokens; 0 if the key does not exist. */
  double peak_ = 0.0;
  /** Store revision of the last write; 0 if the key does not exist. */
  std::int64_t revision_ = 0;
};

/** Asks the shell to read a key. */
struct ReadPeak
{
  GroupId group_;
  std::string key_;
};

/** Asks the shell to write a key if it still has the revision. */
struct WritePeak
{
  GroupId group_;
  std::string key_;
  double peak_ = 0.0;
  std::int64_t expectedRevision_ = 0;
};

/** Tells the arbiter of a group the busiest minute already paid for. */
struct LoadGroupPeak
{
  GroupId group_;
  double peak_ = 0.0;
};

/** Tells the arbiter of a group that a new billing month has begun. */
struct StartGroupMonth
{
  GroupId group_;
};

/** What a `PeakKeeper` wants to be done. */
struct PeakActions
{
  std::vector<ReadPeak> reads_;
  std::vector<WritePeak> writes_;
  std::vector<LoadGroupPeak> loads_;
  std::vector<StartGroupMonth> months_;
};

/**
 * Keeps the busiest minute of the billing month in the platform's store, one
 * key for each arbitration group whose home is this entry, so that a new home
 * entry paces lesser work under what is paid for already.
 *
 * A state machine without I/O. A key is read once when the group arrives, and
 * written seldom: at most once a minute, and only if the peak has grown by
 * `kLeastGrowth`. A stored peak never falls within a month. While the store is
 * away, the arbiter keeps the last known peak, and calls are spaced out.
 */
class PeakKeeper
{
public:
  static constexpr Duration kWriteInterval = std::chrono::minutes(1);
  /** Smaller growth is not worth a write: it is lost with the home entry, and
   * lesser work is then held 2% lower. */
  static constexpr double kLeastGrowth = 1.02;

  explicit PeakKeeper(std::uint64_t aSeed);

  /**
   * Takes the groups whose home is this entry, with their peaks, and asks for
   * the calls that are due.
   */
  void Tick(const std::map<GroupId, double>& aPeaks,
            BillingMonth aMonth,
            Time aNow,
            PeakActions& aActions);

  /** Writes what has grown at all, at a planned stop. */
  void Flush(const std::map<GroupId, double>& aPeaks, PeakActions& aActions);

  /** Takes the answer of a read. */
  void TakeRead(const ReadPeak& aRead,
                const StoredPeak& aStored,
                Time aNow,
                PeakActions& aActions);

  /** Takes that a write was applied, with its store revision. */
  void TakeWritten(const WritePeak& aWrite, std::int64_t aRevision);

  /** Takes what another entry wrote in the meantime; nothing was written. */
  void TakeConflict(const WritePeak& aWrite,
                    const StoredPeak& aStored,
                    PeakActions& aActions);

  /** Takes that a call failed, or that its outcome is unknown. */
  void TakeFailure(const GroupId& aGroup, const std::string& aKey, Time aNow);

private:
  struct Group
  {
    explicit Group(std::uint64_t aSeed);

    std::string key_;
    StoredPeak stored_;
    bool isKnown_ = false;
    bool isCalling_ = false;
    Time nextCall_;
    Backoff backoff_;
  };

  Group* FindCaller(const GroupId& aGroup, const std::string& aKey);
  void StartMonth(BillingMonth aMonth, Time aNow, PeakActions& aActions);
  void UpdateGroups(const std::map<GroupId, double>& aPeaks, Time aNow);
  void Call(const GroupId& aId,
            Group& aGroup,
            double aPeak,
            double aLeastGrowth,
            Time aNow,
            PeakActions& aActions);
  void Write(const GroupId& aId,
             Group& aGroup,
             double aPeak,
             PeakActions& aActions);

  Random seeds_;
  std::optional<BillingMonth> month_;
  std::map<GroupId, Group> groups_;
};

} // namespace azurecross
