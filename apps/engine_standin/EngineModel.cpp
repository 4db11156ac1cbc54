#include "EngineModel.h"

#include <algorithm>
#include <utility>

namespace azurecross {

namespace {

constexpr std::size_t kNamePrefixLength = 8;
/** A longer gap, such as a stall, is not caught up on. */
constexpr Duration kCatchUpLimit = std::chrono::milliseconds(100);

} // namespace

EngineModel::EngineModel(EngineSettings aSettings)
  : settings_(aSettings)
  , namePrefix_("g" + DrawUniqueName().substr(0, kNamePrefixLength))
{
}

EngineModel::GenerationPointer
EngineModel::Add(Generation aGeneration, Time aNow)
{
  auto generation = std::make_shared<Generation>(std::move(aGeneration));
  generation->sequence_ = nextSequence_++;
  generation->id_ = namePrefix_ + "-" + std::to_string(generation->sequence_);
  generation->createdMilliseconds_ = ReadUnixMilliseconds();
  generation->unreadSince_ = aNow;
  if (leavingSince_ > 0) {
    generation->afterLeavingMilliseconds_ =
      generation->createdMilliseconds_ - leavingSince_;
  }
  waiting_[{ generation->priority_, generation->sequence_ }] = generation;
  kept_[generation->id_] = generation;
  record_.push_back(generation);
  return generation;
}

EngineModel::GenerationPointer
EngineModel::Find(const std::string& aId) const
{
  const auto found = kept_.find(aId);
  return found == kept_.end() ? nullptr : found->second;
}

void
EngineModel::Step(Time aNow)
{
  DropUnread(aNow);
  if (IsDown(aNow) || aNow < stalledUntil_) {
    return;
  }
  StartWaiting(aNow);
  ProduceTokens(aNow);
  PauseUntilMemoryFits();
}

void
EngineModel::StartWaiting(Time aNow)
{
  while (!waiting_.empty() && running_.size() < settings_.batchLimit_) {
    const GenerationPointer generation = waiting_.begin()->second;
    const std::int64_t needed = generation->GetMemory() + 1;
    const bool fits = CountMemoryUsed() + needed <= settings_.memoryTokens_;
    // A generation larger than the memory runs alone.
    if (!fits && !running_.empty()) {
      return;
    }
    waiting_.erase(waiting_.begin());
    if (generation->startedMilliseconds_ == 0) {
      generation->startedMilliseconds_ = ReadUnixMilliseconds();
    }
    generation->state_ = GenerationState::Running;
    generation->nextTokenAt_ = aNow + settings_.firstTokenDelay_;
    running_.push_back(generation);
  }
}

void
EngineModel::ProduceTokens(Time aNow)
{
  // A copy, because the last token of a generation removes it.
  const std::vector<GenerationPointer> running = running_;
  for (const GenerationPointer& generation : running) {
    const std::int64_t before = generation->produced_;
    if (generation->nextTokenAt_ < aNow - kCatchUpLimit) {
      generation->nextTokenAt_ = aNow;
    }
    while (!generation->IsEnded() && generation->nextTokenAt_ <= aNow) {
      ProduceToken(*generation, aNow);
    }
    if (generation->produced_ != before && generation->notify_) {
      generation->notify_();
    }
  }
}

void
EngineModel::ProduceToken(Generation& aGeneration, Time aNow)
{
  ++aGeneration.produced_;
  aGeneration.nextTokenAt_ += GetInterval();
  if (aGeneration.produced_ >= aGeneration.length_) {
    End(aGeneration, GenerationState::Completed, aNow);
  }
  if (tokensUntilDeath_ > 0 && --tokensUntilDeath_ == 0) {
    Die(aNow, aNow + downTime_);
  }
}

void
EngineModel::PauseUntilMemoryFits()
{
  while (running_.size() > 1 && CountMemoryUsed() > settings_.memoryTokens_) {
    const auto victim =
      std::max_element(running_.begin(),
                       running_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return std::pair(aLeft->priority_, aLeft->sequence_) <
                                std::pair(aRight->priority_, aRight->sequence_);
                       });
    const GenerationPointer generation = *victim;
    running_.erase(victim);
    generation->state_ = GenerationState::Paused;
    ++generation->preemptions_;
    ++preemptions_;
    waiting_[{ generation->priority_, generation->sequence_ }] = generation;
  }
}

void
EngineModel::DropUnread(Time aNow)
{
  for (auto entry = kept_.begin(); entry != kept_.end();) {
    const GenerationPointer generation = entry->second;
    const bool isExpired =
      generation->readers_ == 0 &&
      aNow - generation->unreadSince_ >= settings_.retention_;
    if (!isExpired) {
      ++entry;
      continue;
    }
    if (!generation->IsEnded()) {
      End(*generation, GenerationState::Cancelled, aNow);
    }
    entry = kept_.erase(entry);
  }
}

void
EngineModel::AttachReader(Generation& aGeneration)
{
  ++aGeneration.readers_;
}

void
EngineModel::DetachReader(Generation& aGeneration, Time aNow)
{
  --aGeneration.readers_;
  aGeneration.unreadSince_ = aNow;
  if (aGeneration.cancelOnClose_ && aGeneration.readers_ == 0) {
    Cancel(aGeneration, aNow);
  }
}

void
EngineModel::Cancel(Generation& aGeneration, Time aNow)
{
  if (!aGeneration.IsEnded()) {
    End(aGeneration, GenerationState::Cancelled, aNow);
  }
}

void
EngineModel::End(Generation& aGeneration, GenerationState aState, Time aNow)
{
  waiting_.erase({ aGeneration.priority_, aGeneration.sequence_ });
  std::erase_if(running_, [&](const GenerationPointer& aRunning) {
    return aRunning.get() == &aGeneration;
  });
  aGeneration.state_ = aState;
  aGeneration.endedMilliseconds_ = ReadUnixMilliseconds();
  aGeneration.unreadSince_ = aNow;
  if (aGeneration.notify_) {
    aGeneration.notify_();
  }
}

void
EngineModel::Die(Time aNow, Time aUntil)
{
  downUntil_ = aUntil;
  tokensUntilDeath_ = -1;
  const auto kept = std::exchange(kept_, {});
  for (const auto& [id, generation] : kept) {
    if (!generation->IsEnded()) {
      End(*generation, GenerationState::Died, aNow);
    }
  }
}

void
EngineModel::DieAfterTokens(std::int64_t aTokens, Duration aDownTime)
{
  tokensUntilDeath_ = aTokens;
  downTime_ = aDownTime;
}

void
EngineModel::SetLeaving(bool aIsLeaving)
{
  leavingSince_ = aIsLeaving ? ReadUnixMilliseconds() : 0;
}

std::int64_t
EngineModel::CountMemoryUsed() const
{
  std::int64_t used = 0;
  for (const GenerationPointer& generation : running_) {
    used += generation->GetMemory();
  }
  return used;
}

Duration
EngineModel::GetInterval() const
{
  return FromSeconds(slowFactor_ / settings_.tokensPerSecond_);
}

} // namespace azurecross
