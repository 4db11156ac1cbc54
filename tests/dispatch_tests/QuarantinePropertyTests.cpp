#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace azurecross {

namespace {

constexpr PromptPartId kFatalBase = 0xf00;
constexpr PromptPartId kFirstBase = 0x100;
constexpr PromptPartId kRareBase = 0x1000;

constexpr double kRequestSeconds = 12.0;
/** No trial is due before the end of a world. */
constexpr double kSettleSeconds = 4.0;
constexpr double kCorrectSeconds = 4.0;
constexpr double kRestSeconds = 4.0;
/** Time in which a restarted daemon learns the verdict. */
constexpr Duration kLearnTime = std::chrono::seconds(3);
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

/** The verdict on a fatal part is withdrawn when another fatal part explains
 * one of its deaths; its next request restores it. */
constexpr int kMaxSendsBesideOthers = 3;

/** Evidence as it travels: times are ages in whole milliseconds. */
struct WireEvidence
{
  struct Death
  {
    BackendServerId server_;
    std::int64_t startedUnixMs_ = 0;
    std::int64_t ageMs_ = 0;
  };
  Fingerprint fingerprint_;
  std::optional<std::int64_t> soundAgeMs_;
  std::vector<Death> deaths_;
};

std::int64_t
GetAgeMs(Time aTime, Time aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aTime)
    .count();
}

/** What one world has, drawn from its seed. */
struct WorldConfig
{
  explicit WorldConfig(Random& aRandom)
    : daemons_(2 + static_cast<int>(aRandom.DrawBelow(6)))
    , zones_(1 + static_cast<int>(aRandom.DrawBelow(3)))
    , usesSummaries_(aRandom.DrawBelow(2) == 0)
    , engines_(6 + static_cast<int>(aRandom.DrawBelow(15)))
    , haveStartTimes_(aRandom.DrawBelow(3) != 0)
    , fatalParts_(1 + aRandom.DrawBelow(3))
    , isFatalPartFirst_(aRandom.DrawBelow(4) == 0)
    , firstParts_(1 + aRandom.DrawBelow(4))
    , rareParts_(aRandom.DrawBelow(4) == 0 ? 150 : 30)
    , fatalShare_(0.05 + 0.4 * aRandom.DrawUnit())
    , requestsPerSecond_(5.0 + 30.0 * aRandom.DrawUnit())
    , crashesPerSecond_(0.5 * aRandom.DrawUnit())
    , lossShare_(0.3 * aRandom.DrawUnit())
    , restartsDaemon_(aRandom.DrawBelow(3) == 0)
  {
  }

  int daemons_;
  int zones_;
  bool usesSummaries_;
  int engines_;
  bool haveStartTimes_;
  std::size_t fatalParts_;
  bool isFatalPartFirst_;
  std::size_t firstParts_;
  std::size_t rareParts_;
  double fatalShare_;
  double requestsPerSecond_;
  double crashesPerSecond_;
  double lossShare_;
  bool restartsDaemon_;
};

/**
 * A few daemons that exchange evidence by datagrams which are lost, delayed and
 * repeated, with clocks of different origins.
 */
class QuarantineWorld
{
public:
  explicit QuarantineWorld(std::uint64_t aSeed)
    : random_(aSeed)
    , config_(random_)
  {
    for (int index = 0; index < config_.daemons_; ++index) {
      Daemon daemon;
      daemon.zone_ = index % config_.zones_;
      daemon.isSummarizer_ =
        config_.usesSummaries_ && index / config_.zones_ == 0;
      daemon.clockOffset_ = FromSeconds(10000.0 * random_.DrawUnit());
      daemon.quarantine_ =
        std::make_unique<RequestQuarantine>(random_.DrawBits());
      daemons_.push_back(std::move(daemon));
    }
    for (int index = 0; index < config_.engines_; ++index) {
      engines_.push_back(
        { BackendServerId("e" + std::to_string(index)), true, 1, {} });
    }
    for (std::size_t part = 0; part < config_.fatalParts_; ++part) {
      universe_.push_back(kFatalBase + part);
    }
    for (std::size_t part = 0; part < config_.firstParts_; ++part) {
      universe_.push_back(kFirstBase + part);
    }
    for (std::size_t part = 0; part < config_.rareParts_; ++part) {
      universe_.push_back(kRareBase + part);
    }
  }

  void Simulate()
  {
    for (Daemon& daemon : daemons_) {
      ScheduleReport(daemon);
    }
    ScheduleChecks();
    ScheduleRequest();
    ScheduleCrash();
    if (config_.restartsDaemon_) {
      Schedule(FromSeconds(0.7 * kRequestSeconds), [this] { Restart(); });
    }
    RunUntil(kRequestSeconds + kSettleSeconds);
    AnswerQuarantinedParts();
    RunUntil(kRequestSeconds + kSettleSeconds + kCorrectSeconds);
    CheckAnsweredPartsAreFree();
    triggeredSends_ = 0;
    news_ = 0;
    RunUntil(kRequestSeconds + kSettleSeconds + kCorrectSeconds + kRestSeconds);
  }

  std::size_t CountFatalParts() const { return config_.fatalParts_; }

  /** Requests with a fatal part that were sent although all daemons knew the
   * verdict. */
  int sendsAfterVerdict_ = 0;
  /** Times at which the count differed from the quarantined parts. */
  int countErrors_ = 0;
  /** Sound parts that some daemon refuses although an engine answered them. */
  int refusedSoundParts_ = 0;
  /** Reports that were sent because of others, and reports that had news, after
   * the last request. */
  int triggeredSends_ = 0;
  int news_ = 0;
  int verdicts_ = 0;

private:
  struct Daemon
  {
    int zone_ = 0;
    bool isSummarizer_ = false;
    Duration clockOffset_{};
    std::unique_ptr<RequestQuarantine> quarantine_;
    Time startedAt_;
    bool isCorrectionPending_ = false;
  };
  struct Run
  {
    std::vector<Fingerprint> parts_;
    Daemon& daemon_;
    bool isFatal_ = false;
    bool hasEnded_ = false;
  };
  struct Engine
  {
    BackendServerId id_;
    bool isUp_ = true;
    std::int64_t startedUnixMs_ = 1;
    std::vector<std::shared_ptr<Run>> runs_;
  };
  struct Event
  {
    Time time_;
    std::uint64_t number_ = 0;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return std::pair(time_, number_) >
             std::pair(aOther.time_, aOther.number_);
    }
  };

  static bool IsFatal(const Fingerprint& aPart)
  {
    return aPart >= kFatalBase && aPart < kRareBase;
  }

  void Schedule(Duration aDelay, std::function<void()> aAction)
  {
    events_.push({ now_ + aDelay, nextEvent_++, std::move(aAction) });
  }

  void RunUntil(double aSeconds)
  {
    while (!events_.empty() && events_.top().time_ < At(aSeconds)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time_;
      event.action_();
    }
    now_ = At(aSeconds);
  }

  Time GetTime(const Daemon& aDaemon) const
  {
    return now_ + aDaemon.clockOffset_;
  }

  void ScheduleRequest()
  {
    Schedule(
      FromSeconds(random_.DrawExponential(1.0 / config_.requestsPerSecond_)),
      [this] {
        if (now_ < At(kRequestSeconds)) {
          Send();
          ScheduleRequest();
        }
      });
  }

  void ScheduleCrash()
  {
    if (config_.crashesPerSecond_ <= 0.0) {
      return;
    }
    Schedule(
      FromSeconds(random_.DrawExponential(1.0 / config_.crashesPerSecond_)),
      [this] {
        if (now_ < At(kRequestSeconds)) {
          EndEngine(engines_[random_.DrawBelow(engines_.size())]);
          ScheduleCrash();
        }
      });
  }

  std::vector<Fingerprint> DrawParts(bool aIsFatal)
  {
    std::vector<Fingerprint> parts{ kFirstBase +
                                    random_.DrawBelow(config_.firstParts_) };
    for (std::size_t count = random_.DrawBelow(3); count > 0; --count) {
      parts.push_back(kRareBase + random_.DrawBelow(config_.rareParts_));
    }
    if (random_.DrawBelow(10) == 0) {
      parts.push_back(parts.back());
    }
    if (aIsFatal) {
      const auto place =
        config_.isFatalPartFirst_ ? 0 : random_.DrawBelow(parts.size() + 1);
      parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(place),
                   kFatalBase + random_.DrawBelow(config_.fatalParts_));
    }
    return parts;
  }

  void Send()
  {
    Daemon& daemon = daemons_[random_.DrawBelow(daemons_.size())];
    const bool isFatal = random_.DrawUnit() < config_.fatalShare_;
    const auto run =
      std::make_shared<Run>(Run{ DrawParts(isFatal), daemon, isFatal });
    Engine& engine = engines_[random_.DrawBelow(engines_.size())];
    const bool isRefused =
      daemon.quarantine_->FindQuarantined(run->parts_, GetTime(daemon))
        .has_value();
    if (isRefused || !engine.isUp_) {
      return;
    }
    daemon.quarantine_->RecordSend(run->parts_, GetTime(daemon));
    for (const Fingerprint& part : run->parts_) {
      const bool isKnown = knownEverywhere_.contains(part) &&
                           now_ - daemon.startedAt_ > kLearnTime;
      sendsAfterVerdict_ += isKnown ? 1 : 0;
    }
    engine.runs_.push_back(run);
    Schedule(FromSeconds(0.02 + 0.4 * random_.DrawUnit()),
             [this, run, &engine] { BeginAnswer(run, engine); });
  }

  void BeginAnswer(const std::shared_ptr<Run>& aRun, Engine& aEngine)
  {
    if (aRun->hasEnded_) {
      return;
    }
    if (aRun->isFatal_) {
      EndEngine(aEngine);
      return;
    }
    aRun->hasEnded_ = true;
    std::erase(aEngine.runs_, aRun);
    Daemon& daemon = aRun->daemon_;
    daemon.quarantine_->RecordAnswer(aRun->parts_, GetTime(daemon));
    HandleChanges(daemon);
  }

  void EndEngine(Engine& aEngine)
  {
    if (!aEngine.isUp_) {
      return;
    }
    aEngine.isUp_ = false;
    const std::int64_t started =
      config_.haveStartTimes_ ? aEngine.startedUnixMs_ : 0;
    for (const auto& run : std::exchange(aEngine.runs_, {})) {
      run->hasEnded_ = true;
      Schedule(FromSeconds(0.02 * random_.DrawUnit()),
               [this, run, &aEngine, started] {
                 Daemon& daemon = run->daemon_;
                 const bool isNew = daemon.quarantine_->RecordDeath(
                   run->parts_, { aEngine.id_, started, GetTime(daemon) });
                 HandleChanges(daemon);
                 if (isNew) {
                   SendEvidence(daemon);
                 }
               });
    }
    Schedule(FromSeconds(2.5 + 3.0 * random_.DrawUnit()), [&aEngine] {
      aEngine.isUp_ = true;
      ++aEngine.startedUnixMs_;
    });
  }

  void Restart()
  {
    Daemon& daemon = daemons_[random_.DrawBelow(daemons_.size())];
    daemon.quarantine_ =
      std::make_unique<RequestQuarantine>(random_.DrawBits());
    daemon.startedAt_ = now_;
  }

  void ScheduleReport(Daemon& aDaemon)
  {
    Schedule(random_.Jitter(kReportInterval, 0.2), [this, &aDaemon] {
      SendToZones(aDaemon, true);
      if (!config_.usesSummaries_ || aDaemon.isSummarizer_) {
        SendToZones(aDaemon, false);
      }
      aDaemon.quarantine_->Tick(GetTime(aDaemon));
      ScheduleReport(aDaemon);
    });
  }

  void SendEvidence(Daemon& aDaemon)
  {
    ++triggeredSends_;
    aDaemon.quarantine_->MarkCorrectionsTold();
    SendToZones(aDaemon, true);
    SendToZones(aDaemon, false);
  }

  void SendToZones(const Daemon& aSender, bool aIsOwnZone)
  {
    const auto evidence =
      std::make_shared<const std::vector<WireEvidence>>(Format(aSender));
    if (evidence->empty()) {
      return;
    }
    for (Daemon& receiver : daemons_) {
      const bool isOwnZone = receiver.zone_ == aSender.zone_;
      const bool isReceiver =
        &receiver != &aSender && isOwnZone == aIsOwnZone &&
        (isOwnZone || !config_.usesSummaries_ || receiver.isSummarizer_);
      if (!isReceiver || random_.DrawUnit() < config_.lossShare_) {
        continue;
      }
      const int copies = random_.DrawBelow(10) == 0 ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        const double maxDelay = random_.DrawBelow(30) == 0 ? 0.5 : 0.01;
        Schedule(FromSeconds(maxDelay * random_.DrawUnit()),
                 [this, evidence, &receiver, isOwnZone] {
                   Receive(receiver, *evidence, isOwnZone);
                 });
      }
    }
  }

  std::vector<WireEvidence> Format(const Daemon& aDaemon) const
  {
    const Time now = GetTime(aDaemon);
    std::vector<WireEvidence> wire;
    for (const auto& evidence : aDaemon.quarantine_->GetEvidence(now)) {
      WireEvidence entry{ evidence.fingerprint_, {}, {} };
      if (evidence.soundAt_) {
        entry.soundAgeMs_ = GetAgeMs(*evidence.soundAt_, now);
      }
      for (const ServerDeath& death : evidence.deaths_) {
        entry.deaths_.push_back(
          { death.server_, death.startedUnixMs_, GetAgeMs(death.at_, now) });
      }
      wire.push_back(std::move(entry));
    }
    return wire;
  }

  void Receive(Daemon& aDaemon,
               const std::vector<WireEvidence>& aEvidence,
               bool aIsFromOwnZone)
  {
    const Time now = GetTime(aDaemon);
    std::vector<FingerprintEvidence> evidence;
    for (const WireEvidence& wire : aEvidence) {
      FingerprintEvidence entry{ wire.fingerprint_, {}, {} };
      if (wire.soundAgeMs_) {
        entry.soundAt_ = now - std::chrono::milliseconds(*wire.soundAgeMs_);
      }
      for (const auto& death : wire.deaths_) {
        entry.deaths_.push_back(
          { death.server_,
            death.startedUnixMs_,
            now - std::chrono::milliseconds(death.ageMs_) });
      }
      evidence.push_back(std::move(entry));
    }
    const bool isNew = aDaemon.quarantine_->Merge(evidence, now);
    HandleChanges(aDaemon);
    news_ += isNew ? 1 : 0;
    if (isNew && aDaemon.isSummarizer_ && !aIsFromOwnZone) {
      ++triggeredSends_;
      SendToZones(aDaemon, true);
    }
  }

  void HandleChanges(Daemon& aDaemon)
  {
    aDaemon.quarantine_->TakeEvents();
    CheckCount(aDaemon);
    if (!aDaemon.quarantine_->HasUntoldCorrections() ||
        aDaemon.isCorrectionPending_) {
      return;
    }
    aDaemon.isCorrectionPending_ = true;
    Schedule(FromSeconds(0.06 * random_.DrawUnit()), [this, &aDaemon] {
      aDaemon.isCorrectionPending_ = false;
      if (aDaemon.quarantine_->HasUntoldCorrections()) {
        SendEvidence(aDaemon);
      }
    });
  }

  void CheckCount(const Daemon& aDaemon)
  {
    if (aDaemon.quarantine_->CountQuarantined() == 0) {
      return;
    }
    // A request with all parts has all parts that the same deaths accuse.
    std::size_t quarantined = 0;
    std::vector<Fingerprint> parts(1);
    parts.insert(parts.end(), universe_.begin(), universe_.end());
    for (const Fingerprint& part : universe_) {
      parts.front() = part;
      const auto found =
        aDaemon.quarantine_->FindQuarantined(parts, GetTime(aDaemon));
      quarantined += found && found->fingerprint_ == part ? 1 : 0;
    }
    countErrors_ +=
      quarantined == aDaemon.quarantine_->CountQuarantined() ? 0 : 1;
  }

  bool Refuses(const Daemon& aDaemon, const Fingerprint& aPart) const
  {
    return aDaemon.quarantine_->FindQuarantined({ aPart }, GetTime(aDaemon))
      .has_value();
  }

  void ScheduleChecks()
  {
    Schedule(kCheckInterval, [this] {
      for (std::size_t index = 0; index < config_.fatalParts_; ++index) {
        const PromptPartId part = kFatalBase + index;
        const bool isKnown = std::all_of(
          daemons_.begin(), daemons_.end(), [&](const Daemon& aDaemon) {
            return Refuses(aDaemon, part);
          });
        if (isKnown && knownEverywhere_.insert(part).second) {
          ++verdicts_;
        }
      }
      ScheduleChecks();
    });
  }

  void AnswerQuarantinedParts()
  {
    for (const Fingerprint& part : universe_) {
      const bool isRefused = std::any_of(
        daemons_.begin(), daemons_.end(), [&](const Daemon& aDaemon) {
          return Refuses(aDaemon, part);
        });
      if (IsFatal(part) || !isRefused) {
        continue;
      }
      Daemon& daemon = daemons_[random_.DrawBelow(daemons_.size())];
      daemon.quarantine_->RecordAnswer({ part }, GetTime(daemon));
      HandleChanges(daemon);
      answered_.push_back(part);
    }
  }

  void CheckAnsweredPartsAreFree()
  {
    for (const Fingerprint& part : answered_) {
      for (const Daemon& daemon : daemons_) {
        refusedSoundParts_ += Refuses(daemon, part) ? 1 : 0;
      }
    }
  }

  Random random_;
  WorldConfig config_;
  Time now_ = kStart;
  std::uint64_t nextEvent_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Daemon> daemons_;
  std::vector<Engine> engines_;
  std::vector<Fingerprint> universe_;
  std::set<Fingerprint> knownEverywhere_;
  std::vector<Fingerprint> answered_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineProperties)

// Guards against verdicts that are lost, never corrected or passed on for ever
// when reports are lost, late or repeated.
BOOST_AUTO_TEST_CASE(DaemonsAgreeInRandomWorlds)
{
  constexpr std::uint64_t kWorlds = 300;
  int verdicts = 0;
  for (std::uint64_t seed = 1; seed <= kWorlds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      QuarantineWorld world(seed);
      world.Simulate();
      BOOST_TEST(world.countErrors_ == 0);
      BOOST_TEST(world.sendsAfterVerdict_ <=
                 (world.CountFatalParts() == 1 ? 0 : kMaxSendsBesideOthers));
      BOOST_TEST(world.refusedSoundParts_ == 0);
      BOOST_TEST(world.triggeredSends_ == 0);
      BOOST_TEST(world.news_ == 0);
      verdicts += world.verdicts_;
    }
  }
  BOOST_TEST(verdicts > static_cast<int>(kWorlds) / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
