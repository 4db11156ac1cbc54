#pragma once

#include "Sockets.h"

#include <fstream>
#include <mutex>
#include <string>

#include <sys/types.h>

namespace review {

/** Writes the events of a test, with the time since its start. */
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Write(const std::string& aText);

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

/** The settings of one entry daemon that differ between tests. */
struct DaemonSettings
{
  std::string name_;
  std::string ip_;
  std::string zone_;
  Endpoint store_;
  unsigned memoryMb_ = 110;
};

/** One process of the role `entry` of the deploy file. */
class Daemon
{
public:
  /** @param aFolder the folder for the settings file and the log. */
  Daemon(const DaemonSettings& aSettings, const std::string& aFolder);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  /** @returns whether the daemon says that it is ready before the timeout. */
  bool AwaitReady(Milliseconds aTimeout) const;
  void Signal(int aSignal) const;
  /** Ends the process and waits for its end. */
  void Kill();
  /** @returns whether the process has ended by itself. */
  bool HasEnded();

  /** @returns the resident memory, or 0 if the process has ended. */
  std::size_t GetResidentKb() const;

  const Endpoint& GetFront() const { return front_; }
  pid_t GetProcess() const { return process_; }

private:
  void WriteSettings() const;

  DaemonSettings settings_;
  std::string folder_;
  Endpoint front_;
  Endpoint ready_;
  std::uint16_t peerPort_ = 0;
  pid_t process_ = -1;
};

/** @returns a loopback address that other runs are unlikely to use. Each daemon
 * needs one of its own, because the port of its metrics is fixed. */
std::string
MakeLoopbackIp(unsigned aNumber);

/** @returns whether the test is to cause its disruption (TROUBLE is not 0). */
bool
IsTroubled();

/** A test: writes what happens to the record, and its files to the folder.
 * @returns 1 if the rule was broken, 0 if it held, 2 if the test couldn't run.
 */
using TestFunction = int (*)(Record& aRecord, const std::string& aFolder);

/** Runs a test. The arguments of the program are the file of the record and an
 * empty folder. @returns the exit code. */
int
RunTest(int aArgumentCount, char** aArguments, TestFunction aTest);

} // namespace review
