#include "Deployment.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <stdexcept>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* kHost = "127.0.0.1";
constexpr Duration kStartLimit = std::chrono::seconds(20);

/** @returns a port that is free now; another program may take it first. */
SocketAddress
PickAddress(const asio::any_io_executor& aExecutor)
{
  asio::ip::tcp::acceptor acceptor(aExecutor,
                                   { asio::ip::make_address(kHost), 0 });
  return { kHost, acceptor.local_endpoint().port() };
}

const char* const kTables = R"({
  "routes": [
    {"name":"chat","kind":"generation","path_prefix":"/v1","pool":"engines",
     "rank":"urgent","deadline_ms":20000},
    {"name":"book","kind":"service","path_prefix":"/book","pool":"booking",
     "rank":"urgent","idempotent":"never","deadline_ms":3000}],
  "pools": [
    {"name":"engines","kind":"engine","group":"engines","models":["m"],
     "memory_tokens":100000,"max_concurrent":64},
    {"name":"booking","kind":"service","group":"booking",
     "max_concurrent":64}]})";

} // namespace

asio::awaitable<void>
Sleep(Duration aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(aDuration);
  co_await timer.async_wait(asio::use_awaitable);
}

Deployment::Deployment(asio::any_io_executor aExecutor,
                       std::string aPrograms,
                       std::string aScratch,
                       int aEntryCount)
  : executor_(std::move(aExecutor))
  , programs_(std::move(aPrograms))
  , scratch_(std::move(aScratch))
  , client_(executor_)
{
  for (int index = 0; index < aEntryCount; ++index) {
    EntryProcess entry;
    entry.id_ = "entry-" + std::to_string(index + 1);
    entry.zone_ = "zone-1";
    entry.callers_ = PickAddress(executor_);
    entry.operations_ = PickAddress(executor_);
    entry.peers_ = PickAddress(executor_);
    entries_.push_back(std::move(entry));
  }
}

asio::awaitable<void>
Deployment::Start()
{
  platformAddress_ = PickAddress(executor_);
  platform_ = ChildProcess(GetProgram("azurecross-platform-standin"),
                           { "--listen", platformAddress_.Format() },
                           GetLog("platform"));
  StartBackend("engine-1", "engines", "zone-1");
  StartBackend("engine-2", "engines", "zone-1");
  StartBackend("engine-3", "engines", "zone-1");
  StartBackend("service-1", "booking", "zone-1");
  StartBackend("service-2", "booking", "zone-1");
  co_await Sleep(std::chrono::milliseconds(500));
  co_await PublishVms();
  const std::string file = scratch_ + "/tables.json";
  std::ofstream(file) << kTables;
  std::vector<std::string> apply = { "apply", file };
  if (co_await RunTool(std::move(apply)) != 0) {
    throw std::runtime_error("can't write the tables; see " + GetLog("tool"));
  }
  for (EntryProcess& entry : entries_) {
    StartEntry(entry);
  }
  co_await WaitUntilReady();
}

void
Deployment::StartBackend(const std::string& aId,
                         const std::string& aGroup,
                         const std::string& aZone)
{
  const bool isEngine = aGroup == "engines";
  std::vector<std::string> arguments;
  if (isEngine) {
    arguments = { "--tokens-per-second", "60", "--retention", "8000" };
  }
  BackendProcess backend;
  backend.id_ = aId;
  backend.group_ = aGroup;
  backend.zone_ = aZone;
  backend.process_ =
    ChildProcess(GetProgram(isEngine ? "azurecross-engine-standin"
                                     : "azurecross-service-standin"),
                 arguments,
                 GetLog(aId));
  const std::string line = backend.process_.ReadLine();
  boost::system::error_code code;
  const json::value started = json::parse(line, code);
  if (code) {
    throw std::runtime_error("can't start " + aId);
  }
  backend.address_ =
    ParseSocketAddress(std::string(started.at("address").as_string())).value();
  backends_.push_back(std::move(backend));
}

void
Deployment::StartEntry(EntryProcess& aEntry)
{
  std::string peers;
  for (const EntryProcess& other : entries_) {
    if (other.id_ != aEntry.id_) {
      peers += (peers.empty() ? "" : ",") + other.peers_.Format();
    }
  }
  ++aEntry.starts_;
  aEntry.revision_ = 0;
  aEntry.process_ = ChildProcess(GetProgram("azurecross-entry"),
                                 { "--entry-id",
                                   aEntry.id_,
                                   "--availability-zone",
                                   aEntry.zone_,
                                   "--listen",
                                   aEntry.callers_.Format(),
                                   "--operations-listen",
                                   aEntry.operations_.Format(),
                                   "--peer-listen",
                                   aEntry.peers_.Format(),
                                   "--peers",
                                   peers,
                                   "--store",
                                   platformAddress_.Format(),
                                   "--vm-list",
                                   platformAddress_.Format(),
                                   "--workers",
                                   "1",
                                   "--test-controls" },
                                 GetLog(aEntry.id_));
}

asio::awaitable<void>
Deployment::PublishVms()
{
  json::array vms;
  for (const BackendProcess& backend : backends_) {
    vms.push_back(
      json::object{ { "id", backend.id_ },
                    { "role", "backend" },
                    { "group", backend.group_ },
                    { "availability_zone", backend.zone_ },
                    { "address", backend.address_.Format() },
                    { "state", backend.isLeaving_ ? "leaving" : "live" } });
  }
  for (const EntryProcess& entry : entries_) {
    vms.push_back(json::object{ { "id", entry.id_ },
                                { "role", "entry" },
                                { "group", "entries" },
                                { "availability_zone", entry.zone_ },
                                { "address", entry.peers_.Format() },
                                { "state", "live" } });
  }
  std::string list = json::serialize(
    json::object{ { "version", 1 }, { "vms", std::move(vms) } });
  co_await Call(platformAddress_, "PUT", "/v1/vms", std::move(list));
}

asio::awaitable<int>
Deployment::RunTool(std::vector<std::string> aArguments)
{
  aArguments.insert(
    aArguments.end(),
    { "--store", platformAddress_.Format(), "--author", "fault-bench" });
  ChildProcess tool(GetProgram("azurecross"), aArguments, GetLog("tool"));
  while (tool.IsRunning()) {
    co_await Sleep(std::chrono::milliseconds(10));
  }
  co_return tool.Wait();
}

asio::awaitable<json::value>
Deployment::Call(SocketAddress aAddress,
                 std::string aMethod,
                 std::string aTarget,
                 std::string aBody)
{
  HttpRequest request;
  request.method_ = std::move(aMethod);
  request.target_ = std::move(aTarget);
  request.body_ = std::move(aBody);
  const auto response =
    co_await client_.Send(std::move(aAddress), std::move(request));
  if (response.has_error() || response->status_ >= 300) {
    co_return json::value();
  }
  boost::system::error_code code;
  json::value value = json::parse(response->body_, code);
  co_return value;
}

asio::awaitable<void>
Deployment::WaitUntilReady()
{
  const Time limit = ReadMonotonicTime() + kStartLimit;
  for (const EntryProcess& entry : entries_) {
    for (;;) {
      HttpRequest request;
      request.target_ = "/readyz";
      const auto response =
        co_await client_.Send(entry.operations_, std::move(request));
      if (response.has_value() && response->status_ == 200) {
        break;
      }
      if (ReadMonotonicTime() > limit) {
        throw std::runtime_error(entry.id_ + " is not ready; see " +
                                 GetLog(entry.id_));
      }
      co_await Sleep(std::chrono::milliseconds(100));
    }
  }
}

std::string
Deployment::GetProgram(const std::string& aName) const
{
  return programs_ + "/" + aName;
}

std::string
Deployment::GetLog(const std::string& aName) const
{
  return scratch_ + "/" + aName + ".log";
}

} // namespace azurecross
