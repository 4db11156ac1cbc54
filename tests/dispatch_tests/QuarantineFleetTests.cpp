#include "QuarantineSimulation.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

constexpr std::array<double, 2> kFatalShares{ 0.1, 0.3 };
/** Requests with the fatal part that may still be sent after the fleet had to
 * know it. */
constexpr int kMaxLateFatalSends = 3;
/** Sound requests start at the first attempt at least half as often as
 * before. */
constexpr double kMinimumStartRatio = 0.5;
/** Fewer requests give no usable share. */
constexpr int kMinimumRequests = 20;
constexpr std::size_t kMaxEvidenceBytes = 1024;

std::vector<QuarantineOutcome>
Simulate(const QuarantineConfig& aConfig)
{
  auto outcomes = QuarantineSimulation(aConfig).Simulate();
  for (const QuarantineOutcome& outcome : outcomes) {
    BOOST_TEST_MESSAGE(
      "seed " << aConfig.seed_ << ", share " << aConfig.fatalShare_
              << ": fatal deaths " << outcome.fatalDeaths_ << ", sends "
              << outcome.fatalSends_ << ", late sends "
              << outcome.lateFatalSends_ << ", verdict at "
              << outcome.daemonsWithVerdict_ << " of " << outcome.daemons_
              << ", restarted " << outcome.restartedDaemonsWithVerdict_
              << " of " << outcome.restartedDaemons_ << ", same first part "
              << outcome.before_.sameFirstPart_.GetShare() << " -> "
              << outcome.after_.sameFirstPart_.GetShare() << ", same customer "
              << outcome.before_.sameCustomer_.GetShare() << " -> "
              << outcome.after_.sameCustomer_.GetShare() << ", sound refused "
              << outcome.soundRefusals_ << " of " << outcome.soundRequests_
              << ", lifted " << outcome.soundLifts_ << ", late "
              << outcome.lateSoundRefusals_ << ", report "
              << outcome.maxReportBytes_ << " bytes, "
              << outcome.maxReportedParts_ << " parts, quarantined "
              << outcome.maxQuarantinedParts_);
  }
  return outcomes;
}

void
CheckStarts(const FirstAttempts& aBefore, const FirstAttempts& aAfter)
{
  BOOST_TEST(aBefore.requests_ >= kMinimumRequests);
  if (aAfter.requests_ >= kMinimumRequests) {
    BOOST_TEST(aAfter.GetShare() >= kMinimumStartRatio * aBefore.GetShare());
  }
}

void
CheckVerdict(const QuarantineOutcome& aOutcome)
{
  BOOST_TEST(aOutcome.fatalDeaths_ > 0);
  BOOST_TEST(aOutcome.lateFatalSends_ <= kMaxLateFatalSends);
  BOOST_TEST(aOutcome.daemonsWithVerdict_ == aOutcome.daemons_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineFleet)

// Guards against requests with one fatal part that end engine after engine.
BOOST_AUTO_TEST_CASE(FatalPartStopsReachingEngines)
{
  for (const double share : kFatalShares) {
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
      QuarantineConfig config;
      config.fatalShare_ = share;
      config.seed_ = seed;
      const QuarantineOutcome outcome = Simulate(config).front();
      CheckVerdict(outcome);
      CheckStarts(outcome.before_.sameFirstPart_,
                  outcome.after_.sameFirstPart_);
      CheckStarts(outcome.before_.sameCustomer_, outcome.after_.sameCustomer_);
      BOOST_TEST(outcome.lateSoundRefusals_ == 0);
      BOOST_TEST(outcome.maxReportBytes_ <= kMaxEvidenceBytes);
      BOOST_TEST(outcome.maxReportedParts_ <= RequestQuarantine::kMaxReported);
      BOOST_TEST(outcome.maxQuarantinedParts_ <=
                 RequestQuarantine::kMaxSuspects);
    }
  }
}

// Guards against a simulation that would meet the bounds without a quarantine.
BOOST_AUTO_TEST_CASE(FatalPartEndsEnginesWithoutQuarantine)
{
  for (const double share : kFatalShares) {
    QuarantineConfig config;
    config.fatalShare_ = share;
    config.usesQuarantine_ = false;
    BOOST_TEST(Simulate(config).front().lateFatalSends_ > kMaxLateFatalSends);
  }
}

// Guards against a verdict that needs the evidence of all zones.
BOOST_AUTO_TEST_CASE(ZoneThatIsCutOffDecidesByItself)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    QuarantineConfig config;
    config.isLastZoneCutOff_ = true;
    config.seed_ = seed;
    for (const QuarantineOutcome& outcome : Simulate(config)) {
      CheckVerdict(outcome);
    }
  }
}

// Guards against sound parts that stay in quarantine: the engines of both
// attempts of some requests die for other reasons.
BOOST_AUTO_TEST_CASE(SoundPartsLeaveTheQuarantine)
{
  QuarantineOutcome sum;
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    QuarantineConfig config;
    config.fatalShare_ = 0.0;
    config.crashIntervalSeconds_ = 0.1;
    config.crashesUntilSeconds_ = 15.0;
    config.seconds_ = 46.0;
    config.seed_ = seed;
    const QuarantineOutcome outcome = Simulate(config).front();
    BOOST_TEST(outcome.lateSoundRefusals_ == 0);
    // Sound requests start at least half as often as before.
    BOOST_TEST(outcome.soundRefusals_ <= outcome.soundRequests_ / 2);
    sum.soundRefusals_ += outcome.soundRefusals_;
    sum.soundLifts_ += outcome.soundLifts_;
  }
  BOOST_TEST(sum.soundRefusals_ > 0);
  BOOST_TEST(sum.soundLifts_ > 0);
}

// Guards against restarted daemons that send a fatal part until they have seen
// deaths themselves.
BOOST_AUTO_TEST_CASE(RestartedDaemonsLearnTheVerdict)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    QuarantineConfig config;
    config.restartSeconds_ = 20.0;
    config.seconds_ = 25.0;
    config.seed_ = seed;
    const QuarantineOutcome outcome = Simulate(config).front();
    BOOST_TEST(outcome.restartedDaemons_ > 0);
    BOOST_TEST(outcome.restartedDaemonsWithVerdict_ ==
               outcome.restartedDaemons_);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
