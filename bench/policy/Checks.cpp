#include "Checks.h"

#include <string_view>

namespace azurecross::bench {
namespace {

constexpr double kUrgentTtftSeconds = 2.0;
constexpr double kUrgentItlMilliseconds = 37.0;
constexpr double kUrgentCompleted = 1.0;
constexpr double kPreemptionsPart = 0.1;
constexpr double kLesserShare = 0.1;
constexpr double kSmallRatio = 1.5;
constexpr double kBusiestMinute = 1.1;
constexpr double kStallPart = 0.25;

class Checker
{
public:
  void RequireAtMost(std::string_view aName, double aValue, double aBound)
  {
    Require(aName, aValue, aBound, aValue <= aBound);
  }

  void RequireAtLeast(std::string_view aName, double aValue, double aBound)
  {
    Require(aName, aValue, aBound, aValue >= aBound);
  }

  std::vector<std::string> Take() { return std::move(missed_); }

private:
  void Require(std::string_view aName,
               double aValue,
               double aBound,
               bool aIsMet)
  {
    if (!aIsMet) {
      missed_.push_back(std::string(aName) + " is " + std::to_string(aValue) +
                        ", target " + std::to_string(aBound));
    }
  }

  std::vector<std::string> missed_;
};

} // namespace

std::vector<std::string>
CheckTargets(const Scenario& aScenario,
             const Figures& aPolicy,
             const Figures& aLeastOutstanding)
{
  Checker checker;
  if (aScenario.isUrgentBelowCapacity_) {
    checker.RequireAtMost(
      "urgent_ttft_p95_s", aPolicy.urgentTtftP95_, kUrgentTtftSeconds);
    checker.RequireAtMost("urgent_itl_p95_ms",
                          aPolicy.urgentItlP95Milliseconds_,
                          kUrgentItlMilliseconds);
  }
  checker.RequireAtLeast(
    "urgent_completed", aPolicy.urgentCompleted_, kUrgentCompleted);
  checker.RequireAtMost("preemptions",
                        static_cast<double>(aPolicy.preemptions_),
                        kPreemptionsPart *
                          static_cast<double>(aLeastOutstanding.preemptions_));
  checker.RequireAtMost("stall_time_s",
                        aPolicy.stallSeconds_,
                        kStallPart * aLeastOutstanding.stallSeconds_);
  if (aScenario.name_ == "flood-urgent") {
    checker.RequireAtLeast("lesser_share", aPolicy.lesserShare_, kLesserShare);
  }
  if (aPolicy.smallRatio_) {
    checker.RequireAtMost(
      "small_customer_ttft_p95_ratio", *aPolicy.smallRatio_, kSmallRatio);
  }
  if (aPolicy.busiestMinuteLeast_) {
    checker.RequireAtMost("busiest_minute",
                          aPolicy.busiestMinute_,
                          kBusiestMinute * *aPolicy.busiestMinuteLeast_);
  }
  return checker.Take();
}

} // namespace azurecross::bench
