#pragma once

#include "../state/StateSource.h"
#include "ReaderSelector.h"
#include "StateFeed.h"

#include <azurecross_http/azurecross_http.h>

#include "../forward/Signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/**
 * The store as most daemons see it: through the few daemons that read from it
 * for all, or directly while none of these can be used. What is read directly
 * is passed on to others.
 *
 * @see StateSource
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
    , choice_(std::move(aSelf))
    , client_(aExecutor, MakeLimits(kCallTimeout))
    , watchClient_(aExecutor, MakeLimits(kWatchTime + kCallTimeout))
  {
  }

  void SetMembers(const std::vector<MemberRecord>& aMembers)
  {
    choice_.SetMembers(aMembers);
  }

  /** Takes word of another daemon that it hears from the store. */
  void RecordStoreAccess(const SocketAddress& aPeer)
  {
    choice_.RecordStoreAccess(aPeer, ReadMonotonicTime());
  }

  /** @returns whether this daemon reads from the store for others. */
  bool IsReader() const { return choice_.IsReader(); }

  boost::asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    // Ends because each reader that fails is left alone afterwards.
    auto reader = choice_.SelectReader(ReadMonotonicTime());
    while (reader) {
      std::optional<TablesSnapshot> reading =
        co_await AskTables(client_, *reader, Duration::zero());
      if (reading) {
        co_return std::move(*reading);
      }
      reader = choice_.SelectReader(ReadMonotonicTime());
    }
    if (ReadMonotonicTime() < nextStoreRead_) {
      co_return MakeUnaskedError();
    }
    const Time sentAt = ReadBootTime();
    AsyncResult<TablesSnapshot> reading = co_await store_.ReadTables();
    NoteStore(reading);
    nextStoreRead_ =
      reading ? Time() : ReadMonotonicTime() + choice_.GetStoreRetryInterval();
    if (reading) {
      KeepTables(*reading);
      feed_.ConfirmTables(sentAt);
      tablesFromStore_ = true;
    }
    co_return reading;
  }

  boost::asio::awaitable<AsyncResult<TablesSnapshot>> WatchTables(
    std::uint64_t aRevision)
  {
    const auto reader = choice_.SelectReader(ReadMonotonicTime());
    if (reader) {
      std::optional<TablesSnapshot> reading =
        co_await AskTables(watchClient_, *reader, kWatchTime);
      if (reading) {
        co_return std::move(*reading);
      }
      co_return MakeLostError();
    }
    if (!tablesFromStore_) {
      co_return MakeLostError();
    }
    AsyncResult<TablesSnapshot> reading =
      co_await AwaitWatch<TablesSnapshot>(store_.WatchTables(aRevision));
    NoteStore(reading);
    if (reading) {
      KeepTables(*reading);
    }
    co_return reading;
  }

  boost::asio::awaitable<AsyncResult<ServersUpdate>> ListServers()
  {
    const auto reader = choice_.SelectReader(ReadMonotonicTime());
    if (reader) {
      serversEpoch_ = 0;
      std::optional<ServersUpdate> reading =
        co_await AskServers(client_, *reader, Duration::zero());
      if (reading) {
        co_return std::move(*reading);
      }
    }
    AsyncResult<ServersUpdate> reading = co_await store_.ListServers();
    NoteStore(reading);
    if (reading) {
      feed_.UpdateServers(reading->servers_, true);
      serversEpoch_ = 0;
    }
    co_return reading;
  }

  boost::asio::awaitable<AsyncResult<ServersUpdate>> WatchServers(
    std::uint64_t aRevision)
  {
    const auto reader = choice_.SelectReader(ReadMonotonicTime());
    const bool isFed = serversEpoch_ != 0;
    if (reader.has_value() != isFed || (reader && *reader != serversReader_)) {
      // Numbers of the store and of each reader mean nothing to the others.
      co_return MakeLostError();
    }
    if (reader) {
      co_return co_await AwaitWatch<ServersUpdate>(WatchReader(*reader));
    }
    AsyncResult<ServersUpdate> reading =
      co_await AwaitWatch<ServersUpdate>(store_.WatchServers(aRevision));
    NoteStore(reading);
    if (reading) {
      feed_.UpdateServers(reading->servers_, false);
    }
    co_return reading;
  }

  boost::asio::awaitable<AsyncResult<bool>> Register(MemberRecord aMember)
  {
    return store_.Register(std::move(aMember));
  }
  boost::asio::awaitable<AsyncResult<bool>> KeepAlive()
  {
    return store_.KeepAlive();
  }
  boost::asio::awaitable<AsyncResult<std::vector<MemberRecord>>> ListMembers(
    bool aMayBeOld)
  {
    return store_.ListMembers(aMayBeOld);
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
  /** A daemon in reach answers in a few milliseconds. */
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
  /** Bounds how long a watch whose connection has gone silent hides changes. */
  static constexpr std::chrono::milliseconds kWatchTime{ 2000 };
  /** A watch in progress checks this often whether it has been given up. */
  static constexpr Duration kWatchCheck = std::chrono::milliseconds(100);
  /** A reader whose own proof is older than this does not hear from the store.
   * With the interval of the readers' proofs and of those that ask them, a
   * change that one reader misses is in force within two seconds. */
  static constexpr Duration kOldestProof = std::chrono::milliseconds(1200);

  static HttpClientLimits MakeLimits(Duration aAnswerTimeout)
  {
    HttpClientLimits limits;
    limits.connectTimeout_ = kCallTimeout;
    limits.answerTimeout_ = aAnswerTimeout;
    return limits;
  }

  static Error MakeLostError()
  {
    return Error{ ErrorCode::GenerationLost,
                  Verdict::NotRun,
                  "the state must be read anew from another place",
                  {} };
  }

  static Error MakeUnaskedError()
  {
    return Error{ ErrorCode::StoreUnavailable,
                  Verdict::NotRun,
                  "no reader has fresh tables, and the store did not answer "
                  "a short while ago",
                  {} };
  }

  /** Stops feeding others after a call that the store did not answer. */
  template<typename Reading>
  void NoteStore(const AsyncResult<Reading>& aReading)
  {
    if (aReading.has_error() &&
        aReading.error().code_ != ErrorCode::GenerationLost) {
      feed_.Suspend();
      ++watchesEnded_;
    }
  }

  void NoteFailure(const SocketAddress& aReader)
  {
    choice_.RecordFailure(aReader, ReadMonotonicTime());
    ++watchesEnded_;
  }

  boost::asio::awaitable<AsyncResult<ServersUpdate>> WatchReader(
    SocketAddress aReader)
  {
    std::optional<ServersUpdate> reading =
      co_await AskServers(watchClient_, aReader, kWatchTime);
    if (reading) {
      co_return std::move(*reading);
    }
    co_return MakeLostError();
  }

  /**
   * Waits for a watch, but not beyond word that its place no longer answers or
   * that there is a better one: a watch on a connection that has gone silent
   * would hide changes until it times out.
   */
  template<typename Reading>
  boost::asio::awaitable<AsyncResult<Reading>> AwaitWatch(
    boost::asio::awaitable<AsyncResult<Reading>> aWatch)
  {
    struct Pending
    {
      explicit Pending(const WorkerExecutor& aExecutor)
        : done_(aExecutor)
      {
      }
      Signal done_;
      std::optional<AsyncResult<Reading>> result_;
    };
    auto pending = std::make_shared<Pending>(executor_);
    boost::asio::co_spawn(executor_,
                          std::move(aWatch),
                          [pending](const std::exception_ptr& aException,
                                    AsyncResult<Reading> aResult) {
                            pending->result_ =
                              aException ? AsyncResult<Reading>(MakeLostError())
                                         : std::move(aResult);
                            pending->done_.Notify();
                          });
    const std::uint64_t ended = watchesEnded_;
    while (!pending->result_ && watchesEnded_ == ended) {
      co_await pending->done_.Wait(kWatchCheck);
    }
    co_return pending->result_ ? std::move(*pending->result_)
                               : AsyncResult<Reading>(MakeLostError());
  }

  void KeepTables(const TablesSnapshot& aReading)
  {
    if (aReading.content_) {
      feed_.SetTables(aReading.content_->version_, aReading.text_);
      knownVersion_ = std::max(knownVersion_, aReading.content_->version_);
    }
  }

  /** @returns the answer's body, or nothing after a failure, which is noted. */
  boost::asio::awaitable<std::optional<std::string>> Ask(HttpClient& aClient,
                                                         SocketAddress aReader,
                                                         std::string aTarget)
  {
    HttpRequest request;
    request.target_ = std::move(aTarget);
    const AsyncResult<HttpResponse> response =
      co_await aClient.Send(aReader, std::move(request));
    constexpr unsigned kOk = 200;
    if (!response || response->status_ != kOk) {
      NoteFailure(aReader);
      co_return std::nullopt;
    }
    co_return response->body_;
  }

  boost::asio::awaitable<std::optional<TablesSnapshot>>
  AskTables(HttpClient& aClient, SocketAddress aReader, Duration aWait)
  {
    const std::optional<std::string> body =
      co_await Ask(aClient,
                   aReader,
                   "/feed/tables?known=" + std::to_string(knownVersion_) +
                     "&wait=" + std::to_string(ToMilliseconds(aWait)));
    const auto tables = body ? ParseTablesFeedResponse(*body) : std::nullopt;
    const bool isUsable = tables && tables->age_ <= kOldestProof &&
                          tables->version_ >= knownVersion_;
    if (!isUsable) {
      NoteFailure(aReader);
      co_return std::nullopt;
    }
    TablesSnapshot reading;
    reading.revision_ = tables->version_;
    reading.age_ = tables->age_;
    if (!tables->text_.empty()) {
      auto content = store_.ParseTables(tables->text_);
      if (!content) {
        NoteFailure(aReader);
        co_return std::nullopt;
      }
      reading.content_ = std::move(*content);
      knownVersion_ = std::max(knownVersion_, tables->version_);
    }
    tablesFromStore_ = false;
    if (serversEpoch_ == 0 || serversReader_ != aReader) {
      // The servers are watched at the store or at a lesser choice.
      ++watchesEnded_;
    }
    co_return reading;
  }

  boost::asio::awaitable<std::optional<ServersUpdate>>
  AskServers(HttpClient& aClient, SocketAddress aReader, Duration aWait)
  {
    const std::uint64_t ended = watchesEnded_;
    const std::optional<std::string> body =
      co_await Ask(aClient,
                   aReader,
                   "/feed/servers?epoch=" + std::to_string(serversEpoch_) +
                     "&known=" + std::to_string(serversKnown_) +
                     "&wait=" + std::to_string(ToMilliseconds(aWait)));
    if (aWait > Duration::zero() && ended != watchesEnded_) {
      // This watch has been given up; another place is read by now.
      co_return std::nullopt;
    }
    const auto servers = body ? ParseServersFeedResponse(*body) : std::nullopt;
    if (!servers || servers->isWhole_ != (serversEpoch_ == 0)) {
      NoteFailure(aReader);
      co_return std::nullopt;
    }
    ServersUpdate reading;
    reading.revision_ = std::max<std::uint64_t>(servers->last_, 1);
    for (const auto& [id, text] : servers->servers_) {
      ServerEvent event;
      event.id_ = BackendServerId(id);
      event.text_ = text;
      if (!text.empty()) {
        event.record_ = store_.ParseServer(id, text);
      }
      reading.servers_.push_back(std::move(event));
    }
    serversEpoch_ = servers->epoch_;
    serversKnown_ = servers->last_;
    serversReader_ = aReader;
    co_return reading;
  }

  static std::int64_t ToMilliseconds(Duration aTime)
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  }

  WorkerExecutor executor_;
  Store& store_;
  StateFeed& feed_;
  ReaderSelector choice_;
  HttpClient client_;
  HttpClient watchClient_;
  std::uint64_t knownVersion_ = 0;
  bool tablesFromStore_ = false;
  /** The store is not asked for tables before this time. */
  Time nextStoreRead_;
  /** 0 while the servers come from the store itself. */
  std::uint64_t serversEpoch_ = 0;
  std::uint64_t serversKnown_ = 0;
  SocketAddress serversReader_;
  /** Counts the events after which watches in progress are given up. */
  std::uint64_t watchesEnded_ = 0;
};

} // namespace azurecross
