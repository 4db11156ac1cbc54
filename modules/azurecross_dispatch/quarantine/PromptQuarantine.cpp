#include "PromptQuarantine.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace azurecross {

namespace {

/** An answer this recent shows that a part is sound in spite of the death of an
 * engine. Later deaths count, because the engines' software may have changed.
 */
constexpr Duration kSoundLifetime = std::chrono::seconds(30);
/** Other daemons are told of an answer for this time, several report intervals.
 */
constexpr Duration kSoundReportTime = std::chrono::seconds(5);
/** Shortest time between two corrections of the same part, while reports that
 * were sent before the first one still arrive. */
constexpr Duration kCorrectionInterval = std::chrono::milliseconds(300);
/** A process under the same id cannot die again within this time: it has to
 * start first. Used where the start time is unknown. */
constexpr Duration kShortestEngineLife = std::chrono::seconds(2);
/** A part that ended a single engine is forgotten after this time. */
constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
/** A quarantined part is forgotten after this time without another death. */
constexpr Duration kQuarantineLifetime = std::chrono::hours(2);
/** Delay of the trial after the fewest deaths that lead to quarantine. Each
 * further death makes it four times as long, up to the maximum. */
constexpr Duration kFirstTrialDelay = std::chrono::seconds(60);
constexpr unsigned kTrialDelayFactor = 4;
constexpr Duration kMaxTrialDelay = std::chrono::minutes(30);
/** Dropped deaths that are remembered for each part: more engines than one
 * burst of requests is expected to end. */
constexpr std::size_t kMaxDroppedDeaths = 32;

bool
IsSameDeath(const EngineDeath& aLeft, const EngineDeath& aRight)
{
  if (aLeft.server_ != aRight.server_) {
    return false;
  }
  const bool haveStartTimes =
    aLeft.startedUnixMs_ != 0 && aRight.startedUnixMs_ != 0;
  return haveStartTimes
           ? aLeft.startedUnixMs_ == aRight.startedUnixMs_
           : std::chrono::abs(aLeft.at_ - aRight.at_) < kShortestEngineLife;
}

bool
ContainsDeath(const std::vector<EngineDeath>& aList, const EngineDeath& aDeath)
{
  return std::any_of(
    aList.begin(), aList.end(), [&](const EngineDeath& aOther) {
      return IsSameDeath(aDeath, aOther);
    });
}

/** @returns whether a list contains all deaths of another one. */
bool
ContainsDeaths(const std::vector<EngineDeath>& aList,
               const std::vector<EngineDeath>& aDeaths)
{
  return std::all_of(
    aDeaths.begin(), aDeaths.end(), [&](const EngineDeath& aDeath) {
      return ContainsDeath(aList, aDeath);
    });
}

} // namespace

std::string
FormatPromptPartId(PromptPartId aPart)
{
  std::array<char, 16> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aPart, 16).ptr;
  return { text.data(), end };
}

std::optional<PromptPartId>
ParsePromptPartId(std::string_view aText)
{
  PromptPartId part = 0;
  const char* const textEnd = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), textEnd, part, 16);
  if (code != std::errc() || end != textEnd) {
    return std::nullopt;
  }
  return part;
}

bool
PromptQuarantine::Suspect::IsQuarantined() const
{
  std::size_t moments = 0;
  std::optional<Time> momentStart;
  for (const EngineDeath& death : deaths_) {
    if (!momentStart || death.at_ - *momentStart > kCommonCauseTime) {
      ++moments;
      momentStart = death.at_;
    }
  }
  return moments >= kFatalDeaths;
}

PromptQuarantine::PromptQuarantine(std::uint64_t aSeed)
  : seed_(aSeed)
{
}

void
PromptQuarantine::SetExemptParts(std::set<PromptPartId> aParts)
{
  exemptParts_ = std::move(aParts);
}

bool
PromptQuarantine::IsSound(PromptPartId aPart, Time aAt) const
{
  const auto soundAt = soundParts_.Find(aPart);
  return soundAt && *soundAt + kSoundLifetime > aAt;
}

void
PromptQuarantine::RecordAnswer(const std::vector<PromptPartId>& aParts,
                               Time aNow)
{
  for (const PromptPartId part : aParts) {
    soundParts_.Record(part, aNow);
    const auto suspect = suspects_.find(part);
    if (suspect != suspects_.end()) {
      MarkSound(suspect, aNow);
    }
  }
}

bool
PromptQuarantine::MarkSound(Suspects::iterator aSuspect, Time aAt)
{
  Suspect& suspect = aSuspect->second;
  if (suspect.deaths_.empty()) {
    suspect.soundAt_ = std::max(suspect.soundAt_.value_or(aAt), aAt);
    suspect.droppedDeaths_.clear();
    return false;
  }
  const Suspect before = suspect;
  // A report can bring an old answer, after which the part became fatal.
  std::erase_if(suspect.deaths_, [&](const EngineDeath& aDeath) {
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
PromptQuarantine::RecordDeath(const std::vector<PromptPartId>& aParts,
                              const EngineDeath& aDeath)
{
  bool isNew = false;
  for (const PromptPartId part : aParts) {
    isNew = AddDeath(part, aDeath) || isNew;
  }
  if (isNew) {
    CompareSuspects();
  }
  return isNew;
}

void
PromptQuarantine::CompareSuspects()
{
  for (auto& [part, suspect] : suspects_) {
    RemoveExplainedDeaths(part, suspect);
  }
  for (auto& [part, suspect] : suspects_) {
    suspect.companions_.clear();
    if (!suspect.IsQuarantined()) {
      continue;
    }
    for (const auto& [otherPart, other] : suspects_) {
      const bool isAccusedAlike =
        otherPart != part && other.deaths_.size() == suspect.deaths_.size() &&
        ContainsDeaths(other.deaths_, suspect.deaths_);
      if (isAccusedAlike) {
        suspect.companions_.push_back(otherPart);
      }
    }
  }
}

void
PromptQuarantine::RemoveExplainedDeaths(PromptPartId aPart, Suspect& aSuspect)
{
  const std::size_t deathCount = aSuspect.deaths_.size();
  const auto isExplained = [&](const EngineDeath& aDeath) {
    return std::any_of(
      suspects_.begin(), suspects_.end(), [&](const auto& aEntry) {
        const Suspect& other = aEntry.second;
        return other.deaths_.size() > deathCount && other.IsQuarantined() &&
               ContainsDeath(other.deaths_, aDeath);
      });
  };
  std::vector<EngineDeath>& deaths = aSuspect.deaths_;
  if (std::none_of(deaths.begin(), deaths.end(), isExplained)) {
    return;
  }
  const Suspect before = aSuspect;
  std::erase_if(deaths, isExplained);
  if (before.IsQuarantined() && !aSuspect.IsQuarantined()) {
    --quarantinedCount_;
    aSuspect.trialAt_ = Time();
    RecordExplained(aPart, before);
  }
}

void
PromptQuarantine::RecordExplained(PromptPartId aPart, const Suspect& aBefore)
{
  const auto isOfPart = [&](const QuarantineEvent& aEvent) {
    return aEvent.evidence_.part_ == aPart;
  };
  const auto verdict = std::find_if(
    events_.begin(), events_.end(), [&](const QuarantineEvent& aEvent) {
      return isOfPart(aEvent) &&
             aEvent.change_ == QuarantineChange::Quarantined;
    });
  if (verdict == events_.end()) {
    AddEvent(QuarantineChange::Lifted, aPart, aBefore);
    return;
  }
  // The verdict came with the same report and was never in force.
  events_.erase(std::remove_if(verdict, events_.end(), isOfPart),
                events_.end());
}

bool
PromptQuarantine::AddDeath(PromptPartId aPart, const EngineDeath& aDeath)
{
  if (exemptParts_.contains(aPart) || IsSound(aPart, aDeath.at_)) {
    return false;
  }
  Suspect& suspect = FindOrAddSuspect(aPart);
  std::vector<EngineDeath>& deaths = suspect.deaths_;
  const bool isKnown = ContainsDeath(deaths, aDeath) ||
                       ContainsDeath(suspect.droppedDeaths_, aDeath);
  // Daemons place deaths of about the same time in different orders. Once the
  // part is quarantined, an older death adds nothing.
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
  suspect.trialAt_ = std::max(
    suspect.trialAt_, deaths.back().at_ + GetTrialDelay(aPart, deaths.size()));
  AddEvent(wasQuarantined ? QuarantineChange::Confirmed
                          : QuarantineChange::Quarantined,
           aPart,
           suspect);
  return true;
}

PromptQuarantine::Suspect&
PromptQuarantine::FindOrAddSuspect(PromptPartId aPart)
{
  if (suspects_.size() >= kMaxSuspects && !suspects_.contains(aPart)) {
    const auto weakest = std::min_element(
      suspects_.begin(),
      suspects_.end(),
      [](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second.deaths_.size(), aLeft.second.updatedAt_) <
               std::pair(aRight.second.deaths_.size(),
                         aRight.second.updatedAt_);
      });
    quarantinedCount_ -= weakest->second.IsQuarantined() ? 1 : 0;
    suspects_.erase(weakest);
  }
  return suspects_[aPart];
}

Duration
PromptQuarantine::GetTrialDelay(PromptPartId aPart, std::size_t aDeaths) const
{
  Duration delay = kFirstTrialDelay;
  for (std::size_t deaths = kFatalDeaths; deaths < aDeaths; ++deaths) {
    delay = std::min<Duration>(delay * kTrialDelayFactor, kMaxTrialDelay);
  }
  if (aDeaths >= kMaxDeaths) {
    delay = kMaxTrialDelay;
  }
  Random random(seed_ ^ aPart);
  return delay + FromSeconds(random.DrawUnit() * ToSeconds(delay));
}

bool
PromptQuarantine::Merge(const std::vector<PromptPartEvidence>& aEvidence,
                        Time aNow)
{
  bool isNew = false;
  for (const PromptPartEvidence& evidence : aEvidence) {
    if (evidence.soundAt_) {
      soundParts_.Record(evidence.part_, *evidence.soundAt_);
      const auto suspect = suspects_.find(evidence.part_);
      if (suspect != suspects_.end()) {
        isNew = MarkSound(suspect, *evidence.soundAt_) || isNew;
        suspect->second.isCorrectionUntold_ = false;
      }
    }
    for (const EngineDeath& death : evidence.deaths_) {
      isNew = AddDeath(evidence.part_, death) || isNew;
    }
    const bool contradicts =
      !evidence.deaths_.empty() && IsSound(evidence.part_, aNow);
    if (contradicts) {
      Suspect& suspect = FindOrAddSuspect(evidence.part_);
      const bool isDue =
        aNow - suspect.updatedAt_ >= kCorrectionInterval || !suspect.soundAt_;
      if (isDue) {
        suspect.isCorrectionUntold_ = true;
        suspect.updatedAt_ = aNow;
      }
      suspect.soundAt_ = soundParts_.Find(evidence.part_);
    }
  }
  if (isNew) {
    CompareSuspects();
  }
  return isNew;
}

bool
PromptQuarantine::HasUntoldCorrections() const
{
  return std::any_of(
    suspects_.begin(), suspects_.end(), [](const auto& aSuspect) {
      return aSuspect.second.isCorrectionUntold_;
    });
}

void
PromptQuarantine::MarkCorrectionsTold()
{
  for (auto& [part, suspect] : suspects_) {
    suspect.isCorrectionUntold_ = false;
  }
}

std::vector<PromptPartEvidence>
PromptQuarantine::GetEvidence(Time aNow) const
{
  std::vector<Suspects::const_pointer> accused;
  std::vector<Suspects::const_pointer> acquitted;
  for (const auto& entry : suspects_) {
    const Suspect& suspect = entry.second;
    if (!suspect.deaths_.empty()) {
      accused.push_back(&entry);
    } else if (suspect.soundAt_ &&
               aNow - suspect.updatedAt_ < kSoundReportTime) {
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
  const std::size_t accusedCount = std::min(
    accused.size(),
    kMaxReportedParts - std::min(acquitted.size(), kMaxReportedParts / 2));
  accused.resize(accusedCount);
  acquitted.resize(
    std::min(acquitted.size(), kMaxReportedParts - accusedCount));
  accused.insert(accused.end(), acquitted.begin(), acquitted.end());
  std::vector<PromptPartEvidence> reported;
  reported.reserve(accused.size());
  for (const auto* entry : accused) {
    reported.push_back(
      { entry->first, entry->second.deaths_, entry->second.soundAt_ });
  }
  return reported;
}

const PromptQuarantine::Suspect*
PromptQuarantine::FindBlocking(PromptPartId aPart,
                               const std::vector<PromptPartId>& aParts) const
{
  const auto found = suspects_.find(aPart);
  if (found == suspects_.end() || !found->second.IsQuarantined()) {
    return nullptr;
  }
  const std::vector<PromptPartId>& companions = found->second.companions_;
  const bool hasAll = std::all_of(
    companions.begin(), companions.end(), [&](PromptPartId aCompanion) {
      return std::find(aParts.begin(), aParts.end(), aCompanion) !=
             aParts.end();
    });
  return hasAll ? &found->second : nullptr;
}

std::optional<QuarantinedPart>
PromptQuarantine::FindQuarantined(const std::vector<PromptPartId>& aParts,
                                  Time aNow) const
{
  if (quarantinedCount_ == 0) {
    return std::nullopt;
  }
  for (const PromptPartId part : aParts) {
    const Suspect* suspect = FindBlocking(part, aParts);
    if (suspect != nullptr && aNow < suspect->trialAt_) {
      return QuarantinedPart{ part,
                              suspect->deaths_.size(),
                              suspect->trialAt_ - aNow };
    }
  }
  return std::nullopt;
}

void
PromptQuarantine::RecordSend(const std::vector<PromptPartId>& aParts, Time aNow)
{
  if (quarantinedCount_ == 0) {
    return;
  }
  for (const PromptPartId part : aParts) {
    const Suspect* suspect = FindBlocking(part, aParts);
    if (suspect != nullptr) {
      suspects_.at(part).trialAt_ =
        aNow + GetTrialDelay(part, suspect->deaths_.size());
    }
  }
}

void
PromptQuarantine::Tick(Time aNow)
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
PromptQuarantine::AddEvent(QuarantineChange aChange,
                           PromptPartId aPart,
                           const Suspect& aSuspect)
{
  events_.push_back(
    { aChange, { aPart, aSuspect.deaths_, aSuspect.soundAt_ } });
}

std::vector<QuarantineEvent>
PromptQuarantine::TakeEvents()
{
  return std::exchange(events_, {});
}

} // namespace azurecross
