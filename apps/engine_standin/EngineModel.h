#pragma once

#include "Generation.h"

#include <map>
#include <memory>
#include <vector>

namespace azurecross {

struct EngineSettings
{
  double tokensPerSecond_ = 50;
  std::size_t batchLimit_ = 64;
  std::int64_t memoryTokens_ = 100'000;
  Duration firstTokenDelay_ = std::chrono::milliseconds(50);
  /** How long a generation is kept after its last reader has gone. */
  Duration retention_ = std::chrono::seconds(5);
};

/**
 * A continuously batching engine without I/O: generations wait for a place in
 * the batch and for memory, produce tokens at a fixed rate, and are paused and
 * resumed when the memory is full.
 */
class EngineModel
{
public:
  using GenerationPointer = std::shared_ptr<Generation>;

  explicit EngineModel(EngineSettings aSettings);

  /** Adds a waiting generation and assigns its id and sequence number. */
  GenerationPointer Add(Generation aGeneration, Time aNow);
  /** @returns the generation, if it is running or still kept. */
  GenerationPointer Find(const std::string& aId) const;
  /** Produces the tokens that are due, and starts, pauses and drops. */
  void Step(Time aNow);

  void AttachReader(Generation& aGeneration);
  void DetachReader(Generation& aGeneration, Time aNow);
  void Cancel(Generation& aGeneration, Time aNow);

  /** Loses all generations and refuses work until `aUntil`. */
  void Die(Time aNow, Time aUntil);
  bool IsDown(Time aNow) const { return aNow < downUntil_; }
  void StallUntil(Time aUntil) { stalledUntil_ = aUntil; }
  void SetSlowFactor(double aFactor) { slowFactor_ = aFactor; }
  /** Dies after this many more tokens, for `aDownTime`. */
  void DieAfterTokens(std::int64_t aTokens, Duration aDownTime);
  void SetLeaving(bool aIsLeaving);

  bool IsLeaving() const { return leavingSince_ > 0; }
  std::size_t CountRunning() const { return running_.size(); }
  std::size_t CountWaiting() const { return waiting_.size(); }
  std::int64_t CountMemoryUsed() const;
  std::int64_t CountPreemptions() const { return preemptions_; }
  const EngineSettings& GetSettings() const { return settings_; }
  /** @returns all generations since the start, in order of arrival. */
  const std::vector<GenerationPointer>& GetRecord() const { return record_; }

private:
  void StartWaiting(Time aNow);
  void ProduceTokens(Time aNow);
  void ProduceToken(Generation& aGeneration, Time aNow);
  void PauseUntilMemoryFits();
  void DropUnread(Time aNow);
  void End(Generation& aGeneration, GenerationState aState, Time aNow);
  Duration GetInterval() const;

  EngineSettings settings_;
  std::string namePrefix_;
  std::uint64_t nextSequence_ = 1;
  /** Waiting and paused generations, in the order of their start. */
  std::map<std::pair<std::int64_t, std::uint64_t>, GenerationPointer> waiting_;
  std::vector<GenerationPointer> running_;
  std::map<std::string, GenerationPointer> kept_;
  std::vector<GenerationPointer> record_;
  std::int64_t preemptions_ = 0;
  double slowFactor_ = 1;
  Time stalledUntil_{};
  Time downUntil_{};
  std::int64_t tokensUntilDeath_ = -1;
  Duration downTime_{};
  std::int64_t leavingSince_ = 0;
};

} // namespace azurecross
