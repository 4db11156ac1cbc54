#include "Scenario.h"

#include <functional>
#include <map>

namespace azurecross::bench {
namespace {

constexpr std::uint32_t kSmallMemory = 60'000;
constexpr std::uint32_t kMiddleMemory = 100'000;
constexpr std::uint32_t kLargeMemory = 160'000;

/** Engines of three speeds and memory sizes, in turn. */
std::vector<EngineParameters>
MakeEngines(std::size_t aCount)
{
  std::vector<EngineParameters> engines(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    EngineParameters& engine = engines[index];
    switch (index % 4) {
      case 0:
        engine.speed_ = 0.7;
        engine.memoryTokens_ = kSmallMemory;
        break;
      case 1:
        engine.speed_ = 1.0;
        engine.memoryTokens_ = kMiddleMemory;
        break;
      case 2:
        engine.speed_ = 1.0;
        engine.memoryTokens_ = kSmallMemory;
        break;
      default:
        engine.speed_ = 1.4;
        engine.memoryTokens_ = kLargeMemory;
    }
  }
  return engines;
}

/** The paint assistant's plans: urgent, a few hundred tokens. */
RouteProfile
MakePlan()
{
  RouteProfile profile;
  profile.name_ = "plan";
  return profile;
}

/** Work without a waiting person, with long outputs. */
RouteProfile
MakeSummary()
{
  RouteProfile profile;
  profile.name_ = "summary";
  profile.promptMedian_ = 800.0;
  profile.outputMedian_ = 400.0;
  profile.outputSigma_ = 1.1;
  profile.tailShare_ = 0.03;
  profile.tailStart_ = 3000.0;
  profile.deadlineSeconds_ = 120.0;
  return profile;
}

/** Species verdicts: brief, against one of a few shared reference keys. */
RouteProfile
MakeVerdict()
{
  RouteProfile profile;
  profile.name_ = "verdict";
  profile.promptMedian_ = 150.0;
  profile.promptSigma_ = 0.6;
  profile.outputMedian_ = 40.0;
  profile.outputSigma_ = 0.8;
  profile.tailShare_ = 0.01;
  profile.tailStart_ = 400.0;
  profile.prefixes_ = 40;
  profile.prefixTokens_ = 1024;
  return profile;
}

/** Twelve engines, ordinary load of both ranks. */
Scenario
MakeBase()
{
  Scenario scenario;
  scenario.workload_.urgent_ = MakePlan();
  scenario.workload_.lesser_ = MakeSummary();
  scenario.workload_.engines_ = MakeEngines(12);
  scenario.engineZones_.assign(12, 0);
  scenario.workload_.phases_ = { { 0.0, 180.0, 0.5, 0.3, 0.0 } };
  return scenario;
}

/** Spreads the engines over zones in turn. */
void
SetZones(Scenario& aScenario, std::size_t aZones)
{
  aScenario.zoneCount_ = aZones;
  aScenario.workload_.zoneLoads_.assign(aZones, 1.0);
  for (std::size_t index = 0; index < aScenario.engineZones_.size(); ++index) {
    // Each zone gets engines of all kinds.
    aScenario.engineZones_[index] = (index + index / 4) % aZones;
  }
}

void
AddFlood(Scenario& aScenario, double aUrgent, double aLesser)
{
  aScenario.workload_.phases_ = { { 0.0, 60.0, 0.5, 0.3, 0.0 },
                                  { 60.0, 180.0, aUrgent, aLesser, 0.0 } };
}

void
AddLargeCustomers(Scenario& aScenario, std::uint32_t aCount, bool aOnOneEntry)
{
  aScenario.workload_.largeCustomers_ = aCount;
  aScenario.workload_.isLargeOnOneEntry_ = aOnOneEntry;
  aScenario.workload_.phases_ = { { 0.0, 60.0, 0.4, 0.2, 0.0 },
                                  { 60.0, 180.0, 0.4, 0.2, 3.0 } };
  aScenario.isUrgentBelowCapacity_ = false;
}

void
AddPeakMinute(Scenario& aScenario)
{
  // Urgent load that changes every 20 s, under lesser work that would fill
  // all capacity all the time.
  constexpr double kStep = 20.0;
  const std::vector<double> loads = { 0.2,  0.35, 0.25, 0.45, 0.3, 0.2, 0.5,
                                      0.25, 0.4,  0.15, 0.3,  0.2, 0.35 };
  aScenario.durationSeconds_ = 600.0;
  aScenario.measureFromSeconds_ = 60.0;
  aScenario.isPaced_ = true;
  aScenario.workload_.phases_.clear();
  for (int step = 0; step < 30; ++step) {
    aScenario.workload_.phases_.push_back(
      { step * kStep,
        (step + 1) * kStep,
        loads[static_cast<std::size_t>(step) % loads.size()],
        1.0,
        0.0 });
  }
}

using Maker = std::function<void(Scenario&)>;

const std::vector<std::pair<std::string, Maker>>&
GetMakers()
{
  static const std::vector<std::pair<std::string, Maker>> kMakers = {
    { "steady", [](Scenario&) {} },
    { "flood-lesser",
      [](Scenario& aScenario) { AddFlood(aScenario, 0.5, 5.0); } },
    { "flood-urgent",
      [](Scenario& aScenario) {
        AddFlood(aScenario, 3.0, 1.0);
        aScenario.isUrgentBelowCapacity_ = false;
      } },
    { "floods-in-turn",
      [](Scenario& aScenario) {
        aScenario.durationSeconds_ = 240.0;
        aScenario.workload_.phases_ = { { 0.0, 60.0, 0.5, 0.3, 0.0 },
                                        { 60.0, 150.0, 0.5, 5.0, 0.0 },
                                        { 150.0, 240.0, 3.0, 1.0, 0.0 } };
        aScenario.isUrgentBelowCapacity_ = false;
      } },
    { "large-customer",
      [](Scenario& aScenario) { AddLargeCustomers(aScenario, 1, true); } },
    { "large-customer-spread",
      [](Scenario& aScenario) { AddLargeCustomers(aScenario, 3, false); } },
    { "engine-death",
      [](Scenario& aScenario) {
        aScenario.faults_ = { { FaultKind::ServerDeath, 80.0, 3, 0.0 },
                              { FaultKind::ServerDeath, 90.0, 1, 0.0 },
                              { FaultKind::EngineReturn, 140.0, 3, 0.0 } };
      } },
    { "slow-engine",
      [](Scenario& aScenario) {
        aScenario.faults_ = { { FaultKind::EngineSpeed, 70.0, 3, 0.2 },
                              { FaultKind::EngineStall, 90.0, 1, 10.0 },
                              { FaultKind::EngineSpeed, 130.0, 3, 1.0 } };
      } },
    { "zone-cut",
      [](Scenario& aScenario) {
        SetZones(aScenario, 2);
        aScenario.workload_.zoneLoads_ = { 1.3, 0.7 };
        aScenario.faults_ = { { FaultKind::ZoneCut, 90.0, 0, 0.0 },
                              { FaultKind::ZoneHeal, 140.0, 0, 0.0 } };
      } },
    { "home-entry-death",
      [](Scenario& aScenario) {
        aScenario.faults_ = { { FaultKind::HomeLoss, 90.0, 0, 0.0 },
                              { FaultKind::HomeRecovery, 93.3, 0, 0.0 } };
      } },
    { "stale-reports",
      [](Scenario& aScenario) {
        aScenario.progressLag_ = std::chrono::seconds(2);
        aScenario.loadLag_ = std::chrono::seconds(5);
        aScenario.workload_.phases_ = { { 0.0, 180.0, 0.6, 0.6, 0.0 } };
      } },
    { "peak-minute", AddPeakMinute },
    { "cooperative",
      [](Scenario& aScenario) {
        SetZones(aScenario, 3);
        aScenario.workload_.customers_ = 10;
        aScenario.workload_.phases_ = { { 0.0, 60.0, 0.5, 0.3, 0.0 },
                                        { 60.0, 120.0, 0.7, 0.5, 0.0 },
                                        { 120.0, 180.0, 0.6, 2.0, 0.0 } };
      } },
    { "firm",
      [](Scenario& aScenario) {
        aScenario.workload_.urgent_ = MakeVerdict();
        aScenario.workload_.engines_ = MakeEngines(8);
        aScenario.engineZones_.assign(8, 0);
        SetZones(aScenario, 4);
        aScenario.workload_.customers_ = 10;
        aScenario.workload_.phases_ = { { 0.0, 60.0, 0.4, 0.5, 0.0 },
                                        { 60.0, 120.0, 0.6, 1.5, 0.0 },
                                        { 120.0, 180.0, 0.4, 3.0, 0.0 } };
      } },
  };
  return kMakers;
}

} // namespace

const std::vector<std::string>&
ListScenarios()
{
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> names;
    for (const auto& [name, maker] : GetMakers()) {
      names.push_back(name);
    }
    return names;
  }();
  return kNames;
}

Scenario
MakeScenario(std::string_view aName)
{
  Scenario scenario = MakeBase();
  scenario.name_ = aName;
  for (const auto& [name, maker] : GetMakers()) {
    if (name == aName) {
      maker(scenario);
    }
  }
  return scenario;
}

} // namespace azurecross::bench
