#include "LengthPredictor.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Customers beyond this share the class of their route and model. */
constexpr std::size_t kMaximumClasses = 16'384;
/** Weight of the parent's estimate, in observations. */
constexpr double kParentWeight = 20.0;
/** Weight of the assumed hazard of a route that has no history. */
constexpr double kAssumedWeight = 4.0;
/** Old observations are halved when a class has this many, so that a change
 * of lengths shows within a few thousand requests. */
constexpr double kForgetAt = 4000.0;
/** Observations between two rebuilds of a class's summed hazards. */
constexpr std::uint32_t kRebuildInterval = 32;
constexpr double kFirstBoundary = 8.0;
constexpr double kBucketsPerOctave = 2.0;

/** Without history most generations are assumed to pass 128 tokens, because
 * under-estimating length causes preemptions. */
double
AssumeHazard(std::size_t aBucket)
{
  constexpr std::size_t kShortBuckets = 9;
  return aBucket < kShortBuckets ? 0.05 : 0.25;
}

} // namespace

LengthPredictor::LengthPredictor()
{
  AddClass(0);
}

LengthPredictor::ClassIndex
LengthPredictor::AddClass(ClassIndex aParent)
{
  const auto index = static_cast<ClassIndex>(classes_.size());
  classes_.emplace_back().parent_ = aParent;
  Rebuild(index);
  return index;
}

LengthPredictor::ClassIndex
LengthPredictor::FindOrAddClass(const RouteName& aRoute,
                                const ModelName& aModel,
                                const CustomerId& aCustomer)
{
  const std::uint64_t routeKey =
    HashBytes(aModel.GetValue(), HashBytes(aRoute.GetValue(), 1));
  const std::uint64_t customerKey = HashBytes(aCustomer.GetValue(), routeKey);
  const auto known = indexes_.find(customerKey);
  if (known != indexes_.end()) {
    return known->second;
  }
  const auto [route, isNewRoute] = indexes_.try_emplace(routeKey, 0);
  if (isNewRoute) {
    route->second = AddClass(0);
  }
  const ClassIndex routeClass = route->second;
  if (classes_.size() >= kMaximumClasses) {
    return routeClass;
  }
  const ClassIndex customerClass = AddClass(routeClass);
  indexes_.emplace(customerKey, customerClass);
  return customerClass;
}

std::size_t
LengthPredictor::FindBucket(std::uint32_t aTokens)
{
  if (aTokens < kFirstBoundary) {
    return 0;
  }
  const double octaves = std::log2(aTokens / kFirstBoundary);
  const auto bucket = static_cast<std::size_t>(octaves * kBucketsPerOctave) + 1;
  return std::min(bucket, kBucketCount - 1);
}

double
LengthPredictor::GetBucketStart(std::size_t aBucket)
{
  static const auto kStarts = [] {
    std::array<double, kBucketCount + 1> starts{};
    for (std::size_t bucket = 1; bucket <= kBucketCount; ++bucket) {
      starts[bucket] =
        kFirstBoundary *
        std::exp2(static_cast<double>(bucket - 1) / kBucketsPerOctave);
    }
    return starts;
  }();
  return kStarts[aBucket];
}

double
LengthPredictor::ComputeCumulative(const LengthClass& aClass,
                                   std::uint32_t aTokens) const
{
  const std::size_t bucket = FindBucket(aTokens);
  const double start = GetBucketStart(bucket);
  const double width = GetBucketStart(bucket + 1) - start;
  const double hazard =
    aClass.cumulative_[bucket + 1] - aClass.cumulative_[bucket];
  return aClass.cumulative_[bucket] + hazard * (aTokens - start) / width;
}

double
LengthPredictor::PredictSurvival(ClassIndex aClass,
                                 std::uint32_t aTokens,
                                 std::uint32_t aLater) const
{
  const LengthClass& lengthClass = classes_[aClass];
  return std::exp(ComputeCumulative(lengthClass, aTokens) -
                  ComputeCumulative(lengthClass, std::max(aTokens, aLater)));
}

double
LengthPredictor::PredictLength(ClassIndex aClass,
                               std::uint32_t aTokens,
                               std::uint32_t aLimit) const
{
  const LengthClass& lengthClass = classes_[aClass];
  const double base = ComputeCumulative(lengthClass, aTokens);
  const double limit = aLimit == 0 ? GetBucketStart(kBucketCount) : aLimit;
  double expected = aTokens;
  double from = aTokens;
  double fromSurvival = 1.0;
  for (std::size_t bucket = FindBucket(aTokens);
       bucket < kBucketCount && from < limit;
       ++bucket) {
    const double end = std::min(GetBucketStart(bucket + 1), limit);
    const double survival =
      std::exp(base - lengthClass.cumulative_[bucket + 1]);
    expected += (end - from) * (fromSurvival + survival) / 2.0;
    from = end;
    fromSurvival = survival;
  }
  return expected;
}

void
LengthPredictor::ObserveGrowth(ClassIndex aClass,
                               std::uint32_t aFromTokens,
                               std::uint32_t aToTokens)
{
  const std::size_t last = FindBucket(aToTokens);
  for (std::size_t bucket = FindBucket(aFromTokens); bucket < last; ++bucket) {
    Observe(aClass, bucket, 0.0);
  }
}

void
LengthPredictor::ObserveCompletion(ClassIndex aClass, std::uint32_t aTokens)
{
  Observe(aClass, FindBucket(aTokens), 1.0);
}

void
LengthPredictor::Observe(ClassIndex aClass, std::size_t aBucket, double aEnded)
{
  for (ClassIndex index = aClass; index != 0; index = classes_[index].parent_) {
    LengthClass& lengthClass = classes_[index];
    lengthClass.exposed_[aBucket] += 1.0;
    lengthClass.ended_[aBucket] += aEnded;
    if (lengthClass.exposed_[aBucket] > kForgetAt) {
      for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
        lengthClass.exposed_[bucket] /= 2.0;
        lengthClass.ended_[bucket] /= 2.0;
      }
    }
    if (++lengthClass.changes_ >= kRebuildInterval) {
      Rebuild(index);
    }
  }
}

void
LengthPredictor::Rebuild(ClassIndex aClass)
{
  LengthClass& lengthClass = classes_[aClass];
  const LengthClass& parent = classes_[lengthClass.parent_];
  const bool isRoute = lengthClass.parent_ == 0;
  const double weight = isRoute ? kAssumedWeight : kParentWeight;
  double sum = 0.0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const double parentHazard =
      isRoute ? AssumeHazard(bucket)
              : parent.cumulative_[bucket + 1] - parent.cumulative_[bucket];
    // The probability of ending inside the bucket, from which the summed
    // hazard follows; kept below 1 because the logarithm is infinite there.
    const double ending =
      (lengthClass.ended_[bucket] + weight * -std::expm1(-parentHazard)) /
      (lengthClass.exposed_[bucket] + weight);
    lengthClass.cumulative_[bucket] = sum;
    sum -= std::log1p(-std::min(ending, 0.999));
  }
  lengthClass.cumulative_[kBucketCount] = sum;
  lengthClass.changes_ = 0;
}

} // namespace azurecross
