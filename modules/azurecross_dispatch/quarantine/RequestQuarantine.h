#pragma once

#include "Fingerprint.h"
#include "SoundFingerprints.h"

#include <map>
#include <set>

namespace azurecross {

/** How the standing of a fingerprint changed. */
enum class QuarantineChange
{
  /** Requests with the fingerprint are refused from now on. */
  Quarantined,
  /** A server has answered a request with the fingerprint, or another one
   * explains its deaths. */
  Lifted,
  /** A further server died under a request with a quarantined fingerprint. */
  Confirmed,
};

inline constexpr NameTable<QuarantineChange, 3> kQuarantineChangeNames{
  { { { QuarantineChange::Quarantined, "quarantined" },
      { QuarantineChange::Lifted, "lifted" },
      { QuarantineChange::Confirmed, "confirmed" } } }
};

/** A change of the standing of one fingerprint, with the evidence for it. */
struct QuarantineEvent
{
  QuarantineChange change_ = QuarantineChange::Quarantined;
  FingerprintEvidence evidence_;
};

/** Why a request is refused. */
struct QuarantinedFingerprint
{
  Fingerprint fingerprint_;
  /** Servers that died under requests with the fingerprint. */
  std::size_t deaths_ = 0;
  /** Time until this daemon tries the fingerprint again. */
  Duration untilTrial_{};
};

/**
 * Finds the fingerprints that end every server which begins to run a request
 * with them, and keeps such requests from all servers.
 *
 * The death of a server accuses the fingerprints of the requests that it had
 * not yet begun to answer. An answer proves all fingerprints of its request
 * sound. A fingerprint is quarantined after two different servers have died
 * under it without an answer in between or shortly before, so what sound
 * requests share is not blamed, and neither are callers, customers or routes.
 * Fingerprints that the same deaths accuse are told apart by further requests:
 * only a request with all of them is refused, and one whose deaths another one
 * explains is acquitted. Daemons exchange what they know, since the deaths
 * caused by one fingerprint are seen by different daemons.
 *
 * A wrong verdict is corrected by a trial: after a delay, which grows with the
 * number of deaths, one request with the fingerprint is let through. Each
 * daemon has a different delay, so the first one decides for all.
 *
 * Load this answers: requests with one fatal fingerprint that arrive several
 * times a second at any daemon, while servers also die for other reasons.
 */
class RequestQuarantine
{
public:
  /** Fingerprints are quarantined from this number of deaths on. Servers that
   * die at the same moment count once, because they have a common cause. */
  static constexpr std::size_t kFatalDeaths = 2;
  /** Servers that die within this time of each other are taken to have a common
   * cause, such as the loss of a rack. */
  static constexpr Duration kCommonCauseTime = std::chrono::milliseconds(50);
  /** Fingerprints of each kind under suspicion; more than a few at a time are
   * not expected. */
  static constexpr std::size_t kMaxSuspects = 64;
  /** Deaths that are kept for each fingerprint. */
  static constexpr std::size_t kMaxDeaths = 5;
  /** Fingerprints of each kind in one report to other daemons. */
  static constexpr std::size_t kMaxReported = 8;

  /** @param aSeed staggers the trials; different for each daemon. */
  explicit RequestQuarantine(std::uint64_t aSeed);

  /** Sets the fingerprints that an operator has exempted: they are never
   * quarantined. */
  void SetExempt(std::set<Fingerprint> aFingerprints);

  /** Records that a server answers a request with these fingerprints. */
  void RecordAnswer(const std::vector<Fingerprint>& aFingerprints, Time aNow);

  /** Records that a server died before it began to answer a request with these
   * fingerprints.
   * @returns whether the death is new evidence. */
  bool RecordDeath(const std::vector<Fingerprint>& aFingerprints,
                   const ServerDeath& aDeath);

  /** Adds the evidence that another daemon has reported.
   * @returns whether it contains a death that was unknown, or an answer that
   * acquits a suspect. */
  bool Merge(const std::vector<FingerprintEvidence>& aEvidence, Time aNow);

  /** @returns the evidence to report to other daemons. */
  std::vector<FingerprintEvidence> GetEvidence(Time aNow) const;

  /** @returns whether this daemon knows of an answer that acquits a fingerprint
   * which others suspect, and has not told them. */
  bool HasUntoldCorrections() const;
  /** Records that the evidence was sent to other daemons. */
  void MarkCorrectionsTold();

  /** @returns the fingerprint because of which a request must not be sent now,
   * or nothing if it may be sent. */
  std::optional<QuarantinedFingerprint> FindQuarantined(
    const std::vector<Fingerprint>& aFingerprints,
    Time aNow) const;

  /** @returns whether a server died under the request before, and none has
   * answered it since. */
  bool IsSuspected(const Fingerprint& aRequest) const;

  /** Records that a request with these fingerprints is sent. If one of them is
   * due for a trial, this request is the trial. */
  void RecordSend(const std::vector<Fingerprint>& aFingerprints, Time aNow);

  /** Forgets old evidence. */
  void Tick(Time aNow);

  /** @returns the changes since the last call. */
  std::vector<QuarantineEvent> TakeEvents();

  std::size_t CountQuarantined() const { return quarantinedCount_; }
  std::size_t CountQuarantined(FingerprintKind aKind) const;

private:
  struct Suspect
  {
    /** The first death and the newest ones, in the order of their times. */
    std::vector<ServerDeath> deaths_;
    /** Deaths that made room for newer ones. Other daemons may still report
     * them, and a delayed report makes them look newer than they are. */
    std::vector<ServerDeath> droppedDeaths_;
    std::optional<Time> soundAt_;
    /** Time of the newest death or of the proof of soundness. */
    Time updatedAt_;
    /** From this time on, the next request with the fingerprint is let through.
     */
    Time trialAt_;
    /** The other fingerprints that the same deaths accuse. */
    std::vector<Fingerprint> companions_;
    bool isCorrectionUntold_ = false;

    bool IsQuarantined() const;
  };
  using Suspects = std::map<Fingerprint, Suspect>;

  /** @returns whether an answer shows soundness at this time. */
  bool IsSound(const Fingerprint& aFingerprint, Time aAt) const;
  bool AddDeath(const Fingerprint& aFingerprint, const ServerDeath& aDeath);
  /** Removes the deaths that another fingerprint explains, and finds the
   * fingerprints that the same deaths accuse. */
  void CompareSuspects();
  /** A death has one cause: a fingerprint with more deaths is the more likely
   * one. */
  void RemoveExplainedDeaths(const Fingerprint& aFingerprint,
                             Suspect& aSuspect);
  /** Records that another fingerprint explains the deaths of a quarantined one.
   */
  void RecordExplained(const Fingerprint& aFingerprint, const Suspect& aBefore);
  /** @returns the suspect if a request with these fingerprints has to be
   * refused because of this one. */
  const Suspect* FindBlocking(
    const Fingerprint& aFingerprint,
    const std::vector<Fingerprint>& aFingerprints) const;
  /** Removes the deaths that an answer at this time excuses.
   * @returns whether there were any. */
  bool MarkSound(Suspects::iterator aSuspect, Time aAt);
  /** @returns the suspect; the one of its kind with the weakest evidence makes
   * room for a new one. */
  Suspect& FindOrAddSuspect(const Fingerprint& aFingerprint);
  /** Appends the evidence about one kind of fingerprints. */
  void AppendEvidence(FingerprintKind aKind,
                      Time aNow,
                      std::vector<FingerprintEvidence>& aOut) const;
  Duration GetTrialDelay(const Fingerprint& aFingerprint,
                         std::size_t aDeaths) const;
  void AddEvent(QuarantineChange aChange,
                const Fingerprint& aFingerprint,
                const Suspect& aSuspect);

  std::uint64_t seed_;
  std::set<Fingerprint> exempt_;
  SoundFingerprints soundFingerprints_;
  Suspects suspects_;
  std::size_t quarantinedCount_ = 0;
  std::vector<QuarantineEvent> events_;
};

} // namespace azurecross
