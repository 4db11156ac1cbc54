#include "RequestQuarantine.h"

#include <algorithm>
#include <limits>

namespace azurecross {

namespace {

/** An answer this recent shows that a fingerprint is sound in spite of the
 * death of a server. Later deaths count, because the servers' software may have
 * changed. */
constexpr Duration kSoundLifetime = std::chrono::seconds(30);
/** Other daemons are told of an answer, and of a single death under a request,
 * for this time, several report intervals. */
constexpr Duration kNewsReportTime = std::chrono::seconds(5);
/** Shortest time between two corrections of the same fingerprint, while reports
 * that were sent before the first one still arrive. */
constexpr Duration kCorrectionInterval = std::chrono::milliseconds(300);
/** A process under the same id cannot die again within this time: it has to
 * start first. Used where the start time is unknown. */
constexpr Duration kShortestServerLife = std::chrono::seconds(2);
/** A fingerprint that ended a single server is forgotten after this time. */
constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
/** A quarantined fingerprint is forgotten after this time without another
 * death.
 */
constexpr Duration kQuarantineLifetime = std::chrono::hours(2);
/** Delay of the trial after the fewest deaths that lead to quarantine. Each
 * further death makes it four times as long, up to the maximum. */
constexpr Duration kFirstTrialDelay = std::chrono::seconds(60);
constexpr unsigned kTrialDelayFactor = 4;
constexpr Duration kMaxTrialDelay = std::chrono::minutes(30);
/** Dropped deaths that are remembered for each fingerprint: more servers than
 * one burst of requests is expected to end. */
constexpr std::size_t kMaxDroppedDeaths = 32;

bool
IsSameDeath(const ServerDeath& aLeft, const ServerDeath& aRight)
{
  if (aLeft.server_ != aRight.server_) {
    return false;
  }
  const bool haveStartTimes =
    aLeft.startedUnixMs_ != 0 && aRight.startedUnixMs_ != 0;
  return haveStartTimes
           ? aLeft.startedUnixMs_ == aRight.startedUnixMs_
           : std::chrono::abs(aLeft.at_ - aRight.at_) < kShortestServerLife;
}

bool
ContainsDeath(const std::vector<ServerDeath>& aList, const ServerDeath& aDeath)
{
  return std::any_of(
    aList.begin(), aList.end(), [&](const ServerDeath& aOther) {
      return IsSameDeath(aDeath, aOther);
    });
}

/** @returns whether a list contains all deaths of another one. */
bool
ContainsDeaths(const std::vector<ServerDeath>& aList,
               const std::vector<ServerDeath>& aDeaths)
{
  return std::all_of(
    aDeaths.begin(), aDeaths.end(), [&](const ServerDeath& aDeath) {
      return ContainsDeath(aList, aDeath);
    });
}

} // namespace

bool
RequestQuarantine::Suspect::IsQuarantined() const
{
  std::size_t moments = 0;
  std::optional<Time> momentStart;
  for (const ServerDeath& death : deaths_) {
    if (!momentStart || death.at_ - *momentStart > kCommonCauseTime) {
      ++moments;
      momentStart = death.at_;
    }
  }
  return moments >= kFatalDeaths;
}

RequestQuarantine::RequestQuarantine(std::uint64_t aSeed)
  : seed_(aSeed)
{
}

void
RequestQuarantine::SetExempt(std::set<Fingerprint> aFingerprints)
{
  exempt_ = std::move(aFingerprints);
}

bool
RequestQuarantine::IsSound(const Fingerprint& aFingerprint, Time aAt) const
{
  const auto soundAt = soundFingerprints_.Find(aFingerprint);
  return soundAt && *soundAt + kSoundLifetime > aAt;
}

void
RequestQuarantine::RecordAnswer(const std::vector<Fingerprint>& aFingerprints,
                                Time aNow)
{
  for (const Fingerprint& fingerprint : aFingerprints) {
    soundFingerprints_.Record(fingerprint, aNow);
    const auto suspect = suspects_.find(fingerprint);
    if (suspect != suspects_.end()) {
      MarkSound(suspect, aNow);
    }
  }
}

bool
RequestQuarantine::MarkSound(Suspects::iterator aSuspect, Time aAt)
{
  Suspect& suspect = aSuspect->second;
  if (suspect.deaths_.empty()) {
    suspect.soundAt_ = std::max(suspect.soundAt_.value_or(aAt), aAt);
    suspect.droppedDeaths_.clear();
    return false;
  }
  const Suspect before = suspect;
  // A report can bring an old answer, after which the fingerprint became fatal.
  std::erase_if(suspect.deaths_, [&](const ServerDeath& aDeath) {
    return aAt + kSoundLifetime > aDeath.at_;
  });
  if (suspect.deaths_.empty()) {
    suspect.soundAt_ = std::max(before.soundAt_.value_or(aAt), aAt);
    suspect.droppedDeaths_.clear();
  }
  if (suspect.deaths_.size() == before.deaths_.size()) {
    return false;
  }
  suspect.updatedAt_ = std::max(suspect.updatedAt_, aAt);
  suspect.isCorrectionUntold_ = true;
  if (before.IsQuarantined() && !suspect.IsQuarantined()) {
    AddEvent(QuarantineChange::Lifted, aSuspect->first, before);
    --quarantinedCount_;
    suspect.trialAt_ = Time();
  }
  CompareSuspects();
  return true;
}

bool
RequestQuarantine::RecordDeath(const std::vector<Fingerprint>& aFingerprints,
                               const ServerDeath& aDeath)
{
  bool isNew = false;
  for (const Fingerprint& fingerprint : aFingerprints) {
    isNew = AddDeath(fingerprint, aDeath) || isNew;
  }
  if (isNew) {
    CompareSuspects();
  }
  return isNew;
}

void
RequestQuarantine::CompareSuspects()
{
  for (auto& [fingerprint, suspect] : suspects_) {
    RemoveExplainedDeaths(fingerprint, suspect);
  }
  for (auto& [fingerprint, suspect] : suspects_) {
    suspect.companions_.clear();
    if (!suspect.IsQuarantined()) {
      continue;
    }
    for (const auto& [otherFingerprint, other] : suspects_) {
      const bool isAccusedAlike =
        otherFingerprint != fingerprint &&
        other.deaths_.size() == suspect.deaths_.size() &&
        ContainsDeaths(other.deaths_, suspect.deaths_);
      if (isAccusedAlike) {
        suspect.companions_.push_back(otherFingerprint);
      }
    }
  }
}

void
RequestQuarantine::RemoveExplainedDeaths(const Fingerprint& aFingerprint,
                                         Suspect& aSuspect)
{
  const std::size_t deathCount = aSuspect.deaths_.size();
  const auto isExplained = [&](const ServerDeath& aDeath) {
    return std::any_of(
      suspects_.begin(), suspects_.end(), [&](const auto& aEntry) {
        const Suspect& other = aEntry.second;
        return other.deaths_.size() > deathCount && other.IsQuarantined() &&
               ContainsDeath(other.deaths_, aDeath);
      });
  };
  std::vector<ServerDeath>& deaths = aSuspect.deaths_;
  if (std::none_of(deaths.begin(), deaths.end(), isExplained)) {
    return;
  }
  const Suspect before = aSuspect;
  std::erase_if(deaths, isExplained);
  if (before.IsQuarantined() && !aSuspect.IsQuarantined()) {
    --quarantinedCount_;
    aSuspect.trialAt_ = Time();
    RecordExplained(aFingerprint, before);
  }
}

void
RequestQuarantine::RecordExplained(const Fingerprint& aFingerprint,
                                   const Suspect& aBefore)
{
  const auto isOfPart = [&](const QuarantineEvent& aEvent) {
    return aEvent.evidence_.fingerprint_ == aFingerprint;
  };
  const auto verdict = std::find_if(
    events_.begin(), events_.end(), [&](const QuarantineEvent& aEvent) {
      return isOfPart(aEvent) &&
             aEvent.change_ == QuarantineChange::Quarantined;
    });
  if (verdict == events_.end()) {
    AddEvent(QuarantineChange::Lifted, aFingerprint, aBefore);
    return;
  }
  // The verdict came with the same report and was never in force.
  events_.erase(std::remove_if(verdict, events_.end(), isOfPart),
                events_.end());
}

bool
RequestQuarantine::AddDeath(const Fingerprint& aFingerprint,
                            const ServerDeath& aDeath)
{
  if (exempt_.contains(aFingerprint) || IsSound(aFingerprint, aDeath.at_)) {
    return false;
  }
  Suspect& suspect = FindOrAddSuspect(aFingerprint);
  std::vector<ServerDeath>& deaths = suspect.deaths_;
  const bool isKnown = ContainsDeath(deaths, aDeath) ||
                       ContainsDeath(suspect.droppedDeaths_, aDeath);
  // Daemons place deaths of about the same time in different orders. Once the
  // fingerprint is quarantined, an older death adds nothing.
  const bool isTooOld =
    deaths.size() >= kMaxDeaths && aDeath.at_ <= deaths[1].at_ &&
    (suspect.IsQuarantined() || aDeath.at_ >= deaths.front().at_);
  if (isKnown || isTooOld) {
    return false;
  }
  const bool wasQuarantined = suspect.IsQuarantined();
  deaths.insert(std::upper_bound(deaths.begin(),
                                 deaths.end(),
                                 aDeath,
                                 [](const auto& aLeft, const auto& aRight) {
                                   return aLeft.at_ < aRight.at_;
                                 }),
                aDeath);
  if (deaths.size() > kMaxDeaths) {
    // The oldest one stays: the newest may all belong to one moment.
    suspect.droppedDeaths_.push_back(deaths[1]);
    if (suspect.droppedDeaths_.size() > kMaxDroppedDeaths) {
      suspect.droppedDeaths_.erase(suspect.droppedDeaths_.begin());
    }
    deaths.erase(deaths.begin() + 1);
  }
  suspect.updatedAt_ = std::max(suspect.updatedAt_, aDeath.at_);
  suspect.soundAt_.reset();
  if (!suspect.IsQuarantined()) {
    quarantinedCount_ -= wasQuarantined ? 1 : 0;
    return true;
  }
  quarantinedCount_ += wasQuarantined ? 0 : 1;
  // An old death that is reported late must not make another trial due.
  suspect.trialAt_ =
    std::max(suspect.trialAt_,
             deaths.back().at_ + GetTrialDelay(aFingerprint, deaths.size()));
  AddEvent(wasQuarantined ? QuarantineChange::Confirmed
                          : QuarantineChange::Quarantined,
           aFingerprint,
           suspect);
  return true;
}

RequestQuarantine::Suspect&
RequestQuarantine::FindOrAddSuspect(const Fingerprint& aFingerprint)
{
  // The map is ordered by kind.
  const auto first = suspects_.lower_bound({ aFingerprint.kind_, 0 });
  const auto last = suspects_.upper_bound(
    { aFingerprint.kind_, std::numeric_limits<std::uint64_t>::max() });
  const bool isFull =
    static_cast<std::size_t>(std::distance(first, last)) >= kMaxSuspects;
  if (isFull && !suspects_.contains(aFingerprint)) {
    const auto weakest =
      std::min_element(first, last, [](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second.deaths_.size(), aLeft.second.updatedAt_) <
               std::pair(aRight.second.deaths_.size(),
                         aRight.second.updatedAt_);
      });
    quarantinedCount_ -= weakest->second.IsQuarantined() ? 1 : 0;
    suspects_.erase(weakest);
  }
  return suspects_[aFingerprint];
}

Duration
RequestQuarantine::GetTrialDelay(const Fingerprint& aFingerprint,
                                 std::size_t aDeaths) const
{
  Duration delay = kFirstTrialDelay;
  for (std::size_t deaths = kFatalDeaths; deaths < aDeaths; ++deaths) {
    delay = std::min<Duration>(delay * kTrialDelayFactor, kMaxTrialDelay);
  }
  if (aDeaths >= kMaxDeaths) {
    delay = kMaxTrialDelay;
  }
  Random random(seed_ ^ aFingerprint.value_);
  return delay + FromSeconds(random.DrawUnit() * ToSeconds(delay));
}

bool
RequestQuarantine::Merge(const std::vector<FingerprintEvidence>& aEvidence,
                         Time aNow)
{
  bool isNew = false;
  for (const FingerprintEvidence& evidence : aEvidence) {
    if (evidence.soundAt_) {
      soundFingerprints_.Record(evidence.fingerprint_, *evidence.soundAt_);
      const auto suspect = suspects_.find(evidence.fingerprint_);
      if (suspect != suspects_.end()) {
        isNew = MarkSound(suspect, *evidence.soundAt_) || isNew;
        suspect->second.isCorrectionUntold_ = false;
      }
    }
    for (const ServerDeath& death : evidence.deaths_) {
      isNew = AddDeath(evidence.fingerprint_, death) || isNew;
    }
    const bool contradicts =
      !evidence.deaths_.empty() && IsSound(evidence.fingerprint_, aNow);
    if (contradicts) {
      Suspect& suspect = FindOrAddSuspect(evidence.fingerprint_);
      const bool isDue =
        aNow - suspect.updatedAt_ >= kCorrectionInterval || !suspect.soundAt_;
      if (isDue) {
        suspect.isCorrectionUntold_ = true;
        suspect.updatedAt_ = aNow;
      }
      suspect.soundAt_ = soundFingerprints_.Find(evidence.fingerprint_);
    }
  }
  if (isNew) {
    CompareSuspects();
  }
  return isNew;
}

bool
RequestQuarantine::HasUntoldCorrections() const
{
  return std::any_of(
    suspects_.begin(), suspects_.end(), [](const auto& aSuspect) {
      return aSuspect.second.isCorrectionUntold_;
    });
}

void
RequestQuarantine::MarkCorrectionsTold()
{
  for (auto& [fingerprint, suspect] : suspects_) {
    suspect.isCorrectionUntold_ = false;
  }
}

std::vector<FingerprintEvidence>
RequestQuarantine::GetEvidence(Time aNow) const
{
  std::vector<FingerprintEvidence> reported;
  for (const FingerprintKind kind : kFingerprintKinds) {
    AppendEvidence(kind, aNow, reported);
  }
  return reported;
}

void
RequestQuarantine::AppendEvidence(FingerprintKind aKind,
                                  Time aNow,
                                  std::vector<FingerprintEvidence>& aOut) const
{
  std::vector<Suspects::const_pointer> accused;
  std::vector<Suspects::const_pointer> acquitted;
  for (const auto& entry : suspects_) {
    if (entry.first.kind_ != aKind) {
      continue;
    }
    const Suspect& suspect = entry.second;
    const bool isNew = aNow - suspect.updatedAt_ < kNewsReportTime;
    // Each server that ends accuses the requests that ran beside a fatal one,
    // most of which never come again.
    const bool isAccused =
      aKind == FingerprintKind::PromptPart || suspect.IsQuarantined() || isNew;
    if (!suspect.deaths_.empty() && isAccused) {
      accused.push_back(&entry);
    } else if (suspect.deaths_.empty() && suspect.soundAt_ && isNew) {
      acquitted.push_back(&entry);
    }
  }
  const auto isStronger = [](const auto* aLeft, const auto* aRight) {
    return std::pair(aLeft->second.deaths_.size(), aLeft->second.updatedAt_) >
           std::pair(aRight->second.deaths_.size(), aRight->second.updatedAt_);
  };
  std::stable_sort(accused.begin(), accused.end(), isStronger);
  std::stable_sort(acquitted.begin(), acquitted.end(), isStronger);
  // Neither kind may keep the other out of the report.
  const std::size_t accusedCount =
    std::min(accused.size(),
             kMaxReported - std::min(acquitted.size(), kMaxReported / 2));
  accused.resize(accusedCount);
  acquitted.resize(std::min(acquitted.size(), kMaxReported - accusedCount));
  accused.insert(accused.end(), acquitted.begin(), acquitted.end());
  for (const auto* entry : accused) {
    aOut.push_back(
      { entry->first, entry->second.deaths_, entry->second.soundAt_ });
  }
}

std::size_t
RequestQuarantine::CountQuarantined(FingerprintKind aKind) const
{
  if (quarantinedCount_ == 0) {
    return 0;
  }
  return static_cast<std::size_t>(
    std::count_if(suspects_.begin(), suspects_.end(), [&](const auto& aEntry) {
      return aEntry.first.kind_ == aKind && aEntry.second.IsQuarantined();
    }));
}

const RequestQuarantine::Suspect*
RequestQuarantine::FindBlocking(
  const Fingerprint& aFingerprint,
  const std::vector<Fingerprint>& aFingerprints) const
{
  const auto found = suspects_.find(aFingerprint);
  if (found == suspects_.end() || !found->second.IsQuarantined()) {
    return nullptr;
  }
  const std::vector<Fingerprint>& companions = found->second.companions_;
  const bool hasAll = std::all_of(
    companions.begin(), companions.end(), [&](const Fingerprint& aCompanion) {
      return std::find(aFingerprints.begin(),
                       aFingerprints.end(),
                       aCompanion) != aFingerprints.end();
    });
  return hasAll ? &found->second : nullptr;
}

std::optional<QuarantinedFingerprint>
RequestQuarantine::FindQuarantined(
  const std::vector<Fingerprint>& aFingerprints,
  Time aNow) const
{
  if (quarantinedCount_ == 0) {
    return std::nullopt;
  }
  for (const Fingerprint& fingerprint : aFingerprints) {
    const Suspect* suspect = FindBlocking(fingerprint, aFingerprints);
    if (suspect != nullptr && aNow < suspect->trialAt_) {
      return QuarantinedFingerprint{ fingerprint,
                                     suspect->deaths_.size(),
                                     suspect->trialAt_ - aNow };
    }
  }
  return std::nullopt;
}

bool
RequestQuarantine::IsSuspected(const Fingerprint& aRequest) const
{
  const auto found = suspects_.find(aRequest);
  return found != suspects_.end() && !found->second.deaths_.empty();
}

void
RequestQuarantine::RecordSend(const std::vector<Fingerprint>& aFingerprints,
                              Time aNow)
{
  if (quarantinedCount_ == 0) {
    return;
  }
  for (const Fingerprint& fingerprint : aFingerprints) {
    const Suspect* suspect = FindBlocking(fingerprint, aFingerprints);
    if (suspect != nullptr) {
      suspects_.at(fingerprint).trialAt_ =
        aNow + GetTrialDelay(fingerprint, suspect->deaths_.size());
    }
  }
}

void
RequestQuarantine::Tick(Time aNow)
{
  std::erase_if(suspects_, [&](const auto& aEntry) {
    const Suspect& suspect = aEntry.second;
    const Duration lifetime =
      suspect.IsQuarantined() ? kQuarantineLifetime : kSuspicionLifetime;
    const bool isExpired = aNow - suspect.updatedAt_ > lifetime;
    quarantinedCount_ -= isExpired && suspect.IsQuarantined() ? 1 : 0;
    return isExpired;
  });
}

void
RequestQuarantine::AddEvent(QuarantineChange aChange,
                            const Fingerprint& aFingerprint,
                            const Suspect& aSuspect)
{
  events_.push_back(
    { aChange, { aFingerprint, aSuspect.deaths_, aSuspect.soundAt_ } });
}

std::vector<QuarantineEvent>
RequestQuarantine::TakeEvents()
{
  return std::exchange(events_, {});
}

} // namespace azurecross
