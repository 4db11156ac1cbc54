#pragma once

#include "NameTable.h"

namespace azurecross {

/**
 * Says whether a backend server may have run a request.
 *
 * Every failure carries one. `NotRun` is a promise to the caller, who may
 * repeat the request; when in doubt the verdict is `MayHaveRun`.
 */
enum class Verdict
{
  NotRun,
  MayHaveRun,
  Ran,
};

inline constexpr NameTable<Verdict, 3> kVerdictNames{
  { { { Verdict::NotRun, "not_run" },
      { Verdict::MayHaveRun, "may_have_run" },
      { Verdict::Ran, "ran" } } }
};

} // namespace azurecross
