#pragma once

#include "Backends.h"
#include "Fleet.h"
#include "SoakChecks.h"

#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

namespace azurecross::soak {

/** What is done to the system under test. */
enum class Disruption
{
  /** SIGTERM, with SIGHUP and further SIGTERM before, during and after. */
  StopEntry,
  /** All entries of one zone, or all of them, within half a second. */
  StopSeveralEntries,
  KillEntry,
  PauseEntry,
  ReloadEntry,
  RewriteSettings,
  ChangeConfiguration,
  DisturbStore,
  DisturbServer,
  ReplaceServer,
  /** The answers of a server have a status that HTTP doesn't define. */
  ConfuseServer,
  /** The configuration has no customers, or none that can be read. */
  RemoveCustomers,
  /** An availability zone is evacuated and taken back. */
  EvacuateZone,
};

inline constexpr NameTable<Disruption, 13> kDisruptionNames{
  { { { Disruption::StopEntry, "stop_entry" },
      { Disruption::StopSeveralEntries, "stop_several_entries" },
      { Disruption::KillEntry, "kill_entry" },
      { Disruption::PauseEntry, "pause_entry" },
      { Disruption::ReloadEntry, "reload_entry" },
      { Disruption::RewriteSettings, "rewrite_settings" },
      { Disruption::ChangeConfiguration, "change_configuration" },
      { Disruption::DisturbStore, "disturb_store" },
      { Disruption::DisturbServer, "disturb_server" },
      { Disruption::ReplaceServer, "replace_server" },
      { Disruption::ConfuseServer, "confuse_server" },
      { Disruption::RemoveCustomers, "remove_customers" },
      { Disruption::EvacuateZone, "evacuate_zone" } } }
};

/** Disrupts the system in several overlapping series until it is told to
 * finish. Writes each disruption to a file. */
class Disruptions
{
public:
  /** @param aIsPlannedOnly whether only planned work happens, after which no
   * request may be lost. */
  Disruptions(Fleet& aFleet,
              Backends& aBackends,
              std::uint64_t aSeed,
              bool aIsPlannedOnly,
              const std::string& aPath);
  ~Disruptions();

  Disruptions(const Disruptions&) = delete;
  Disruptions& operator=(const Disruptions&) = delete;

  void Finish();
  std::vector<DisturbedTime> GetServerFaults() const;
  /** @returns when the configuration had no customers. */
  std::vector<DisturbedTime> GetCustomerGaps() const;
  /** @returns when zones were evacuated. */
  std::vector<DisturbedTime> GetEvacuations() const;

private:
  void Run(std::uint64_t aSeed);
  void Execute(Disruption aDisruption, Random& aRandom);
  Disruption Draw(Random& aRandom) const;
  void StopEntry(FleetEntry& aEntry, Random& aRandom);
  void StopSeveralEntries(Random& aRandom);
  void DisturbStore(Random& aRandom);
  void DisturbServer(Random& aRandom);
  void ConfuseServer(Random& aRandom);
  void RemoveCustomers(Random& aRandom);
  void EvacuateZone(Random& aRandom);
  /** Waits up to this time; shorter at the end of the test. */
  void Wait(review::Milliseconds aTime) const;
  void Write(const std::string& aText);

  Fleet& fleet_;
  Backends& backends_;
  bool isPlannedOnly_;
  Clock::time_point start_ = Clock::now();
  std::atomic<bool> isFinished_ = false;
  mutable std::mutex mutex_;
  std::ofstream file_;
  std::vector<DisturbedTime> serverFaults_;
  /** One series at a time removes the customers. */
  std::mutex customersMutex_;
  std::vector<DisturbedTime> customerGaps_;
  /** One zone at a time is evacuated: the other one serves all requests. */
  std::mutex evacuationMutex_;
  std::vector<DisturbedTime> evacuations_;
  std::vector<std::thread> threads_;
};

} // namespace azurecross::soak
