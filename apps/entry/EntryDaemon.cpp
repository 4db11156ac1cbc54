#include "EntryDaemon.h"

#include <azurecross_signals/azurecross_signals.h>

#include <boost/asio/post.hpp>

#include <csignal>
#include <iostream>

namespace azurecross {

namespace {

/** A successor in the zone answers in milliseconds; the rest is for repeats. */
constexpr Duration kHandoverTimeout = std::chrono::seconds(5);

/**
 * @returns what turns the monotonic clock into one whose minutes begin with the
 * supplier's.
 */
Duration
ComputeMinuteOffset(Duration aBeforeUtc)
{
  const Duration unix = std::chrono::milliseconds(ReadUnixMilliseconds());
  return unix - ReadMonotonicTime().time_since_epoch() + aBeforeUtc;
}

ControlSettings
MakeControlSettings(const EntrySettings& aSettings)
{
  ControlSettings settings;
  settings.entryId_ = aSettings.entryId_;
  settings.availabilityZone_ = aSettings.availabilityZone_;
  settings.weight_ = aSettings.weight_;
  settings.peerListen_ = aSettings.peerListen_;
  settings.peerAddress_ = aSettings.peerAddress_;
  settings.seedPeers_ = aSettings.seedPeers_;
  settings.store_ = aSettings.store_;
  if (!aSettings.vmList_.empty()) {
    settings.vmList_ = aSettings.vmList_.front();
  }
  settings.arbiter_.lesserFloor_ = aSettings.lesserFloor_;
  settings.arbiter_.isPaced_ = aSettings.isPaced_;
  settings.arbiter_.minuteOffset_ =
    ComputeMinuteOffset(aSettings.minuteOffset_);
  settings.arbiter_.queueLimit_ = aSettings.queueLimit_;
  settings.loadPollInterval_ = aSettings.loadPollInterval_;
  settings.operationRetention_ = aSettings.operationRetention_;
  settings.operationMemoryBytes_ = aSettings.operationMemoryBytes_;
  return settings;
}

EntryServerOptions
MakeServerOptions(const EntrySettings& aSettings)
{
  EntryServerOptions options;
  options.address_ = aSettings.listen_;
  options.workers_ = static_cast<unsigned>(aSettings.workers_);
  options.limits_.headerLimitBytes_ = aSettings.headerLimitBytes_;
  options.limits_.bodyLimitBytes_ = aSettings.bodyLimitBytes_;
  options.limits_.bodyTimeout_ = aSettings.requestTimeout_;
  options.limits_.writeTimeout_ = aSettings.writeTimeout_;
  return options;
}

} // namespace

EntryDaemon::EntryDaemon(const EntrySettings& aSettings)
  : settings_(aSettings)
  , control_(MakeControlSettings(aSettings), metrics_)
  , signals_(context_, SIGTERM, SIGINT, SIGQUIT)
  , reloadSignals_(context_, SIGHUP)
  , graceTimer_(context_)
  , drainTimer_(context_)
{
}

int
EntryDaemon::Run()
{
  const auto started = boost::leaf::try_handle_all(
    [this]() -> Result<bool> {
      BOOST_LEAF_CHECK(control_.Start());
      return true;
    },
    [](const Error& aError) {
      std::cerr << "azurecross-entry: " << aError.message_ << "\n";
      return false;
    },
    [] { return false; });
  if (!started) {
    return 1;
  }
  server_ = std::make_unique<EntryServer<ControlPlane>>(
    control_, metrics_, MakeServerOptions(settings_));
  operations_ = std::make_unique<OperationsServer>(
    context_.get_executor(), settings_.operationsListen_, metrics_, [this] {
      return control_.IsReady();
    });
  AddPages();
  operations_->Start();
  server_->Start();
  WaitForSignal();
  WaitForReloadSignal();
  WriteLog(LogLevel::Info,
           "entry started",
           { { "entry", settings_.entryId_ },
             { "availability_zone", settings_.availabilityZone_ },
             { "listen", server_->GetAddress().Format() },
             { "operations_listen", operations_->GetAddress().Format() },
             { "version", GetVersion() } });
  const SignalDelivery delivery;
  context_.run();
  server_->Stop();
  control_.Stop();
  WriteLog(LogLevel::Info, "entry stopped", {});
  return 0;
}

void
EntryDaemon::AddPages()
{
  operations_->AddPage("/status", [this](const HttpRequest&) {
    return control_.DescribeStatus();
  });
  operations_->AddPage("/explain", [this](const HttpRequest& aRequest) {
    const std::string request = aRequest.FindQueryValue("request_id");
    if (!request.empty()) {
      return control_.Explain(RequestId(request));
    }
    const std::string method = aRequest.FindQueryValue("method");
    const std::string path = aRequest.FindQueryValue("path");
    const std::string model = aRequest.FindQueryValue("model");
    const std::string customer = aRequest.FindQueryValue("customer");
    return control_.ExplainRoute({ method, path, model, customer });
  });
  operations_->AddPage("/running", [this](const HttpRequest&) {
    return server_->DescribeRunning();
  });
  if (settings_.testControls_) {
    operations_->AddPage("/test/links", [this](const HttpRequest& aRequest) {
      return control_.ControlLinks(aRequest.FindQueryValue("action"),
                                   aRequest.FindQueryValue("peer"));
    });
  }
}

void
EntryDaemon::WaitForSignal()
{
  signals_.async_wait(
    [this](const boost::system::error_code& aCode, int aSignal) {
      if (!aCode) {
        TakeSignal(aSignal);
        WaitForSignal();
      }
    });
}

void
EntryDaemon::WaitForReloadSignal()
{
  reloadSignals_.async_wait([this](const boost::system::error_code& aCode,
                                   int) {
    if (!aCode) {
      WriteLog(LogLevel::Warning,
               "SIGHUP is ignored: the settings are flags and variables, which "
               "a restart changes");
      WaitForReloadSignal();
    }
  });
}

void
EntryDaemon::TakeSignal(int aSignal)
{
  if (aSignal == SIGQUIT) {
    WriteLog(LogLevel::Warning,
             "forced stop; running requests are cut",
             { { "requests", server_->CountRunning() },
               { "running", server_->DescribeRunning() } });
    context_.stop();
    return;
  }
  if (isDraining_) {
    WriteLog(LogLevel::Warning,
             "still draining; SIGQUIT would cut these requests",
             { { "requests", server_->CountRunning() },
               { "running", server_->DescribeRunning() } });
    return;
  }
  BeginDrain();
}

void
EntryDaemon::BeginDrain()
{
  isDraining_ = true;
  WriteLog(LogLevel::Info,
           "planned stop; draining",
           { { "requests", server_->CountRunning() } });
  control_.BeginDrain();
  server_->BeginDrain([this] {
    boost::asio::post(context_, [this] {
      isDrained_ = true;
      FinishIfDrained();
    });
  });
  graceTimer_.expires_after(settings_.drainGrace_);
  graceTimer_.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      isGraceOver_ = true;
      FinishIfDrained();
    }
  });
  if (settings_.drainTimeout_ > Duration::zero()) {
    drainTimer_.expires_after(settings_.drainTimeout_);
    drainTimer_.async_wait([this](const boost::system::error_code& aCode) {
      if (!aCode) {
        WriteLog(LogLevel::Warning,
                 "drain timeout; running requests are cut",
                 { { "requests", server_->CountRunning() } });
        context_.stop();
      }
    });
  }
}

void
EntryDaemon::FinishIfDrained()
{
  if (!isDrained_ || !isGraceOver_) {
    return;
  }
  control_.HandOver(kHandoverTimeout);
  context_.stop();
}

} // namespace azurecross
