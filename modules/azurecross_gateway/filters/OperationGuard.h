#pragma once

#include "../controller/ControllerPort.h"

#include <utility>

namespace azurecross {

/**
 * The right to run an operation. Its destructor finishes the operation, on
 * every path, once.
 */
class OperationGuard
{
public:
  OperationGuard(ControllerPort& aController, OperationAttempt aAttempt)
    : controller_(aController)
    , attempt_(std::move(aAttempt))
  {
    answer_.verdict_ = Verdict::NotRun;
  }

  ~OperationGuard()
  {
    controller_.FinishOperation(attempt_, std::move(answer_));
  }

  OperationGuard(const OperationGuard&) = delete;
  OperationGuard& operator=(const OperationGuard&) = delete;

  /** Notes that a byte of the request may have left. */
  void SetMayHaveRun() { answer_.verdict_ = Verdict::MayHaveRun; }

  /** Notes the answer. */
  void SetAnswer(OperationAnswer aAnswer) { answer_ = std::move(aAnswer); }

private:
  ControllerPort& controller_;
  OperationAttempt attempt_;
  OperationAnswer answer_;
};

} // namespace azurecross
