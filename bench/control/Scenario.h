#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace azurecross {

/** The load of one run: a zone around the measured entry. */
struct Scenario
{
  std::string name_;
  /** Peers of the entry's zone, played by the feeder process. */
  int peers_ = 47;
  /** Backend servers of the zone, in groups of 64. */
  int replicas_ = 590;
  /** Table changes in a second; 38,000 a day are 0.44. */
  double tableChanges_ = 0.44;
  /** Grants in a second that the entry asks its peers for. */
  double grantsAsked_ = 0.0;
  /** Grants in a second that the entry gives as home entry. */
  double grantsServed_ = 0.0;
  /** Counts bytes by kind of message, which costs processor time itself. */
  bool countsKinds_ = false;
  std::chrono::milliseconds warmUp_{};
  std::chrono::milliseconds duration_{};
};

/** Replicas of one arbitration group. */
inline constexpr int kGroupReplicas = 64;

/** Pools of a zone, one for each model. */
inline constexpr int kPools = 8;

/** Other availability zones, and their entries. */
inline constexpr int kOtherZones = 16;
inline constexpr int kOtherZoneEntries = 47;

/**
 * Seconds that a generation runs: 27 M tokens/s over 70,000 requests/s are 386
 * tokens each, at about 30 ms.
 */
inline constexpr double kGenerationSeconds = 12.0;

/** Interval of `GrantProgress`. */
inline constexpr std::chrono::milliseconds kProgressInterval{ 250 };

inline int
CountGroups(const Scenario& aScenario)
{
  return (aScenario.replicas_ + kGroupReplicas - 1) / kGroupReplicas;
}

/** One more than the highest field number of a `PeerMessage` body. */
inline constexpr std::size_t kMessageKinds = 32;

/** What one run used. */
struct Measurement
{
  double cpuPercent_ = 0.0;
  double bytesPerSecond_ = 0.0;
  double messagesPerSecond_ = 0.0;
  double residentMegabytes_ = 0.0;
  /** Members of the own zone that the entry saw at the end. */
  std::uint64_t members_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t grants_ = 0;
  /** Sent and received, by the field number of the body. */
  std::array<double, kMessageKinds> bytesByKind_{};
};

} // namespace azurecross
