#include "QuarantineSimulation.h"

#include <algorithm>
#include <cmath>

namespace azurecross {

namespace {

constexpr PromptPartId kFatalPart = 0xfa7a1;
/** The first part of the prompts with the fatal part, except where the fatal
 * part itself is the first. */
constexpr PromptPartId kRelatedFirstPart = 0x1000000;
constexpr PromptPartId kOtherPartBase = 0x2000000;
constexpr std::size_t kFirstParts = 8;
constexpr std::size_t kOtherParts = 4000;
constexpr std::size_t kCustomers = 20;
constexpr int kMaxAttempts = 3;

constexpr std::array<double, 3> kSpeeds{ 0.6, 1.0, 1.6 };
constexpr double kPromptTokensPerSecond = 7500.0;
constexpr Duration kEngineStartTime = std::chrono::seconds(3);
constexpr Duration kReclaimNotice = std::chrono::milliseconds(1500);
constexpr double kReclaimIntervalSeconds = 5.0;
constexpr double kMassCrashSeconds = 22.0;
constexpr double kMassCrashShare = 0.15;

constexpr Duration kDatagramDelay = std::chrono::milliseconds(2);
constexpr Duration kProbeTime = std::chrono::milliseconds(3);
constexpr Duration kRetryDelay = std::chrono::milliseconds(5);
constexpr Duration kMaxCorrectionDelay = std::chrono::milliseconds(60);
constexpr Duration kSummaryInterval = std::chrono::milliseconds(600);
constexpr double kReportsPerSecond = 30.0;
constexpr double kMinReportSeconds = 0.3;
constexpr double kMaxReportSeconds = 1.2;
constexpr int kSummarizersPerZone = 2;

/** Deaths after which the fleet has to know the fatal part. */
constexpr int kDeathsOfRule = 5;
/** Time that the fleet has to act on these deaths. */
constexpr Duration kStableWindow = std::chrono::seconds(5);
/** Time a restarted daemon has to learn the verdict. */
constexpr Duration kRestartWindow = std::chrono::seconds(2);
/** A part with the fewest deaths is tried within 30 s. */
constexpr Duration kMaxFirstTrialDelay = std::chrono::seconds(30);

/** @returns an index below the count; low ones are frequent. */
std::size_t
DrawSkewed(Random& aRandom, std::size_t aCount, double aExponent)
{
  return static_cast<std::size_t>(static_cast<double>(aCount) *
                                  std::pow(aRandom.DrawUnit(), aExponent));
}

/** @returns the size of the evidence in a report as JSON: an array with an
 * array for each part, which holds the part, an age and an array of deaths. */
std::size_t
CountBytes(const std::vector<FingerprintEvidence>& aEvidence, Time aNow)
{
  const auto ageBytes = [&](Time aTime) {
    const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aTime);
    return std::to_string(age.count()).size();
  };
  constexpr std::size_t kEvidencePunctuation = 9;
  constexpr std::size_t kDeathPunctuation = 7;
  constexpr std::size_t kUnixMsDigits = 13;
  std::size_t bytes = 2;
  for (const FingerprintEvidence& evidence : aEvidence) {
    // Real identifiers of parts have all 16 digits.
    bytes += kEvidencePunctuation + 16;
    bytes += evidence.soundAt_ ? ageBytes(*evidence.soundAt_) : 4;
    for (const ServerDeath& death : evidence.deaths_) {
      bytes += kDeathPunctuation + kUnixMsDigits +
               death.server_.GetValue().size() + ageBytes(death.at_);
    }
  }
  return bytes;
}

} // namespace

QuarantineSimulation::QuarantineSimulation(const QuarantineConfig& aConfig)
  : config_(aConfig)
  , random_(aConfig.seed_)
  , outcomes_(aConfig.isLastZoneCutOff_ ? 2 : 1)
{
  for (int index = 0; index < config_.daemons_; ++index) {
    Daemon daemon;
    daemon.zone_ = index % config_.zones_;
    daemon.isSummarizer_ = index / config_.zones_ < kSummarizersPerZone;
    daemon.correctionDelay_ =
      FromSeconds(random_.DrawUnit() * ToSeconds(kMaxCorrectionDelay));
    daemon.quarantine_ =
      std::make_unique<RequestQuarantine>(random_.DrawBits());
    ++GetOutcome(daemon.zone_).daemons_;
    daemons_.push_back(std::move(daemon));
  }
  for (int index = 0; index < config_.engines_; ++index) {
    Engine engine;
    engine.id_ = "engine-" + std::to_string(index);
    engine.zone_ = index % config_.zones_;
    engine.speed_ = kSpeeds.at(static_cast<std::size_t>(index) % 3);
    engines_.push_back(std::move(engine));
  }
}

std::size_t
QuarantineSimulation::GetPartition(int aZone) const
{
  return config_.isLastZoneCutOff_ && aZone == config_.zones_ - 1 ? 1 : 0;
}

void
QuarantineSimulation::Schedule(Duration aDelay, std::function<void()> aAction)
{
  events_.Add(now_ + aDelay, std::move(aAction));
}

void
QuarantineSimulation::ScheduleRandomly(double aMeanSeconds,
                                       std::function<void()> aAction)
{
  const Duration gap = FromSeconds(random_.DrawExponential(aMeanSeconds));
  Schedule(gap, [this, aMeanSeconds, action = std::move(aAction)] {
    action();
    ScheduleRandomly(aMeanSeconds, action);
  });
}

void
QuarantineSimulation::ScheduleArrival(bool aIsLong)
{
  const double rate =
    aIsLong ? config_.longPerSecond_ : config_.shortPerSecond_;
  ScheduleRandomly(1.0 / rate, [this, aIsLong] {
    Daemon& daemon = daemons_[random_.DrawBelow(daemons_.size())];
    Request request = DrawRequest(aIsLong);
    GetOutcome(daemon.zone_).soundRequests_ += request.isFatal_ ? 0 : 1;
    Send(daemon, std::move(request));
  });
}

QuarantineSimulation::Request
QuarantineSimulation::DrawRequest(bool aIsLong)
{
  Request request;
  request.arrival_ = now_;
  request.isFatal_ = now_ >= At(config_.fatalFromSeconds_) &&
                     random_.DrawUnit() < config_.fatalShare_;
  request.isRelatedRoute_ = aIsLong || request.isFatal_;
  request.promptTokens_ = request.isRelatedRoute_ ? 3000.0 : 2200.0;
  request.customer_ =
    request.isFatal_ ? 0 : static_cast<int>(DrawSkewed(random_, kCustomers, 2));
  const PromptPartId firstPart =
    kRelatedFirstPart +
    (request.isFatal_ ? 0 : DrawSkewed(random_, kFirstParts, 2));
  request.parts_.push_back(firstPart);
  const std::size_t otherParts = random_.DrawBelow(3);
  for (std::size_t count = 0; count < otherParts; ++count) {
    request.parts_.push_back(kOtherPartBase +
                             DrawSkewed(random_, kOtherParts, 4));
  }
  if (request.isFatal_) {
    const std::size_t place = random_.DrawBelow(request.parts_.size() + 1);
    if (place == 0) {
      request.parts_.front() = kFatalPart;
    } else {
      request.parts_.insert(request.parts_.begin() +
                              static_cast<std::ptrdiff_t>(place),
                            kFatalPart);
    }
  }
  return request;
}

bool
QuarantineSimulation::IsRefused(Daemon& aDaemon, const Request& aRequest)
{
  if (!config_.usesQuarantine_) {
    return false;
  }
  const auto part = aDaemon.quarantine_->FindQuarantined(aRequest.parts_, now_);
  if (!part) {
    return false;
  }
  if (!aRequest.isFatal_) {
    QuarantineOutcome& outcome = GetOutcome(aDaemon.zone_);
    ++outcome.soundRefusals_;
    const bool isLate =
      part->deaths_ == RequestQuarantine::kFatalDeaths &&
      now_ - accusedAt_[part->fingerprint_] > kMaxFirstTrialDelay + kProbeTime;
    outcome.lateSoundRefusals_ += isLate ? 1 : 0;
  }
  return true;
}

QuarantineSimulation::Engine*
QuarantineSimulation::ChooseEngine(const Daemon& aDaemon)
{
  std::vector<Engine*> local;
  std::vector<Engine*> reachable;
  for (Engine& engine : engines_) {
    const bool isUsable =
      engine.isUp_ && !engine.isDraining_ &&
      GetPartition(engine.zone_) == GetPartition(aDaemon.zone_);
    if (isUsable) {
      reachable.push_back(&engine);
      if (engine.zone_ == aDaemon.zone_) {
        local.push_back(&engine);
      }
    }
  }
  // A tenth of the generations may run in another zone.
  const bool isLocal = !local.empty() && random_.DrawUnit() < 0.9;
  const std::vector<Engine*>& candidates = isLocal ? local : reachable;
  if (candidates.empty()) {
    return nullptr;
  }
  Engine* const first = candidates[random_.DrawBelow(candidates.size())];
  Engine* const second = candidates[random_.DrawBelow(candidates.size())];
  return first->prefillEnd_ <= second->prefillEnd_ ? first : second;
}

void
QuarantineSimulation::Send(Daemon& aDaemon, Request aRequest)
{
  const bool isRefused = IsRefused(aDaemon, aRequest);
  Engine* const engine = isRefused ? nullptr : ChooseEngine(aDaemon);
  if (engine == nullptr) {
    if (aRequest.attempts_ == 0) {
      CountFirstAttempt(aDaemon, aRequest, false);
    }
    return;
  }
  ++aRequest.attempts_;
  aDaemon.quarantine_->RecordSend(aRequest.parts_, now_);
  if (aRequest.isFatal_) {
    QuarantineOutcome& outcome = GetOutcome(aDaemon.zone_);
    const auto& death = decidingDeathAt_.at(GetPartition(aDaemon.zone_));
    const bool isLate =
      outcome.fatalDeaths_ >= kDeathsOfRule && now_ > *death + kStableWindow;
    ++outcome.fatalSends_;
    outcome.lateFatalSends_ += isLate ? 1 : 0;
  }
  const double prefill =
    aRequest.promptTokens_ / (kPromptTokensPerSecond * engine->speed_);
  engine->prefillEnd_ =
    std::max(engine->prefillEnd_, now_) + FromSeconds(prefill);
  auto run = std::make_shared<Run>(Run{ std::move(aRequest), aDaemon, false });
  engine->unansweredRuns_.push_back(run);
  Schedule(engine->prefillEnd_ - now_,
           [this, engine, run] { BeginAnswer(*engine, run); });
}

void
QuarantineSimulation::BeginAnswer(Engine& aEngine,
                                  const std::shared_ptr<Run>& aRun)
{
  if (aRun->hasEnded_) {
    return;
  }
  if (aRun->request_.isFatal_) {
    EndEngine(aEngine, EndCause::FatalPart);
    return;
  }
  aRun->hasEnded_ = true;
  std::erase(aEngine.unansweredRuns_, aRun);
  if (aRun->request_.attempts_ == 1) {
    CountFirstAttempt(aRun->daemon_, aRun->request_, true);
  }
  aRun->daemon_.quarantine_->RecordAnswer(aRun->request_.parts_, now_);
  HandleQuarantineChanges(aRun->daemon_);
}

void
QuarantineSimulation::CountFirstAttempt(const Daemon& aDaemon,
                                        const Request& aRequest,
                                        bool aIsAnswered)
{
  if (aRequest.isFatal_ || !aRequest.isRelatedRoute_) {
    return;
  }
  QuarantineOutcome& outcome = GetOutcome(aDaemon.zone_);
  const auto& death = decidingDeathAt_.at(GetPartition(aDaemon.zone_));
  const bool isAfter = death && aRequest.arrival_ >= *death + 2 * kStableWindow;
  const bool isBefore = aRequest.arrival_ < At(config_.fatalFromSeconds_ - 1.0);
  if (!isAfter && !isBefore) {
    return;
  }
  RelatedAttempts& attempts = isAfter ? outcome.after_ : outcome.before_;
  const auto count = [&](FirstAttempts& aAttempts) {
    ++aAttempts.requests_;
    aAttempts.answered_ += aIsAnswered ? 1 : 0;
  };
  if (aRequest.parts_.front() == kRelatedFirstPart) {
    count(attempts.sameFirstPart_);
  }
  if (aRequest.customer_ == 0) {
    count(attempts.sameCustomer_);
  }
}

void
QuarantineSimulation::EndRandomEngine(EndCause aCause)
{
  Engine& engine = engines_[random_.DrawBelow(engines_.size())];
  if (!engine.isUp_ || engine.isDraining_) {
    return;
  }
  if (aCause != EndCause::Reclaimed) {
    EndEngine(engine, aCause);
    return;
  }
  engine.isDraining_ = true;
  Schedule(kReclaimNotice, [this, &engine] {
    if (engine.isUp_ && engine.isDraining_) {
      EndEngine(engine, EndCause::Reclaimed);
    }
  });
}

void
QuarantineSimulation::EndEngine(Engine& aEngine, EndCause aCause)
{
  const ServerDeath death{ BackendServerId(aEngine.id_),
                           aEngine.startedUnixMs_,
                           now_ };
  // Only ends without notice are evidence.
  const bool isEvidence = !aEngine.isDraining_;
  if (aCause == EndCause::FatalPart) {
    const std::size_t partition = GetPartition(aEngine.zone_);
    HandleFatalDeath(outcomes_[partition], partition);
  }
  aEngine.isUp_ = false;
  aEngine.isDraining_ = false;
  for (const auto& run : std::exchange(aEngine.unansweredRuns_, {})) {
    run->hasEnded_ = true;
    HandleBrokenRun(run, death, isEvidence);
  }
  Schedule(kEngineStartTime, [this, &aEngine] {
    aEngine.isUp_ = true;
    aEngine.prefillEnd_ = now_;
    aEngine.startedUnixMs_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch())
        .count();
  });
}

void
QuarantineSimulation::HandleBrokenRun(const std::shared_ptr<Run>& aRun,
                                      const ServerDeath& aDeath,
                                      bool aIsEvidence)
{
  if (aRun->request_.attempts_ == 1) {
    CountFirstAttempt(aRun->daemon_, aRun->request_, false);
  }
  if (aIsEvidence) {
    Schedule(random_.Jitter(kProbeTime, 0.9), [this, aRun, aDeath] {
      ServerDeath death = aDeath;
      death.at_ = now_;
      Daemon& daemon = aRun->daemon_;
      for (const Fingerprint& part : aRun->request_.parts_) {
        accusedAt_[part] = now_;
      }
      const bool isNew =
        daemon.quarantine_->RecordDeath(aRun->request_.parts_, death);
      HandleQuarantineChanges(daemon);
      if (isNew) {
        SendEvidence(daemon);
      }
    });
  }
  if (aRun->request_.attempts_ < kMaxAttempts) {
    Schedule(kRetryDelay,
             [this, aRun] { Send(aRun->daemon_, aRun->request_); });
  }
}

void
QuarantineSimulation::HandleFatalDeath(QuarantineOutcome& aOutcome,
                                       std::size_t aPartition)
{
  if (++aOutcome.fatalDeaths_ > kDeathsOfRule) {
    return;
  }
  decidingDeathAt_.at(aPartition) = now_;
  // The check after the fifth death, or after the last one, decides.
  Schedule(kStableWindow, [this, &aOutcome, aPartition] {
    aOutcome.daemonsWithVerdict_ = static_cast<int>(std::count_if(
      daemons_.begin(), daemons_.end(), [&](const Daemon& aDaemon) {
        return GetPartition(aDaemon.zone_) == aPartition &&
               KnowsVerdict(aDaemon);
      }));
  });
}

bool
QuarantineSimulation::KnowsVerdict(const Daemon& aDaemon) const
{
  return aDaemon.quarantine_
    ->FindQuarantined({ kRelatedFirstPart, kFatalPart }, now_)
    .has_value();
}

void
QuarantineSimulation::ScheduleReport(Daemon& aDaemon)
{
  const double receivers =
    static_cast<double>(config_.daemons_) / config_.zones_ - 1.0;
  const double interval = std::clamp(
    receivers / kReportsPerSecond, kMinReportSeconds, kMaxReportSeconds);
  Schedule(FromSeconds(interval), [this, &aDaemon] {
    SendToOwnZone(aDaemon);
    ScheduleReport(aDaemon);
  });
}

void
QuarantineSimulation::ScheduleSummaries(Daemon& aDaemon)
{
  Schedule(kSummaryInterval, [this, &aDaemon] {
    SendToOtherZones(aDaemon);
    SendToOwnZone(aDaemon);
    ScheduleSummaries(aDaemon);
  });
}

void
QuarantineSimulation::SendEvidence(Daemon& aDaemon)
{
  aDaemon.quarantine_->MarkCorrectionsTold();
  SendToOwnZone(aDaemon);
  SendToOtherZones(aDaemon);
}

void
QuarantineSimulation::SendToOwnZone(Daemon& aDaemon)
{
  SendTo(aDaemon,
         [&](const Daemon& aOther) { return aOther.zone_ == aDaemon.zone_; });
}

void
QuarantineSimulation::SendToOtherZones(Daemon& aDaemon)
{
  SendTo(aDaemon, [&](const Daemon& aOther) {
    return aOther.zone_ != aDaemon.zone_ && aOther.isSummarizer_ &&
           GetPartition(aOther.zone_) == GetPartition(aDaemon.zone_);
  });
}

void
QuarantineSimulation::SendTo(
  Daemon& aSender,
  const std::function<bool(const Daemon&)>& aIsReceiver)
{
  const auto evidence =
    std::make_shared<const Evidence>(aSender.quarantine_->GetEvidence(now_));
  if (evidence->empty()) {
    return;
  }
  QuarantineOutcome& outcome = GetOutcome(aSender.zone_);
  outcome.maxReportBytes_ =
    std::max(outcome.maxReportBytes_, CountBytes(*evidence, now_));
  outcome.maxReportedParts_ =
    std::max(outcome.maxReportedParts_, evidence->size());
  std::vector<Daemon*> receivers;
  for (Daemon& daemon : daemons_) {
    const bool isReached = &daemon != &aSender && aIsReceiver(daemon) &&
                           random_.DrawUnit() >= config_.lossShare_;
    if (isReached) {
      receivers.push_back(&daemon);
    }
  }
  Schedule(random_.Jitter(kDatagramDelay, 0.9),
           [this, evidence, receivers, zone = aSender.zone_] {
             for (Daemon* const receiver : receivers) {
               Receive(*receiver, *evidence, zone);
             }
           });
}

void
QuarantineSimulation::Receive(Daemon& aDaemon,
                              const Evidence& aEvidence,
                              int aSenderZone)
{
  const bool isNew = aDaemon.quarantine_->Merge(aEvidence, now_);
  HandleQuarantineChanges(aDaemon);
  if (isNew && aDaemon.isSummarizer_ && aSenderZone != aDaemon.zone_) {
    SendToOwnZone(aDaemon);
  }
}

void
QuarantineSimulation::HandleQuarantineChanges(Daemon& aDaemon)
{
  QuarantineOutcome& outcome = GetOutcome(aDaemon.zone_);
  for (const QuarantineEvent& event : aDaemon.quarantine_->TakeEvents()) {
    const bool isSoundLift = event.change_ == QuarantineChange::Lifted &&
                             event.evidence_.fingerprint_ != kFatalPart;
    outcome.soundLifts_ += isSoundLift ? 1 : 0;
  }
  outcome.maxQuarantinedParts_ = std::max(
    outcome.maxQuarantinedParts_, aDaemon.quarantine_->CountQuarantined());
  const bool isCorrectionDue = aDaemon.quarantine_->HasUntoldCorrections() &&
                               !aDaemon.isCorrectionPending_;
  if (!isCorrectionDue) {
    return;
  }
  aDaemon.isCorrectionPending_ = true;
  Schedule(aDaemon.correctionDelay_, [this, &aDaemon] {
    aDaemon.isCorrectionPending_ = false;
    if (aDaemon.quarantine_->HasUntoldCorrections()) {
      SendEvidence(aDaemon);
    }
  });
}

void
QuarantineSimulation::ScheduleTicks()
{
  Schedule(std::chrono::seconds(1), [this] {
    for (const Daemon& daemon : daemons_) {
      daemon.quarantine_->Tick(now_);
    }
    ScheduleTicks();
  });
}

void
QuarantineSimulation::RestartDaemons()
{
  constexpr std::size_t kDistance = 13;
  for (std::size_t index = 0; index < daemons_.size(); index += kDistance) {
    Daemon& daemon = daemons_[index];
    daemon.quarantine_ =
      std::make_unique<RequestQuarantine>(random_.DrawBits());
    ++GetOutcome(daemon.zone_).restartedDaemons_;
    Schedule(kRestartWindow, [this, &daemon] {
      GetOutcome(daemon.zone_).restartedDaemonsWithVerdict_ +=
        KnowsVerdict(daemon) ? 1 : 0;
    });
  }
}

std::vector<QuarantineOutcome>
QuarantineSimulation::Simulate()
{
  for (Daemon& daemon : daemons_) {
    // Daemons start at different times.
    Schedule(FromSeconds(random_.DrawUnit() * kMaxReportSeconds),
             [this, &daemon] {
               ScheduleReport(daemon);
               if (daemon.isSummarizer_) {
                 ScheduleSummaries(daemon);
               }
             });
  }
  ScheduleTicks();
  ScheduleArrival(true);
  ScheduleArrival(false);
  ScheduleRandomly(config_.crashIntervalSeconds_, [this] {
    if (now_ < At(config_.crashesUntilSeconds_)) {
      EndRandomEngine(EndCause::Crash);
    }
  });
  ScheduleRandomly(kReclaimIntervalSeconds,
                   [this] { EndRandomEngine(EndCause::Reclaimed); });
  Schedule(FromSeconds(kMassCrashSeconds), [this] {
    const auto count = static_cast<int>(config_.engines_ * kMassCrashShare);
    for (int index = 0; index < count; ++index) {
      EndRandomEngine(EndCause::Crash);
    }
  });
  if (config_.restartSeconds_ > 0.0) {
    Schedule(FromSeconds(config_.restartSeconds_),
             [this] { RestartDaemons(); });
  }
  events_.RunUntil(At(config_.seconds_), now_);
  return outcomes_;
}

} // namespace azurecross
