#include "Checks.h"
#include "DecisionCost.h"
#include "PolicyRun.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <string>

namespace azurecross::bench {
namespace {

constexpr const char* kDecisionCost = "decision-cost";

/** Rounds to a readable number of digits for the output. */
double
Round(double aValue, int aDigits = 4)
{
  const double scale = std::pow(10.0, aDigits);
  return std::round(aValue * scale) / scale;
}

boost::json::object
Describe(const Figures& aFigures)
{
  boost::json::object line;
  line["urgent_ttft_p95_s"] = Round(aFigures.urgentTtftP95_);
  line["urgent_itl_p95_ms"] = Round(aFigures.urgentItlP95Milliseconds_, 1);
  line["urgent_completed"] = Round(aFigures.urgentCompleted_, 6);
  line["lesser_share"] = Round(aFigures.lesserShare_);
  line["stall_time_s"] = Round(aFigures.stallSeconds_, 2);
  line["preemptions"] = aFigures.preemptions_;
  if (aFigures.smallRatio_) {
    line["small_customer_ttft_p95_ratio"] = Round(*aFigures.smallRatio_, 3);
  }
  line["jain_fairness"] = Round(aFigures.jain_);
  line["busiest_minute"] = std::llround(aFigures.busiestMinute_);
  if (aFigures.busiestMinuteLeast_) {
    line["busiest_minute_least"] = std::llround(*aFigures.busiestMinuteLeast_);
  }
  line["refused"] = aFigures.refused_;
  line["wrongly_refused"] = aFigures.wronglyRefused_;
  line["decision_us_p50"] = Round(aFigures.decisionP50_, 2);
  line["decision_us_p99"] = Round(aFigures.decisionP99_, 2);
  line["urgent_served"] = Round(aFigures.urgentServed_);
  line["output_tokens_per_s"] = std::llround(aFigures.outputTokensPerSecond_);
  line["small_ttft_p95_s"] = Round(aFigures.smallTtftP95_);
  return line;
}

Figures
RunWithRatio(const Scenario& aScenario, PolicyKind aKind, std::uint64_t aSeed)
{
  const auto arrivals = DrawArrivals(aScenario.workload_, aSeed);
  Figures figures = RunPolicy(aScenario, arrivals, aKind, aSeed);
  if (aScenario.workload_.largeCustomers_ > 0) {
    Scenario alone = aScenario;
    for (LoadPhase& phase : alone.workload_.phases_) {
      phase.large_ = 0.0;
    }
    const auto smallArrivals = DrawArrivals(alone.workload_, aSeed);
    const Figures without = RunPolicy(alone, smallArrivals, aKind, aSeed);
    figures.smallRatio_ = figures.smallTtftP95_ / without.smallTtftP95_;
  }
  return figures;
}

/** Prints the cost of decisions at the size in design 1.7 and, to show how it
 * grows, with fewer customers and a shorter queue. */
void
PrintDecisionCost(std::uint64_t aSeed)
{
  for (const DecisionCostOptions& options :
       { DecisionCostOptions{ 590, 7'200, 4'000, aSeed },
         DecisionCostOptions{ 590, 7'200, 250, aSeed },
         DecisionCostOptions{ 590, 10, 4'000, aSeed },
         DecisionCostOptions{ 64, 7'200, 4'000, aSeed } }) {
    const DecisionCost cost = MeasureDecisionCost(options);
    boost::json::object line;
    line["scenario"] = kDecisionCost;
    line["policy"] = "home-per-group";
    line["seed"] = aSeed;
    line["servers"] = options.servers_;
    line["customers"] = options.customers_;
    line["queued"] = options.queued_;
    line["decision_us_p50"] = Round(cost.p50_, 2);
    line["decision_us_p99"] = Round(cost.p99_, 2);
    std::cout << boost::json::serialize(line) << std::endl;
  }
}

/** @returns the number of targets missed by one scenario. */
int
RunCheck(const std::string& aScenario, std::uint64_t aSeed)
{
  const Scenario scenario = MakeScenario(aScenario);
  const auto missed =
    CheckTargets(scenario,
                 RunWithRatio(scenario, PolicyKind::HomePerGroup, aSeed),
                 RunWithRatio(scenario, PolicyKind::LeastOutstanding, aSeed));
  for (const std::string& line : missed) {
    std::cout << aScenario << " seed " << aSeed << ": " << line << '\n';
  }
  return static_cast<int>(missed.size());
}

int
RunBench(int aCount, char** aArguments)
{
  cxxopts::Options options("azurecross-policy-bench",
                           "Measures the decision core on a virtual clock.");
  auto add = options.add_options();
  add("json", "Print one JSON line for each run (the only format)");
  add("scenario", "Scenario to run", cxxopts::value<std::string>());
  add("policy", "Policy to run", cxxopts::value<std::string>());
  add("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("check", "Compare with the targets; exit code 1 if one is missed");
  add("list", "List scenarios and policies");
  add("help", "Print this help");
  const auto arguments = options.parse(aCount, aArguments);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (arguments.count("list") > 0) {
    for (const std::string& name : ListScenarios()) {
      std::cout << "scenario " << name << '\n';
    }
    std::cout << "scenario " << kDecisionCost << '\n';
    for (const auto& [kind, name] : kPolicyNames.GetEntries()) {
      std::cout << "policy " << name << '\n';
    }
    return 0;
  }
  const auto seed = arguments["seed"].as<std::uint64_t>();
  std::vector<std::string> scenarios = ListScenarios();
  scenarios.emplace_back(kDecisionCost);
  if (arguments.count("scenario") > 0) {
    const auto name = arguments["scenario"].as<std::string>();
    if (std::find(scenarios.begin(), scenarios.end(), name) ==
        scenarios.end()) {
      std::cerr << "scenario: unknown value \"" << name
                << "\", see --list for the allowed ones\n";
      return 2;
    }
    scenarios = { name };
  }
  std::vector<PolicyKind> kinds = { PolicyKind::HomePerGroup,
                                    PolicyKind::RoundRobin,
                                    PolicyKind::LeastOutstanding };
  if (arguments.count("policy") > 0) {
    const auto name = arguments["policy"].as<std::string>();
    const auto kind = kPolicyNames.FindValue(name);
    if (!kind) {
      std::cerr << "policy: unknown value \"" << name
                << "\", allowed: " << kPolicyNames.JoinNames() << '\n';
      return 2;
    }
    kinds = { *kind };
  }
  int missed = 0;
  for (const std::string& name : scenarios) {
    const bool isCheck = arguments.count("check") > 0;
    if (name == kDecisionCost) {
      // Timing bounds are not checked: they depend on the machine's load.
      if (!isCheck) {
        PrintDecisionCost(seed);
      }
      continue;
    }
    if (isCheck) {
      missed += RunCheck(name, seed);
      continue;
    }
    const Scenario scenario = MakeScenario(name);
    for (PolicyKind kind : kinds) {
      boost::json::object line;
      line["scenario"] = name;
      line["policy"] = std::string(kPolicyNames.FindName(kind));
      line["seed"] = seed;
      for (auto& [key, value] : Describe(RunWithRatio(scenario, kind, seed))) {
        line[key] = std::move(value);
      }
      std::cout << boost::json::serialize(line) << std::endl;
    }
  }
  return missed > 0 ? 1 : 0;
}

} // namespace
} // namespace azurecross::bench

int
main(int aCount, char** aArguments)
{
  try {
    return azurecross::bench::RunBench(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
