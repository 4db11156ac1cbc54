#include "LengthPredictor.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Maximum number of classes; further customers share the class of their route
 * and model. */
constexpr std::size_t kMaxClasses = 16'384;
/** Weight of the parent's estimate, in observations. */
constexpr double kParentWeight = 20.0;
/** Weight of the prior hazard of a route, in observations. */
constexpr double kPriorWeight = 4.0;
/** Number of observations in one bucket above which a class halves its counts,
 * so that predictions follow a change of lengths within a few thousand
 * requests. */
constexpr double kHalvingThreshold = 4000.0;
/** Observations between two rebuilds of a class's cumulative hazard. */
constexpr std::uint32_t kObservationsPerRebuild = 32;
constexpr double kFirstBoundaryTokens = 8.0;
constexpr double kBucketsPerOctave = 2.0;

/** @returns the hazard of a bucket without observations. Most generations are
 * assumed to exceed 128 tokens, because underestimated lengths cause
 * preemptions. */
double
GetPriorHazard(std::size_t aBucket)
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
  RebuildHazard(index);
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
  const auto known = classIndexes_.find(customerKey);
  if (known != classIndexes_.end()) {
    return known->second;
  }
  const auto [route, isNewRoute] = classIndexes_.try_emplace(routeKey, 0);
  if (isNewRoute) {
    route->second = AddClass(0);
  }
  const ClassIndex routeClass = route->second;
  if (classes_.size() >= kMaxClasses) {
    return routeClass;
  }
  const ClassIndex customerClass = AddClass(routeClass);
  classIndexes_.emplace(customerKey, customerClass);
  return customerClass;
}

std::size_t
LengthPredictor::FindBucket(std::uint32_t aTokens)
{
  if (aTokens < kFirstBoundaryTokens) {
    return 0;
  }
  const double octaves = std::log2(aTokens / kFirstBoundaryTokens);
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
        kFirstBoundaryTokens *
        std::exp2(static_cast<double>(bucket - 1) / kBucketsPerOctave);
    }
    return starts;
  }();
  return kStarts[aBucket];
}

double
LengthPredictor::ComputeCumulativeHazard(const LengthClass& aClass,
                                         std::uint32_t aTokens) const
{
  const std::size_t bucket = FindBucket(aTokens);
  const double start = GetBucketStart(bucket);
  const double width = GetBucketStart(bucket + 1) - start;
  const double hazard =
    aClass.cumulativeHazard_[bucket + 1] - aClass.cumulativeHazard_[bucket];
  return aClass.cumulativeHazard_[bucket] + hazard * (aTokens - start) / width;
}

double
LengthPredictor::PredictSurvival(ClassIndex aClass,
                                 std::uint32_t aTokens,
                                 std::uint32_t aLaterTokens) const
{
  const LengthClass& lengthClass = classes_[aClass];
  return std::exp(
    ComputeCumulativeHazard(lengthClass, aTokens) -
    ComputeCumulativeHazard(lengthClass, std::max(aTokens, aLaterTokens)));
}

double
LengthPredictor::PredictLength(ClassIndex aClass,
                               std::uint32_t aTokens,
                               std::uint32_t aLimit) const
{
  const LengthClass& lengthClass = classes_[aClass];
  const double base = ComputeCumulativeHazard(lengthClass, aTokens);
  const double limit = aLimit == 0 ? GetBucketStart(kBucketCount) : aLimit;
  double expected = aTokens;
  double from = aTokens;
  double fromSurvival = 1.0;
  for (std::size_t bucket = FindBucket(aTokens);
       bucket < kBucketCount && from < limit;
       ++bucket) {
    const double end = std::min(GetBucketStart(bucket + 1), limit);
    const double survival =
      std::exp(base - lengthClass.cumulativeHazard_[bucket + 1]);
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
    ObserveBucket(aClass, bucket, 0.0);
  }
}

void
LengthPredictor::ObserveCompletion(ClassIndex aClass, std::uint32_t aTokens)
{
  ObserveBucket(aClass, FindBucket(aTokens), 1.0);
}

void
LengthPredictor::ObserveBucket(ClassIndex aClass,
                               std::size_t aBucket,
                               double aEndCount)
{
  for (ClassIndex index = aClass; index != 0; index = classes_[index].parent_) {
    LengthClass& lengthClass = classes_[index];
    lengthClass.exposureCounts_[aBucket] += 1.0;
    lengthClass.endCounts_[aBucket] += aEndCount;
    if (lengthClass.exposureCounts_[aBucket] > kHalvingThreshold) {
      for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
        lengthClass.exposureCounts_[bucket] /= 2.0;
        lengthClass.endCounts_[bucket] /= 2.0;
      }
    }
    if (++lengthClass.observationsSinceRebuild_ >= kObservationsPerRebuild) {
      RebuildHazard(index);
    }
  }
}

void
LengthPredictor::RebuildHazard(ClassIndex aClass)
{
  LengthClass& lengthClass = classes_[aClass];
  const LengthClass& parent = classes_[lengthClass.parent_];
  const bool isRoute = lengthClass.parent_ == 0;
  const double weight = isRoute ? kPriorWeight : kParentWeight;
  double sum = 0.0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const double parentHazard = isRoute ? GetPriorHazard(bucket)
                                        : parent.cumulativeHazard_[bucket + 1] -
                                            parent.cumulativeHazard_[bucket];
    // The probability of ending inside the bucket, from which its hazard
    // follows; limited to less than 1, where the logarithm is infinite.
    const double endProbability =
      (lengthClass.endCounts_[bucket] + weight * -std::expm1(-parentHazard)) /
      (lengthClass.exposureCounts_[bucket] + weight);
    lengthClass.cumulativeHazard_[bucket] = sum;
    sum -= std::log1p(-std::min(endProbability, 0.999));
  }
  lengthClass.cumulativeHazard_[kBucketCount] = sum;
  lengthClass.observationsSinceRebuild_ = 0;
}

} // namespace azurecross
