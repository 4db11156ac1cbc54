#pragma once

#include "FaultProxy.h"

#include <platform/tests/process/BackendStandins.h>
#include <review/common/Store.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace azurecross::soak {

/** The store with a configuration, and backend servers behind proxies. Used by
 * several threads. */
class Backends
{
public:
  explicit Backends(unsigned aFirstIpNumber);

  /** Writes the next version of the configuration, with or without one more
   * route. */
  void ChangeConfiguration(bool aHasFurtherRoute);
  /** Writes the next version with another list of customers.
   * @param aCustomers the member with a comma before it, an empty text to leave
   * it out, or nothing for the usual one. */
  void SetCustomers(std::optional<std::string> aCustomers);
  /** Sets whether the answers of a plain service's server have a status that
   * HTTP doesn't define. */
  void SetHasUndefinedStatus(const std::string& aId, bool aHasUndefinedStatus);
  /** Announces that a server leaves, and adds another one of its kind. The
   * server goes on running until the end.
   * @param aIndex selects one of the servers that are ready. */
  void ReplaceServer(std::uint64_t aIndex);
  /** Removes the registrations of the servers that leave. */
  void RemoveLeavingServers();
  /** Evacuates an availability zone, or takes it back. */
  void SetEvacuated(const std::string& aZone, bool aIsEvacuated);
  /** @returns the zone of each server. */
  std::map<std::string, std::string> GetServerZones() const;
  /** @returns the id of one of the servers. */
  std::string ChooseServer(std::uint64_t aIndex) const;
  /** Disturbs the link to a server. */
  void SetServerFault(const std::string& aId, LinkFault aFault);

  const review::Endpoint& GetStore() const { return store_.GetEndpoint(); }
  const platform::RunLedger& GetLedger() const { return ledger_; }
  std::vector<std::pair<std::string, Clock::time_point>> GetLeavingServers()
    const;

private:
  struct Server
  {
    std::string id_;
    std::string service_;
    std::string zone_;
    unsigned slots_ = 0;
    std::unique_ptr<platform::DeskStandin> desk_;
    std::unique_ptr<platform::EngineStandin> engine_;
    std::unique_ptr<FaultProxy> proxy_;
    std::optional<Clock::time_point> leavingSince_;
    bool isRegistered_ = true;
  };

  /** Writes the next version of the configuration. */
  void WriteConfiguration();
  void AddServer(const std::string& aService);
  void Register(const Server& aServer);
  Server& ChooseReadyServer(std::uint64_t aIndex);

  mutable std::mutex mutex_;
  std::string ip_;
  review::Store store_;
  platform::RunLedger ledger_;
  unsigned version_ = 0;
  bool hasFurtherRoute_ = false;
  std::optional<std::string> customers_;
  unsigned serverCount_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
};

} // namespace azurecross::soak
