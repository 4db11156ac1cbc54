#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/intrusive/list.hpp>

#include <functional>
#include <limits>

namespace azurecross {

/**
 * A time limit that is checked by its list's `Tick`. Setting it is one store,
 * so it can be moved for each token; a timer of its own could not.
 */
class Deadline
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  explicit Deadline(std::function<void()> aExpire)
    : expire_(std::move(aExpire))
  {
  }

  void Set(Time aTime) { time_ = aTime; }
  void Clear() { time_ = Time::max(); }
  Time Get() const { return time_; }

private:
  friend class DeadlineList;

  Time time_ = Time::max();
  std::function<void()> expire_;
};

/** The time limits of one worker thread. */
class DeadlineList
{
public:
  void Add(Deadline& aDeadline) { deadlines_.push_back(aDeadline); }

  /** Runs the function of each limit that has passed, once. */
  void Tick(Time aNow)
  {
    for (auto at = deadlines_.begin(); at != deadlines_.end();) {
      Deadline& deadline = *at;
      ++at;
      if (deadline.time_ <= aNow) {
        deadline.Clear();
        deadline.expire_();
      }
    }
  }

private:
  boost::intrusive::list<Deadline, boost::intrusive::constant_time_size<false>>
    deadlines_;
};

} // namespace azurecross
