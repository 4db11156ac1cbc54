#include "Backends.h"

#include <platform/tests/process/EntryProcess.h>
#include <review/common/Deployment.h>

#include <array>

namespace azurecross::soak {

namespace {

using review::Milliseconds;

constexpr unsigned kDesks = 4;
constexpr unsigned kEngines = 4;
constexpr unsigned kDeskSlots = 40;
/** Few, so that requests wait and are rejected. */
constexpr unsigned kEngineSlots = 12;
/** Engines differ in speed. */
constexpr std::array kEventTimes = { Milliseconds(16),
                                     Milliseconds(24),
                                     Milliseconds(32),
                                     Milliseconds(43) };
constexpr std::array kZones = { "worcester", "robertson" };

std::string
FormatRoutes(bool aHasFurtherRoute)
{
  std::string text =
    platform::FormatTestRoutes() + "," +
    review::FormatRoute(
      { "wait", "/wait/", "idempotent", "desk", 20000, 4000, 3 });
  if (aHasFurtherRoute) {
    text += "," + review::FormatRoute(
                    { "list", "/list/", "idempotent", "desk", 1500, 300, 3 });
  }
  return text;
}

} // namespace

Backends::Backends(unsigned aFirstIpNumber)
  : ip_(platform::MakeLoopbackIp(aFirstIpNumber))
  , store_(ip_)
{
  ChangeConfiguration(false);
  const std::lock_guard lock(mutex_);
  for (unsigned count = 0; count < kDesks; ++count) {
    AddServer("desk");
  }
  for (unsigned count = 0; count < kEngines; ++count) {
    AddServer("model");
  }
}

void
Backends::AddServer(const std::string& aService)
{
  const unsigned number = ++serverCount_;
  auto server = std::make_unique<Server>();
  server->id_ = "i-" + std::to_string(number);
  server->service_ = aService;
  server->zone_ = kZones.at(number % kZones.size());
  const bool isDesk = aService == "desk";
  server->slots_ = isDesk ? kDeskSlots : kEngineSlots;
  review::Endpoint address;
  if (isDesk) {
    server->desk_ =
      std::make_unique<platform::DeskStandin>(server->id_, ip_, ledger_);
    address = server->desk_->GetEndpoint();
  } else {
    server->engine_ = std::make_unique<platform::EngineStandin>(
      server->id_,
      ip_,
      kEngineSlots,
      kEventTimes.at(number % kEventTimes.size()),
      ledger_);
    address = server->engine_->GetEndpoint();
  }
  server->proxy_ = std::make_unique<FaultProxy>(ip_, address);
  Register(*server);
  servers_.push_back(std::move(server));
}

void
Backends::Register(const Server& aServer)
{
  store_.Put(
    "servers/" + aServer.id_,
    review::FormatRegistration(aServer.service_,
                               aServer.proxy_->GetEndpoint(),
                               aServer.zone_,
                               aServer.leavingSince_ ? "draining" : "ready",
                               aServer.slots_));
}

void
Backends::WriteConfiguration()
{
  ++version_;
  std::string text =
    review::FormatConfiguration(version_, FormatRoutes(hasFurtherRoute_));
  if (customers_) {
    // The customers are the last member.
    text.replace(text.find(",\"tenants\""), std::string::npos, *customers_);
    text += "}";
  }
  store_.Put("op/config", text);
}

void
Backends::ChangeConfiguration(bool aHasFurtherRoute)
{
  const std::lock_guard lock(mutex_);
  hasFurtherRoute_ = aHasFurtherRoute;
  WriteConfiguration();
}

void
Backends::SetCustomers(std::optional<std::string> aCustomers)
{
  const std::lock_guard lock(mutex_);
  customers_ = std::move(aCustomers);
  WriteConfiguration();
}

void
Backends::SetHasUndefinedStatus(const std::string& aId,
                                bool aHasUndefinedStatus)
{
  const std::lock_guard lock(mutex_);
  for (const auto& server : servers_) {
    if (server->id_ == aId && server->desk_) {
      server->desk_->SetHasUndefinedStatus(aHasUndefinedStatus);
    }
  }
}

Backends::Server&
Backends::ChooseReadyServer(std::uint64_t aIndex)
{
  std::vector<Server*> ready;
  for (const auto& server : servers_) {
    if (!server->leavingSince_) {
      ready.push_back(server.get());
    }
  }
  return *ready.at(aIndex % ready.size());
}

void
Backends::ReplaceServer(std::uint64_t aIndex)
{
  const std::lock_guard lock(mutex_);
  Server& server = ChooseReadyServer(aIndex);
  const std::string service = server.service_;
  server.leavingSince_ = Clock::now();
  Register(server);
  AddServer(service);
}

void
Backends::RemoveLeavingServers()
{
  const std::lock_guard lock(mutex_);
  for (const auto& server : servers_) {
    if (server->leavingSince_ && server->isRegistered_) {
      server->isRegistered_ = false;
      store_.Remove("servers/" + server->id_);
    }
  }
}

void
Backends::SetEvacuated(const std::string& aZone, bool aIsEvacuated)
{
  const std::string key = "op/evacuate/" + aZone;
  if (aIsEvacuated) {
    store_.Put(key, "{}");
  } else {
    store_.Remove(key);
  }
}

std::map<std::string, std::string>
Backends::GetServerZones() const
{
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::string> zones;
  for (const auto& server : servers_) {
    zones.emplace(server->id_, server->zone_);
  }
  return zones;
}

std::string
Backends::ChooseServer(std::uint64_t aIndex) const
{
  const std::lock_guard lock(mutex_);
  return servers_.at(aIndex % servers_.size())->id_;
}

void
Backends::SetServerFault(const std::string& aId, LinkFault aFault)
{
  const std::lock_guard lock(mutex_);
  for (const auto& server : servers_) {
    if (server->id_ == aId) {
      server->proxy_->SetFault(aFault);
    }
  }
}

std::vector<std::pair<std::string, Clock::time_point>>
Backends::GetLeavingServers() const
{
  const std::lock_guard lock(mutex_);
  std::vector<std::pair<std::string, Clock::time_point>> leaving;
  for (const auto& server : servers_) {
    if (server->leavingSince_) {
      leaving.emplace_back(server->id_, *server->leavingSince_);
    }
  }
  return leaving;
}

} // namespace azurecross::soak
