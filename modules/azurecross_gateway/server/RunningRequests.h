#pragma once

#include <azurecross_core/azurecross_core.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>

namespace azurecross {

/**
 * The requests in progress on all worker threads, and the end of a drain. The
 * lock is taken at the start and at the end of a request, not per token.
 */
class RunningRequests
{
public:
  /** What is shown of one request. */
  struct Entry
  {
    std::string requestId_;
    std::string target_;
    Time arrival_;
    std::atomic<std::uint64_t> tokens_ = 0;
  };

  /** Keeps a request in the list as long as it lives. */
  class Registration
  {
  public:
    Registration(RunningRequests& aRequests, std::string aTarget, Time aTime);
    ~Registration();

    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    void SetRequestId(const RequestId& aRequestId);
    std::atomic<std::uint64_t>& GetTokens() { return entry_->tokens_; }

  private:
    RunningRequests& requests_;
    std::list<Entry>::iterator entry_;
  };

  /** Runs the function when no request is left, at once if there is none. */
  void BeginDrain(std::function<void()> aOnEmpty);

  bool IsDraining() const { return isDraining_.load(); }
  std::size_t Count() const;

  /** @returns the requests as a JSON array. */
  std::string Describe(Time aNow) const;

private:
  mutable std::mutex mutex_;
  std::list<Entry> entries_;
  std::function<void()> onEmpty_;
  std::atomic<bool> isDraining_ = false;
};

} // namespace azurecross
