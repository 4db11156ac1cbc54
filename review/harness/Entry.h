#pragma once

#include "Net.h"

#include <optional>

#include <sys/types.h>

namespace azurecross::harness {

/** A temporary folder that the destructor removes. */
class Folder
{
public:
  Folder();
  ~Folder();

  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& GetPath() const { return path_; }

private:
  std::string path_;
};

/** One process of the role `entry` of the deploy file. */
class Entry
{
public:
  Entry(std::string aName,
        const std::string& aIp,
        std::string aZone,
        const Endpoint& aStore,
        const std::string& aFolder,
        unsigned aMemoryMb);
  /** Kills the process if it is still running. */
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /** Starts the program. It ends with this process at the latest. */
  void Start();
  void Signal(int aSignal) const;
  /** Kills the process and waits for its end. */
  void Kill();
  bool WaitUntilReady(Milliseconds aTimeout) const;
  /** @returns whether the process still runs. */
  bool IsRunning();
  /** @returns the private memory of the process in kilobytes, without its
   * files; 0 if it does not run. */
  std::size_t ReadMemoryKb() const;

  const std::string& GetName() const { return name_; }
  const Endpoint& GetFront() const { return front_; }

private:
  std::string name_;
  std::string settingsPath_;
  std::string logPath_;
  Endpoint front_;
  Endpoint ready_;
  std::atomic<pid_t> process_ = -1;
};

} // namespace azurecross::harness
