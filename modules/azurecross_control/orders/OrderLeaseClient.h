#pragma once

#include <azurecross_orders/azurecross_orders.h>
#include <azurecross_store/azurecross_store.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace azurecross {

/** A lease for the orders of one group, as the store granted it. */
struct OrderLeaseGrant
{
  LeaseId lease_;
  /** The store revision at which the group's key was created. */
  FencingNumber fencing_;
};

/**
 * Takes and renews the leases for orders in the platform's store. The holder
 * of a group's lease is the owner of the group's key.
 */
template<StoreClient Client>
class OrderLeaseClient
{
public:
  /** @param aOwner the name of this entry, written to the keys. */
  OrderLeaseClient(Client& aStore, std::string aOwner)
    : store_(aStore)
    , owner_(std::move(aOwner))
  {
  }

  /** @returns the grant, or nothing if another entry holds the key. */
  StoreCall<std::optional<OrderLeaseGrant>> Acquire(std::string aKey,
                                                    Duration aTimeToLive)
  {
    const auto lease = co_await store_.GrantLease(
      std::chrono::duration_cast<std::chrono::seconds>(aTimeToLive));
    if (lease.has_error()) {
      co_return lease.error();
    }
    Transaction transaction;
    transaction.compares_.push_back({ aKey, CompareTarget::CreateRevision, 0 });
    transaction.success_.emplace_back(PutRequest{ aKey, owner_, lease->id_ });
    const auto answer = co_await store_.Commit(std::move(transaction));
    if (answer.has_error()) {
      // The key may have been written; its lease then expires by itself.
      co_return answer.error();
    }
    if (!answer->succeeded_) {
      co_await Release(lease->id_);
      co_return std::optional<OrderLeaseGrant>();
    }
    co_return OrderLeaseGrant{ lease->id_,
                               FencingNumber(answer->storeRevision_) };
  }

  /** @returns whether the key still belongs to the grant. */
  StoreCall<bool> Renew(std::string aKey, OrderLeaseGrant aGrant)
  {
    const auto lease = co_await store_.KeepLease(aGrant.lease_);
    if (lease.has_error()) {
      co_return lease.error();
    }
    if (lease->timeToLive_.count() == 0) {
      co_return false;
    }
    RangeRequest read;
    read.key_ = aKey;
    const auto answer = co_await store_.Range(std::move(read));
    if (answer.has_error()) {
      co_return answer.error();
    }
    co_return answer->keyValues_.size() == 1 &&
      IsFromGrant(answer->keyValues_.front(), aGrant);
  }

  StoreCall<LeaseAnswer> Release(LeaseId aLease)
  {
    return store_.RevokeLease(aLease);
  }

private:
  /** A restored store may have given the revision and the id of the lease to
   * the key of another entry. */
  bool IsFromGrant(const KeyValue& aKey, const OrderLeaseGrant& aGrant) const
  {
    return aKey.value_ == owner_ && aKey.lease_ == aGrant.lease_.GetValue() &&
           aKey.createRevision_ == aGrant.fencing_.GetValue();
  }

  Client& store_;
  std::string owner_;
};

} // namespace azurecross
