#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace azurecross {

/**
 * Start-time fair queue with one flow per customer.
 *
 * The customer with the lowest charge is served next, and its items are
 * dequeued in ascending order. Charges are added as work is done, before or
 * after an item is dequeued. A customer that returns after an idle period
 * starts at the current virtual time, so idle customers accumulate no credit.
 * All operations take at most logarithmic time in the number of customers and
 * items.
 *
 * A light customer, one with few queued items, takes precedence until its
 * charge exceeds the virtual time by a burst allowance. Otherwise one long
 * generation would delay the next requests of a small customer as if it had
 * flooded the queue. The burst is charged, so long-term shares stay equal.
 */
class FairQueue
{
public:
  /** Identifies a queued request. Items of one customer are dequeued in
   * ascending order. */
  using Item = std::uint64_t;

  /** Largest number of queued items of a light customer. */
  static constexpr std::size_t kMaxLightItems = 4;

  /** @param aLightBurst charge above the virtual time up to which a light
   * customer takes precedence. */
  explicit FairQueue(double aLightBurst = 0.0);

  /** Queues an item; an item that is queued already is ignored. */
  void Push(const CustomerId& aCustomer, Item aItem);

  /** Removes an item. @returns whether the item was queued. */
  bool Remove(const CustomerId& aCustomer, Item aItem);

  /** @returns the next item without removing it, or nothing if the queue is
   * empty. */
  std::optional<Item> PeekNext() const;

  /** Removes the item that `PeekNext` returns and advances the virtual time.
   * The queue must not be empty. */
  void PopNext();

  /** Adds a cost to a customer's charge. A negative cost refunds a charge made
   * in advance. */
  void Charge(const CustomerId& aCustomer, double aCost);

  /** @returns the newest item of the customer with the most queued items, or
   * nothing if the queue is empty. */
  std::optional<Item> FindNewestOfLongestQueue() const;

  std::size_t CountItems() const { return itemCount_; }
  std::size_t CountItemsOf(const CustomerId& aCustomer) const;
  /** @returns the number of customers with queued items. */
  std::size_t CountBackloggedCustomers() const
  {
    return light_.size() + heavy_.size();
  }
  /** @returns the number of customers with state. The state of idle customers
   * is dropped when the virtual time passes their charge. */
  std::size_t CountCustomers() const { return customers_.size(); }
  /** @returns the part of a customer's charge above the virtual time. */
  double ComputeExcessCharge(const CustomerId& aCustomer) const;

private:
  struct CustomerQueue
  {
    /** Sequence number of the customer's first arrival, which breaks ties
     * deterministically. */
    std::uint64_t arrivalNumber_ = 0;
    double charge_ = 0.0;
    std::set<Item> items_;
  };
  using CustomerMap = std::unordered_map<CustomerId, CustomerQueue>;
  using CustomerEntry = CustomerMap::value_type;

  /** Sorts customers by a key, then by arrival number. */
  template<typename Key>
  struct OrderEntry
  {
    Key key_;
    std::uint64_t arrivalNumber_;
    CustomerEntry* entry_;

    bool operator<(const OrderEntry& aOther) const
    {
      return std::pair(key_, arrivalNumber_) <
             std::pair(aOther.key_, aOther.arrivalNumber_);
    }
  };

  using ChargeOrder = std::set<OrderEntry<double>>;

  CustomerEntry& FindOrAddCustomer(const CustomerId& aCustomer);
  /** @returns the set for customers with this number of items: idle, light or
   * heavy. */
  ChargeOrder& SelectChargeOrder(std::size_t aItems);
  /** Moves a customer to its position in the charge orders after a change of
   * its number of items or its charge. */
  void Reposition(CustomerEntry& aEntry,
                  std::size_t aOldLength,
                  double aNewCharge);
  /** Moves a customer to its position in the length order. */
  void UpdateLengthOrder(CustomerEntry& aEntry, std::size_t aOldLength);
  /** Advances the virtual time and drops idle customers whose charge it passes.
   */
  void AdvanceVirtualTime(double aTime);
  const OrderEntry<double>& FindNextCustomer() const;
  const OrderEntry<double>& FindLeastChargedCustomer() const;

  double lightBurst_;
  CustomerMap customers_;
  /** Each customer is in exactly one of these sets, ordered by charge: `idle_`
   * without items, `light_` with up to `kMaxLightItems`, `heavy_` with more. */
  ChargeOrder idle_;
  ChargeOrder light_;
  ChargeOrder heavy_;
  /** Customers with queued items, ordered by their number of items. */
  std::set<OrderEntry<std::size_t>> lengthOrder_;
  std::size_t itemCount_ = 0;
  std::uint64_t nextArrivalNumber_ = 0;
  double virtualTime_ = 0.0;
};

} // namespace azurecross
