#pragma once

#include "Net.h"

#include <condition_variable>
#include <optional>
#include <vector>

#include <boost/json.hpp>

namespace azurecross::harness {

/** The platform's metadata store: items with revisions, leases and watches. */
class Store
{
public:
  explicit Store(const std::string& aIp);
  ~Store();

  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Endpoint& GetEndpoint() const { return listener_.GetEndpoint(); }

  /** Writes an item as the operator or a server does. */
  void Put(const std::string& aKey, const std::string& aText);
  void Remove(const std::string& aKey);
  bool Contains(const std::string& aKey);

  /** Makes a copy of all items and leases. */
  void MakeCopy();
  /** Is away for a moment and comes back from the copy: what was written since
   * is gone, revisions are given out again, and the era rises. */
  void RestoreCopy(Milliseconds aAway);

private:
  struct Item
  {
    /** In base64. */
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct Event
  {
    std::string key_;
    std::uint64_t revision_ = 0;
    /** Empty for a removal. */
    std::optional<Item> item_;
  };
  struct Lease
  {
    Milliseconds lifetime_{};
    Clock::time_point end_;
  };

  /** What a copy holds. */
  struct Content
  {
    std::map<std::string, Item> items_;
    std::vector<Event> events_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t nextLease_ = 1000;
  };

  void Serve(Connection& aConnection);
  /** @returns the text of an answer in JSON. The caller holds the mutex. */
  std::string Format(const boost::json::object& aObject,
                     int aStatus = 200) const;
  std::string Answer(const Message& aRequest);
  std::string ReadKey(const Message& aRequest);
  std::string ReadRange(const Message& aRequest);
  std::string Watch(const Message& aRequest);
  std::string Transact(const Message& aRequest);
  std::string Grant(const Message& aRequest);
  std::string Renew(std::uint64_t aLease, bool aEnds);
  /** The caller holds the mutex. */
  void Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease);
  void Erase(const std::string& aKey);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  Content now_;
  Content copy_;
  std::uint64_t era_ = 1;
  bool isAway_ = false;
  bool isStopping_ = false;
  Listener listener_;
};

} // namespace azurecross::harness
