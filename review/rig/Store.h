#pragma once

#include "Net.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace rig {

/** Stand-in of the platform's key-value store, as the page PROTOCOL describes
 * it: items, watches, transactions, leases and the header `Store-Era`. Used by
 * several threads. */
class Store
{
public:
  explicit Store(const std::string& aHost);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Endpoint& GetEndpoint() const { return listener_->GetEndpoint(); }

  /** Writes a key, as the operator and the replicas do. */
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  /** Keeps a copy of the present contents. */
  void TakeCopy();
  /** Goes away: connections are reset and calls get no answer. */
  void GoAway();
  /** Comes back, with the contents of the copy if the argument is true. */
  void ComeBack(bool aFromCopy);
  /** Lets all present connections go silent, without a reset. New ones work. */
  void SilencePresentConnections();

private:
  struct Item
  {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct Event
  {
    std::uint64_t revision_ = 0;
    std::string key_;
    /** Empty for a removal. */
    std::optional<Item> item_;
  };
  struct Contents
  {
    std::uint64_t revision_ = 10;
    std::uint64_t lastLease_ = 0;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Clock::time_point> leases_;
    std::map<std::uint64_t, Milliseconds> leaseTimes_;
    std::vector<Event> history_;
  };
  struct Answer
  {
    int status_ = 200;
    std::string body_;
  };

  void Serve(Socket& aSocket);
  Answer Handle(const HttpMessage& aRequest);
  Answer HandleWatch(const std::map<std::string, std::string>& aQuery);
  Answer HandleTransaction(const std::string& aBody);
  Answer HandleLease(const std::string& aPath, const std::string& aBody);
  std::string FormatItems(const std::string& aPrefix,
                          const std::string& aAfter) const;
  static std::string FormatItem(const std::string& aKey, const Item& aItem);
  std::string FormatRevision() const;
  void PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aLease);
  void RemoveLocked(const std::string& aKey);
  void EndLeases();
  /** Ends the leases whose time is over. */
  void RunClock();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Contents contents_;
  std::optional<Contents> copy_;
  std::uint64_t era_ = 1;
  /** Counts the silences; a connection belongs to the one it began in. */
  std::uint64_t silences_ = 0;
  /** Counts the times at which the store went away. */
  std::uint64_t outages_ = 0;
  bool isAway_ = false;
  bool isStopped_ = false;
  std::thread clock_;
  std::unique_ptr<Listener> listener_;
};

} // namespace rig
