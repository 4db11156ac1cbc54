#pragma once

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

/** The platform's metadata store: linearizable, loses nothing, and answers at
 * once unless it is told otherwise. */
class Store
{
public:
  explicit Store(const std::string& aIp);
  ~Store();

  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Endpoint& GetEndpoint() const { return listener_.GetEndpoint(); }
  /** Writes a key, as the operator or a server does. */
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /** Leaves the next transaction that writes a key with this prefix unanswered
   * and executes it after the delay. */
  void LoseNextAnswer(const std::string& aKeyPrefix, Milliseconds aDelay);
  /** @returns the keys with this prefix. */
  std::vector<std::string> FindKeys(const std::string& aPrefix);

private:
  struct Item
  {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
  };
  /** A change; without a value the key was removed. */
  struct Change
  {
    std::string key_;
    std::optional<std::string> value_;
    std::uint64_t revision_ = 0;
  };

  struct Lease
  {
    Milliseconds lifetime_{};
    Clock::time_point end_;
  };

  void Serve(Socket& aSocket);
  std::string Handle(const HttpMessage& aRequest);
  std::string HandleKey(const HttpMessage& aRequest);
  std::string HandleRange(const HttpMessage& aRequest);
  std::string HandleWatch(const HttpMessage& aRequest);
  std::string HandleTransaction(const HttpMessage& aRequest);
  std::string ExecuteTransaction(const HttpMessage& aRequest);
  /** @returns whether the answer to this transaction is to be lost. */
  bool TakeLoss(const HttpMessage& aRequest);
  std::string HandleLease(const HttpMessage& aRequest);
  std::string HandleKeep(const HttpMessage& aRequest);
  /** Removes the keys of the leases that have ended. */
  void EndLeases();
  void Write(const std::string& aKey,
             std::optional<std::string> aValue,
             std::uint64_t aLease);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::uint64_t revision_ = 1;
  std::uint64_t nextLease_ = 1;
  std::map<std::uint64_t, Lease> leases_;
  std::string lossPrefix_;
  Milliseconds lossDelay_{};
  bool isStopped_ = false;
  std::vector<std::thread> lateCalls_;
  std::thread leaseTimer_;
  Listener listener_;
};

} // namespace review
