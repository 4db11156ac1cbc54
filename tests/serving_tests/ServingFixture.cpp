#include "ServingFixture.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

ServingRoute
MakeRoute(const std::string& aName, CallKind aKind, const std::string& aPool)
{
  ServingRoute route;
  route.name_ = RouteName(aName);
  route.host_ = "test.example";
  route.prefix_ = "/" + aName + "/";
  route.kind_ = aKind;
  route.timeout_ = std::chrono::milliseconds(1500);
  route.latencyTarget_ = std::chrono::milliseconds(500);
  route.pools_ = { { PoolName(aPool), 1.0 } };
  return route;
}

} // namespace

ServingTables::Content
ServingFixture::MakeTables(std::uint64_t aVersion)
{
  ServingTables::Content tables;
  tables.version_ = aVersion;
  tables.routes_ = { MakeRoute("once", CallKind::NonIdempotentCall, "desk"),
                     MakeRoute("safe", CallKind::IdempotentCall, "desk"),
                     MakeRoute("stream", CallKind::Generation, "engines") };
  tables.routes_[1].attemptLimit_ = 2;
  tables.routes_[2].timeout_ = std::chrono::seconds(5);
  ServingPool desk;
  desk.name_ = PoolName("desk");
  ServingPool engines;
  engines.name_ = PoolName("engines");
  EngineTraits traits;
  traits.slots_ = 8;
  traits.memoryTokens_ = 20000;
  traits.bytesPerToken_ = 1000;
  traits.linkBitsPerSecond_ = 1e9;
  traits.canMove_ = true;
  engines.engine_ = traits;
  tables.pools_ = { desk, engines };
  return tables;
}

ServingFixture::ServingFixture()
  : state_(settings_, log_, metrics_)
  , dispatch_(state_, AvailabilityZone("a"), metrics_, 1)
  , timer_(context_)
  , guard_(context_.get_executor())
{
  services_ = std::make_unique<ForwardServices>(
    ForwardServices{ context_.get_executor(),
                     wire_,
                     state_,
                     dispatch_,
                     log_,
                     metrics_,
                     deadlines_,
                     connections_,
                     limits_,
                     responseBudget_,
                     requestBudget_,
                     random_,
                     [](Duration) -> asio::awaitable<bool> { co_return false; },
                     nullptr,
                     nullptr,
                     std::nullopt });
  mover_ = std::make_unique<GenerationMover>(context_, *services_);
  services_->mover_ = mover_.get();
  state_.SetServerLeavingHandler([this](const BackendServerId& aServer) {
    mover_->EvacuateServer(aServer);
  });
  state_.SetLoadChangeHandler(
    [this] { asio::post(context_, [this] { dispatch_.Dispatch(); }); });
  front_ = std::make_unique<FrontServer>(
    context_, SocketAddress{ "127.0.0.1", 0 }, *services_);
  front_->Start();
  Tick();
  thread_ = std::thread([this] { context_.run(); });
}

ServingFixture::~ServingFixture()
{
  StopThread();
}

void
ServingFixture::StopThread()
{
  if (!thread_.joinable()) {
    return;
  }
  StopServer();
  asio::post(context_, [this] { context_.stop(); });
  thread_.join();
}

void
ServingFixture::Tick()
{
  timer_.expires_after(std::chrono::milliseconds(10));
  timer_.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      deadlines_.Tick(ReadMonotonicTime());
      dispatch_.Tick();
      Tick();
    }
  });
}

void
ServingFixture::Run(std::function<void()> aFunction)
{
  std::promise<void> done;
  asio::post(context_, [&] {
    aFunction();
    done.set_value();
  });
  done.get_future().wait();
}

void
ServingFixture::StopServer()
{
  Run([this] { front_->Stop(); });
}

void
ServingFixture::SetTables(ServingTables::Content aTables)
{
  Run([&] {
    state_.ApplyTables(std::move(aTables), ReadMonotonicTime());
    state_.ConfirmTables(state_.GetTables()->GetVersion(), ReadBootTime());
  });
}

ServerRecord
ServingFixture::MakeRecord(const std::string& aId,
                           const std::string& aPool,
                           const FakeBackendServer& aServer) const
{
  ServerRecord record;
  record.id_ = BackendServerId(aId);
  record.pool_ = PoolName(aPool);
  record.address_ = aServer.GetAddress();
  record.zone_ = AvailabilityZone("a");
  record.slots_ = 4;
  return record;
}

void
ServingFixture::AddServer(const std::string& aId,
                          const std::string& aPool,
                          const FakeBackendServer& aServer)
{
  Run([&] {
    state_.ApplyServerEvents(
      { { BackendServerId(aId), MakeRecord(aId, aPool, aServer), "" } },
      false,
      ReadMonotonicTime());
  });
}

void
ServingFixture::SetDraining(const std::string& aId,
                            const std::string& aPool,
                            const FakeBackendServer& aServer)
{
  Run([&] {
    ServerRecord record = MakeRecord(aId, aPool, aServer);
    record.state_ = ServerState::Draining;
    state_.ApplyServerEvents(
      { { record.id_, record, "" } }, false, ReadMonotonicTime());
  });
}

std::string
ServingFixture::MakeRequest(const std::string& aPath,
                            const std::string& aHeaders,
                            const std::string& aId)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: " + aId + "\r\n" +
         aHeaders + "Content-Length: 4\r\n\r\nbody";
}

bool
ServingFixture::WaitForClose(const std::string& aReason,
                             const std::string& aRequest)
{
  const std::string line = "closed_total{reason=\"" + aReason +
                           "\",unanswered_request=\"" + aRequest + "\"} 1\n";
  for (int wait = 0; wait < 300; ++wait) {
    if (SerializeMetrics().find(line) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

CallerAnswer
ServingFixture::Call(const std::string& aRequest)
{
  TestCaller caller(front_->GetAddress());
  caller.Send(aRequest);
  return caller.ReadAnswer();
}

} // namespace azurecross
