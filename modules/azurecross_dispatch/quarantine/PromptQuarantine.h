#pragma once

#include "PromptPart.h"
#include "SoundParts.h"

#include <map>
#include <set>

namespace azurecross {

/** How the standing of a part of a prompt changed. */
enum class QuarantineChange
{
  /** Requests with the part are refused from now on. */
  Quarantined,
  /** An engine has answered a request with the part, or another part explains
   * its deaths. */
  Lifted,
  /** A further engine died under a request with a quarantined part. */
  Confirmed,
};

inline constexpr NameTable<QuarantineChange, 3> kQuarantineChangeNames{
  { { { QuarantineChange::Quarantined, "quarantined" },
      { QuarantineChange::Lifted, "lifted" },
      { QuarantineChange::Confirmed, "confirmed" } } }
};

/** A change of the standing of one part, with the evidence for it. */
struct QuarantineEvent
{
  QuarantineChange change_ = QuarantineChange::Quarantined;
  PromptPartEvidence evidence_;
};

/** Why a request is refused. */
struct QuarantinedPart
{
  PromptPartId part_ = 0;
  /** Engines that died under requests with the part. */
  std::size_t deaths_ = 0;
  /** Time until this daemon tries the part again. */
  Duration untilTrial_{};
};

/**
 * Finds the parts of prompts that end every engine which begins to answer them,
 * and keeps requests with such a part from all engines.
 *
 * The death of an engine accuses the parts of the requests that it had not yet
 * begun to answer. An answer proves all parts of its request sound. A part is
 * quarantined after two different engines have died under it without an answer
 * in between or shortly before, so parts that sound requests use are not
 * blamed, and neither are callers, customers or routes. Parts that the same
 * deaths accuse are told apart by further requests: only a request with all of
 * them is refused, and a part whose deaths another one explains is acquitted.
 * Daemons exchange what they know, since the deaths caused by one part are seen
 * by different daemons.
 *
 * A wrong verdict is corrected by a trial: after a delay, which grows with the
 * number of deaths, one request with the part is let through. Each daemon has a
 * different delay, so the first one decides for all.
 *
 * Load this answers: requests with one fatal part that arrive several times a
 * second at any daemon, while engines also die for other reasons.
 */
class PromptQuarantine
{
public:
  /** Parts are quarantined from this number of deaths on. Engines that die at
   * the same moment count once, because they have a common cause. */
  static constexpr std::size_t kFatalDeaths = 2;
  /** Engines that die within this time of each other are taken to have a common
   * cause, such as the loss of a rack. */
  static constexpr Duration kCommonCauseTime = std::chrono::milliseconds(50);
  /** Parts under suspicion; more than a few at a time are not expected. */
  static constexpr std::size_t kMaxSuspects = 64;
  /** Deaths that are kept for each part. */
  static constexpr std::size_t kMaxDeaths = 5;
  /** Parts in one report to other daemons. */
  static constexpr std::size_t kMaxReportedParts = 8;

  /** @param aSeed staggers the trials; different for each daemon. */
  explicit PromptQuarantine(std::uint64_t aSeed);

  /** Sets the parts that an operator has exempted: they are never
   * quarantined. */
  void SetExemptParts(std::set<PromptPartId> aParts);

  /** Records that an engine answers a request with these parts. */
  void RecordAnswer(const std::vector<PromptPartId>& aParts, Time aNow);

  /** Records that an engine died before it began to answer a request with these
   * parts.
   * @returns whether the death is new evidence. */
  bool RecordDeath(const std::vector<PromptPartId>& aParts,
                   const EngineDeath& aDeath);

  /** Adds the evidence that another daemon has reported.
   * @returns whether it contains a death that was unknown, or an answer that
   * acquits a suspect. */
  bool Merge(const std::vector<PromptPartEvidence>& aEvidence, Time aNow);

  /** @returns the evidence to report to other daemons. */
  std::vector<PromptPartEvidence> GetEvidence(Time aNow) const;

  /** @returns whether this daemon knows of an answer that acquits a part which
   * others suspect, and has not told them. */
  bool HasUntoldCorrections() const;
  /** Records that the evidence was sent to other daemons. */
  void MarkCorrectionsTold();

  /** @returns the part because of which a request must not be sent now, or
   * nothing if it may be sent. */
  std::optional<QuarantinedPart> FindQuarantined(
    const std::vector<PromptPartId>& aParts,
    Time aNow) const;

  /** Records that a request with these parts is sent. If one of them is due for
   * a trial, this request is the trial. */
  void RecordSend(const std::vector<PromptPartId>& aParts, Time aNow);

  /** Forgets old evidence. */
  void Tick(Time aNow);

  /** @returns the changes since the last call. */
  std::vector<QuarantineEvent> TakeEvents();

  std::size_t CountQuarantined() const { return quarantinedCount_; }

private:
  struct Suspect
  {
    /** The first death and the newest ones, in the order of their times. */
    std::vector<EngineDeath> deaths_;
    /** Deaths that made room for newer ones. Other daemons may still report
     * them, and a delayed report makes them look newer than they are. */
    std::vector<EngineDeath> droppedDeaths_;
    std::optional<Time> soundAt_;
    /** Time of the newest death or of the proof that the part is sound. */
    Time updatedAt_;
    /** From this time on, the next request with the part is let through. */
    Time trialAt_;
    /** The other parts that the same deaths accuse. */
    std::vector<PromptPartId> companions_;
    bool isCorrectionUntold_ = false;

    bool IsQuarantined() const;
  };
  using Suspects = std::map<PromptPartId, Suspect>;

  /** @returns whether an answer shows the part to be sound at this time. */
  bool IsSound(PromptPartId aPart, Time aAt) const;
  bool AddDeath(PromptPartId aPart, const EngineDeath& aDeath);
  /** Removes the deaths that another part explains, and finds the parts that
   * the same deaths accuse. */
  void CompareSuspects();
  /** A death has one cause: a part with more deaths is the more likely one. */
  void RemoveExplainedDeaths(PromptPartId aPart, Suspect& aSuspect);
  /** Records that another part explains the deaths of a quarantined part. */
  void RecordExplained(PromptPartId aPart, const Suspect& aBefore);
  /** @returns the suspect if a request with these parts has to be refused
   * because of this part. */
  const Suspect* FindBlocking(PromptPartId aPart,
                              const std::vector<PromptPartId>& aParts) const;
  /** Removes the deaths that an answer at this time excuses.
   * @returns whether there were any. */
  bool MarkSound(Suspects::iterator aSuspect, Time aAt);
  /** @returns the suspect; the one with the weakest evidence makes room for a
   * new one. */
  Suspect& FindOrAddSuspect(PromptPartId aPart);
  Duration GetTrialDelay(PromptPartId aPart, std::size_t aDeaths) const;
  void AddEvent(QuarantineChange aChange,
                PromptPartId aPart,
                const Suspect& aSuspect);

  std::uint64_t seed_;
  std::set<PromptPartId> exemptParts_;
  SoundParts soundParts_;
  Suspects suspects_;
  std::size_t quarantinedCount_ = 0;
  std::vector<QuarantineEvent> events_;
};

} // namespace azurecross
