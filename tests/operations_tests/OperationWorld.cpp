#include "OperationWorld.h"

#include <algorithm>

namespace azurecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kCallDeadline = std::chrono::seconds(4);
constexpr Duration kStopLimit = std::chrono::seconds(3);
constexpr int kAttemptLimit = 5;

} // namespace

OperationWorld::OperationWorld(std::uint64_t aSeed,
                               std::size_t aEntryCount,
                               WorldFaults aFaults)
  : random_(aSeed)
  , faults_(aFaults)
  , entries_(aEntryCount)
{
  for (std::size_t entry = 0; entry < aEntryCount; ++entry) {
    entries_[entry].id_ = EntryId("entry-" + std::to_string(entry));
    Start(entry);
  }
}

void
OperationWorld::Start(std::size_t aEntry)
{
  Entry& entry = entries_[aEntry];
  ++entry.incarnation_;
  OperationSettings settings;
  settings.entry_ = entry.id_;
  settings.incarnation_ = Incarnation(entry.incarnation_);
  settings.secret_ = "secret-" + std::to_string(random_.DrawBits());
  settings.seed_ = random_.DrawBits();
  settings.start_ = now_;
  settings.startMilliseconds_ =
    std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
  settings.claims_.answerTimeout_ = std::chrono::seconds(1);
  settings.handoverPartRecords_ = 2;
  entry.core_ = std::make_unique<OperationCoordinator>(settings);
  entry.pausedUntil_ = now_;
  entry.isStopping_ = false;
}

void
OperationWorld::Play(int aKeyCount, Duration aDuration)
{
  for (int key = 0; key < aKeyCount; ++key) {
    Operation operation;
    operation.key_ = "caller-key-" + std::to_string(key);
    if (key % 2 == 1) {
      const auto& entry = entries_[random_.DrawBelow(entries_.size())];
      operation.key_ = entry.core_->IssueKey(now_).value_or(operation.key_);
    }
    operation.nextAttemptAt_ = now_ + milliseconds(random_.DrawBelow(3000));
    operations_.push_back(std::move(operation));
  }
  const Time end = now_ + aDuration;
  while (now_ < end) {
    Step(true);
  }
}

void
OperationWorld::Settle(Duration aDuration)
{
  const Time end = now_ + aDuration;
  while (now_ < end) {
    Step(false);
  }
}

void
OperationWorld::Step(bool aHasFaults)
{
  hasFaults_ = aHasFaults;
  now_ += kStep;
  if (aHasFaults) {
    InjectFaults();
  }
  StepStops();
  SendAttempts();
  DeliverDue();
  const bool isTick = now_.time_since_epoch() % kTickInterval == Duration{};
  for (std::size_t entry = 0; isTick && entry < entries_.size(); ++entry) {
    if (entries_[entry].core_ && entries_[entry].pausedUntil_ <= now_) {
      Call(entry,
           [this](OperationCoordinator& aCore, OperationActions& aActions) {
             aCore.Tick(now_, aActions);
           });
    }
  }
}

void
OperationWorld::InjectFaults()
{
  for (Entry& entry : entries_) {
    if (!entry.core_) {
      if (Draw(0.01)) {
        Start(static_cast<std::size_t>(&entry - entries_.data()));
      }
      continue;
    }
    if (Draw(faults_.pause_)) {
      entry.pausedUntil_ = now_ + milliseconds(random_.DrawBelow(6000));
    }
    if (Draw(faults_.crash_)) {
      entry.core_.reset();
    } else if (!entry.isStopping_ && Draw(faults_.plannedStop_)) {
      entry.isStopping_ = true;
      entry.stopsAt_ = now_ + kStopLimit;
    }
  }
  if (Draw(faults_.storeOutage_)) {
    storeDownUntil_ = now_ + milliseconds(random_.DrawBelow(5000));
    isStoreBlackHole_ = Draw(0.5);
  }
  if (Draw(faults_.partition_)) {
    partitionUntil_ = now_ + milliseconds(random_.DrawBelow(5000));
    cutEntry_ = random_.DrawBelow(entries_.size());
  }
}

void
OperationWorld::StepStops()
{
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    Entry& entry = entries_[index];
    if (!entry.core_ || !entry.isStopping_ || entry.pausedUntil_ > now_) {
      continue;
    }
    const bool isForced = now_ >= entry.stopsAt_;
    if (entry.core_->IsHandedOver() || now_ >= entry.stopsAt_ + kStopLimit) {
      entry.core_.reset();
      continue;
    }
    const bool isIdle =
      entry.core_->CountRunning() == 0 && entry.core_->CountPending() == 0;
    // Names a successor once when idle, and another one when that fails.
    const bool isFirst = entry.stopsAt_ > now_ && isIdle;
    if (isFirst || (isForced && Draw(0.02))) {
      const std::size_t other =
        (index + 1 + random_.DrawBelow(entries_.size() - 1)) % entries_.size();
      if (isFirst) {
        entry.stopsAt_ = now_;
      }
      Call(index, [&](OperationCoordinator& aCore, OperationActions& aActions) {
        aCore.StartHandover(entries_[other].id_,
                            Incarnation(entries_[other].incarnation_),
                            now_,
                            aActions);
      });
    }
  }
}

void
OperationWorld::SendAttempts()
{
  for (std::size_t index = 0; index < operations_.size(); ++index) {
    Operation& operation = operations_[index];
    if (!operation.isDone_ && operation.sent_ < kAttemptLimit &&
        operation.nextAttemptAt_ <= now_) {
      SendAttempt(index);
    }
  }
}

void
OperationWorld::SendAttempt(std::size_t aOperation)
{
  Operation& operation = operations_[aOperation];
  const std::size_t entry = random_.DrawBelow(entries_.size());
  const std::uint64_t token = nextToken_++;
  operationsByToken_[token] = aOperation;
  OperationCall call;
  call.token_ = token;
  call.key_ = operation.key_;
  call.customer_ = CustomerId("customer");
  call.fingerprint_ = aOperation;
  call.isFirstAttempt_ = operation.sent_ == 0 && Draw(0.5);
  call.deadline_ = now_ + kCallDeadline;
  if (call.isFirstAttempt_) {
    firstAttempts_.insert(token);
  }
  ++operation.sent_;
  // Usually longer than the deadline; a shorter one overlaps attempts.
  operation.nextAttemptAt_ =
    now_ + (Draw(faults_.concurrentRepeat_) ? Duration(milliseconds(50))
                                            : 2 * kCallDeadline);
  Schedule(DrawDelay(), static_cast<int>(entry), [this, entry, call] {
    if (!entries_[entry].isStopping_) {
      Call(entry, [&](OperationCoordinator& aCore, OperationActions& aActions) {
        aCore.Begin(call, now_, aActions);
      });
    }
  });
}

Duration
OperationWorld::DrawDelay()
{
  const auto longest = hasFaults_ ? faults_.longestDelay_ : kStep;
  return Duration(static_cast<Duration::rep>(
    random_.DrawUnit() * static_cast<double>(longest.count())));
}

void
OperationWorld::Schedule(Duration aDelay,
                         int aEntry,
                         std::function<void()> aRun)
{
  const std::uint64_t incarnation =
    aEntry < 0 ? 0 : entries_[static_cast<std::size_t>(aEntry)].incarnation_;
  events_.push_back({ now_ + aDelay, aEntry, incarnation, std::move(aRun) });
}

void
OperationWorld::DeliverDue()
{
  std::vector<Event> due;
  std::vector<Event> later;
  for (Event& event : events_) {
    if (event.entry_ < 0) {
      (event.dueAt_ <= now_ ? due : later).push_back(std::move(event));
      continue;
    }
    const Entry& entry = entries_[static_cast<std::size_t>(event.entry_)];
    if (!entry.core_ || entry.incarnation_ != event.incarnation_) {
      continue;
    }
    const bool isReady = event.dueAt_ <= now_ && entry.pausedUntil_ <= now_;
    (isReady ? due : later).push_back(std::move(event));
  }
  events_ = std::move(later);
  for (std::size_t left = due.size(); left > 1; --left) {
    std::swap(due[left - 1], due[random_.DrawBelow(left)]);
  }
  for (Event& event : due) {
    event.run_();
  }
}

void
OperationWorld::Call(std::size_t aEntry,
                     const std::function<void(OperationCoordinator&,
                                              OperationActions&)>& aFunction)
{
  if (!entries_[aEntry].core_) {
    return;
  }
  OperationActions actions;
  aFunction(*entries_[aEntry].core_, actions);
  CarryOut(aEntry, std::move(actions));
}

std::size_t
OperationWorld::FindEntry(const EntryId& aId) const
{
  std::size_t index = 0;
  while (entries_[index].id_ != aId) {
    ++index;
  }
  return index;
}

bool
OperationWorld::IsCut(std::size_t aFrom, std::size_t aTo) const
{
  return now_ < partitionUntil_ && (aFrom == cutEntry_) != (aTo == cutEntry_);
}

void
OperationWorld::SendMessage(
  std::size_t aFrom,
  const EntryId& aTo,
  std::function<void(OperationCoordinator&, OperationActions&)> aFunction)
{
  const std::size_t target = FindEntry(aTo);
  const int copies = hasFaults_ && Draw(faults_.messageRepeat_) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const bool isLost = hasFaults_ && Draw(faults_.messageLoss_);
    if (!isLost && !IsCut(aFrom, target)) {
      // Delivered to whichever incarnation is there, as over a network.
      Schedule(DrawDelay(), -1, [this, target, aFunction] {
        const auto deliver = [this, target, aFunction] {
          Call(target, aFunction);
        };
        Schedule(Duration::zero(), static_cast<int>(target), deliver);
      });
    }
  }
}

} // namespace azurecross
