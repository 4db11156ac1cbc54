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

  ~OperationGuard() { Finish(); }

  OperationGuard(const OperationGuard&) = delete;
  OperationGuard& operator=(const OperationGuard&) = delete;

  /** Notes that a byte of the request may have left. */
  void SetMayHaveRun() { answer_.verdict_ = Verdict::MayHaveRun; }

  /**
   * Records the answer. It comes before the answer goes to the caller, so that
   * a repeat that the caller sends next finds the record.
   */
  void FinishWith(OperationAnswer aAnswer)
  {
    answer_ = std::move(aAnswer);
    Finish();
  }

private:
  void Finish()
  {
    if (!isFinished_) {
      isFinished_ = true;
      controller_.FinishOperation(attempt_, std::move(answer_));
    }
  }

  ControllerPort& controller_;
  OperationAttempt attempt_;
  OperationAnswer answer_;
  bool isFinished_ = false;
};

} // namespace azurecross
