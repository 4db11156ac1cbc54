#pragma once

#include "StoreTypes.h"

#include <boost/asio/awaitable.hpp>

#include <concepts>

namespace azurecross {

/** The answer of a store call, for coroutines. */
template<typename Value>
using StoreCall = boost::asio::awaitable<AsyncResult<Value>>;

/**
 * A client of the platform's store. `EtcdClient` is the real one; tests use
 * one of their own.
 *
 * Each function makes at most one call, because the store counts calls and
 * retries are for the caller to pace. A failure has the code
 * `store_unavailable` and a verdict that says whether a write may have taken
 * effect.
 */
template<typename Client>
concept StoreClient = requires(Client& aClient,
                               RangeRequest aRange,
                               Transaction aTransaction,
                               std::chrono::seconds aTimeToLive,
                               LeaseId aLease,
                               WatchRequest aWatch,
                               WatchHandler aHandler)
{
  {
    aClient.Range(aRange)
    } -> std::same_as<StoreCall<RangeAnswer>>;
  {
    aClient.Commit(aTransaction)
    } -> std::same_as<StoreCall<TransactionAnswer>>;
  {
    aClient.GrantLease(aTimeToLive)
    } -> std::same_as<StoreCall<LeaseAnswer>>;
  {
    aClient.KeepLease(aLease)
    } -> std::same_as<StoreCall<LeaseAnswer>>;
  {
    aClient.RevokeLease(aLease)
    } -> std::same_as<StoreCall<LeaseAnswer>>;
  {
    aClient.Watch(aWatch, aHandler)
    } -> std::same_as<StoreCall<WatchEnd>>;
};

} // namespace azurecross
