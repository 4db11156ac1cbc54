#include "FairQueue.h"

#include <algorithm>

namespace azurecross {

namespace {

bool
IsLight(std::size_t aItems)
{
  return aItems > 0 && aItems <= FairQueue::kMostLightItems;
}

} // namespace

FairQueue::FairQueue(double aBurst)
  : burst_(aBurst)
{
}

FairQueue::Entry&
FairQueue::FindOrAdd(const CustomerId& aCustomer)
{
  const auto [position, isNew] = customers_.try_emplace(aCustomer);
  if (isNew) {
    position->second.number_ = nextNumber_++;
    position->second.charge_ = virtualTime_;
    SetIdle(*position);
  }
  return *position;
}

void
FairQueue::SetIdle(Entry& aEntry)
{
  const Customer& customer = aEntry.second;
  idle_.insert({ customer.charge_, customer.number_, &aEntry });
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
  light_.erase({ customer.charge_, customer.number_, &aEntry });
  if (IsLight(customer.items_.size())) {
    light_.insert({ customer.charge_, customer.number_, &aEntry });
  }
}

void
FairQueue::Push(const CustomerId& aCustomer, Item aItem)
{
  Entry& entry = FindOrAdd(aCustomer);
  Customer& customer = entry.second;
  const std::size_t oldLength = customer.items_.size();
  if (oldLength == 0) {
    idle_.erase({ customer.charge_, customer.number_, &entry });
    customer.charge_ = std::max(customer.charge_, virtualTime_);
    backlogged_.insert({ customer.charge_, customer.number_, &entry });
  }
  if (customer.items_.insert(aItem).second) {
    ++itemCount_;
    SetLength(entry, oldLength);
  }
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
  SetLength(*position, oldLength);
  if (customer.items_.empty()) {
    backlogged_.erase({ customer.charge_, customer.number_, &*position });
    SetIdle(*position);
  }
  return true;
}

std::optional<FairQueue::Item>
FairQueue::FindNext() const
{
  if (backlogged_.empty()) {
    return std::nullopt;
  }
  return *FindNextCustomer().entry_->second.items_.begin();
}

const FairQueue::Ordered<double>&
FairQueue::FindNextCustomer() const
{
  if (!light_.empty() && light_.begin()->key_ < virtualTime_ + burst_) {
    return *light_.begin();
  }
  return *backlogged_.begin();
}

void
FairQueue::PopNext()
{
  const double leastCharge = backlogged_.begin()->key_;
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
  Customer& customer = entry.second;
  auto& order = customer.items_.empty() ? idle_ : backlogged_;
  order.erase({ customer.charge_, customer.number_, &entry });
  light_.erase({ customer.charge_, customer.number_, &entry });
  // A returned advance may not lower a charge below the virtual time, because
  // that would be saved credit.
  customer.charge_ = std::max(customer.charge_ + aCost,
                              std::min(customer.charge_, virtualTime_));
  order.insert({ customer.charge_, customer.number_, &entry });
  if (IsLight(customer.items_.size())) {
    light_.insert({ customer.charge_, customer.number_, &entry });
  }
}

std::optional<FairQueue::Item>
FairQueue::FindNewestOfLongest() const
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
FairQueue::ComputeLag(const CustomerId& aCustomer) const
{
  const auto position = customers_.find(aCustomer);
  return position == customers_.end()
           ? 0.0
           : std::max(0.0, position->second.charge_ - virtualTime_);
}

} // namespace azurecross
