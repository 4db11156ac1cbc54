#pragma once

#include "../forward/ForwardServices.h"
#include "../moves/DrainProbe.h"
#include "../moves/GenerationMover.h"
#include "../peers/LoadExchange.h"
#include "../peers/PeerAddress.h"
#include "../peers/RelayedStateSource.h"
#include "../quarantine/ServerDeathProbe.h"
#include "../server/FrontServer.h"
#include "../state/StateSync.h"
#include "DaemonContext.h"

#include <azurecross_signals/azurecross_signals.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <functional>
#include <optional>

namespace azurecross {

/**
 * An entry daemon of the forwarding path. Runs on a single thread.
 *
 * SIGTERM and SIGINT start a graceful shutdown: the daemon reports that it is
 * not ready, continues to serve running and new requests, and exits before the
 * grace period ends. SIGHUP reloads the settings, which also happens without a
 * signal once they have changed. Signals that arrive before
 * `Run` have to be blocked; they take effect when it begins.
 * @see BlockDaemonSignals
 */
template<StateSource Source>
class ServingDaemon
{
public:
  /** Loads the settings again, after SIGHUP and at intervals.
   * @returns the settings, or nothing if they are unchanged or invalid; the
   * function logs why they are invalid. */
  using SettingsLoader = std::function<std::optional<ServingSettings>()>;

  /** Binds the addresses, except that of the metrics.
   * @throws boost::system::system_error if one can't be bound.
   * @see RetryWhileAddressUnavailable */
  ServingDaemon(DaemonContext& aContext,
                ServingSettings aSettings,
                const WireProtocol& aWire,
                Source& aSource,
                SettingsLoader aLoadSettings)
    : context_(aContext)
    , settings_(std::move(aSettings))
    , peerAddress_(
        FindPeerAddress(settings_.peerListen_, settings_.peerPortCount_))
    , loadSettings_(std::move(aLoadSettings))
    , servingMetrics_(metrics_)
    , responseBudget_(settings_.memoryLimitBytes_ / kResponseMemoryDivisor)
    , requestBudget_(settings_.memoryLimitBytes_ / kRequestMemoryDivisor)
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
                 responseBudget_,
                 requestBudget_,
                 random_,
                 [this](Duration aTimeout) {
                   return stateSync_.AwaitTablesConfirmation(aTimeout);
                 },
                 nullptr,
                 nullptr,
                 std::nullopt }
    , loadExchange_(context_, peerAddress_, settings_.zone_, state_, log_)
    , mover_(context_, services_)
    , drainProbe_(context_, services_, loadExchange_)
    , deathProbe_(context_, services_, loadExchange_)
    , stateFeed_(context_, peerAddress_, random_.DrawBits())
    , stateSource_(context_.get_executor(),
                   aSource,
                   stateFeed_,
                   loadExchange_.GetAddress())
    , stateSync_(context_,
                 stateSource_,
                 state_,
                 log_,
                 servingMetrics_,
                 random_.DrawBits())
    , frontServer_(context_, settings_.listen_, services_)
    , readinessServer_(context_.get_executor(),
                       settings_.readinessListen_,
                       metrics_,
                       [this] { return IsReady(); })
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , tickTimer_(context_)
  {
    services_.mover_ = &mover_;
    services_.deathProbe_ = &deathProbe_;
    limits_.connectionLimit_ = settings_.descriptorLimit_ / 2;
    readinessServer_.AddReadyPath(settings_.readinessPath_);
    state_.SetServerLeavingHandler([this](const BackendServerId& aServer) {
      mover_.EvacuateServer(aServer);
    });
    state_.SetLoadChangeHandler([this] { ScheduleDispatch(); });
    state_.SetGenerationPlacedHandler(
      [this] { loadExchange_.SchedulePlacementReport(); });
    state_.SetPermitMessageHandler(
      [this](const std::vector<PermitMessage>& aMessages) {
        loadExchange_.SendPermitMessages(aMessages);
      });
    state_.SetPromptCorrectionHandler(
      [this] { loadExchange_.ScheduleCorrection(); });
    // Peers that wait for the store read from a recovered reader at once, and
    // peers that have not yet noticed the loss of the store check their access.
    state_.SetStoreReachabilityHandler([this] { loadExchange_.SendReports(); });
    loadExchange_.SetStoreAccessHandler(
      [this](const SocketAddress& aPeer, bool aHasStoreAccess) {
        if (aHasStoreAccess) {
          stateSource_.RecordStoreAccess(aPeer);
        }
        stateSync_.RequestTablesConfirmation();
      });
  }

  // The coroutines of cut requests, of moves and of the synchronization use the
  // members.
  ~ServingDaemon() { context_.DestroyPending(); }

  ServingDaemon(const ServingDaemon&) = delete;
  ServingDaemon& operator=(const ServingDaemon&) = delete;

  /** Runs until a graceful shutdown has finished. */
  void Run()
  {
    log_.Write(Decision::Started,
               { { "entry", settings_.entryId_ },
                 { "availability_zone", settings_.zone_ },
                 { "listen", frontServer_.GetAddress().Format() },
                 { "peer_listen", loadExchange_.GetName() },
                 { "version", GetVersion() } });
    readinessServer_.Start();
    StartMetricsServer();
    loadExchange_.Start();
    stateFeed_.Start();
    drainProbe_.Start();
    stateSync_.Start(
      { loadExchange_.GetAddress(), settings_.zone_, settings_.linkMbps_ },
      [this](const std::vector<MemberRecord>& aMembers) {
        HandleMemberList(aMembers);
      });
    frontServer_.Start();
    WaitForSignal();
    ScheduleTick();
    {
      const SignalDelivery delivery;
      context_.run();
    }
    log_.Write(
      Decision::Stopped,
      { { "entry", settings_.entryId_ }, { "requests_cut", requestsCut_ } });
  }

  /** @returns whether the daemon accepts requests. */
  bool IsReady() const
  {
    return !services_.shutdown_ && state_.IsServing(ReadBootTime());
  }

  const FrontServer& GetFrontServer() const { return frontServer_; }

private:
  /** Interval between checks of the time limits. */
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
  /** Interval between checks whether the settings have changed. */
  static constexpr Duration kSettingsCheckInterval =
    std::chrono::milliseconds(500);
  /** Interval between attempts to bind the address of the metrics. */
  static constexpr Duration kMetricsRetryInterval = std::chrono::seconds(1);
  /** Responses that are being read may take this part of the memory. */
  static constexpr std::size_t kResponseMemoryDivisor = 4;
  /** The bodies of requests may take this part, which leaves a quarter for all
   * else. */
  static constexpr std::size_t kRequestMemoryDivisor = 2;
  /** Time before the end of the grace period from which on the daemon accepts
   * no connections and refuses all requests. */
  static constexpr Duration kShutdownMargin = std::chrono::milliseconds(700);
  /** Time before the end of the grace period at which requests in progress are
   * ended with an error. */
  static constexpr Duration kRequestEndMargin = std::chrono::milliseconds(300);
  /** Time before the end of the grace period at which the daemon exits even if
   * connections are open. */
  static constexpr Duration kExitMargin = std::chrono::milliseconds(200);
  /** Time without requests before the shutdown ends: callers that were told to
   * close their connections may still send their next request. */
  static constexpr Duration kIdleTime = std::chrono::milliseconds(200);

  /** Interval between a relay's confirmations of its tables. Short, because
   * their age adds to the age of the store reader's confirmation. */
  static constexpr Duration kRelayConfirmationInterval =
    std::chrono::milliseconds(250);

  /** Serves the metrics, or tries that again later: requests are served
   * without them. */
  void StartMetricsServer()
  {
    metricsRetryAt_ = ReadMonotonicTime() + kMetricsRetryInterval;
    try {
      metricsServer_.emplace(context_.get_executor(),
                             settings_.metricsListen_,
                             metrics_,
                             [this] { return IsReady(); });
      metricsServer_->Start();
    } catch (const boost::system::system_error& error) {
      if (!isMetricsFailureLogged_) {
        isMetricsFailureLogged_ = true;
        WriteLog(LogLevel::Error,
                 "metrics can't be served; trying again",
                 { { "address", settings_.metricsListen_.Format() },
                   { "reason", error.what() } });
      }
    }
  }

  void HandleMemberList(const std::vector<MemberRecord>& aMembers)
  {
    loadExchange_.SetMembers(aMembers);
    const FeedRole previousRole = stateSource_.GetRole();
    stateSource_.SetMembers(aMembers);
    const FeedRole role = stateSource_.GetRole();
    stateSync_.SetConfirmationInterval(
      role == FeedRole::Relay
        ? kRelayConfirmationInterval
        : StateSync<RelayedStateSource<Source>>::kConfirmationInterval);
    if (role != previousRole) {
      log_.Write(Decision::FeedRoleChanged,
                 { { "role", kFeedRoleNames.FindName(role) },
                   { "role_before", kFeedRoleNames.FindName(previousRole) },
                   { "members", aMembers.size() } });
    }
  }

  void ScheduleTick()
  {
    tickTimer_.expires_after(kTickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code& aCode) {
      if (!aCode) {
        Tick();
        ScheduleTick();
      }
    });
  }

  void Tick()
  {
    const Time now = ReadMonotonicTime();
    // Before the deadlines, which are set again from raised limits.
    ApplyCallerLimits();
    deadlines_.Tick(now);
    connections_.Tick(now);
    dispatch_.Tick();
    state_.Tick(now, ReadBootTime());
    log_.Tick(now);
    servingMetrics_.SetSuppressedLogRecords(log_.CountSuppressedRecords());
    if (!metricsServer_ && now >= metricsRetryAt_) {
      StartMetricsServer();
    }
    if (now - settingsCheckedAt_ >= kSettingsCheckInterval) {
      CheckSettings();
    }
    if (services_.shutdown_) {
      CheckShutdown(now);
    }
  }

  /** Applies the caller limits from the current tables. */
  void ApplyCallerLimits()
  {
    const ServingTablesPtr& tables = state_.GetTables();
    if (!tables || tables->GetVersion() == appliedLimitsVersion_) {
      return;
    }
    appliedLimitsVersion_ = tables->GetVersion();
    const CallerLimits& limits = tables->GetLimits();
    limits_.headerLimitBytes_ = limits.headerBytes_;
    limits_.bodyLimitBytes_ = limits.bodyBytes_;
    limits_.headerTimeout_ = limits.headerTimeout_;
    limits_.idleTimeout_ = limits.idleTimeout_;
  }

  /** Schedules a single dispatch for load changes that occur together. */
  void ScheduleDispatch()
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
          BeginShutdown();
        }
        WaitForSignal();
      });
  }

  /** Applies the settings if they have changed.
   * @returns whether they have. */
  bool ApplyChangedSettings()
  {
    settingsCheckedAt_ = ReadMonotonicTime();
    const auto settings = loadSettings_();
    if (!settings) {
      return false;
    }
    settings_.shutdownGracePeriod_ = settings->shutdownGracePeriod_;
    state_.GetRetryBudget().SetBounds(settings->retryBounds_);
    state_.SetMaxKeyRevocationDelay(settings->maxKeyRevocationDelay_);
    state_.SetRequiresCustomers(settings->requiresCustomers_);
    state_.SetWarmUpBound(settings->warmUpBound_);
    limits_.connectionLimit_ = settings->descriptorLimit_ / 2;
    log_.Write(Decision::Reloaded,
               { { "outcome", "applied" },
                 { "needs_restart", NeedsRestart(*settings) } });
    return true;
  }

  /** @returns whether settings differ that only a new process applies. */
  bool NeedsRestart(const ServingSettings& aSettings) const
  {
    return aSettings.listen_ != settings_.listen_ ||
           aSettings.readinessListen_ != settings_.readinessListen_ ||
           aSettings.metricsListen_ != settings_.metricsListen_ ||
           aSettings.peerListen_ != settings_.peerListen_ ||
           aSettings.zone_ != settings_.zone_ ||
           aSettings.memoryLimitBytes_ != settings_.memoryLimitBytes_;
  }

  /** Checks the settings now and again with the next tick: a change counts
   * once two reads agree. */
  void ReloadSettings()
  {
    isReloadRequested_ = !ApplyChangedSettings();
    settingsCheckedAt_ = Time();
  }

  void CheckSettings()
  {
    if (!ApplyChangedSettings() && isReloadRequested_) {
      log_.Write(Decision::Reloaded, { { "outcome", "kept" } });
    }
    isReloadRequested_ = false;
  }

  void BeginShutdown()
  {
    if (services_.shutdown_) {
      return;
    }
    const Time now = ReadMonotonicTime();
    services_.shutdown_ =
      ShutdownPlan(now, now + settings_.shutdownGracePeriod_ - kShutdownMargin);
    log_.Write(Decision::Stopping,
               { { "requests", frontServer_.CountActiveRequests() },
                 { "grace_s", ToSeconds(settings_.shutdownGracePeriod_) } });
  }

  void CheckShutdown(Time aNow)
  {
    frontServer_.RefuseQueued();
    if (frontServer_.CountActiveRequests() > 0) {
      idleSince_.reset();
    } else if (!idleSince_) {
      idleSince_ = aNow;
    }
    const bool isIdle =
      idleSince_ && aNow - *idleSince_ >= kIdleTime &&
      aNow - services_.shutdown_->GetBegin() >= settings_.minShutdownTime_;
    if (isIdle || aNow >= services_.shutdown_->GetEnd()) {
      frontServer_.StopAccepting();
      isClosing_ = true;
    }
    if (isClosing_) {
      CloseConnections(aNow);
    }
  }

  /** Closes connections as they become idle, and ends the daemon once none may
   * still be served. */
  void CloseConnections(Time aNow)
  {
    const Time graceEnd = services_.shutdown_->GetEnd() + kShutdownMargin;
    frontServer_.CloseIdle(kIdleTime);
    if (aNow >= graceEnd - kRequestEndMargin && !hasEndedRequests_) {
      hasEndedRequests_ = true;
      requestsCut_ = frontServer_.CountActiveRequests();
      frontServer_.EndRequests();
    }
    if (frontServer_.CountOpenConnections() > 0) {
      closedSince_.reset();
    } else if (!closedSince_) {
      closedSince_ = aNow;
    }
    // Callers that have just been answered may still read.
    const bool isClosed = !frontServer_.IsAccepting() &&
                          (frontServer_.CountConnections() == 0 ||
                           (closedSince_ && aNow - *closedSince_ >= kIdleTime));
    if (isClosed || aNow >= graceEnd - kExitMargin) {
      frontServer_.Stop();
      context_.stop();
    }
  }

  DaemonContext& context_;
  ServingSettings settings_;
  SocketAddress peerAddress_;
  SettingsLoader loadSettings_;
  Metrics metrics_;
  DecisionLog log_;
  ServingMetrics servingMetrics_;
  DeadlineList deadlines_;
  BackendPool connections_;
  GatewayLimits limits_;
  BufferBudget responseBudget_;
  BufferBudget requestBudget_;
  ServingState state_;
  Random random_;
  AsyncDispatcher dispatch_;
  ForwardServices services_;
  LoadExchange loadExchange_;
  GenerationMover mover_;
  DrainProbe drainProbe_;
  ServerDeathProbe deathProbe_;
  StateFeed stateFeed_;
  RelayedStateSource<Source> stateSource_;
  StateSync<RelayedStateSource<Source>> stateSync_;
  FrontServer frontServer_;
  OperationsServer readinessServer_;
  /** Empty while its address can't be bound. */
  std::optional<OperationsServer> metricsServer_;
  Time metricsRetryAt_;
  bool isMetricsFailureLogged_ = false;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tickTimer_;
  std::uint64_t appliedLimitsVersion_ = 0;
  Time settingsCheckedAt_ = ReadMonotonicTime();
  /** Whether SIGHUP came and no change has been found since. */
  bool isReloadRequested_ = false;
  bool isDispatchPosted_ = false;
  std::optional<Time> idleSince_;
  /** Whether the last connections are being closed. */
  bool isClosing_ = false;
  bool hasEndedRequests_ = false;
  /** Requests that the end of the shutdown interrupted. */
  std::size_t requestsCut_ = 0;
  std::optional<Time> closedSince_;
};

} // namespace azurecross
