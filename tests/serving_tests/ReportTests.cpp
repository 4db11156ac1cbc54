#include "ServingFixture.h"

#include "azurecross_serving/peers/LoadExchange.h"
#include "azurecross_serving/peers/ReportTopology.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

#include <map>
#include <memory>
#include <vector>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** @returns daemons that are spread over the zones in turn. */
std::vector<MemberRecord>
MakeMembers(int aCount, int aZones, std::uint16_t aPort)
{
  std::vector<MemberRecord> members;
  members.reserve(static_cast<std::size_t>(aCount));
  for (int index = 0; index < aCount; ++index) {
    members.push_back(
      { { "127.0.1." + std::to_string(index + 1), aPort },
        AvailabilityZone("z" + std::to_string(index % aZones)) });
  }
  return members;
}

/** One daemon's load exchange with its own state. */
struct Daemon
{
  Daemon(asio::io_context& aContext, const MemberRecord& aMember)
    : metrics_(registry_)
    , state_(settings_, log_, metrics_)
    , exchange_(aContext, aMember.peerAddress_, aMember.zone_, state_, log_)
  {
    ServerRecord record;
    record.id_ = kServer;
    record.pool_ = PoolName("p");
    state_.ApplyServerEvents({ { kServer, record, "" } }, false, Time());
  }

  std::uint32_t CountRuns()
  {
    return state_.GetLoadTracker().Find(kServer)->GetRuns();
  }

  static inline const BackendServerId kServer{ "e1" };

  ServingSettings settings_;
  Metrics registry_;
  DecisionLog log_;
  ServingMetrics metrics_;
  ServingState state_;
  LoadExchange exchange_;
};

} // namespace

// Guards against reports between zones that grow with the square of the number
// of daemons: 195 daemons sent 0.4 GB between zones on a quiet day, the largest
// part of that traffic.
BOOST_AUTO_TEST_CASE(LargeFleetReportsToSummarizersOfOtherZones)
{
  constexpr std::uint16_t kPort = 7200;
  constexpr int kZones = 5;
  const auto members = MakeMembers(200, kZones, kPort);
  std::map<AvailabilityZone, int> summarizers;
  for (const MemberRecord& member : members) {
    ReportTopology topology(member.peerAddress_, member.zone_);
    topology.SetMembers(members);
    BOOST_TEST(topology.UsesSummaries());
    BOOST_TEST(topology.GetOwnZone().size() == 39U);
    BOOST_TEST(topology.GetOtherZones().size() == 8U);
    summarizers[member.zone_] += topology.IsSummarizer() ? 1 : 0;
  }
  for (const auto& [zone, count] : summarizers) {
    BOOST_TEST(count == 2);
  }
  const auto few = MakeMembers(7, 3, kPort);
  ReportTopology topology(few[0].peerAddress_, few[0].zone_);
  topology.SetMembers(few);
  BOOST_TEST(!topology.UsesSummaries());
  BOOST_TEST(!topology.IsSummarizer());
  BOOST_TEST(topology.GetOwnZone().size() == 2U);
  BOOST_TEST(topology.GetOtherZones().size() == 4U);
}

// Guards against load that is missing or counted twice when it reaches a daemon
// through the summaries of another zone, and against a count of daemons that
// would give each one too large a share of the retries.
BOOST_AUTO_TEST_CASE(SummariesCarryTheLoadOfOtherZones)
{
  constexpr std::uint16_t kPort = 17230;
  constexpr int kDaemons = 36;
  asio::io_context context(1);
  const auto members = MakeMembers(kDaemons, 3, kPort);
  std::vector<std::unique_ptr<Daemon>> daemons;
  daemons.reserve(members.size());
  for (const MemberRecord& member : members) {
    daemons.push_back(std::make_unique<Daemon>(context, member));
    daemons.back()->exchange_.SetMembers(members);
    daemons.back()->exchange_.Start();
  }
  for (auto& daemon : daemons) {
    RunDescription run;
    run.server_ = Daemon::kServer;
    run.startedAt_ = ReadMonotonicTime();
    daemon->state_.GetLoadTracker().Start(run);
  }
  context.run_for(2500ms);
  for (auto& daemon : daemons) {
    BOOST_TEST(daemon->CountRuns() == static_cast<std::uint32_t>(kDaemons));
    BOOST_TEST(daemon->state_.GetLoadTracker().CountPeers() ==
               static_cast<std::size_t>(kDaemons - 1));
  }
}

// Guards against a verdict on a part of a prompt that other zones or a
// restarted daemon don't learn.
BOOST_AUTO_TEST_CASE(PromptEvidenceReachesAllZones)
{
  constexpr std::uint16_t kPort = 17270;
  constexpr int kDaemons = 36;
  constexpr PromptPartId kPart = 0xbad;
  asio::io_context context(1);
  const auto members = MakeMembers(kDaemons, 3, kPort);
  std::vector<std::unique_ptr<Daemon>> daemons;
  const auto addDaemon = [&](const MemberRecord& aMember) {
    daemons.push_back(std::make_unique<Daemon>(context, aMember));
    daemons.back()->exchange_.SetMembers(members);
    daemons.back()->exchange_.Start();
  };
  // The last daemon starts later.
  for (std::size_t index = 0; index + 1 < members.size(); ++index) {
    addDaemon(members[index]);
  }
  const auto recordDeath = [&](std::size_t aDaemon, const char* aServer) {
    const Time now = ReadMonotonicTime();
    const bool isNew = daemons[aDaemon]->state_.RecordServerDeath(
      { kPart }, BackendServerId(aServer), now, now);
    BOOST_TEST(isNew);
    daemons[aDaemon]->exchange_.SendEvidence();
  };
  // Neither daemon is a summarizer, and they are in different zones.
  recordDeath(20, "e1");
  context.run_for(2 * RequestQuarantine::kCommonCauseTime);
  recordDeath(25, "e2");
  context.run_for(100ms);
  for (auto& daemon : daemons) {
    BOOST_TEST(daemon->state_.GetQuarantine().CountQuarantined() == 1U);
  }
  addDaemon(members.back());
  context.run_for(1500ms);
  BOOST_TEST(daemons.back()->state_.GetQuarantine().CountQuarantined() == 1U);
  // An answer at any daemon lifts the verdict everywhere.
  daemons[30]->state_.RecordAnswered({ kPart }, ReadMonotonicTime());
  daemons[30]->exchange_.ScheduleCorrection();
  context.run_for(200ms);
  for (auto& daemon : daemons) {
    BOOST_TEST(daemon->state_.GetQuarantine().CountQuarantined() == 0U);
  }
}

// Guards against paces of engines that are lost on the way, and against
// malformed ones that end a daemon.
BOOST_AUTO_TEST_CASE(PacesOfEnginesAreReported)
{
  LoadReport report;
  report.sender_ = "127.0.0.1:1";
  report.paces_ = { { Daemon::kServer, 0.0075 } };
  report.cold_ = { { Daemon::kServer, { 27.0, Time(1s) + 800ms } } };
  report.disturbedRatio_.Add(5.5);
  const std::string text = FormatLoadReport(report, Time(1s));
  const auto read = ParseLoadReport(text, Time(1s));
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->paces_.size() == 1U);
  BOOST_TEST((read->paces_.front().server_ == Daemon::kServer));
  BOOST_TEST(std::abs(read->paces_.front().secondsPerToken_ - 0.0075) < 1e-9);
  BOOST_REQUIRE(read->cold_.size() == 1U);
  BOOST_TEST(read->cold_.front().second.requestsPerSecond_ == 27.0);
  BOOST_TEST((read->cold_.front().second.until_ == Time(1s) + 800ms));
  BOOST_TEST(std::abs(read->disturbedRatio_.GetMean(0.0, 0.0) - 5.5) < 1e-6);
  for (const char* invalid : { R"("paces":1)",
                               R"("paces":[["e"]])",
                               R"("paces":[["e",0]])",
                               R"("paces":[["e",-5]])",
                               R"("paces":[[1,5]])",
                               R"("cold":[1])",
                               R"("cold":{"e":[27]})",
                               R"("cold":{"e":[0,5]})",
                               R"("disturbed_ratio":[1])",
                               R"("disturbed_ratio":[1,-2])" }) {
    const std::string broken =
      R"({"sender":"a","uses":[],)" + std::string(invalid) + "}";
    BOOST_TEST(!ParseLoadReport(broken, Time(1s)).has_value(), invalid);
  }
}

// Guards against permits that don't travel between daemons: without them, a
// server that limits its rate would get no requests, or the limit from each.
BOOST_AUTO_TEST_CASE(PermitIsIssuedByAnotherDaemon)
{
  constexpr std::uint16_t kPort = 17233;
  asio::io_context context(1);
  const auto members = MakeMembers(4, 1, kPort);
  std::vector<std::unique_ptr<Daemon>> daemons;
  daemons.reserve(members.size());
  for (const MemberRecord& member : members) {
    daemons.push_back(std::make_unique<Daemon>(context, member));
    Daemon& daemon = *daemons.back();
    daemon.state_.SetPermitMessageHandler([&](const auto& aMessages) {
      daemon.exchange_.SendPermitMessages(aMessages);
    });
    daemon.exchange_.SetMembers(members);
    daemon.exchange_.Start();
  }
  daemons[0]->state_.RecordServerLimit(
    Daemon::kServer, 0.5, ReadMonotonicTime() - 1s, ReadMonotonicTime());
  context.run_for(600ms);
  std::size_t held = 0;
  for (auto& daemon : daemons) {
    BOOST_TEST(daemon->state_.GetLimiter().GetTable().CountLimited() == 1U);
    daemon->state_.GetLimiter().Request(
      Daemon::kServer, members[0].zone_, 0ms, ReadMonotonicTime());
    daemon->state_.SendPermitMessages();
  }
  context.run_for(50ms);
  for (auto& daemon : daemons) {
    const PermitStatus status = daemon->state_.GetLimiter().FindStatus(
      Daemon::kServer, 0ms, ReadMonotonicTime());
    held += status.state_ == PermitState::Held ? 1 : 0;
  }
  BOOST_TEST(held == 1U);
}

// Guards against a zone that disappears with one of its summarizers.
BOOST_AUTO_TEST_CASE(OtherSummarizerCoversTheZone)
{
  constexpr std::uint16_t kPort = 17231;
  constexpr int kDaemons = 36;
  asio::io_context context(1);
  const auto members = MakeMembers(kDaemons, 3, kPort);
  std::vector<std::unique_ptr<Daemon>> daemons;
  daemons.reserve(members.size());
  std::map<AvailabilityZone, bool> hasStoppedSummarizer;
  for (const MemberRecord& member : members) {
    ReportTopology topology(member.peerAddress_, member.zone_);
    topology.SetMembers(members);
    bool& hasStopped = hasStoppedSummarizer[member.zone_];
    if (topology.IsSummarizer() && !hasStopped) {
      hasStopped = true;
      continue;
    }
    daemons.push_back(std::make_unique<Daemon>(context, member));
    daemons.back()->exchange_.SetMembers(members);
    daemons.back()->exchange_.Start();
  }
  context.run_for(2500ms);
  for (auto& daemon : daemons) {
    BOOST_TEST(daemon->state_.GetLoadTracker().CountPeers() ==
               daemons.size() - 1);
  }
}

} // namespace azurecross
