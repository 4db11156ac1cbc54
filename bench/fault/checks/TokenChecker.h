#pragma once

#include "Figures.h"
#include "Records.h"

#include <string>
#include <string_view>

namespace azurecross {

/** Splits a stream into events and checks the tokens in them. */
class TokenChecker
{
public:
  TokenChecker(Figures& aFigures, StreamRecord& aRecord);

  /** Drops the rest of a connection that ended in the middle of an event. */
  void StartConnection() { rest_.clear(); }

  void Take(std::string_view aPart);

  /** Counts what a complete stream lacks. */
  void CheckEnd();

  const std::string& GetLastEventId() const { return lastEventId_; }
  bool IsDone() const { return isDone_; }

private:
  void TakeEvent(const std::string& aEvent);
  void TakeToken(const std::string& aText);

  Figures& figures_;
  StreamRecord& record_;
  std::string rest_;
  std::string lastEventId_;
  bool isDone_ = false;
};

} // namespace azurecross
