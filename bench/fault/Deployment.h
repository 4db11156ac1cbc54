#pragma once

#include "ChildProcess.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace azurecross {

/** An entry under test. */
struct EntryProcess
{
  std::string id_;
  std::string zone_;
  SocketAddress callers_;
  SocketAddress operations_;
  SocketAddress peers_;
  ChildProcess process_;
  /** Whether a planned stop is under way, and no other fault of the process. */
  bool isStopping_ = false;
  /** Whether it is killed, paused or stopping; such entries are left alone. */
  bool isDisturbed_ = false;
  /** Counts starts, so that an observation belongs to one process. */
  int starts_ = 0;
  /** Highest table revision that this process has reported. */
  std::int64_t revision_ = 0;
};

/** A backend stand-in. */
struct BackendProcess
{
  std::string id_;
  std::string group_;
  std::string zone_;
  SocketAddress address_;
  ChildProcess process_;
  bool isLeaving_ = false;
};

/** A small deployment on loopback: platform, backend servers and entries. */
class Deployment
{
public:
  /** @param aPrograms folder of the programs. @param aScratch for logs. */
  Deployment(boost::asio::any_io_executor aExecutor,
             std::string aPrograms,
             std::string aScratch,
             int aEntryCount);

  /** Starts everything and waits until all entries are ready. */
  boost::asio::awaitable<void> Start();
  void StartEntry(EntryProcess& aEntry);
  /** Writes the VM list to the platform stand-in. */
  boost::asio::awaitable<void> PublishVms();
  /** Runs the operator's tool; @returns its exit status. */
  boost::asio::awaitable<int> RunTool(std::vector<std::string> aArguments);
  /** @returns the body parsed as JSON, or null. */
  boost::asio::awaitable<boost::json::value> Call(SocketAddress aAddress,
                                                  std::string aMethod,
                                                  std::string aTarget,
                                                  std::string aBody);

  std::vector<EntryProcess>& GetEntries() { return entries_; }
  std::vector<BackendProcess>& GetBackends() { return backends_; }
  const SocketAddress& GetPlatform() const { return platformAddress_; }

private:
  void StartBackend(const std::string& aId,
                    const std::string& aGroup,
                    const std::string& aZone);
  std::string GetProgram(const std::string& aName) const;
  std::string GetLog(const std::string& aName) const;
  boost::asio::awaitable<void> WaitUntilReady();

  boost::asio::any_io_executor executor_;
  std::string programs_;
  std::string scratch_;
  HttpClient client_;
  SocketAddress platformAddress_;
  ChildProcess platform_;
  std::vector<EntryProcess> entries_;
  std::vector<BackendProcess> backends_;
};

/** Suspends the coroutine for a while. */
boost::asio::awaitable<void>
Sleep(Duration aDuration);

} // namespace azurecross
