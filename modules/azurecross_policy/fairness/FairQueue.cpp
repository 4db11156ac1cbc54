#include "FairQueue.h"

#include <algorithm>

namespace azurecross {

FairQueue::FairQueue(double aBurst)
  : burst_(aBurst)
{
}

FairQueue::Entry&
FairQueue::FindOrAdd(const CustomerId& aCustomer)
{
  const auto [position, isNew] = customers_.try_emplace(aCustomer);
  if (isNew) {
    Customer& customer = position->second;
    customer.number_ = nextNumber_++;
    customer.charge_ = virtualTime_;
    idle_.insert({ customer.charge_, customer.number_, &*position });
  }
  return *position;
}

FairQueue::Order&
FairQueue::FindOrder(std::size_t aItems)
{
  if (aItems == 0) {
    return idle_;
  }
  return aItems <= kMaxLightItems ? light_ : heavy_;
}

void
FairQueue::Refile(Entry& aEntry, std::size_t aOldLength, double aNewCharge)
{
  Customer& customer = aEntry.second;
  Order& from = FindOrder(aOldLength);
  Order& to = FindOrder(customer.items_.size());
  if (&from == &to && aNewCharge == customer.charge_) {
    return;
  }
  from.erase({ customer.charge_, customer.number_, &aEntry });
  customer.charge_ = aNewCharge;
  to.insert({ customer.charge_, customer.number_, &aEntry });
}

void
FairQueue::SetLength(Entry& aEntry, std::size_t aOldLength)
{
  const Customer& customer = aEntry.second;
  if (aOldLength > 0) {
    byLength_.erase({ aOldLength, customer.number_, &aEntry });
  }
  if (!customer.items_.empty()) {
    byLength_.insert({ customer.items_.size(), customer.number_, &aEntry });
  }
}

void
FairQueue::Push(const CustomerId& aCustomer, Item aItem)
{
  Entry& entry = FindOrAdd(aCustomer);
  Customer& customer = entry.second;
  const std::size_t oldLength = customer.items_.size();
  if (!customer.items_.insert(aItem).second) {
    return;
  }
  ++itemCount_;
  Refile(entry,
         oldLength,
         oldLength == 0 ? std::max(customer.charge_, virtualTime_)
                        : customer.charge_);
  SetLength(entry, oldLength);
}

bool
FairQueue::Remove(const CustomerId& aCustomer, Item aItem)
{
  const auto position = customers_.find(aCustomer);
  if (position == customers_.end()) {
    return false;
  }
  Customer& customer = position->second;
  const std::size_t oldLength = customer.items_.size();
  if (customer.items_.erase(aItem) == 0) {
    return false;
  }
  --itemCount_;
  Refile(*position, oldLength, customer.charge_);
  SetLength(*position, oldLength);
  return true;
}

std::optional<FairQueue::Item>
FairQueue::PeekNext() const
{
  if (itemCount_ == 0) {
    return std::nullopt;
  }
  return *FindNextCustomer().entry_->second.items_.begin();
}

const FairQueue::Ordered<double>&
FairQueue::FindLeastCharged() const
{
  const bool isLight =
    heavy_.empty() || (!light_.empty() && *light_.begin() < *heavy_.begin());
  return isLight ? *light_.begin() : *heavy_.begin();
}

const FairQueue::Ordered<double>&
FairQueue::FindNextCustomer() const
{
  if (!light_.empty() && light_.begin()->key_ < virtualTime_ + burst_) {
    return *light_.begin();
  }
  return FindLeastCharged();
}

void
FairQueue::PopNext()
{
  const double leastCharge = FindLeastCharged().key_;
  Entry& entry = *FindNextCustomer().entry_;
  Remove(entry.first, *entry.second.items_.begin());
  AdvanceVirtualTime(leastCharge);
}

void
FairQueue::AdvanceVirtualTime(double aTime)
{
  virtualTime_ = std::max(virtualTime_, aTime);
  // A customer without items and above-average use is the same as a new one.
  while (!idle_.empty() && idle_.begin()->key_ < virtualTime_) {
    const CustomerId customer = idle_.begin()->entry_->first;
    idle_.erase(idle_.begin());
    customers_.erase(customer);
  }
}

void
FairQueue::Charge(const CustomerId& aCustomer, double aCost)
{
  Entry& entry = FindOrAdd(aCustomer);
  const Customer& customer = entry.second;
  // A returned advance may not lower a charge below the virtual time, because
  // that would be saved credit.
  const double charge = std::max(customer.charge_ + aCost,
                                 std::min(customer.charge_, virtualTime_));
  Refile(entry, customer.items_.size(), charge);
}

std::optional<FairQueue::Item>
FairQueue::FindNewestOfLongestQueue() const
{
  if (byLength_.empty()) {
    return std::nullopt;
  }
  return *byLength_.rbegin()->entry_->second.items_.rbegin();
}

std::size_t
FairQueue::CountItemsOf(const CustomerId& aCustomer) const
{
  const auto position = customers_.find(aCustomer);
  return position == customers_.end() ? 0 : position->second.items_.size();
}

double
FairQueue::ComputeExcessCharge(const CustomerId& aCustomer) const
{
  const auto position = customers_.find(aCustomer);
  return position == customers_.end()
           ? 0.0
           : std::max(0.0, position->second.charge_ - virtualTime_);
}

} // namespace azurecross
