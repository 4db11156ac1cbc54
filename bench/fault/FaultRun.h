#pragma once

#include "checks/Figures.h"

#include <cstdint>
#include <string>

namespace azurecross {

struct FaultRunOptions
{
  std::string programs_;
  std::string scratch_;
  std::uint64_t seed_ = 1;
  double seconds_ = 20;
  int entries_ = 3;
  int streamCallers_ = 12;
  int operationCallers_ = 8;
  bool hasFaults_ = true;
};

/** Starts a deployment, loads and disturbs it, and counts broken promises. */
Figures
RunWithFaults(const FaultRunOptions& aOptions);

} // namespace azurecross
