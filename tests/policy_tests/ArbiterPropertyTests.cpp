#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>
#include <sstream>

namespace azurecross {
namespace {

constexpr std::uint32_t kSlots = 3;
constexpr std::size_t kQueueLimit = 8;

/** Sends random events to an arbiter and checks its actions against a reference
 * model. */
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : random_(aSeed)
    , arbiter_(MakeOptions(aSeed))
  {
    arbiter_.SetBackendServers({ ArbiterFixture::MakeService("s1", kSlots),
                                 ArbiterFixture::MakeService("s2", kSlots) },
                               now_,
                               actions_);
  }

  void Step()
  {
    now_ += std::chrono::milliseconds(random_.DrawBelow(40));
    switch (random_.DrawBelow(6)) {
      case 0:
      case 1:
      case 2:
        Enqueue();
        break;
      case 3:
        Release();
        break;
      case 4:
        arbiter_.Tick(now_, actions_);
        break;
      default:
        Cancel();
    }
    Apply();
  }

  /** Releases all grants, then ticks past every deadline so that all requests
   * are answered. */
  void Drain()
  {
    while (!granted_.empty()) {
      Release();
      Apply();
    }
    now_ += std::chrono::hours(1);
    arbiter_.Tick(now_, actions_);
    Apply();
  }

  std::string GetTrace() const { return trace_.str(); }
  std::size_t CountOpen() const { return open_.size(); }

private:
  static ArbiterOptions MakeOptions(std::uint64_t aSeed)
  {
    ArbiterOptions options;
    options.queueLimit_ = kQueueLimit;
    options.seed_ = aSeed;
    return options;
  }

  void Enqueue()
  {
    const Rank rank = random_.DrawBelow(2) == 0 ? Rank::Urgent : Rank::Lesser;
    GrantRequest request = ArbiterFixture::MakeServiceRequest(
      "r" + std::to_string(next_++),
      rank,
      "c" + std::to_string(random_.DrawBelow(4)));
    request.deadline_ =
      now_ + std::chrono::milliseconds(random_.DrawBelow(2000));
    if (random_.DrawBelow(5) == 0) {
      request.excluded_.emplace_back("s1");
    }
    open_.insert(request.request_);
    arbiter_.Enqueue(request, now_, actions_);
    if (random_.DrawBelow(8) == 0 && !HasAnswer(request.request_)) {
      arbiter_.Enqueue(request, now_, actions_);
    }
  }

  bool HasAnswer(const RequestId& aRequest) const
  {
    for (const auto& action : actions_) {
      const auto* grant = std::get_if<GrantAction>(&action);
      const auto* refusal = std::get_if<RefuseAction>(&action);
      if ((grant != nullptr && grant->request_ == aRequest) ||
          (refusal != nullptr && refusal->request_ == aRequest)) {
        return true;
      }
    }
    return false;
  }

  void Release()
  {
    if (granted_.empty()) {
      return;
    }
    auto position = granted_.begin();
    std::advance(position, random_.DrawBelow(granted_.size()));
    const GrantId grant = position->first;
    --running_[position->second];
    granted_.erase(position);
    arbiter_.Release(grant, GrantOutcome::Completed, now_, actions_);
  }

  void Cancel()
  {
    if (open_.empty()) {
      return;
    }
    const RequestId request = *open_.begin();
    open_.erase(open_.begin());
    arbiter_.Cancel(request, now_, actions_);
  }

  void Apply()
  {
    for (const auto& action : actions_) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) {
        RC_ASSERT(open_.erase(grant->request_) == 1U);
        RC_ASSERT(
          granted_.emplace(grant->grant_, grant->backendServer_).second);
        RC_ASSERT(++running_[grant->backendServer_] <= kSlots);
        trace_ << 'g' << grant->request_ << grant->backendServer_;
      } else if (const auto* refusal = std::get_if<RefuseAction>(&action)) {
        RC_ASSERT(open_.erase(refusal->request_) == 1U);
        trace_ << 'r' << refusal->request_ << refusal->retryAfter_.count();
      }
    }
    actions_.clear();
    const GroupSummary summary = arbiter_.Summarize();
    RC_ASSERT(summary.queued_[0] <= kQueueLimit);
    RC_ASSERT(summary.queued_[1] <= kQueueLimit);
    RC_ASSERT(summary.queued_[0] + summary.queued_[1] == open_.size());
    RC_ASSERT(summary.running_[0] + summary.running_[1] == granted_.size());
  }

  Random random_;
  Arbiter arbiter_;
  ArbiterActions actions_;
  Time now_{};
  std::set<RequestId> open_;
  std::map<GrantId, BackendServerId> granted_;
  std::map<BackendServerId, std::uint32_t> running_;
  std::ostringstream trace_;
  int next_ = 0;
};

std::string
RunTrace(std::uint64_t aSeed, int aSteps)
{
  RandomRun run(aSeed);
  for (int step = 0; step < aSteps; ++step) {
    run.Step();
  }
  run.Drain();
  RC_ASSERT(run.CountOpen() == 0U);
  return run.GetTrace();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ArbiterPropertyTests)

// Guards against grants above capacity, requests that are lost or answered
// twice, unbounded queues, and different decisions for the same seed.
RC_BOOST_PROP(RequestsAreAnsweredOnceWithinCapacity, (std::uint64_t aSeed))
{
  RC_ASSERT(RunTrace(aSeed, 300) == RunTrace(aSeed, 300));
}

// Guards against lesser work that falls below its minimum share of a tenth of
// the slots during a long overload of urgent work, once all slots are in use.
RC_BOOST_PROP(LesserWorkKeepsMinimumShare, (std::uint64_t aSeed))
{
  constexpr int kServerSlots = 20;
  constexpr std::uint32_t kFloorSlots = kServerSlots / 10;
  Random random(aSeed);
  ArbiterOptions options;
  options.seed_ = aSeed;
  Arbiter arbiter(options);
  ArbiterActions actions;
  Time now{};
  arbiter.SetBackendServers(
    { ArbiterFixture::MakeService("s1", kServerSlots) }, now, actions);
  int next = 0;
  std::vector<GrantId> running;
  for (int step = 0; step < 2000; ++step) {
    now += std::chrono::milliseconds(1);
    for (Rank rank : { Rank::Urgent, Rank::Urgent, Rank::Lesser }) {
      arbiter.Enqueue(
        ArbiterFixture::MakeServiceRequest(std::to_string(next++), rank),
        now,
        actions);
    }
    for (const auto& grant :
         ArbiterFixture::SelectActions<GrantAction>(actions)) {
      running.push_back(grant.grant_);
    }
    actions.clear();
    if (running.size() == kServerSlots) {
      RC_ASSERT(arbiter.Summarize().running_[1] >= kFloorSlots);
      const std::size_t index = random.DrawBelow(running.size());
      arbiter.Release(running[index], GrantOutcome::Completed, now, actions);
      running[index] = running.back();
      running.pop_back();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
