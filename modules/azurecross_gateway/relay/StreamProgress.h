#pragma once

#include "../backend/Slot.h"
#include "../server/WorkerMetrics.h"

#include <atomic>

namespace azurecross {

/** Counts the tokens of one stream and reports them now and then. */
class StreamProgress
{
public:
  /**
   * @param aSlot is null for a resumed stream, which holds no grant.
   * @param aShown is read by other threads for descriptions.
   */
  StreamProgress(WorkerMetrics& aMetrics,
                 Rank aRank,
                 Time aArrival,
                 Slot* aSlot,
                 std::atomic<std::uint64_t>& aShown)
    : metrics_(aMetrics)
    , rank_(aRank)
    , arrival_(aArrival)
    , slot_(aSlot)
    , shown_(aShown)
  {
    metrics_.CountStream(rank_, 1);
  }

  ~StreamProgress()
  {
    metrics_.CountStream(rank_, -1);
    if (slot_ != nullptr) {
      slot_->SetTokens(tokens_);
    }
  }

  StreamProgress(const StreamProgress&) = delete;
  StreamProgress& operator=(const StreamProgress&) = delete;

  void CountToken(Time aNow)
  {
    ++tokens_;
    if (tokens_ == 1) {
      metrics_.CountFirstToken(rank_, aNow - arrival_);
      if (slot_ != nullptr) {
        slot_->SetFirstToken(aNow);
      }
    } else {
      metrics_.CountToken(rank_, aNow - lastToken_);
    }
    lastToken_ = aNow;
    if (aNow - lastReport_ >= kReportInterval) {
      lastReport_ = aNow;
      Report();
    }
  }

private:
  void Report()
  {
    shown_.store(tokens_, std::memory_order_relaxed);
    if (slot_ != nullptr) {
      slot_->ReportProgress(tokens_);
    }
  }

  /** The interval at which entries batch their progress messages. */
  static constexpr Duration kReportInterval = std::chrono::milliseconds(250);

  WorkerMetrics& metrics_;
  Rank rank_;
  Time arrival_;
  Slot* slot_;
  std::atomic<std::uint64_t>& shown_;
  std::uint64_t tokens_ = 0;
  Time lastToken_;
  Time lastReport_;
};

} // namespace azurecross
