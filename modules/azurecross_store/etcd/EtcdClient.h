#pragma once

#include "../store/StoreClient.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace azurecross {

struct EtcdClientSettings
{
  /** The store's members; the next one is used after a failure. */
  std::vector<SocketAddress> addresses_;
  Duration connectTimeout_ = std::chrono::seconds(2);
  Duration answerTimeout_ = std::chrono::seconds(5);
  /** A watch without any message for this long is opened again. */
  Duration watchIdleTime_ = std::chrono::seconds(60);
  /** Bounds one answer; the tables are read in one. */
  std::size_t bodyLimitBytes_ = std::size_t{ 64 } << 20;
};

/**
 * Talks to the platform's store through etcd's v3 JSON gateway. Fits the
 * concept `StoreClient`. Use it from one strand or thread.
 */
class EtcdClient
{
public:
  EtcdClient(boost::asio::any_io_executor aExecutor,
             EtcdClientSettings aSettings);

  StoreCall<RangeAnswer> Range(RangeRequest aRequest);
  StoreCall<TransactionAnswer> Commit(Transaction aTransaction);
  StoreCall<LeaseAnswer> GrantLease(std::chrono::seconds aTimeToLive);
  /** @returns the remaining time; 0 if the lease has expired. */
  StoreCall<LeaseAnswer> KeepLease(LeaseId aLease);
  StoreCall<LeaseAnswer> RevokeLease(LeaseId aLease);
  /** Reports changes until the handler returns false or the watch ends. */
  StoreCall<WatchEnd> Watch(WatchRequest aRequest, WatchHandler aHandler);

  /** @returns the calls made so far; a watch counts as one. */
  std::uint64_t GetCallCount() const { return calls_.load(); }

private:
  StoreCall<std::string> Call(std::string aPath, std::string aBody);
  SocketAddress GetAddress() const;
  void UseNextAddress();

  EtcdClientSettings settings_;
  HttpClient client_;
  HttpClient watchClient_;
  std::size_t addressIndex_ = 0;
  std::atomic<std::uint64_t> calls_{ 0 };
};

} // namespace azurecross
