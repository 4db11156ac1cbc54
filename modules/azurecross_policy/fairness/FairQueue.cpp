#include "FairQueue.h"

#include <algorithm>

namespace azurecross {

FairQueue::FairQueue(double aLightBurst)
  : lightBurst_(aLightBurst)
{
}

FairQueue::CustomerEntry&
FairQueue::FindOrAddCustomer(const CustomerId& aCustomer)
{
  const auto [found, isNew] = customers_.try_emplace(aCustomer);
  if (isNew) {
    CustomerQueue& customer = found->second;
    customer.arrivalNumber_ = nextArrivalNumber_++;
    customer.charge_ = virtualTime_;
    idle_.insert({ customer.charge_, customer.arrivalNumber_, &*found });
  }
  return *found;
}

FairQueue::ChargeOrder&
FairQueue::SelectChargeOrder(std::size_t aItems)
{
  if (aItems == 0) {
    return idle_;
  }
  return aItems <= kMaxLightItems ? light_ : heavy_;
}

void
FairQueue::Reposition(CustomerEntry& aEntry,
                      std::size_t aOldLength,
                      double aNewCharge)
{
  CustomerQueue& customer = aEntry.second;
  ChargeOrder& from = SelectChargeOrder(aOldLength);
  ChargeOrder& to = SelectChargeOrder(customer.items_.size());
  if (&from == &to && aNewCharge == customer.charge_) {
    return;
  }
  from.erase({ customer.charge_, customer.arrivalNumber_, &aEntry });
  customer.charge_ = aNewCharge;
  to.insert({ customer.charge_, customer.arrivalNumber_, &aEntry });
}

void
FairQueue::UpdateLengthOrder(CustomerEntry& aEntry, std::size_t aOldLength)
{
  const CustomerQueue& customer = aEntry.second;
  if (aOldLength > 0) {
    lengthOrder_.erase({ aOldLength, customer.arrivalNumber_, &aEntry });
  }
  if (!customer.items_.empty()) {
    lengthOrder_.insert(
      { customer.items_.size(), customer.arrivalNumber_, &aEntry });
  }
}

void
FairQueue::Push(const CustomerId& aCustomer, Item aItem)
{
  CustomerEntry& entry = FindOrAddCustomer(aCustomer);
  CustomerQueue& customer = entry.second;
  const std::size_t oldLength = customer.items_.size();
  if (!customer.items_.insert(aItem).second) {
    return;
  }
  ++itemCount_;
  Reposition(entry,
             oldLength,
             oldLength == 0 ? std::max(customer.charge_, virtualTime_)
                            : customer.charge_);
  UpdateLengthOrder(entry, oldLength);
}

bool
FairQueue::Remove(const CustomerId& aCustomer, Item aItem)
{
  const auto found = customers_.find(aCustomer);
  if (found == customers_.end()) {
    return false;
  }
  CustomerQueue& customer = found->second;
  const std::size_t oldLength = customer.items_.size();
  if (customer.items_.erase(aItem) == 0) {
    return false;
  }
  --itemCount_;
  Reposition(*found, oldLength, customer.charge_);
  UpdateLengthOrder(*found, oldLength);
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

const FairQueue::OrderEntry<double>&
FairQueue::FindLeastChargedCustomer() const
{
  const bool isLight =
    heavy_.empty() || (!light_.empty() && *light_.begin() < *heavy_.begin());
  return isLight ? *light_.begin() : *heavy_.begin();
}

const FairQueue::OrderEntry<double>&
FairQueue::FindNextCustomer() const
{
  if (!light_.empty() && light_.begin()->key_ < virtualTime_ + lightBurst_) {
    return *light_.begin();
  }
  return FindLeastChargedCustomer();
}

void
FairQueue::PopNext()
{
  const double leastCharge = FindLeastChargedCustomer().key_;
  CustomerEntry& entry = *FindNextCustomer().entry_;
  Remove(entry.first, *entry.second.items_.begin());
  AdvanceVirtualTime(leastCharge);
}

void
FairQueue::AdvanceVirtualTime(double aTime)
{
  virtualTime_ = std::max(virtualTime_, aTime);
  // An idle customer whose charge is below the virtual time would be treated
  // like a new one, so its state can be dropped.
  while (!idle_.empty() && idle_.begin()->key_ < virtualTime_) {
    const CustomerId customer = idle_.begin()->entry_->first;
    idle_.erase(idle_.begin());
    customers_.erase(customer);
  }
}

void
FairQueue::Charge(const CustomerId& aCustomer, double aCost)
{
  CustomerEntry& entry = FindOrAddCustomer(aCustomer);
  const CustomerQueue& customer = entry.second;
  // A refund must not lower a charge below the virtual time, because the
  // difference would be accumulated credit.
  const double charge = std::max(customer.charge_ + aCost,
                                 std::min(customer.charge_, virtualTime_));
  Reposition(entry, customer.items_.size(), charge);
}

std::optional<FairQueue::Item>
FairQueue::FindNewestOfLongestQueue() const
{
  if (lengthOrder_.empty()) {
    return std::nullopt;
  }
  return *lengthOrder_.rbegin()->entry_->second.items_.rbegin();
}

std::size_t
FairQueue::CountItemsOf(const CustomerId& aCustomer) const
{
  const auto found = customers_.find(aCustomer);
  return found == customers_.end() ? 0 : found->second.items_.size();
}

double
FairQueue::ComputeExcessCharge(const CustomerId& aCustomer) const
{
  const auto found = customers_.find(aCustomer);
  return found == customers_.end()
           ? 0.0
           : std::max(0.0, found->second.charge_ - virtualTime_);
}

} // namespace azurecross
