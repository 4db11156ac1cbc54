#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace azurecross {

/** The checked settings of one entry daemon. */
struct EntrySettings
{
  EntryId entryId_;
  AvailabilityZone availabilityZone_;
  SocketAddress listen_;
  SocketAddress operationsListen_;
  SocketAddress peerListen_;
  /** Where other entries reach this one's peer port. */
  SocketAddress peerAddress_;
  std::vector<SocketAddress> seedPeers_;
  std::vector<SocketAddress> store_;
  /** Not set: the VM list is not used. */
  std::vector<SocketAddress> vmList_;
  int workers_ = 1;
  /** Relative size of this VM, for the choice of home entries. */
  double weight_ = 1.0;
  double lesserFloor_ = 0.1;
  /** Whether lesser work stays under the busiest minute of the month. */
  bool isPaced_ = false;
  Duration minuteOffset_{};
  std::size_t queueLimit_ = 0;
  std::uint32_t headerLimitBytes_ = 0;
  std::size_t bodyLimitBytes_ = 0;
  Duration requestTimeout_{};
  Duration writeTimeout_{};
  Duration drainGrace_{};
  Duration drainTimeout_{};
  Duration loadPollInterval_{};
  Duration operationRetention_{};
  std::size_t operationMemoryBytes_ = 0;
  LogLevel logLevel_ = LogLevel::Info;
  /** Only check the settings and exit. */
  bool checkOnly_ = false;
  /** Accept the test controls on the operations port. */
  bool testControls_ = false;
};

/** @returns the settings, or what to print before exiting. */
std::variant<EntrySettings, SettingsExit>
ReadEntrySettings(int aCount, const char* const* aArguments);

} // namespace azurecross
