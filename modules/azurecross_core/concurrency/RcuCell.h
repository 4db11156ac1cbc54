#pragma once

#include "ThreadSanitizer.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include <urcu/urcu-bp.h>

namespace azurecross {

/**
 * A value that many threads read without locking and that is replaced as a
 * whole now and then.
 *
 * Readers take a `std::shared_ptr` to the current version; the read-copy-update
 * critical section covers only that copy, so a reader may keep a version
 * across asynchronous operations. `Replace` waits for a grace period and may
 * take milliseconds; call it off the request path.
 */
template<typename Value>
class RcuCell
{
public:
  using Version = std::shared_ptr<const Value>;

  explicit RcuCell(Version aVersion = nullptr)
    : current_(new Version(std::move(aVersion)))
  {
  }

  ~RcuCell() { delete current_.load(); }

  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /** @returns the current version; null before the first one. */
  Version Read() const
  {
    urcu_bp_read_lock();
    Version version = *current_.load(std::memory_order_acquire);
    AnnotateRelease(this);
    urcu_bp_read_unlock();
    return version;
  }

  /** Publishes a new version and frees the old slot after a grace period. */
  void Replace(Version aVersion)
  {
    auto* slot = new Version(std::move(aVersion));
    const std::lock_guard lock(writerMutex_);
    Version* previous = current_.exchange(slot, std::memory_order_acq_rel);
    urcu_bp_synchronize_rcu();
    AnnotateAcquire(this);
    delete previous;
  }

private:
  std::atomic<Version*> current_;
  std::mutex writerMutex_;
};

} // namespace azurecross
