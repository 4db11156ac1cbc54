#include "RunningRequests.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace azurecross {

RunningRequests::Registration::Registration(RunningRequests& aRequests,
                                            std::string aTarget,
                                            Time aTime)
  : requests_(aRequests)
{
  const std::lock_guard lock(requests_.mutex_);
  entry_ = requests_.entries_.emplace(requests_.entries_.end());
  entry_->target_ = std::move(aTarget);
  entry_->arrival_ = aTime;
}

RunningRequests::Registration::~Registration()
{
  std::function<void()> onEmpty;
  {
    const std::lock_guard lock(requests_.mutex_);
    requests_.entries_.erase(entry_);
    if (requests_.entries_.empty()) {
      onEmpty = std::exchange(requests_.onEmpty_, nullptr);
    }
  }
  if (onEmpty) {
    onEmpty();
  }
}

void
RunningRequests::Registration::SetRequestId(const RequestId& aRequestId)
{
  const std::lock_guard lock(requests_.mutex_);
  entry_->requestId_ = aRequestId.GetValue();
}

void
RunningRequests::BeginDrain(std::function<void()> aOnEmpty)
{
  {
    const std::lock_guard lock(mutex_);
    isDraining_.store(true);
    if (!entries_.empty()) {
      onEmpty_ = std::move(aOnEmpty);
      return;
    }
  }
  if (aOnEmpty) {
    aOnEmpty();
  }
}

std::size_t
RunningRequests::Count() const
{
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

std::string
RunningRequests::Describe(Time aNow) const
{
  boost::json::array list;
  const std::lock_guard lock(mutex_);
  for (const Entry& entry : entries_) {
    boost::json::object shown;
    shown["request_id"] = entry.requestId_;
    shown["target"] = entry.target_;
    shown["running_seconds"] = ToSeconds(aNow - entry.arrival_);
    shown["tokens"] = entry.tokens_.load(std::memory_order_relaxed);
    list.push_back(std::move(shown));
  }
  return boost::json::serialize(list);
}

} // namespace azurecross
