#pragma once

#include "../state/StateSource.h"
#include "ReaderSelector.h"
#include "StateFeed.h"

#include <azurecross_http/azurecross_http.h>

#include "../forward/AsyncCondition.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/**
 * A state source that reads through the few daemons that read from the store on
 * behalf of all, or directly from the store if none of them is usable. All
 * state is published again, for the daemons that read from this one.
 *
 * @see StateSource, ReaderSelector
 */
template<StateSource Store>
class RelayedStateSource
{
public:
  RelayedStateSource(const WorkerExecutor& aExecutor,
                     Store& aStore,
                     StateFeed& aFeed,
                     SocketAddress aSelf)
    : executor_(aExecutor)
    , store_(aStore)
    , feed_(aFeed)
    , readerSelector_(std::move(aSelf))
    , client_(aExecutor, MakeLimits(kCallTimeout, kCallTimeout))
    , watchClient_(aExecutor, MakeLimits(kWatchTimeout + kCallTimeout, {}))
    , transferClient_(aExecutor,
                      MakeLimits(kWatchTimeout + kCallTimeout, kCallTimeout))
    , startListClient_(aExecutor, MakeLimits(kListTimeout, {}))
    , listClient_(aExecutor, MakeLimits(kListTimeout, kCallTimeout))
    , tablesReceived_(aExecutor)
  {
  }

  void SetMembers(const std::vector<MemberRecord>& aMembers)
  {
    readerSelector_.SetMembers(aMembers);
  }

  /** Records a peer's report that the store answers the peer. */
  void RecordStoreAccess(const SocketAddress& aPeer)
  {
    readerSelector_.RecordStoreAccess(aPeer, ReadMonotonicTime());
  }

  FeedRole GetRole() const { return readerSelector_.GetRole(); }

  /**
   * @returns the longest time after which a daemon calls the store itself to
   * learn of a change of the servers, although all its readers are silent: the
   * confirmation of the tables finds the first reader silent, which cancels the
   * watch of the servers, and the list from another reader is not answered.
   * @param aConfirmationInterval between two confirmations of the tables.
   * @param aWatchDelay between the end of a watch and the next read.
   */
  static constexpr Duration GetMaxServersDelay(Duration aConfirmationInterval,
                                               Duration aWatchDelay)
  {
    return std::max<Duration>(aConfirmationInterval, kTransferTimeout) +
           kCallTimeout + kWatchPollInterval + aWatchDelay + kCallTimeout;
  }
  /** @returns the same time for a change of the tables. */
  static constexpr Duration GetMaxTablesDelay(Duration aConfirmationInterval)
  {
    return std::max<Duration>(aConfirmationInterval, kTransferTimeout) +
           kMaxReaderSearchTime;
  }

  boost::asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    co_await AwaitReaderStart(knownVersion_ > 0, "&tables=1");
    // The selector skips each reader that has failed.
    const Time searchEnd = ReadMonotonicTime() + kMaxReaderSearchTime;
    auto reader = readerSelector_.SelectReader(ReadMonotonicTime());
    for (int attempts = 0; reader && attempts < kMaxReaderAttempts &&
                           ReadMonotonicTime() + kCallTimeout <= searchEnd;
         ++attempts) {
      const Time sentAt = ReadBootTime();
      std::optional<TablesSnapshot> result = co_await ConfirmTables(*reader);
      if (result) {
        feed_.ConfirmTables(sentAt - result->age_);
        co_return std::move(*result);
      }
      reader = readerSelector_.SelectReader(ReadMonotonicTime());
    }
    if (ReadMonotonicTime() < nextStoreReadAt_) {
      co_return MakeStoreBackoffError();
    }
    const Time sentAt = ReadBootTime();
    AsyncResult<TablesSnapshot> result = co_await store_.ReadTables();
    RecordStoreResult(result);
    nextStoreReadAt_ =
      result ? Time()
             : ReadMonotonicTime() + readerSelector_.GetStoreRetryInterval();
    if (result) {
      RecordStoreRevision(result->revision_);
      PublishTables(*result);
      // A store that was restored from a backup may be behind this daemon.
      if (result->GetVersion() >= knownVersion_) {
        feed_.ConfirmTables(sentAt);
      }
      areTablesFromStore_ = true;
    }
    co_return result;
  }

  boost::asio::awaitable<AsyncResult<TablesSnapshot>> WatchTables(
    std::uint64_t aRevision)
  {
    const auto reader = readerSelector_.SelectReader(ReadMonotonicTime());
    if (reader) {
      watchedReader_ = *reader;
      const ScopeGuard clearWatched([this] { watchedReader_.reset(); });
      std::optional<TablesSnapshot> result =
        co_await FetchTables(watchClient_, *reader, kWatchTimeout, true);
      if (result) {
        co_return std::move(*result);
      }
      co_return MakeSourceChangedError();
    }
    if (!areTablesFromStore_) {
      co_return MakeSourceChangedError();
    }
    AsyncResult<TablesSnapshot> result =
      co_await AwaitWatch<TablesSnapshot>(store_.WatchTables(aRevision));
    RecordStoreResult(result);
    if (result) {
      PublishTables(*result);
    }
    co_return result;
  }

  boost::asio::awaitable<AsyncResult<ServersUpdate>> ListServers()
  {
    co_await AwaitReaderStart(hasServerList_, "");
    // A complete list takes many pages at the store: a starting daemon also
    // tries the other readers first.
    const int maxAttempts = hasServerList_ ? 1 : kMaxReaderAttempts;
    auto reader = readerSelector_.SelectReader(ReadMonotonicTime());
    for (int attempts = 0; reader && attempts < maxAttempts; ++attempts) {
      serversEpoch_ = 0;
      std::optional<ServersUpdate> result =
        co_await FetchServers(hasServerList_ ? listClient_ : startListClient_,
                              *reader,
                              Duration::zero());
      if (result) {
        hasServerList_ = true;
        co_return std::move(*result);
      }
      reader = readerSelector_.SelectReader(ReadMonotonicTime());
    }
    AsyncResult<ServersUpdate> result = co_await store_.ListServers();
    RecordStoreResult(result);
    if (result) {
      hasServerList_ = true;
      feed_.UpdateServers(*result, true);
      serversEpoch_ = 0;
    }
    co_return result;
  }

  boost::asio::awaitable<AsyncResult<ServersUpdate>> WatchServers(
    std::uint64_t aRevision)
  {
    const auto reader = readerSelector_.SelectReader(ReadMonotonicTime());
    const bool isReadFromReader = serversEpoch_ != 0;
    if (reader.has_value() != isReadFromReader ||
        (reader && *reader != serversReader_)) {
      // Revisions and change numbers are only valid at the source that issued
      // them.
      co_return MakeSourceChangedError();
    }
    if (reader) {
      co_return co_await AwaitWatch<ServersUpdate>(WatchReaderServers(*reader));
    }
    AsyncResult<ServersUpdate> result = co_await WatchStoreServers(aRevision);
    RecordStoreResult(result);
    if (result) {
      feed_.UpdateServers(*result, false);
    }
    co_return result;
  }

  boost::asio::awaitable<AsyncResult<bool>> Register(MemberRecord aMember)
  {
    return store_.Register(std::move(aMember));
  }
  boost::asio::awaitable<AsyncResult<bool>> KeepAlive()
  {
    return store_.KeepAlive();
  }
  /** Only the daemons that read from the store record anything there. */
  boost::asio::awaitable<AsyncResult<bool>> RecordCustomers()
  {
    if (GetRole() != FeedRole::StoreReader) {
      co_return false;
    }
    co_return co_await store_.RecordCustomers();
  }
  boost::asio::awaitable<AsyncResult<bool>> WereCustomersRecorded()
  {
    return store_.WereCustomersRecorded();
  }
  boost::asio::awaitable<AsyncResult<std::vector<MemberRecord>>> ListMembers(
    bool aMayBeOld)
  {
    const auto reader = readerSelector_.SelectReader(ReadMonotonicTime());
    if (reader) {
      const std::optional<std::string> body =
        co_await FetchFromReader(client_, *reader, "/feed/members");
      auto members = body ? ParseMembersFeedResponse(*body) : std::nullopt;
      if (members) {
        feed_.SetMembers(*members);
        co_return std::move(*members);
      }
    }
    AsyncResult<std::vector<MemberRecord>> members =
      co_await store_.ListMembers(aMayBeOld);
    if (members) {
      feed_.SetMembers(*members);
    }
    co_return members;
  }
  AsyncResult<ServingTables::Content> ParseTables(
    const std::string& aText) const
  {
    return store_.ParseTables(aText);
  }
  std::optional<ServerRecord> ParseServer(const std::string& aId,
                                          const std::string& aText) const
  {
    return store_.ParseServer(aId, aText);
  }

private:
  /** A reachable daemon responds within a few milliseconds. */
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
  /** Longest transfer of a complete list of servers. After a common start, a
   * relay sends it to all its subscribers at the same time. */
  static constexpr Duration kListTimeout = std::chrono::milliseconds(1500);
  /** After its start, a daemon waits this long for a reader that was started at
   * the same time, instead of reading the store like all others. A store reader
   * needs 0.8 s to list 10,000 servers, and relays wait for it in turn. */
  static constexpr Duration kMaxReaderStartWait = std::chrono::seconds(3);
  /** Wait after the start for a reader that the store doesn't answer. */
  static constexpr Duration kMaxSuspendedReaderWait =
    std::chrono::milliseconds(700);
  /** Time for which a reader holds the question whether it is ready; shorter
   * than `kCallTimeout`. */
  static constexpr Duration kReaderStartPollTime =
    std::chrono::milliseconds(250);
  static constexpr Duration kReaderStartPollInterval =
    std::chrono::milliseconds(60);
  /** Readers tried before the store, if they fail at once. */
  static constexpr int kMaxReaderAttempts = 3;
  /** Longest search for a reader: two of them may be silent. In a zone that is
   * cut off, each attempt takes the whole `kCallTimeout`. */
  static constexpr Duration kMaxReaderSearchTime =
    2 * kCallTimeout + std::chrono::milliseconds(50);
  /** Longest wait for tables that a watch is receiving. */
  static constexpr Duration kTransferTimeout = std::chrono::milliseconds(750);
  /** Limits the time for which a stalled connection hides changes. */
  static constexpr std::chrono::milliseconds kWatchTimeout{ 2000 };
  /** Interval at which a pending watch checks for its cancellation. */
  static constexpr Duration kWatchPollInterval = std::chrono::milliseconds(100);
  /** Age of a reader's last confirmation above which the reader counts as cut
   * off from the store. Together with the confirmation interval of this daemon,
   * a change that one reader misses is applied within two seconds. */
  static constexpr Duration kMaxConfirmationAge =
    std::chrono::milliseconds(1200);

  static HttpClientLimits MakeLimits(Duration aResponseTimeout,
                                     std::optional<Duration> aSilenceTimeout)
  {
    HttpClientLimits limits;
    limits.connectTimeout_ = kCallTimeout;
    limits.answerTimeout_ = aResponseTimeout;
    limits.silenceTimeout_ = aSilenceTimeout;
    return limits;
  }

  static Error MakeSourceChangedError()
  {
    return Error{ ErrorCode::GenerationLost,
                  Verdict::NotRun,
                  "the source of the state has changed; the full state must be "
                  "read again",
                  {} };
  }

  static Error MakeStoreBackoffError()
  {
    return Error{ ErrorCode::StoreUnavailable,
                  Verdict::NotRun,
                  "no reader has current tables, and the store did not answer "
                  "a moment ago",
                  {} };
  }

  /** Suspends the feed to other daemons and cancels the pending watches after a
   * call that the store didn't answer. */
  template<typename Value>
  void RecordStoreResult(const AsyncResult<Value>& aStoreResult)
  {
    if (!IsSourceAnswer(aStoreResult)) {
      feed_.Suspend();
      ++watchCancellations_;
    }
  }

  void RecordReaderFailure(const SocketAddress& aReader)
  {
    readerSelector_.RecordFailure(aReader, ReadMonotonicTime());
    ++watchCancellations_;
  }

  void RecordStoreRevision(std::uint64_t aRevision)
  {
    if (aRevision != storeRevision_) {
      storeRevision_ = aRevision;
      storeRevisionReadAt_ = ReadMonotonicTime();
    }
  }

  /**
   * Watches the servers at the store. The reads of the tables, on connections
   * of their own, show that the store has changed meanwhile. A watch that
   * doesn't return soon after that may be on a connection that has gone silent,
   * unless the change was none of the servers'; it returns without changes, so
   * that the caller watches again on a new connection.
   */
  boost::asio::awaitable<AsyncResult<ServersUpdate>> WatchStoreServers(
    std::uint64_t aRevision)
  {
    // The store answers this watch at once for what has changed so far.
    const std::uint64_t coveredRevision = std::max(aRevision, storeRevision_);
    bool isBehind = false;
    AsyncResult<ServersUpdate> result =
      co_await AwaitWatch<ServersUpdate>(store_.WatchServers(aRevision), [&] {
        isBehind =
          storeRevision_ > coveredRevision &&
          ReadMonotonicTime() - storeRevisionReadAt_ >= kWatchPollInterval;
        return isBehind;
      });
    if (isBehind) {
      WriteLog(
        LogLevel::Info,
        "the watch of the servers is begun again",
        { { "revision", aRevision }, { "store_revision", storeRevision_ } });
      ServersUpdate unchanged;
      unchanged.revision_ = aRevision;
      result = std::move(unchanged);
    }
    co_return result;
  }

  boost::asio::awaitable<AsyncResult<ServersUpdate>> WatchReaderServers(
    SocketAddress aReader)
  {
    std::optional<ServersUpdate> result =
      co_await FetchServers(watchClient_, aReader, kWatchTimeout);
    if (result) {
      co_return std::move(*result);
    }
    co_return MakeSourceChangedError();
  }

  /**
   * Waits for a watch until it completes or is cancelled because its source has
   * failed or a better source is available. A watch on a stalled connection
   * would otherwise hide changes until its timeout.
   * @param aIsStalled whether the watch is given up for another reason.
   */
  template<typename Value, typename Predicate>
  boost::asio::awaitable<AsyncResult<Value>> AwaitWatch(
    boost::asio::awaitable<AsyncResult<Value>> aWatch,
    Predicate aIsStalled)
  {
    struct PendingWatch
    {
      explicit PendingWatch(const WorkerExecutor& aExecutor)
        : done_(aExecutor)
      {
      }
      AsyncCondition done_;
      std::optional<AsyncResult<Value>> result_;
    };
    auto pendingWatch = std::make_shared<PendingWatch>(executor_);
    boost::asio::co_spawn(executor_,
                          std::move(aWatch),
                          [pendingWatch](const std::exception_ptr& aException,
                                         AsyncResult<Value> aResult) {
                            pendingWatch->result_ =
                              aException
                                ? AsyncResult<Value>(MakeSourceChangedError())
                                : std::move(aResult);
                            pendingWatch->done_.Notify();
                          });
    const std::uint64_t cancellationsBefore = watchCancellations_;
    while (!pendingWatch->result_ &&
           watchCancellations_ == cancellationsBefore && !aIsStalled()) {
      co_await pendingWatch->done_.Wait(kWatchPollInterval);
    }
    co_return pendingWatch->result_
      ? std::move(*pendingWatch->result_)
      : AsyncResult<Value>(MakeSourceChangedError());
  }

  template<typename Value>
  boost::asio::awaitable<AsyncResult<Value>> AwaitWatch(
    boost::asio::awaitable<AsyncResult<Value>> aWatch)
  {
    return AwaitWatch<Value>(std::move(aWatch), [] { return false; });
  }

  void PublishTables(const TablesSnapshot& aSnapshot)
  {
    if (aSnapshot.evacuatedZones_) {
      feed_.SetEvacuatedZones(*aSnapshot.evacuatedZones_);
      knownZonesDigest_ = ComputeZonesDigest(aSnapshot.evacuatedZones_->zones_);
    }
    // Malformed tables too: each daemon has to know that there is a version
    // which is newer than its own.
    if (aSnapshot.content_ || !aSnapshot.defect_.empty()) {
      feed_.SetTables(aSnapshot.GetVersion(), aSnapshot.text_);
      knownVersion_ = std::max(knownVersion_, aSnapshot.GetVersion());
    }
  }

  /** Waits until a reader of this daemon serves its feed. Tables don't wait for
   * the servers: their confirmation would be too old by then. Ends at once if
   * this daemon has had state before, if it has no reader or if its readers
   * can't be reached. */
  boost::asio::awaitable<void> AwaitReaderStart(bool aHasState,
                                                std::string_view aQuery)
  {
    int unreachableReaders = 0;
    while (!aHasState && unreachableReaders < kMaxReaderAttempts) {
      const Time now = ReadMonotonicTime();
      const auto reader = readerSelector_.SelectReader(now);
      if (!reader) {
        co_return;
      }
      readerWaitStart_ = readerWaitStart_.value_or(now);
      HttpRequest request;
      request.target_ = "/feed/ready?wait=" +
                        std::to_string(ToMilliseconds(kReaderStartPollTime)) +
                        std::string(aQuery);
      const AsyncResult<HttpResponse> response =
        co_await client_.Send(*reader, std::move(request));
      if (!response) {
        RecordReaderFailure(*reader);
        ++unreachableReaders;
        continue;
      }
      constexpr unsigned kUnavailable = 503;
      const Duration maxWait = IsStartingFeedResponse(response->body_)
                                 ? kMaxReaderStartWait
                                 : kMaxSuspendedReaderWait;
      const bool isWaiting = response->status_ == kUnavailable &&
                             ReadMonotonicTime() - *readerWaitStart_ < maxWait;
      if (!isWaiting) {
        co_return;
      }
      boost::asio::steady_timer timer(executor_, kReaderStartPollInterval);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }

  /** Sends a request to a reader and records a failure of the reader.
   * @returns the body of the response, or nothing after a failure. */
  boost::asio::awaitable<std::optional<std::string>> FetchFromReader(
    HttpClient& aClient,
    SocketAddress aReader,
    std::string aTarget)
  {
    HttpRequest request;
    request.target_ = std::move(aTarget);
    const AsyncResult<HttpResponse> response =
      co_await aClient.Send(aReader, std::move(request));
    constexpr unsigned kOk = 200;
    if (!response || response->status_ != kOk) {
      RecordReaderFailure(aReader);
      co_return std::nullopt;
    }
    co_return response->body_;
  }

  /**
   * Reads the age of the tables from a reader, and the tables themselves if
   * they have changed. Tables that a pending watch receives are not transferred
   * a second time: large tables would fill the reader's link.
   * @returns nothing if the reader has failed.
   */
  boost::asio::awaitable<std::optional<TablesSnapshot>> ConfirmTables(
    SocketAddress aReader)
  {
    const bool isTransferNeeded =
      knownVersion_ == 0 || watchedReader_ != aReader;
    std::optional<TablesSnapshot> result =
      co_await FetchTables(isTransferNeeded ? transferClient_ : client_,
                           aReader,
                           Duration::zero(),
                           isTransferNeeded);
    if (!result || result->revision_ <= knownVersion_) {
      co_return result;
    }
    co_await tablesReceived_.Wait(kTransferTimeout);
    if (result->revision_ <= knownVersion_) {
      co_return result;
    }
    co_return co_await FetchTables(
      transferClient_, aReader, Duration::zero(), true);
  }

  boost::asio::awaitable<std::optional<TablesSnapshot>> FetchTables(
    HttpClient& aClient,
    SocketAddress aReader,
    Duration aWait,
    bool aIncludesTables)
  {
    const std::optional<std::string> body = co_await FetchFromReader(
      aClient,
      aReader,
      "/feed/tables?known=" + std::to_string(knownVersion_) +
        "&zones=" + std::to_string(knownZonesDigest_) +
        "&wait=" + std::to_string(ToMilliseconds(aWait)) +
        (aIncludesTables ? "" : "&tables=0"));
    const auto tables = body ? ParseTablesFeedResponse(*body) : std::nullopt;
    const bool isUsable = tables && tables->age_ <= kMaxConfirmationAge &&
                          tables->version_ >= knownVersion_;
    if (!isUsable) {
      RecordReaderFailure(aReader);
      co_return std::nullopt;
    }
    TablesSnapshot result;
    result.revision_ = tables->version_;
    result.version_ = tables->version_;
    result.age_ = tables->age_;
    result.evacuatedZones_ = tables->evacuatedZones_;
    if (!tables->text_.empty()) {
      auto content = store_.ParseTables(tables->text_);
      if (content) {
        result.content_ = std::move(*content);
      } else {
        result.defect_ = content.error().message_;
      }
      result.text_ = tables->text_;
    }
    PublishTables(result);
    if (!tables->text_.empty()) {
      tablesReceived_.Notify();
    }
    areTablesFromStore_ = false;
    if (serversEpoch_ == 0 || serversReader_ != aReader) {
      // The servers are watched at the store or at a less preferred reader.
      ++watchCancellations_;
    }
    co_return result;
  }

  boost::asio::awaitable<std::optional<ServersUpdate>>
  FetchServers(HttpClient& aClient, SocketAddress aReader, Duration aWait)
  {
    const std::uint64_t cancellationsBefore = watchCancellations_;
    const std::optional<std::string> body = co_await FetchFromReader(
      aClient,
      aReader,
      "/feed/servers?epoch=" + std::to_string(serversEpoch_) +
        "&known=" + std::to_string(serversLastChange_) + "&compressed=1" +
        "&wait=" + std::to_string(ToMilliseconds(aWait)));
    if (aWait > Duration::zero() &&
        cancellationsBefore != watchCancellations_) {
      // This watch was cancelled; the servers come from another source by now.
      co_return std::nullopt;
    }
    const auto servers = body ? ParseServersFeedResponse(*body) : std::nullopt;
    if (!servers || servers->isComplete_ != (serversEpoch_ == 0)) {
      RecordReaderFailure(aReader);
      co_return std::nullopt;
    }
    ServersUpdate result;
    result.revision_ = std::max<std::uint64_t>(servers->lastChange_, 1);
    result.isAfterRestore_ = servers->isAfterRestore_;
    for (const auto& [id, text] : servers->servers_) {
      ServerEvent event;
      event.id_ = BackendServerId(id);
      event.text_ = text;
      if (!text.empty()) {
        event.record_ = store_.ParseServer(id, text);
      }
      result.servers_.push_back(std::move(event));
    }
    serversEpoch_ = servers->epoch_;
    serversLastChange_ = servers->lastChange_;
    serversReader_ = aReader;
    feed_.UpdateServers(result, servers->isComplete_);
    co_return result;
  }

  static std::int64_t ToMilliseconds(Duration aTime)
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  }

  WorkerExecutor executor_;
  Store& store_;
  StateFeed& feed_;
  ReaderSelector readerSelector_;
  HttpClient client_;
  HttpClient watchClient_;
  /** Client for tables that are sent at once and may be large. */
  HttpClient transferClient_;
  /** Clients for complete lists of servers. After a common start, the readers
   * are busy with the lists of all daemons. */
  HttpClient startListClient_;
  HttpClient listClient_;
  std::uint64_t knownVersion_ = 0;
  std::uint64_t knownZonesDigest_ = 0;
  /** Notified when tables have been received from a reader. */
  AsyncCondition tablesReceived_;
  /** The reader from which a pending watch receives changed tables. */
  std::optional<SocketAddress> watchedReader_;
  bool areTablesFromStore_ = false;
  bool hasServerList_ = false;
  /** The start of the wait for readers that were started with this daemon. */
  std::optional<Time> readerWaitStart_;
  /** The time before which the tables are not read from the store. */
  Time nextStoreReadAt_;
  /** The store's revision at the last read of the tables, and when it was read
   * first. */
  std::uint64_t storeRevision_ = 0;
  Time storeRevisionReadAt_;
  /** The epoch of the reader's change numbers; 0 if the servers were read
   * directly from the store. */
  std::uint64_t serversEpoch_ = 0;
  std::uint64_t serversLastChange_ = 0;
  SocketAddress serversReader_;
  /** The number of events so far that cancelled the pending watches. */
  std::uint64_t watchCancellations_ = 0;
};

} // namespace azurecross
