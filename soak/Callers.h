#pragma once

#include "Fleet.h"

#include <azurecross_core/azurecross_core.h>
#include <review/common/Http.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace azurecross::soak {

/** What a caller asks for. */
enum class RequestKind
{
  IdempotentCall,
  NonIdempotentCall,
  SlowCall,
  /** A generation that states the most tokens it needs. */
  LimitedStream,
  /** A generation of unknown length. */
  UnlimitedStream,
  /** A call that is not idempotent, with a key that no configuration has. */
  UnknownKeyCall,
};

inline constexpr NameTable<RequestKind, 6> kRequestKindNames{
  { { { RequestKind::IdempotentCall, "idempotent_call" },
      { RequestKind::NonIdempotentCall, "non_idempotent_call" },
      { RequestKind::SlowCall, "slow_call" },
      { RequestKind::LimitedStream, "limited_stream" },
      { RequestKind::UnlimitedStream, "unlimited_stream" },
      { RequestKind::UnknownKeyCall, "unknown_key_call" } } }
};

/** One request as its caller saw it. */
struct CallRecord
{
  std::string id_;
  RequestKind kind_ = RequestKind::IdempotentCall;
  std::size_t entry_ = 0;
  /** When the last byte was sent. */
  Clock::time_point sentAt_;
  Clock::time_point endedAt_;
  Clock::time_point deadline_;
  /** 0 without a head. */
  int status_ = 0;
  /** Whether the whole answer arrived. */
  bool isWhole_ = false;
  /** Whether a whole success is the answer to this request. */
  bool isRight_ = false;
};

/** Callers on threads of their own. They use open connections until the entry
 * announces the close or is gone. */
class Callers
{
public:
  Callers(Fleet& aFleet, unsigned aCount, std::uint64_t aSeed);
  ~Callers();

  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /** Waits for the requests in progress. @returns all requests. */
  std::vector<CallRecord> Finish();

private:
  void Run(unsigned aCaller, std::uint64_t aSeed);
  /** Makes requests on one connection.
   * @param aRequests counts the caller's requests. */
  void UseConnection(unsigned aCaller, unsigned& aRequests, Random& aRandom);
  /** @returns whether the request was sent. */
  static bool Send(review::Socket& aSocket,
                   const std::string& aText,
                   Random& aRandom);

  Fleet& fleet_;
  std::atomic<bool> isFinished_ = false;
  std::mutex mutex_;
  std::vector<CallRecord> records_;
  std::vector<std::thread> threads_;
};

} // namespace azurecross::soak
