#define BOOST_TEST_MODULE orders_tests
#include <boost/test/unit_test.hpp>

#include <azurecross_orders/azurecross_orders.h>

#include <rapidcheck.h>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

const BackendServerId kFirst("e1");
const BackendServerId kSecond("e2");

Pool
MakePool(bool aChecksFencing)
{
  Pool pool;
  pool.name_ = PoolName("engines");
  pool.models_ = { ModelName("paint") };
  pool.versions_ = { { "paint", "3" } };
  pool.checksFencing_ = aChecksFencing;
  return pool;
}

EngineState
MakeLoadedState()
{
  EngineState state;
  state.models_ = { { "paint", "3" } };
  return state;
}

/** A controller on a virtual clock. */
class Holder
{
public:
  explicit Holder(bool aChecksFencing, OrderControllerSettings aSettings = {})
    : controller_(aSettings, 1)
  {
    controller_.SetGroup(MakePool(aChecksFencing), { kFirst, kSecond });
    OrderActions none;
    controller_.SetHome(true, none);
  }

  OrderActions Tick(Duration aStep)
  {
    now_ += aStep;
    OrderActions actions;
    controller_.Tick(now_, actions);
    return actions;
  }

  /** Takes the lease. */
  void Acquire(std::int64_t aFencing)
  {
    Tick(10s);
    controller_.HandleLeaseAcquired(FencingNumber(aFencing), now_);
  }

  /** Runs for a while; lease calls succeed and reads report the states.
   * @returns the orders. */
  std::vector<SendEngineOrder> RunFor(Duration aTime)
  {
    std::vector<SendEngineOrder> orders;
    for (const Time end = now_ + aTime; now_ < end;) {
      for (const OrderAction& action : Tick(100ms)) {
        if (std::holds_alternative<RenewOrderLease>(action)) {
          controller_.HandleLeaseRenewed();
        } else if (const auto* read = std::get_if<ReadEngineState>(&action)) {
          controller_.HandleEngineState(
            read->server_, read->read_, states_[read->server_]);
        } else if (const auto* order = std::get_if<SendEngineOrder>(&action)) {
          orders.push_back(*order);
        }
      }
    }
    return orders;
  }

  Time now_{ 1000s };
  OrderController controller_;
  std::map<BackendServerId, EngineState> states_;
};

template<typename Action>
std::size_t
CountActions(const OrderActions& aActions)
{
  std::size_t count = 0;
  for (const OrderAction& action : aActions) {
    count += std::holds_alternative<Action>(action) ? 1 : 0;
  }
  return count;
}

} // namespace

// Guards against orders without a lease, and against orders with another
// number than the lease's.
BOOST_AUTO_TEST_CASE(OrdersNeedTheLeaseAndCarryItsNumber)
{
  Holder holder(true);
  BOOST_TEST(CountActions<AcquireOrderLease>(holder.Tick(0s)) == 1U);
  BOOST_TEST(CountActions<SendEngineOrder>(holder.Tick(60s)) == 0U);
  holder.controller_.HandleLeaseLost();
  holder.Acquire(7);
  const auto orders = holder.RunFor(1s);
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].fencing_ == FencingNumber(7));
  BOOST_CHECK(
    (orders[0].order_ == EngineOrder{ OrderKind::LoadModel, "paint", "3" }));
}

// Guards against two orders at the same time, which would spread a wrong row.
BOOST_AUTO_TEST_CASE(OneOrderIsUnderWayAtATime)
{
  Holder holder(true);
  holder.Acquire(7);
  auto orders = holder.RunFor(30s);
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].server_ == kFirst);
  holder.states_[kFirst] = MakeLoadedState();
  holder.controller_.HandleOrderOutcome(orders[0].id_, OrderOutcome::Done);
  orders = holder.RunFor(30s);
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].server_ == kSecond);
  holder.states_[kSecond] = MakeLoadedState();
  holder.controller_.HandleOrderOutcome(orders[0].id_, OrderOutcome::Done);
  BOOST_TEST(holder.RunFor(60s).empty());
}

// Guards against an order while the holder before may still be acting, where
// engines don't refuse its orders.
BOOST_AUTO_TEST_CASE(PauseMarginIsWaitedOutWithoutFencing)
{
  Holder holder(false);
  holder.Acquire(7);
  BOOST_TEST(holder.RunFor(14900ms).empty());
  BOOST_TEST(holder.RunFor(1s).size() == 1U);
}

// Guards against a decision on a state from before the wait, and against an
// order to an engine that still carries out one of the holder before.
BOOST_AUTO_TEST_CASE(StateIsReadAfterTheWaitAndBusyEnginesAreLeft)
{
  Holder holder(false);
  holder.states_[kFirst].isBusy_ = true;
  holder.states_[kSecond] = MakeLoadedState();
  holder.Acquire(7);
  BOOST_TEST(holder.RunFor(60s).empty());
  holder.states_[kFirst].isBusy_ = false;
  BOOST_TEST(holder.RunFor(11s).size() == 1U);
}

// Guards against the answer of an early read that counts as the later one.
BOOST_AUTO_TEST_CASE(LateAnswerOfAnOldReadDoesNotCount)
{
  Holder holder(true);
  holder.Acquire(7);
  std::uint64_t read = 0;
  for (const OrderAction& action : holder.Tick(100ms)) {
    if (const auto* asked = std::get_if<ReadEngineState>(&action)) {
      read = asked->server_ == kFirst ? asked->read_ : read;
    }
  }
  BOOST_REQUIRE(read != 0U);
  holder.controller_.HandleLeaseLost();
  holder.Acquire(9);
  holder.controller_.HandleEngineState(kFirst, read, {});
  BOOST_TEST(CountActions<SendEngineOrder>(holder.Tick(100ms)) == 0U);
}

// Guards against an order from a holder that was paused past its lease.
BOOST_AUTO_TEST_CASE(PausedHolderGivesNoOrder)
{
  Holder holder(true);
  holder.Acquire(7);
  const OrderActions reads = holder.Tick(100ms);
  BOOST_TEST(CountActions<ReadEngineState>(reads) == 2U);
  for (const OrderAction& action : reads) {
    const auto& read = std::get<ReadEngineState>(action);
    holder.controller_.HandleEngineState(read.server_, read.read_, {});
  }
  const OrderActions afterPause = holder.Tick(8s);
  BOOST_TEST(CountActions<SendEngineOrder>(afterPause) == 0U);
  BOOST_TEST(!holder.controller_.GetLease().IsHeld(holder.now_));
}

// Guards against a lease that is counted from the answer: the store counts it
// from the call.
BOOST_AUTO_TEST_CASE(LeaseIsCountedFromTheCall)
{
  Holder holder(true);
  holder.Tick(0s);
  holder.now_ += 7s;
  holder.controller_.HandleLeaseAcquired(FencingNumber(7), holder.now_);
  BOOST_TEST(holder.controller_.GetLease().IsHeld(holder.now_));
  BOOST_TEST(!holder.controller_.GetLease().IsHeld(holder.now_ + 1s));
}

// Guards against new orders while the store is down.
BOOST_AUTO_TEST_CASE(StoreDownStopsOrders)
{
  Holder holder(true);
  holder.Acquire(7);
  holder.controller_.HandleLeaseFailure();
  BOOST_TEST(CountActions<SendEngineOrder>(holder.Tick(100ms)) == 0U);
  BOOST_TEST(CountActions<ReadEngineState>(holder.Tick(100ms)) == 0U);
  holder.controller_.HandleLeaseRenewed();
  BOOST_TEST(holder.RunFor(3s).size() == 1U);
}

// Guards against a holder that goes on after an engine has seen a newer one.
BOOST_AUTO_TEST_CASE(FencedHolderStops)
{
  Holder holder(true);
  holder.Acquire(7);
  const auto orders = holder.RunFor(1s);
  BOOST_REQUIRE(orders.size() == 1U);
  holder.controller_.HandleOrderOutcome(orders[0].id_, OrderOutcome::Fenced);
  BOOST_TEST(!holder.controller_.GetLease().IsHeld(holder.now_));
}

// Guards against an order repeated while the engine may be carrying it out.
BOOST_AUTO_TEST_CASE(UnknownOutcomeIsSettledByReadingTheState)
{
  Holder holder(false);
  holder.states_[kSecond] = MakeLoadedState();
  holder.Acquire(7);
  const auto orders = holder.RunFor(16s);
  BOOST_REQUIRE(orders.size() == 1U);
  holder.states_[kFirst].isBusy_ = true;
  BOOST_TEST(holder.RunFor(6min).empty());
  BOOST_TEST(!holder.controller_.HasOrderUnderWay());
  holder.states_[kFirst] = MakeLoadedState();
  BOOST_TEST(holder.RunFor(60s).empty());
}

// Guards against loads beyond the weight store's limit, in any window.
BOOST_AUTO_TEST_CASE(LoadsArePaced)
{
  BOOST_TEST(rc::check("pacer", [] {
    LoadPacer pacer({ 3, 60s });
    std::vector<Time> starts;
    Time now;
    for (int at = 0; at < 200; ++at) {
      now += std::chrono::seconds(*rc::gen::inRange(0, 30));
      if (pacer.TryStart(now)) {
        starts.push_back(now);
      }
    }
    for (std::size_t at = 3; at < starts.size(); ++at) {
      RC_ASSERT(starts[at] - starts[at - 3] >= Duration(60s));
    }
    RC_ASSERT(starts.size() >= 3U);
  }));
}

// Guards against a failing engine that takes all loads of the limit at once.
BOOST_AUTO_TEST_CASE(FailedLoadsCountAgainstTheLimit)
{
  OrderControllerSettings settings;
  settings.pacer_ = { 2, 60s };
  Holder holder(true, settings);
  holder.Acquire(7);
  std::size_t given = 0;
  for (int at = 0; at < 50; ++at) {
    for (const SendEngineOrder& order : holder.RunFor(1s)) {
      ++given;
      holder.controller_.HandleOrderOutcome(order.id_, OrderOutcome::Failed);
    }
  }
  BOOST_TEST(given == 2U);
}

// Guards against a home entry that keeps the lease from the next one.
BOOST_AUTO_TEST_CASE(FormerHomeEntryReleasesTheLease)
{
  Holder holder(true);
  holder.Acquire(7);
  OrderActions actions;
  holder.controller_.SetHome(false, actions);
  BOOST_TEST(CountActions<ReleaseOrderLease>(actions) == 1U);
  BOOST_TEST(holder.Tick(60s).empty());
}

// Guards against loads of what is there, and against a role that is ignored.
BOOST_AUTO_TEST_CASE(PlanOrdersOnlyWhatIsMissing)
{
  Pool pool = MakePool(true);
  pool.adapters_ = { "gloss" };
  EngineState state = MakeLoadedState();
  state.adapters_ = { { "gloss", "9" } };
  BOOST_TEST(!PlanOrder(pool, "", state).has_value());
  state.models_["paint"] = "2";
  BOOST_CHECK(PlanOrder(pool, "", state)->kind_ == OrderKind::LoadModel);
  state.adapters_.clear();
  state.models_["paint"] = "3";
  BOOST_CHECK(PlanOrder(pool, "", state)->kind_ == OrderKind::LoadAdapter);
  BOOST_CHECK(PlanOrder(pool, "prefill", state)->kind_ ==
              OrderKind::ChangeRole);
}

// Guards against two holders that act in the same time: whatever pauses and
// failures there are, one that the next holder has waited out gives no order.
BOOST_AUTO_TEST_CASE(HoldersNeverOverlap)
{
  std::size_t given = 0;
  BOOST_TEST(rc::check("pauses", [&] {
    OrderControllerSettings settings;
    settings.lease_.pauseMargin_ = 3s;
    settings.pacer_.mostLoads_ = 1000;
    Holder old(false, settings);
    old.Acquire(7);
    // The store counts the lease from the call at the latest renewal.
    Time expiry = old.now_ + 10s;
    for (int at = 0; at < 150; ++at) {
      const bool isPause = *rc::gen::inRange(0, 20) == 0;
      const Duration step = std::chrono::milliseconds(
        *rc::gen::inRange(50, isPause ? 20'000 : 800));
      for (const OrderAction& action : old.Tick(step)) {
        if (std::holds_alternative<RenewOrderLease>(action)) {
          if (old.now_<expiry&& * rc::gen::inRange(0, 3)> 0) {
            expiry = old.now_ + 10s;
            old.controller_.HandleLeaseRenewed();
          } else {
            old.controller_.HandleLeaseFailure();
          }
        } else if (std::holds_alternative<AcquireOrderLease>(action)) {
          if (old.now_ < expiry) {
            old.controller_.HandleLeaseLost();
          } else {
            expiry = old.now_ + 10s;
            old.controller_.HandleLeaseAcquired(FencingNumber(at), old.now_);
          }
        } else if (const auto* read = std::get_if<ReadEngineState>(&action)) {
          old.controller_.HandleEngineState(read->server_, read->read_, {});
        } else if (const auto* order = std::get_if<SendEngineOrder>(&action)) {
          ++given;
          RC_ASSERT(old.now_ < expiry);
          RC_ASSERT(order->sendBefore_ <= expiry);
          old.controller_.HandleOrderOutcome(order->id_, OrderOutcome::Done);
        }
      }
    }
  }));
  // Otherwise the check would say nothing.
  BOOST_TEST(given > 100U);
}

} // namespace azurecross
