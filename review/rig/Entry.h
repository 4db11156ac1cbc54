#pragma once

#include "Record.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace rig {

/** A temporary folder; the destructor removes it. */
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

/** One process of the role `entry`, started with the command of the deploy
 * file, with the settings of a small installation. */
class Entry
{
public:
  /** @param aNumber of the entry, from 1 on; the address follows from it. */
  Entry(unsigned aNumber,
        const std::string& aZone,
        const Endpoint& aStore,
        const Folder& aFolder,
        Record& aRecord);
  ~Entry() { Kill(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  const std::string& GetName() const { return name_; }
  const Endpoint& GetFront() const { return front_; }
  bool IsReady() const;
  bool WaitUntilReady(Milliseconds aTimeout) const;
  void Start();
  void Kill();

private:
  std::string name_;
  std::string settingsPath_;
  std::string logPath_;
  Endpoint front_;
  Endpoint ready_;
  Record& record_;
  pid_t process_ = -1;
};

/** @returns a loopback address that no other process of a case uses. */
std::string
MakeHost(unsigned aGroup, unsigned aNumber);

/** The routes `check` (idempotent) and `book` (non_idempotent) of the service
 * `desk`.
 * @param aTenants the list of tenants as JSON; empty: the configuration has no
 * such field. */
std::string
FormatConfiguration(unsigned aVersion, const std::string& aTenants = {});

/** @returns whether the case runs with its disruption. */
bool
IsTroubled();

} // namespace rig
