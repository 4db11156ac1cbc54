#pragma once

#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace azurecross::bench {

/** What an engine can do; engines of one pool differ. */
struct EngineParameters
{
  std::uint32_t memoryTokens_ = 100'000;
  std::uint32_t maxBatch_ = 128;
  std::uint32_t prefillPerStep_ = 512;
  /** Prompt prefixes that the cache holds. */
  std::uint32_t cachedPrefixes_ = 12;
  double speed_ = 1.0;
  double baseSeconds_ = 0.010;
  double perRequestSeconds_ = 0.000'25;
  double perContextTokenSeconds_ = 2e-8;
  double perPrefillTokenSeconds_ = 2e-5;
};

/** A generation as the engine sees it. */
struct EngineJob
{
  std::size_t request_ = 0;
  Rank rank_ = Rank::Urgent;
  std::uint32_t prompt_ = 0;
  /** The real output length, which nobody knows before the end. */
  std::uint32_t output_ = 1;
  /** Identifies a shared prompt prefix; 0 if there is none. */
  std::uint64_t prefix_ = 0;
  std::uint32_t prefixTokens_ = 0;
  std::uint32_t generated_ = 0;
  std::uint32_t prefillLeft_ = 0;
};

/** A token that a step produced. */
struct EngineToken
{
  std::size_t request_ = 0;
  bool isLast_ = false;
};

/**
 * A model engine with continuous batching: chunked prefill, one token per
 * running request and step, memory that fills during decoding, preemption by
 * recomputation, and a cache of prompt prefixes. Urgent jobs start first and
 * are preempted last.
 */
class FakeEngine
{
public:
  explicit FakeEngine(const EngineParameters& aParameters);

  void Submit(EngineJob aJob);
  void Cancel(std::size_t aRequest);
  /** Loses all jobs and the cache. */
  void Clear();

  /** Prepares the next step. @returns its duration; 0 if there is no work. */
  Duration BeginStep();

  /** Ends the step and appends the tokens that it produced. */
  void EndStep(std::vector<EngineToken>& aTokens);

  void SetSpeed(double aSpeed) { parameters_.speed_ = aSpeed; }

  std::size_t CountRunning() const { return running_.size(); }
  std::size_t CountWaiting() const
  {
    return waiting_[0].size() + waiting_[1].size();
  }
  std::uint32_t GetUsedMemory() const { return used_; }
  std::uint64_t CountPreemptions() const { return preemptions_; }
  /** Prompt tokens computed, without recomputation and cached prefixes. */
  std::uint64_t CountPrefilled() const { return prefilled_; }
  const EngineParameters& GetParameters() const { return parameters_; }

  /** Takes the cache events since the last call. */
  void TakeCacheChanges(std::vector<std::uint64_t>& aStored,
                        std::vector<std::uint64_t>& aRemoved);

private:
  bool AdmitNext();
  void Preempt();
  std::uint32_t LookUpPrefix(const EngineJob& aJob);

  EngineParameters parameters_;
  std::vector<EngineJob> running_;
  std::deque<EngineJob> waiting_[kRankCount];
  std::uint32_t used_ = 0;
  std::uint64_t preemptions_ = 0;
  std::uint64_t prefilled_ = 0;
  std::list<std::uint64_t> cache_;
  std::vector<std::uint64_t> stored_;
  std::vector<std::uint64_t> removed_;
};

} // namespace azurecross::bench
