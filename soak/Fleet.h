#pragma once

#include "FaultProxy.h"

#include <platform/tests/process/EntryProcess.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace azurecross::soak {

/** What was done to an entry, or what it did. */
enum class EntryEvent
{
  Started,
  Reloaded,
  /** SIGTERM was sent. */
  Stopped,
  /** SIGKILL was sent. */
  Killed,
  Paused,
  Continued,
  /** The store couldn't be reached in order, or could be again. */
  StoreDisturbed,
  StoreRestored,
  /** The process is gone. */
  Ended,
};

inline constexpr NameTable<EntryEvent, 9> kEntryEventNames{
  { { { EntryEvent::Started, "started" },
      { EntryEvent::Reloaded, "reloaded" },
      { EntryEvent::Stopped, "stopped" },
      { EntryEvent::Killed, "killed" },
      { EntryEvent::Paused, "paused" },
      { EntryEvent::Continued, "continued" },
      { EntryEvent::StoreDisturbed, "store_disturbed" },
      { EntryEvent::StoreRestored, "store_restored" },
      { EntryEvent::Ended, "ended" } } }
};

struct TimedEvent
{
  EntryEvent event_;
  Clock::time_point time_;
};

/** One entry process, its link to the store and its history. The process is
 * started again whenever it ends. Used by several threads. */
class FleetEntry
{
public:
  /** @param aSignalsAtOnce whether a signal may reach a process before the
   * first instruction of its program. */
  FleetEntry(platform::EntryProcessSettings aSettings,
             const std::string& aFolder,
             bool aSignalsAtOnce);
  ~FleetEntry();

  FleetEntry(const FleetEntry&) = delete;
  FleetEntry& operator=(const FleetEntry&) = delete;

  void Signal(int aSignal, EntryEvent aEvent);
  /** Rewrites the settings file in place, in two parts. */
  void RewriteSettings(review::Milliseconds aPause);
  void SetStoreFault(LinkFault aFault);
  /** Sends SIGHUP this long after each further start. */
  void SetEarlyReload(std::optional<review::Milliseconds> aDelay);

  const platform::EntryProcess& GetProcess() const { return process_; }
  const std::string& GetName() const { return name_; }
  std::vector<TimedEvent> GetHistory() const;
  /** @returns how the process ended, for each end that a SIGTERM or a SIGKILL
   * of the test doesn't explain. */
  std::vector<std::string> GetUnexpectedEnds() const;
  unsigned CountStarts() const;

  /** Ends the process and starts it no more. */
  void Finish();

private:
  void Supervise();
  void Record(EntryEvent aEvent);
  void RecordEnd(const platform::ProcessEnd& aEnd);

  FaultProxy store_;
  std::string name_;
  platform::EntryProcess process_;
  bool signalsAtOnce_;
  mutable std::mutex mutex_;
  std::vector<TimedEvent> history_;
  std::vector<std::string> unexpectedEnds_;
  std::optional<review::Milliseconds> earlyReload_;
  unsigned starts_ = 0;
  /** What the next end of the process is due to. */
  bool isStopping_ = false;
  bool isKilled_ = false;
  bool isFinished_ = false;
  std::thread supervisor_;
};

/** The entries and the load balancer before them. */
class Fleet
{
public:
  /** @param aSettings the settings of each entry. */
  Fleet(const std::vector<platform::EntryProcessSettings>& aSettings,
        const std::string& aFolder,
        bool aSignalsAtOnce);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** @returns whether all entries are ready before the timeout. */
  bool WaitUntilReady(review::Milliseconds aTimeout) const;
  /** @returns the entry to which the balancer sends a caller.
   * @param aHash selects one of the entries in rotation. */
  std::size_t ChooseEntry(std::uint64_t aHash) const;
  FleetEntry& GetEntry(std::size_t aIndex) { return *entries_.at(aIndex); }
  std::size_t GetSize() const { return entries_.size(); }
  /** Ends all processes. */
  void Finish();

private:
  void CheckReadiness();

  std::vector<std::unique_ptr<FleetEntry>> entries_;
  mutable std::mutex mutex_;
  /** Failed readiness checks in a row, for each entry. */
  std::vector<unsigned> misses_;
  bool isFinished_ = false;
  std::thread balancer_;
};

} // namespace azurecross::soak
