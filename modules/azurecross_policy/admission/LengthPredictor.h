#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace azurecross {

/**
 * Predicts output lengths per route, model and customer.
 *
 * Lengths are kept as a hazard per half octave (Kaplan-Meier estimate). A
 * running generation counts in every bucket that it has outlived, as a
 * censored observation, so long generations are not under-counted while they
 * run and a prediction rises as a generation outlives it. A customer with few
 * observations is predicted mostly from its route and model.
 */
class LengthPredictor
{
public:
  /** Index of a length class; stays valid for the predictor's life. */
  using ClassIndex = std::uint32_t;

  LengthPredictor();

  /** @returns the class of these requests, which is added if it is new. */
  ClassIndex FindOrAddClass(const RouteName& aRoute,
                            const ModelName& aModel,
                            const CustomerId& aCustomer);

  /** Records that a generation grew from one length to another. */
  void ObserveGrowth(ClassIndex aClass,
                     std::uint32_t aFromTokens,
                     std::uint32_t aToTokens);

  /** Records that a generation ended by itself at this length. */
  void ObserveCompletion(ClassIndex aClass, std::uint32_t aTokens);

  /** @returns the probability that a generation of `aTokens` reaches
   * `aLaterTokens` tokens. */
  double PredictSurvival(ClassIndex aClass,
                         std::uint32_t aTokens,
                         std::uint32_t aLaterTokens) const;

  /** @returns the expected final length of one that has `aTokens` tokens. */
  double PredictLength(ClassIndex aClass,
                       std::uint32_t aTokens,
                       std::uint32_t aLimit) const;

private:
  /** Half octaves from 8 to 65,536 tokens, and one bucket below. */
  static constexpr std::size_t kBucketCount = 27;

  struct LengthClass
  {
    ClassIndex parent_ = 0;
    std::array<double, kBucketCount> endCounts_{};
    std::array<double, kBucketCount> exposureCounts_{};
    /** Hazard summed up to the start of each bucket. */
    std::array<double, kBucketCount + 1> cumulativeHazard_{};
    std::uint32_t observationsSinceRebuild_ = 0;
  };

  static std::size_t FindBucket(std::uint32_t aTokens);
  static double GetBucketStart(std::size_t aBucket);
  double ComputeCumulativeHazard(const LengthClass& aClass,
                                 std::uint32_t aTokens) const;
  void ObserveBucket(ClassIndex aClass, std::size_t aBucket, double aEndCount);
  void RebuildHazard(ClassIndex aClass);
  ClassIndex AddClass(ClassIndex aParent);

  std::vector<LengthClass> classes_;
  std::unordered_map<std::uint64_t, ClassIndex> classIndexes_;
};

} // namespace azurecross
