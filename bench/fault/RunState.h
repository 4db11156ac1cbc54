#pragma once

#include "Deployment.h"
#include "checks/Figures.h"
#include "checks/Records.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** Shared by the coroutines of one run, which share one thread. */
struct RunState
{
  explicit RunState(Deployment& aDeployment, std::uint64_t aSeed)
    : deployment_(aDeployment)
    , random_(aSeed)
  {
  }

  EntryProcess& DrawEntry()
  {
    auto& entries = deployment_.GetEntries();
    return entries[random_.DrawBelow(entries.size())];
  }

  bool IsOver() const { return ReadMonotonicTime() >= endsAt_; }

  Deployment& deployment_;
  Random random_;
  Figures figures_;
  Time endsAt_;
  /** Coroutines that still run. */
  int active_ = 0;
  std::uint64_t nextName_ = 1;
  std::vector<StreamRecord> streams_;
  std::vector<OperationRecord> operations_;
  /** The newest accepted edit. */
  std::int64_t acceptedRevision_ = 0;
  bool isStoreDisturbed_ = false;
};

/** Notes a connection lost to an entry in a planned stop. */
void
NoteLostConnection(RunState& aState,
                   const EntryProcess& aEntry,
                   int aStarts,
                   const Error& aError,
                   const std::string& aRequest);

/** @returns the verdict header of a refusal, or an empty text. */
std::string
ReadVerdict(const HttpResponse& aResponse);

} // namespace azurecross
