#pragma once

#include "../store/TableReader.h"
#include "Backoff.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace azurecross {

struct StoreWatcherSettings
{
  BackoffSettings backoff_;
  /** The pauses become short again after a watch has lasted this long; a store
   * that accepts watches only to drop them would be called too often. */
  Duration steadyTime_ = std::chrono::seconds(5);
};

/** Receives what the watcher reads. */
struct StoreWatchHandlers
{
  /** @returns the revision in force, whose audit entry shows descent; 0 if
   * none. */
  std::function<std::int64_t()> getRevision_;
  std::function<void(const TableSnapshot&)> takeSnapshot_;
  /** @returns whether the rows are still in step; if not, they are read anew.
   */
  std::function<bool(const TableEvents&)> takeEvents_;
  /** Called with each failed call; for logs and metrics. */
  std::function<void(const Error&)> noteFailure_;
};

/** Calls that the watcher has made. */
struct StoreWatchCounts
{
  std::uint64_t reads_ = 0;
  std::uint64_t watches_ = 0;
  std::uint64_t failures_ = 0;
};

/**
 * Keeps an entry in step with the tables in the store: reads all rows, then
 * watches from there, and reads them again after a gap.
 *
 * A gap is a compacted start revision, an event that does not fit (the handler
 * returns false) or a watch that the store ended. After a lost connection the
 * watch goes on from the last seen revision without a read. Failures are
 * followed by growing pauses, so an outage does not raise the call rate.
 *
 * Run it on one strand or thread; it ends when its coroutine is cancelled or
 * after `Stop`.
 */
template<StoreClient Client>
class StoreWatcher
{
public:
  StoreWatcher(Client& aClient,
               StoreWatchHandlers aHandlers,
               StoreWatcherSettings aSettings = {},
               std::uint64_t aSeed = DrawSystemSeed())
    : client_(aClient)
    , handlers_(std::move(aHandlers))
    , settings_(aSettings)
    , backoff_(aSettings.backoff_, aSeed)
  {
  }

  boost::asio::awaitable<void> Run()
  {
    while (!isStopped_) {
      bool isFine = true;
      if (nextRevision_ == 0) {
        isFine = co_await ReadRows();
      }
      if (isFine) {
        isFine = co_await WatchRows();
      }
      if (!isFine) {
        co_await Pause();
      }
    }
  }

  /** Ends `Run` at the next message, failure or pause. */
  void Stop() { isStopped_ = true; }

  const StoreWatchCounts& GetCounts() const { return counts_; }

private:
  boost::asio::awaitable<bool> ReadRows()
  {
    ++counts_.reads_;
    const auto snapshot =
      co_await ReadTableSnapshot(client_, handlers_.getRevision_());
    if (snapshot.has_error()) {
      NoteFailure(snapshot.error());
      co_return false;
    }
    nextRevision_ = snapshot->storeRevision_ + 1;
    handlers_.takeSnapshot_(*snapshot);
    co_return true;
  }

  /** @returns whether to go on without a pause. */
  boost::asio::awaitable<bool> WatchRows()
  {
    ++counts_.watches_;
    const Time start = ReadMonotonicTime();
    WatchRequest request;
    request.key_ = std::string(kConfigurationPrefix);
    request.rangeEnd_ = MakeRangeEnd(kConfigurationPrefix);
    request.startRevision_ = nextRevision_;
    WatchHandler handler = [this](const WatchBatch& aBatch) {
      return TakeBatch(aBatch);
    };
    const auto end =
      co_await client_.Watch(std::move(request), std::move(handler));
    const bool wasSteady = ReadMonotonicTime() - start >= settings_.steadyTime_;
    if (wasSteady) {
      backoff_.Reset();
    }
    if (end.has_error()) {
      NoteFailure(end.error());
      co_return false;
    }
    if (*end != WatchEnd::Idle) {
      nextRevision_ = 0;
    }
    co_return wasSteady;
  }

  bool TakeBatch(const WatchBatch& aBatch)
  {
    if (isStopped_) {
      return false;
    }
    if (aBatch.storeRevision_ + 1 < nextRevision_) {
      // A restored store would report nothing until it reaches the revision
      // that this watch starts from.
      return false;
    }
    if (aBatch.events_.empty()) {
      return true;
    }
    nextRevision_ = aBatch.storeRevision_ + 1;
    return handlers_.takeEvents_(MakeTableEvents(aBatch.events_));
  }

  void NoteFailure(const Error& aError)
  {
    ++counts_.failures_;
    if (handlers_.noteFailure_) {
      handlers_.noteFailure_(aError);
    }
  }

  boost::asio::awaitable<void> Pause()
  {
    if (isStopped_) {
      co_return;
    }
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(backoff_.Draw());
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  Client& client_;
  StoreWatchHandlers handlers_;
  StoreWatcherSettings settings_;
  Backoff backoff_;
  StoreWatchCounts counts_;
  /** The store revision to watch from; 0 if the rows have to be read. */
  std::int64_t nextRevision_ = 0;
  bool isStopped_ = false;
};

} // namespace azurecross
