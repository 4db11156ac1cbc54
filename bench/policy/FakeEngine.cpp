#include "FakeEngine.h"

#include <algorithm>

namespace azurecross::bench {

FakeEngine::FakeEngine(const EngineParameters& aParameters)
  : parameters_(aParameters)
{
}

void
FakeEngine::Submit(EngineJob aJob)
{
  aJob.prefillLeft_ = aJob.prompt_;
  waiting_[static_cast<std::size_t>(aJob.rank_)].push_back(aJob);
}

void
FakeEngine::Cancel(std::size_t aRequest)
{
  const auto isRequest = [aRequest](const EngineJob& aJob) {
    return aJob.request_ == aRequest;
  };
  for (auto& queue : waiting_) {
    queue.erase(std::remove_if(queue.begin(), queue.end(), isRequest),
                queue.end());
  }
  const auto position =
    std::find_if(running_.begin(), running_.end(), isRequest);
  if (position != running_.end()) {
    used_ -= position->prompt_ + position->generated_;
    running_.erase(position);
  }
}

void
FakeEngine::Clear()
{
  running_.clear();
  waiting_[0].clear();
  waiting_[1].clear();
  cache_.clear();
  used_ = 0;
}

std::uint32_t
FakeEngine::LookUpPrefix(const EngineJob& aJob)
{
  if (aJob.prefix_ == 0) {
    return 0;
  }
  const auto position = std::find(cache_.begin(), cache_.end(), aJob.prefix_);
  if (position != cache_.end()) {
    cache_.splice(cache_.begin(), cache_, position);
    return std::min(aJob.prefixTokens_, aJob.prompt_ - 1);
  }
  cache_.push_front(aJob.prefix_);
  stored_.push_back(aJob.prefix_);
  if (cache_.size() > parameters_.cachedPrefixes_) {
    removed_.push_back(cache_.back());
    cache_.pop_back();
  }
  return 0;
}

bool
FakeEngine::AdmitNext()
{
  auto& queue = waiting_[0].empty() ? waiting_[1] : waiting_[0];
  if (queue.empty() || running_.size() >= parameters_.maxBatch_) {
    return false;
  }
  EngineJob job = queue.front();
  const std::uint32_t needed = job.prompt_ + job.generated_;
  if (used_ + needed + running_.size() > parameters_.memoryTokens_ &&
      !running_.empty()) {
    return false;
  }
  queue.pop_front();
  if (job.generated_ == 0) {
    job.prefillLeft_ -= LookUpPrefix(job);
    prefilled_ += job.prefillLeft_;
  }
  used_ += needed;
  running_.push_back(job);
  return true;
}

void
FakeEngine::Preempt()
{
  // The latest lesser job goes first, then the latest urgent one.
  auto victim =
    std::find_if(running_.rbegin(), running_.rend(), [](const EngineJob& aJob) {
      return aJob.rank_ == Rank::Lesser;
    });
  if (victim == running_.rend()) {
    victim = running_.rbegin();
  }
  EngineJob job = *victim;
  running_.erase(std::next(victim).base());
  used_ -= job.prompt_ + job.generated_;
  job.prefillLeft_ = job.prompt_ + job.generated_;
  waiting_[static_cast<std::size_t>(job.rank_)].push_front(job);
  ++preemptions_;
}

Duration
FakeEngine::BeginStep()
{
  while (AdmitNext()) {
  }
  while (used_ + running_.size() > parameters_.memoryTokens_ &&
         running_.size() > 1) {
    Preempt();
  }
  if (running_.empty()) {
    return Duration::zero();
  }
  std::uint32_t budget = parameters_.prefillPerStep_;
  for (EngineJob& job : running_) {
    const std::uint32_t chunk = std::min(budget, job.prefillLeft_);
    job.prefillLeft_ -= chunk;
    budget -= chunk;
  }
  const double seconds =
    parameters_.baseSeconds_ +
    parameters_.perRequestSeconds_ * static_cast<double>(running_.size()) +
    parameters_.perContextTokenSeconds_ * used_ +
    parameters_.perPrefillTokenSeconds_ *
      (parameters_.prefillPerStep_ - budget);
  return FromSeconds(seconds / parameters_.speed_);
}

void
FakeEngine::EndStep(std::vector<EngineToken>& aTokens)
{
  std::size_t kept = 0;
  for (EngineJob& job : running_) {
    bool isLast = false;
    if (job.prefillLeft_ == 0) {
      ++job.generated_;
      ++used_;
      isLast = job.generated_ >= job.output_;
      aTokens.push_back({ job.request_, isLast });
    }
    if (isLast) {
      used_ -= job.prompt_ + job.generated_;
    } else {
      running_[kept++] = job;
    }
  }
  running_.resize(kept);
}

void
FakeEngine::TakeCacheChanges(std::vector<std::uint64_t>& aStored,
                             std::vector<std::uint64_t>& aRemoved)
{
  aStored = std::exchange(stored_, {});
  aRemoved = std::exchange(removed_, {});
}

} // namespace azurecross::bench
