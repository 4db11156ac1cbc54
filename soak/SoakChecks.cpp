#include "SoakChecks.h"

#include <azurecross_http/azurecross_http.h>

#include <algorithm>

namespace azurecross::soak {

namespace {

using platform::BackendRun;
using review::Milliseconds;

/** How long an unplanned disturbance excuses what comes after it. */
constexpr Milliseconds kSettlingTime{ 3000 };
/** A request whose connection closes that soon after it crossed the close. */
constexpr Milliseconds kCrossingTime{ 200 };
/** A request that is sent later after SIGTERM must not be cut. */
constexpr Milliseconds kCutExcuse{ 3000 };
/** How much later than its deadline a request may end. */
constexpr Milliseconds kLateEnd{ 500 };
/** How much longer than the grace period a process may take to be noticed as
 * gone. */
constexpr Milliseconds kEndMargin{ 100 };
/** The least share of each kind of request that is served. */
constexpr double kLeastServed = 0.25;
/** The last part of the grace period, in which a request may be cut. */
constexpr int kGraceParts = 6;
/** A server that leaves may still get requests for this long. */
constexpr Milliseconds kDrainTime{ 2000 };
/** `configMs` and `revokeMs` of the settings: times after which a version is in
 * force, and after which no removed key is accepted. */
constexpr Milliseconds kConfigurationTime{ 2000 };
constexpr Milliseconds kRevocationTime{ 5000 };
/** `evacMs` of the settings: the servers of an evacuated zone may still get
 * requests for this long. */
constexpr Milliseconds kEvacuationTime{ 5000 };

bool
IsPromiseOfNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

/** @returns whether the configuration in force may have had no customers. */
bool
MayLackCustomers(const Observations& aObservations, const CallRecord& aCall)
{
  return std::ranges::any_of(
    aObservations.customerGaps_, [&](const DisturbedTime& aGap) {
      return aCall.endedAt_ >= aGap.begin_ &&
             aCall.sentAt_ <=
               aGap.end_ + std::max(kConfigurationTime, kSettlingTime);
    });
}

std::string
Describe(const CallRecord& aCall)
{
  return aCall.id_ + " (" +
         std::string(kRequestKindNames.FindName(aCall.kind_)) + ", entry " +
         std::to_string(aCall.entry_ + 1) + ", status " +
         std::to_string(aCall.status_) + ")";
}

std::string
DescribeSince(Clock::time_point aTime, Clock::time_point aSince)
{
  return std::to_string(
           std::chrono::duration_cast<Milliseconds>(aTime - aSince).count()) +
         " ms";
}

/** Judges one request. */
class CallCheck
{
public:
  CallCheck(const Observations& aObservations, const CallRecord& aCall)
    : observations_(aObservations)
    , call_(aCall)
    , history_(aObservations.histories_.at(aCall.entry_))
    , runs_(aObservations.ledger_->FindRuns(aCall.id_))
  {
  }

  void Run(std::vector<Violation>& aViolations) const
  {
    const auto add = [&](Promise aPromise, const std::string& aDetail) {
      aViolations.push_back({ aPromise, Describe(call_) + ": " + aDetail });
    };
    const bool isOnce = call_.kind_ != RequestKind::IdempotentCall &&
                        call_.kind_ != RequestKind::SlowCall;
    if (isOnce && runs_.size() > 1) {
      add(Promise::RunsOnce, std::to_string(runs_.size()) + " runs");
    }
    if (isOnce && IsPromiseOfNotRun(call_.status_) && !runs_.empty()) {
      add(Promise::RefusesTruthfully, "ran at " + runs_.front().server_);
    }
    if (call_.status_ == 200 && !call_.isRight_) {
      add(Promise::AnswersRight, "another body");
    }
    if (call_.isWhole_ &&
        !IsFinalStatus(static_cast<unsigned>(call_.status_))) {
      add(Promise::AnswersRight, "undefined status");
    }
    const bool isProper = call_.kind_ != RequestKind::UnknownKeyCall &&
                          !MayLackCustomers(observations_, call_);
    if (call_.status_ >= 300 && call_.status_ < 500 &&
        !IsPromiseOfNotRun(call_.status_) && isProper) {
      add(Promise::AcceptsProperRequests, "rejected");
    }
    CheckKeys(add);
    if (call_.endedAt_ > call_.deadline_ + kLateEnd && !IsExcused()) {
      add(Promise::AnswersInTime,
          "ended " + DescribeSince(call_.endedAt_, call_.deadline_) +
            " after its deadline");
    }
    if (!call_.isWhole_) {
      const std::string loss = FindLoss();
      if (!loss.empty()) {
        add(Promise::AnswersEach, loss);
      }
    }
    CheckLeavingServers(add);
    CheckEvacuatedZones(add);
  }

private:
  /** @returns whether something unplanned happened to the entry or to a link
   * from before the request to its end. */
  bool IsExcused() const
  {
    const Clock::time_point from = call_.sentAt_ - kSettlingTime;
    return std::ranges::any_of(history_,
                               [&](const TimedEvent& aEvent) {
                                 const bool isUnplanned =
                                   aEvent.event_ == EntryEvent::Killed ||
                                   aEvent.event_ == EntryEvent::Paused ||
                                   aEvent.event_ == EntryEvent::Continued;
                                 return isUnplanned && aEvent.time_ >= from &&
                                        aEvent.time_ <= call_.endedAt_;
                               }) ||
           std::ranges::any_of(
             observations_.serverFaults_, [&](const DisturbedTime& aTime) {
               return HasRunAt(aTime.server_) &&
                      aTime.begin_ <= call_.endedAt_ && aTime.end_ >= from;
             });
  }

  bool HasRunAt(const std::string& aServer) const
  {
    return std::ranges::any_of(
      runs_, [&](const BackendRun& aRun) { return aRun.server_ == aServer; });
  }

  /** @returns the last SIGTERM before the end of the request that still had an
   * effect on it. */
  std::optional<Clock::time_point> FindStop() const
  {
    std::optional<Clock::time_point> stop;
    for (const TimedEvent& event : history_) {
      if (event.time_ > call_.endedAt_) {
        break;
      }
      // Of several signals the first one counts.
      if (event.event_ == EntryEvent::Stopped && !stop) {
        stop = event.time_;
      } else if (event.event_ == EntryEvent::Started) {
        stop.reset();
      }
    }
    return stop;
  }

  /** @returns why the missing answer is a loss, or an empty text. */
  std::string FindLoss() const
  {
    if (call_.endedAt_ >= call_.deadline_ || IsExcused()) {
      return {};
    }
    const bool isCrossing =
      runs_.empty() && call_.endedAt_ - call_.sentAt_ <= kCrossingTime;
    if (isCrossing) {
      return {};
    }
    const auto stop = FindStop();
    if (!stop) {
      return "no whole answer after " +
             DescribeSince(call_.endedAt_, call_.sentAt_) + ", " +
             std::to_string(runs_.size()) + " runs, no stop";
    }
    const Clock::time_point lastPart = *stop + observations_.gracePeriod_ -
                                       observations_.gracePeriod_ / kGraceParts;
    // Passed on by then as well, which is stricter than the users' rule.
    const bool isAllowedCut = call_.sentAt_ <= *stop + kCutExcuse &&
                              !runs_.empty() &&
                              runs_.back().begin_ <= *stop + kCutExcuse &&
                              runs_.back().end_ >= lastPart;
    if (isAllowedCut) {
      return {};
    }
    return "sent " + DescribeSince(call_.sentAt_, *stop) +
           " after SIGTERM, ended " + DescribeSince(call_.endedAt_, *stop) +
           " after it, " + std::to_string(runs_.size()) + " runs";
  }

  template<typename Add>
  void CheckKeys(Add aAdd) const
  {
    if (runs_.empty()) {
      return;
    }
    if (call_.kind_ == RequestKind::UnknownKeyCall) {
      aAdd(Promise::ChecksKeys, "ran with a key that no configuration has");
    }
    for (const DisturbedTime& gap : observations_.customerGaps_) {
      if (call_.sentAt_ > gap.begin_ + kRevocationTime &&
          runs_.front().begin_ < gap.end_) {
        aAdd(Promise::ChecksKeys,
             "ran, sent " + DescribeSince(call_.sentAt_, gap.begin_) +
               " after its key was removed");
      }
    }
  }

  template<typename Add>
  void CheckLeavingServers(Add aAdd) const
  {
    for (const BackendRun& run : runs_) {
      const auto leaving = observations_.leavingServers_.find(run.server_);
      if (leaving == observations_.leavingServers_.end() || IsExcused() ||
          IsStoreDisturbed()) {
        continue;
      }
      if (call_.sentAt_ > leaving->second + kDrainTime) {
        aAdd(Promise::SparesLeavingServers,
             "sent " + DescribeSince(call_.sentAt_, leaving->second) +
               " after " + run.server_ + " announced that it leaves");
      }
    }
  }

  template<typename Add>
  void CheckEvacuatedZones(Add aAdd) const
  {
    for (const BackendRun& run : runs_) {
      const auto zone = observations_.serverZones_.find(run.server_);
      const bool isAgainst = std::ranges::any_of(
        observations_.evacuations_, [&](const DisturbedTime& aTime) {
          return zone != observations_.serverZones_.end() &&
                 aTime.server_ == zone->second &&
                 run.begin_ > aTime.begin_ + kEvacuationTime &&
                 run.begin_ < aTime.end_;
        });
      if (isAgainst && !IsExcused() && !IsStoreDisturbed()) {
        aAdd(Promise::SparesEvacuatedZones,
             "ran at " + run.server_ + " in the evacuated zone " +
               zone->second);
      }
    }
  }

  bool IsStoreDisturbed() const
  {
    bool isDisturbed = false;
    std::optional<Clock::time_point> restored;
    for (const TimedEvent& event : history_) {
      if (event.time_ > call_.endedAt_) {
        break;
      }
      if (event.event_ == EntryEvent::StoreDisturbed) {
        isDisturbed = true;
      } else if (event.event_ == EntryEvent::StoreRestored ||
                 event.event_ == EntryEvent::Started) {
        isDisturbed = event.event_ == EntryEvent::Started && isDisturbed;
        restored = event.time_;
      }
    }
    return isDisturbed ||
           (restored && call_.sentAt_ - *restored <= kSettlingTime);
  }

  const Observations& observations_;
  const CallRecord& call_;
  const std::vector<TimedEvent>& history_;
  std::vector<BackendRun> runs_;
};

/** Finds processes that took longer than the grace period to stop. */
void
CheckStops(const Observations& aObservations,
           std::vector<Violation>& aViolations)
{
  for (std::size_t entry = 0; entry < aObservations.histories_.size();
       ++entry) {
    std::optional<Clock::time_point> stop;
    bool isExcused = false;
    for (const TimedEvent& event : aObservations.histories_[entry]) {
      if (event.event_ == EntryEvent::Started) {
        stop.reset();
        isExcused = false;
      } else if (event.event_ == EntryEvent::Stopped && !stop) {
        stop = event.time_;
      } else if (event.event_ == EntryEvent::Paused ||
                 event.event_ == EntryEvent::Killed) {
        isExcused = true;
      } else if (event.event_ == EntryEvent::Ended && stop && !isExcused &&
                 event.time_ - *stop >
                   aObservations.gracePeriod_ + kEndMargin) {
        aViolations.push_back(
          { Promise::StopsInTime,
            "entry " + std::to_string(entry + 1) + " ended " +
              DescribeSince(event.time_, *stop) + " after SIGTERM" });
      }
    }
  }
}

/** @returns whether an entry was told to stop, or was gone, at this time. */
bool
IsStopping(const std::vector<TimedEvent>& aHistory, Clock::time_point aTime)
{
  bool isStopping = true;
  for (const TimedEvent& event : aHistory) {
    if (event.time_ > aTime) {
      break;
    }
    if (event.event_ == EntryEvent::Started) {
      isStopping = false;
    } else if (event.event_ == EntryEvent::Stopped ||
               event.event_ == EntryEvent::Ended) {
      isStopping = true;
    }
  }
  return isStopping;
}

/** Finds kinds of requests of which entries that weren't stopping served too
 * few. */
void
CheckServed(const Observations& aObservations,
            std::vector<Violation>& aViolations)
{
  std::map<RequestKind, std::pair<unsigned, unsigned>> counts;
  for (const CallRecord& call : aObservations.calls_) {
    if (IsStopping(aObservations.histories_.at(call.entry_), call.sentAt_) ||
        call.kind_ == RequestKind::UnknownKeyCall ||
        MayLackCustomers(aObservations, call)) {
      continue;
    }
    auto& [served, all] = counts[call.kind_];
    served += call.isRight_ ? 1 : 0;
    ++all;
  }
  for (const auto& [kind, count] : counts) {
    if (count.first < kLeastServed * count.second) {
      aViolations.push_back({ Promise::Serves,
                              std::string(kRequestKindNames.FindName(kind)) +
                                ": " + std::to_string(count.first) + " of " +
                                std::to_string(count.second) });
    }
  }
}

} // namespace

std::vector<Violation>
FindViolations(const Observations& aObservations)
{
  std::vector<Violation> violations;
  for (const std::string& end : aObservations.unexpectedEnds_) {
    violations.push_back({ Promise::StaysUp, end });
  }
  CheckStops(aObservations, violations);
  CheckServed(aObservations, violations);
  for (const CallRecord& call : aObservations.calls_) {
    CallCheck(aObservations, call).Run(violations);
  }
  return violations;
}

} // namespace azurecross::soak
