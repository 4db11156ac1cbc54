#pragma once

#include "Workload.h"

#include <string>
#include <string_view>
#include <vector>

namespace azurecross::bench {

enum class FaultKind
{
  ServerDeath,
  EngineReturn,
  /** Sets the engine's speed to `factor_` times its normal one. */
  EngineSpeed,
  /** The engine produces nothing for `factor_` seconds. */
  EngineStall,
  ZoneCut,
  ZoneHeal,
  HomeLoss,
  HomeRecovery,
};

/** Something that breaks or returns at a point of a run. */
struct Fault
{
  FaultKind kind_ = FaultKind::ServerDeath;
  double seconds_ = 0.0;
  std::size_t server_ = 0;
  double factor_ = 1.0;
};

/** One scenario: arrivals, engines, faults and what is measured. */
struct Scenario
{
  std::string name_;
  WorkloadOptions workload_;
  /** Zone of each engine. */
  std::vector<std::size_t> engineZones_;
  std::size_t zoneCount_ = 1;
  std::vector<Fault> faults_;
  double durationSeconds_ = 180.0;
  /** Requests that arrive before this are not measured. */
  double measureFromSeconds_ = 60.0;
  /** Age of progress and load reports when they arrive. */
  Duration progressLag_{};
  Duration loadLag_ = std::chrono::milliseconds(500);
  bool isPaced_ = false;
  /** Whether urgent load stays below capacity, so that 1.8 sets targets. */
  bool isUrgentBelowCapacity_ = true;
};

/** @returns the names of all scenarios, in the order of a full run. */
const std::vector<std::string>&
ListScenarios();

/** @returns the scenario; the name must be one of the list. */
Scenario
MakeScenario(std::string_view aName);

} // namespace azurecross::bench
