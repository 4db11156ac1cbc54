#pragma once

#include "Callers.h"
#include "Desk.h"
#include "Store.h"

#include <memory>
#include <vector>

namespace rig {

/** A small installation: the platform's store, and in each of three zones one
 * entry and one replica of the service `desk`. */
class Fleet
{
public:
  /** @param aWorkTime that a replica takes for a request. */
  Fleet(Record& aRecord, Milliseconds aWorkTime);

  /** Starts the entries. @returns whether all of them are ready in time. */
  bool Start();
  /** Adds consumers of all entries, of which a third sends idempotent requests
   * and the others bookings.
   * @param aPauseStep consumers pause for different multiples of this time, so
   * that they don't act in step. */
  void AddCallers(Callers& aCallers,
                  unsigned aCountPerEntry,
                  Milliseconds aPauseStep) const;
  /** Writes a replica's registration, as a check-in that changes it. */
  void CheckIn(const Desk& aDesk, const std::string& aState);

  Store& GetStore() { return store_; }
  const std::vector<std::unique_ptr<Entry>>& GetEntries() const
  {
    return entries_;
  }
  const std::vector<std::unique_ptr<Desk>>& GetDesks() const { return desks_; }
  Desk& GetDesk(std::size_t aIndex) { return *desks_.at(aIndex); }

private:
  Folder folder_;
  Store store_;
  unsigned sequence_ = 0;
  std::vector<std::unique_ptr<Desk>> desks_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

void
Sleep(int aMilliseconds);

/** Counts the requests that consumers sent after a time and that a leaving
 * replica ran, and writes the result.
 * @returns the exit status of the case. */
int
JudgeDrain(const Desk& aLeaving,
           const std::vector<Call>& aCalls,
           Clock::time_point aSparedFrom,
           Record& aRecord);

} // namespace rig
