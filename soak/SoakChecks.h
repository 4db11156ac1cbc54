#pragma once

#include "Callers.h"

#include <platform/tests/process/BackendStandins.h>

#include <map>
#include <string>
#include <vector>

namespace azurecross::soak {

/** The promises that a soak checks. */
enum class Promise
{
  /** Processes end only when they are told to. */
  StaysUp,
  /** A process that is told to stop is gone within the grace period. */
  StopsInTime,
  /** A request that is not idempotent runs at most once. */
  RunsOnce,
  /** A request that was refused as not run has not run. */
  RefusesTruthfully,
  /** A success is the whole answer to this request. */
  AnswersRight,
  /** A proper request is not rejected as invalid or unknown. */
  AcceptsProperRequests,
  /** A request gets an answer, also around planned work. */
  AnswersEach,
  /** An answer or a failure comes by the deadline. */
  AnswersInTime,
  /** Of each kind of request, a share is served by entries that aren't being
   * stopped. */
  Serves,
  /** A server that leaves gets no requests after a few seconds. */
  SparesLeavingServers,
  /** The servers of an evacuated zone get no requests after a few seconds. */
  SparesEvacuatedZones,
  /** Requests run with keys only that a configuration has, and had some seconds
   * before. */
  ChecksKeys,
};

inline constexpr NameTable<Promise, 12> kPromiseNames{
  { { { Promise::StaysUp, "stays_up" },
      { Promise::StopsInTime, "stops_in_time" },
      { Promise::RunsOnce, "runs_once" },
      { Promise::RefusesTruthfully, "refuses_truthfully" },
      { Promise::AnswersRight, "answers_right" },
      { Promise::AcceptsProperRequests, "accepts_proper_requests" },
      { Promise::AnswersEach, "answers_each" },
      { Promise::AnswersInTime, "answers_in_time" },
      { Promise::Serves, "serves" },
      { Promise::SparesLeavingServers, "spares_leaving_servers" },
      { Promise::SparesEvacuatedZones, "spares_evacuated_zones" },
      { Promise::ChecksKeys, "checks_keys" } } }
};

struct Violation
{
  Promise promise_;
  std::string detail_;
};

/** The time in which the link to a server was disturbed, in which there were no
 * customers, or in which a zone, named instead of the server, was evacuated. */
struct DisturbedTime
{
  std::string server_;
  Clock::time_point begin_;
  Clock::time_point end_;
};

/** What a soak observed. */
struct Observations
{
  std::vector<CallRecord> calls_;
  const platform::RunLedger* ledger_ = nullptr;
  /** The history of each entry, and the ends that nothing explains. */
  std::vector<std::vector<TimedEvent>> histories_;
  std::vector<std::string> unexpectedEnds_;
  /** When the links to backend servers were disturbed. */
  std::vector<DisturbedTime> serverFaults_;
  /** When the configuration had no customers; one after the other. */
  std::vector<DisturbedTime> customerGaps_;
  /** When zones were evacuated. */
  std::vector<DisturbedTime> evacuations_;
  std::map<std::string, std::string> serverZones_;
  /** When the store accepted that a server leaves. */
  std::map<std::string, Clock::time_point> leavingServers_;
  review::Milliseconds gracePeriod_{ 8000 };
};

/** @returns all broken promises. */
std::vector<Violation>
FindViolations(const Observations& aObservations);

} // namespace azurecross::soak
