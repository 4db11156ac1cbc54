#pragma once

#include "../forward/ForwardServices.h"
#include "../moves/LeavingProbe.h"
#include "../moves/RunMover.h"
#include "../peers/LoadExchange.h"
#include "../peers/RelayedStateSource.h"
#include "../server/FrontServer.h"
#include "../state/StateSync.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <functional>
#include <optional>

namespace azurecross {

/**
 * One entry daemon of the forwarding path, on one thread.
 *
 * SIGTERM and SIGINT begin a graceful stop: the daemon reports that it is not
 * ready, serves what still comes and what runs, and ends before the grace time
 * is over. SIGHUP reloads the settings.
 */
template<StateSource Source>
class ServingDaemon
{
public:
  /** @returns the settings as they are now, or nothing if they can't be used;
   * the reason is logged by the function. */
  using Reload = std::function<std::optional<ServingSettings>()>;

  ServingDaemon(boost::asio::io_context& aContext,
                ServingSettings aSettings,
                const WireTranslator& aWire,
                Source& aSource,
                Reload aReload)
    : context_(aContext)
    , settings_(std::move(aSettings))
    , reload_(std::move(aReload))
    , servingMetrics_(metrics_)
    , state_(settings_, log_, servingMetrics_)
    , random_(DrawSystemSeed())
    , dispatch_(state_, settings_.zone_, servingMetrics_, random_.DrawBits())
    , services_{ context_.get_executor(),
                 aWire,
                 state_,
                 dispatch_,
                 log_,
                 servingMetrics_,
                 deadlines_,
                 connections_,
                 limits_,
                 random_,
                 [this](Duration aLongest) {
                   return sync_.AwaitTablesConfirmation(aLongest);
                 },
                 nullptr,
                 std::nullopt }
    , peers_(context_, settings_.peerListen_, settings_.zone_, state_, log_)
    , mover_(context_, services_)
    , probe_(context_, services_, peers_)
    , feed_(context_, settings_.peerListen_, random_.DrawBits())
    , source_(context_.get_executor(), aSource, feed_, peers_.GetAddress())
    , sync_(context_,
            source_,
            state_,
            log_,
            servingMetrics_,
            random_.DrawBits())
    , front_(context_, settings_.listen_, services_)
    , ready_(context_.get_executor(),
             settings_.readinessListen_,
             metrics_,
             [this] { return IsReady(); })
    , metricsServer_(context_.get_executor(),
                     settings_.metricsListen_,
                     metrics_,
                     [this] { return IsReady(); })
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , timer_(context_)
  {
    services_.mover_ = &mover_;
    limits_.connectionLimit_ = settings_.descriptorLimit_ / 2;
    ready_.AddReadyPath(settings_.readinessPath_);
    state_.SetServerLeavingHandler(
      [this](const BackendServerId& aServer) { mover_.LeaveServer(aServer); });
    state_.SetLoadChangeHandler([this] { PostDispatch(); });
    state_.SetGenerationPlacedHandler(
      [this] { peers_.SchedulePlacementReport(); });
    // Others that wait for the store ask a reader as soon as they hear of it,
    // and those that still believe in it check.
    state_.SetStoreReachabilityHandler([this] { peers_.SendReports(); });
    peers_.SetStoreAccessHandler([this](const SocketAddress& aPeer, bool aHas) {
      if (aHas) {
        source_.RecordStoreAccess(aPeer);
      }
      sync_.Retry();
    });
  }

  ServingDaemon(const ServingDaemon&) = delete;
  ServingDaemon& operator=(const ServingDaemon&) = delete;

  /** Runs until a planned stop has finished. */
  void Run()
  {
    log_.Write(Decision::Started,
               { { "entry", settings_.entryId_ },
                 { "availability_zone", settings_.zone_ },
                 { "listen", front_.GetAddress().Format() },
                 { "peer_listen", peers_.GetName() },
                 { "version", GetVersion() } });
    ready_.Start();
    metricsServer_.Start();
    peers_.Start();
    feed_.Start();
    probe_.Start();
    sync_.Start({ peers_.GetAddress(), settings_.zone_ },
                [this](const std::vector<MemberRecord>& aMembers) {
                  peers_.SetMembers(aMembers);
                  source_.SetMembers(aMembers);
                });
    front_.Start();
    WaitForSignal();
    ScheduleTick();
    context_.run();
    log_.Write(Decision::Stopped,
               { { "entry", settings_.entryId_ },
                 { "requests_cut", front_.CountBusy() } });
  }

  /** @returns whether the daemon takes requests. */
  bool IsReady() const
  {
    return !services_.stopsAt_ && state_.IsServing(ReadBootTime());
  }

  const FrontServer& GetFront() const { return front_; }

private:
  /** Time limits are checked this often. */
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
  /** Taken off the grace time for the last writes. */
  static constexpr Duration kStopMargin = std::chrono::milliseconds(700);
  /** The load balancer asks each second and takes a daemon out after two
   * answers that it is not ready; until then callers still come. */
  static constexpr Duration kShortestStop = std::chrono::milliseconds(3500);
  /** Waits for the next requests of callers that were told to go. */
  static constexpr Duration kQuietTime = std::chrono::milliseconds(200);

  void ScheduleTick()
  {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const boost::system::error_code& aCode) {
      if (!aCode) {
        Tick();
        ScheduleTick();
      }
    });
  }

  void Tick()
  {
    const Time now = ReadMonotonicTime();
    deadlines_.Tick(now);
    connections_.Tick(now);
    dispatch_.Tick();
    state_.Tick(now, ReadBootTime());
    log_.Tick(now);
    servingMetrics_.SetSuppressedLogRecords(log_.CountSuppressedRecords());
    TakeLimits();
    if (services_.stopsAt_) {
      CheckStop(now);
    }
  }

  /** Takes the limits for callers from the tables in force. */
  void TakeLimits()
  {
    const ServingTablesPtr& tables = state_.GetTables();
    if (!tables || tables->GetVersion() == limitsVersion_) {
      return;
    }
    limitsVersion_ = tables->GetVersion();
    const CallerLimits& limits = tables->GetLimits();
    limits_.headerLimitBytes_ = limits.headerBytes_;
    limits_.bodyLimitBytes_ = limits.bodyBytes_;
    limits_.headerTimeout_ = limits.headerTimeout_;
    limits_.idleTimeout_ = limits.idleTimeout_;
  }

  /** Dispatches once after all changes of the load that come together. */
  void PostDispatch()
  {
    if (isDispatchPosted_) {
      return;
    }
    isDispatchPosted_ = true;
    boost::asio::post(context_, [this] {
      isDispatchPosted_ = false;
      dispatch_.Dispatch();
    });
  }

  void WaitForSignal()
  {
    signals_.async_wait(
      [this](const boost::system::error_code& aCode, int aSignal) {
        if (aCode) {
          return;
        }
        if (aSignal == SIGHUP) {
          ReloadSettings();
        } else {
          BeginStop();
        }
        WaitForSignal();
      });
  }

  void ReloadSettings()
  {
    const auto settings = reload_();
    if (settings) {
      settings_.shutdownGracePeriod_ = settings->shutdownGracePeriod_;
      state_.GetRetryBudget().SetBounds(settings->retryBounds_);
    }
    log_.Write(Decision::Reloaded,
               { { "outcome", settings ? "applied" : "kept" } });
  }

  void BeginStop()
  {
    if (services_.stopsAt_) {
      return;
    }
    stopBegan_ = ReadMonotonicTime();
    services_.stopsAt_ =
      stopBegan_ + settings_.shutdownGracePeriod_ - kStopMargin;
    log_.Write(Decision::Stopping,
               { { "requests", front_.CountBusy() },
                 { "grace_s", ToSeconds(settings_.shutdownGracePeriod_) } });
  }

  void CheckStop(Time aNow)
  {
    if (front_.CountBusy() > 0) {
      quietSince_.reset();
    } else if (!quietSince_) {
      quietSince_ = aNow;
    }
    const bool isQuiet = quietSince_ && aNow - *quietSince_ >= kQuietTime &&
                         aNow - stopBegan_ >= kShortestStop;
    if (isQuiet || aNow >= *services_.stopsAt_) {
      front_.Stop();
      context_.stop();
    }
  }

  boost::asio::io_context& context_;
  ServingSettings settings_;
  Reload reload_;
  Metrics metrics_;
  DecisionLog log_;
  ServingMetrics servingMetrics_;
  // Coroutines that are still suspended when the context is destroyed use
  // these.
  DeadlineList deadlines_;
  BackendPool connections_;
  GatewayLimits limits_;
  ServingState state_;
  Random random_;
  AsyncDispatcher dispatch_;
  ForwardServices services_;
  LoadExchange peers_;
  RunMover mover_;
  LeavingProbe probe_;
  StateFeed feed_;
  RelayedStateSource<Source> source_;
  StateSync<RelayedStateSource<Source>> sync_;
  FrontServer front_;
  OperationsServer ready_;
  OperationsServer metricsServer_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::uint64_t limitsVersion_ = 0;
  bool isDispatchPosted_ = false;
  Time stopBegan_;
  std::optional<Time> quietSince_;
};

} // namespace azurecross
