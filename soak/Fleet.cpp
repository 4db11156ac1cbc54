#include "Fleet.h"

#include <csignal>

namespace azurecross::soak {

namespace {

using review::Milliseconds;

constexpr Milliseconds kWatchInterval{ 20 };
constexpr Milliseconds kLoadTimeout{ 2000 };
/** Time between the end of a process and its restart. */
constexpr Milliseconds kRestartDelay{ 300 };
constexpr Milliseconds kReadinessInterval{ 1000 };
/** How long the balancer waits for one readiness check. */
constexpr Milliseconds kReadinessTimeout{ 200 };
/** Failed checks after which an entry gets no new connections. */
constexpr unsigned kMaxMisses = 2;

platform::EntryProcessSettings
ReplaceStore(platform::EntryProcessSettings aSettings,
             const review::Endpoint& aStore)
{
  aSettings.store_ = aStore;
  return aSettings;
}

} // namespace

FleetEntry::FleetEntry(platform::EntryProcessSettings aSettings,
                       const std::string& aFolder,
                       bool aSignalsAtOnce)
  : store_(aSettings.ip_, aSettings.store_)
  , name_(aSettings.name_)
  , process_(ReplaceStore(aSettings, store_.GetEndpoint()), aFolder)
  , signalsAtOnce_(aSignalsAtOnce)
{
  supervisor_ = std::thread([this] { Supervise(); });
}

FleetEntry::~FleetEntry()
{
  Finish();
}

void
FleetEntry::Finish()
{
  {
    const std::lock_guard lock(mutex_);
    isFinished_ = true;
  }
  if (supervisor_.joinable()) {
    supervisor_.join();
  }
}

void
FleetEntry::Record(EntryEvent aEvent)
{
  history_.push_back({ aEvent, Clock::now() });
}

void
FleetEntry::RecordEnd(const platform::ProcessEnd& aEnd)
{
  Record(EntryEvent::Ended);
  const bool isExpected = (isKilled_ && aEnd.signal_ == SIGKILL) ||
                          (isStopping_ && aEnd.status_ == 0);
  if (!isExpected) {
    unexpectedEnds_.push_back(
      name_ + (aEnd.status_
                 ? " exited with " + std::to_string(*aEnd.status_)
                 : " ended by signal " + std::to_string(aEnd.signal_)));
  }
  isStopping_ = false;
  isKilled_ = false;
}

void
FleetEntry::Supervise()
{
  for (;;) {
    std::optional<Milliseconds> reload;
    {
      const std::lock_guard lock(mutex_);
      if (isFinished_) {
        return;
      }
      process_.Start();
      if (!signalsAtOnce_) {
        process_.WaitUntilSignalsAreHeld(kLoadTimeout);
      }
      ++starts_;
      Record(EntryEvent::Started);
      reload = earlyReload_;
    }
    if (reload) {
      std::this_thread::sleep_for(*reload);
      Signal(SIGHUP, EntryEvent::Reloaded);
    }
    for (;;) {
      std::this_thread::sleep_for(kWatchInterval);
      const std::lock_guard lock(mutex_);
      if (isFinished_) {
        process_.Kill();
        return;
      }
      if (const auto end = process_.WaitForEnd(Milliseconds(0))) {
        RecordEnd(*end);
        break;
      }
    }
    std::this_thread::sleep_for(kRestartDelay);
  }
}

void
FleetEntry::Signal(int aSignal, EntryEvent aEvent)
{
  const std::lock_guard lock(mutex_);
  if (process_.GetProcessId() < 0) {
    return;
  }
  // Recorded first: the process may react before this thread goes on.
  Record(aEvent);
  isStopping_ = isStopping_ || aSignal == SIGTERM;
  isKilled_ = isKilled_ || aSignal == SIGKILL;
  process_.Signal(aSignal);
}

void
FleetEntry::RewriteSettings(Milliseconds aPause)
{
  const std::string text = process_.FormatSettings();
  process_.WriteSettings(text.substr(0, text.size() / 2));
  std::this_thread::sleep_for(aPause);
  process_.WriteSettings(text);
}

void
FleetEntry::SetStoreFault(LinkFault aFault)
{
  store_.SetFault(aFault);
  const std::lock_guard lock(mutex_);
  Record(aFault == LinkFault::None ? EntryEvent::StoreRestored
                                   : EntryEvent::StoreDisturbed);
}

void
FleetEntry::SetEarlyReload(std::optional<Milliseconds> aDelay)
{
  const std::lock_guard lock(mutex_);
  earlyReload_ = aDelay;
}

std::vector<TimedEvent>
FleetEntry::GetHistory() const
{
  const std::lock_guard lock(mutex_);
  return history_;
}

std::vector<std::string>
FleetEntry::GetUnexpectedEnds() const
{
  const std::lock_guard lock(mutex_);
  return unexpectedEnds_;
}

unsigned
FleetEntry::CountStarts() const
{
  const std::lock_guard lock(mutex_);
  return starts_;
}

Fleet::Fleet(const std::vector<platform::EntryProcessSettings>& aSettings,
             const std::string& aFolder,
             bool aSignalsAtOnce)
  : misses_(aSettings.size(), kMaxMisses)
{
  entries_.reserve(aSettings.size());
  for (const auto& settings : aSettings) {
    entries_.push_back(
      std::make_unique<FleetEntry>(settings, aFolder, aSignalsAtOnce));
  }
  balancer_ = std::thread([this] { CheckReadiness(); });
}

Fleet::~Fleet()
{
  Finish();
}

void
Fleet::Finish()
{
  {
    const std::lock_guard lock(mutex_);
    isFinished_ = true;
  }
  if (balancer_.joinable()) {
    balancer_.join();
  }
  for (const auto& entry : entries_) {
    entry->Finish();
  }
}

void
Fleet::CheckReadiness()
{
  for (;;) {
    const Clock::time_point next = Clock::now() + kReadinessInterval;
    for (std::size_t index = 0; index < entries_.size(); ++index) {
      const bool isReady =
        entries_[index]->GetProcess().IsReady(kReadinessTimeout);
      const std::lock_guard lock(mutex_);
      misses_[index] = isReady ? 0 : misses_[index] + 1;
    }
    {
      const std::lock_guard lock(mutex_);
      if (isFinished_) {
        return;
      }
    }
    std::this_thread::sleep_until(next);
  }
}

bool
Fleet::WaitUntilReady(Milliseconds aTimeout) const
{
  const Clock::time_point deadline = Clock::now() + aTimeout;
  for (const auto& entry : entries_) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    if (!entry->GetProcess().WaitUntilReady(left)) {
      return false;
    }
  }
  return true;
}

std::size_t
Fleet::ChooseEntry(std::uint64_t aHash) const
{
  const std::lock_guard lock(mutex_);
  std::vector<std::size_t> inRotation;
  for (std::size_t index = 0; index < misses_.size(); ++index) {
    if (misses_[index] < kMaxMisses) {
      inRotation.push_back(index);
    }
  }
  // With fewer than half in rotation, the balancer uses all.
  if (2 * inRotation.size() < misses_.size()) {
    return aHash % misses_.size();
  }
  return inRotation[aHash % inRotation.size()];
}

} // namespace azurecross::soak
