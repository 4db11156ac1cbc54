#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace azurecross {

/** The events of a simulation in the order of their times; events of the same
 * time are in the order in which they were added. */
class EventQueue
{
public:
  void Add(Time aTime, std::function<void()> aAction)
  {
    events_.push({ aTime, nextNumber_++, std::move(aAction) });
  }

  /** Runs the events before a time, which may add others.
   * @param aNow receives the time of each event before it runs. */
  void RunUntil(Time aEnd, Time& aNow)
  {
    while (!events_.empty() && events_.top().time_ < aEnd) {
      const Event event = events_.top();
      events_.pop();
      aNow = event.time_;
      event.action_();
    }
  }

private:
  struct Event
  {
    Time time_;
    std::uint64_t number_ = 0;
    std::function<void()> action_;

    bool operator>(const Event& aOther) const
    {
      return std::pair(time_, number_) >
             std::pair(aOther.time_, aOther.number_);
    }
  };

  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t nextNumber_ = 0;
};

} // namespace azurecross
