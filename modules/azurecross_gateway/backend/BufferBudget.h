#pragma once

#include <atomic>
#include <cstddef>

namespace azurecross {

/**
 * Limits the memory of all messages of one kind together: responses and
 * incomplete events, or the bodies of requests. The limit of one message alone
 * doesn't protect a small VM from many of them.
 */
class BufferBudget
{
public:
  explicit BufferBudget(std::size_t aLimitBytes)
    : limitBytes_(aLimitBytes)
  {
  }

  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  std::size_t GetUsedBytes() const { return usedBytes_.load(); }

  /** The part of one message, given back by its destructor. */
  class Reservation
  {
  public:
    explicit Reservation(BufferBudget& aBudget)
      : budget_(aBudget)
    {
    }
    ~Reservation() { budget_.usedBytes_ -= bytes_; }

    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /** @returns whether the budget allows these additional bytes. */
    bool Grow(std::size_t aBytes)
    {
      if ((budget_.usedBytes_ += aBytes) > budget_.limitBytes_) {
        budget_.usedBytes_ -= aBytes;
        return false;
      }
      bytes_ += aBytes;
      return true;
    }

    /** Sets the size of this part.
     * @returns whether the budget allows it. */
    bool Resize(std::size_t aBytes)
    {
      if (aBytes > bytes_) {
        return Grow(aBytes - bytes_);
      }
      budget_.usedBytes_ -= bytes_ - aBytes;
      bytes_ = aBytes;
      return true;
    }

  private:
    BufferBudget& budget_;
    std::size_t bytes_ = 0;
  };

private:
  std::size_t limitBytes_;
  std::atomic<std::size_t> usedBytes_ = 0;
};

} // namespace azurecross
