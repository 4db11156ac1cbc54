#pragma once

#include "../controller/ControllerPort.h"

#include <azurecross_core/azurecross_core.h>

#include <utility>

namespace azurecross {

/** A granted slot; its destructor releases it, on every path, once. */
class Slot
{
public:
  Slot(ControllerPort& aController, Assignment aAssignment)
    : controller_(aController)
    , assignment_(std::move(aAssignment))
    , grantedAt_(ReadMonotonicTime())
  {
  }

  ~Slot()
  {
    outcome_.useTime_ = ReadMonotonicTime() - grantedAt_;
    controller_.Release(assignment_.grant_, outcome_);
  }

  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  const Assignment& GetAssignment() const { return assignment_; }

  /** Notes how the use ended, for the release. */
  void SetResult(ReleaseResult aResult, Verdict aVerdict)
  {
    outcome_.result_ = aResult;
    outcome_.verdict_ = aVerdict;
  }

  void SetTokens(std::uint64_t aTokens) { outcome_.outputTokens_ = aTokens; }

  /** Notes the first token, or the head of the answer. */
  void SetFirstToken(Time aNow)
  {
    outcome_.firstTokenTime_ = aNow - grantedAt_;
  }

  void ReportProgress(std::uint64_t aTokens)
  {
    controller_.ReportProgress(assignment_.grant_, aTokens);
  }

private:
  ControllerPort& controller_;
  Assignment assignment_;
  Time grantedAt_;
  ReleaseOutcome outcome_;
};

} // namespace azurecross
