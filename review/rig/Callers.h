#pragma once

#include "Entry.h"

namespace rig {

/** One request of a consumer, and its end. */
struct Call
{
  std::string id_;
  std::string entry_;
  std::string key_;
  bool isIdempotent_ = false;
  Clock::time_point sentAt_;
  Clock::time_point endedAt_;
  /** The status, or 0 if no whole answer came. */
  int status_ = 0;
};

/** Consumers that send one request after another on kept connections. Each one
 * stays with its entry and key. */
class Callers
{
public:
  explicit Callers(Record& aRecord)
    : record_(aRecord)
  {
  }
  ~Callers() { Finish(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /** Adds a consumer.
   * @param aPause between an answer and the next request.
   * @param aKey its API key; empty for none. */
  void Add(const Entry& aEntry,
           bool aIsIdempotent,
           Milliseconds aPause,
           const std::string& aKey = {});
  /** Ends the consumers. @returns all their requests. */
  std::vector<Call> Finish();

private:
  void Run(const Entry& aEntry,
           unsigned aNumber,
           bool aIsIdempotent,
           Milliseconds aPause,
           const std::string& aKey);

  Record& record_;
  std::mutex mutex_;
  std::vector<Call> calls_;
  std::vector<std::thread> threads_;
  std::atomic<bool> isFinished_ = false;
};

} // namespace rig
