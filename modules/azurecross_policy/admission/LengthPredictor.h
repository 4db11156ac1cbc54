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
 * Lengths are modelled by a hazard per half octave (Kaplan-Meier estimate). A
 * running generation is a censored observation in each bucket that it has
 * passed, so long generations count before they end, and a prediction rises
 * once a generation exceeds it. Predictions for a customer with few
 * observations come mostly from its route and model.
 */
class LengthPredictor
{
public:
  /** Index of a length class, valid for the lifetime of the predictor. */
  using ClassIndex = std::uint32_t;

  LengthPredictor();

  /** @returns the class of requests with this route, model and customer; adds
   * the class if it is missing. */
  ClassIndex FindOrAddClass(const RouteName& aRoute,
                            const ModelName& aModel,
                            const CustomerId& aCustomer);

  /** Records the growth of a generation from `aFromTokens` to `aToTokens`. */
  void ObserveGrowth(ClassIndex aClass,
                     std::uint32_t aFromTokens,
                     std::uint32_t aToTokens);

  /** Records a generation that completed with `aTokens` tokens. */
  void ObserveCompletion(ClassIndex aClass, std::uint32_t aTokens);

  /** @returns the probability that a generation of `aTokens` reaches
   * `aLaterTokens` tokens. */
  double PredictSurvival(ClassIndex aClass,
                         std::uint32_t aTokens,
                         std::uint32_t aLaterTokens) const;

  /** @returns the expected final length of a generation that has `aTokens`
   * tokens; a limit of 0 means none. */
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
    /** Cumulative hazard at the start of each bucket. */
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
