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
 * Start-time fair queue over customers.
 *
 * The customer with the lowest charge goes next, and its items leave in order.
 * Charges arrive as the work is done, before or after an item leaves. A
 * customer that returns after a pause starts at the present virtual time, so
 * it has no saved credit. All operations cost at most the logarithm of the
 * number of customers and items.
 *
 * A light customer, one with few items queued, goes before the others until its
 * charge is a burst above the virtual time. Without this, one long generation
 * makes the next requests of a small customer wait as if it had flooded. The
 * burst is charged, so shares over a longer time stay equal.
 */
class FairQueue
{
public:
  /** Items of one customer leave in rising order. */
  using Item = std::uint64_t;

  /** A customer with more items than this is not light. */
  static constexpr std::size_t kMaxLightItems = 4;

  /** Takes how far a light customer's charge may run ahead. */
  explicit FairQueue(double aBurst = 0.0);

  void Push(const CustomerId& aCustomer, Item aItem);

  /** @returns whether the item was queued. */
  bool Remove(const CustomerId& aCustomer, Item aItem);

  /** @returns the item that goes next, or nothing if the queue is empty. */
  std::optional<Item> PeekNext() const;

  /** Removes the item that `PeekNext` returned. */
  void PopNext();

  /** Adds to a customer's charge; a negative cost returns an advance. */
  void Charge(const CustomerId& aCustomer, double aCost);

  /** @returns the newest item of the customer with the most items. */
  std::optional<Item> FindNewestOfLongestQueue() const;

  std::size_t CountItems() const { return itemCount_; }
  std::size_t CountItemsOf(const CustomerId& aCustomer) const;
  /** @returns how many customers have items queued. */
  std::size_t CountBackloggedCustomers() const
  {
    return light_.size() + heavy_.size();
  }
  /** @returns how many customers are remembered; idle ones are dropped. */
  std::size_t CountCustomers() const { return customers_.size(); }
  /** @returns how far a customer's charge lies above the virtual time. */
  double ComputeExcessCharge(const CustomerId& aCustomer) const;

private:
  struct Customer
  {
    /** Order of first arrival; breaks ties the same way in every run. */
    std::uint64_t number_ = 0;
    double charge_ = 0.0;
    std::set<Item> items_;
  };
  using Customers = std::unordered_map<CustomerId, Customer>;
  using Entry = Customers::value_type;

  /** Orders customers by a key, then by number. */
  template<typename Key>
  struct Ordered
  {
    Key key_;
    std::uint64_t number_;
    Entry* entry_;

    bool operator<(const Ordered& aOther) const
    {
      return std::pair(key_, number_) < std::pair(aOther.key_, aOther.number_);
    }
  };

  using Order = std::set<Ordered<double>>;

  Entry& FindOrAdd(const CustomerId& aCustomer);
  /** @returns the set of the customers with about as many items. */
  Order& FindOrder(std::size_t aItems);
  /** Files a customer by its new number of items and its new charge. */
  void Refile(Entry& aEntry, std::size_t aOldLength, double aNewCharge);
  void SetLength(Entry& aEntry, std::size_t aOldLength);
  void AdvanceVirtualTime(double aTime);
  const Ordered<double>& FindNextCustomer() const;
  const Ordered<double>& FindLeastCharged() const;

  double burst_;
  Customers customers_;
  /** Each customer is in one of these, ordered by charge: without items, light,
   * or with more items than a light one. */
  Order idle_;
  Order light_;
  Order heavy_;
  std::set<Ordered<std::size_t>> byLength_;
  std::size_t itemCount_ = 0;
  std::uint64_t nextNumber_ = 0;
  double virtualTime_ = 0.0;
};

} // namespace azurecross
