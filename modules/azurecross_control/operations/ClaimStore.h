#pragma once

#include <azurecross_operations/azurecross_operations.h>
#include <azurecross_store/azurecross_store.h>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace azurecross {

/**
 * Keeps claims in the platform's store. Claims of about the same age share a
 * lease, so that the store drops them and a claim costs no lease call.
 */
class ClaimStore
{
public:
  /** How long a lease takes new claims. */
  static constexpr Duration kLeasePeriod = std::chrono::hours(1);

  ClaimStore(EtcdClient& aClient, Duration aRetention);

  /** @returns the outcomes in the order of the batch's writes. */
  boost::asio::awaitable<std::vector<ClaimWriteResult>> Write(
    ClaimBatch aBatch);
  boost::asio::awaitable<ClaimReadResult> Read(std::string aStoreKey);

private:
  boost::asio::awaitable<bool> EnsureLease();

  EtcdClient& client_;
  Duration retention_;
  LeaseId lease_;
  Time leaseStart_;
};

} // namespace azurecross
