#include "RunEvidence.h"

#include "ServerDeathProbe.h"

namespace azurecross {

RunEvidence::RunEvidence(ForwardServices& aServices,
                         const ForwardContext& aContext)
  : services_(aServices)
  , context_(aContext)
  , fingerprints_(aContext.MakeFingerprints())
{
}

void
RunEvidence::RecordAnswer()
{
  if (!isAnswered_) {
    isAnswered_ = true;
    services_.state_.RecordAnswered(fingerprints_, ReadMonotonicTime());
  }
}

void
RunEvidence::RecordEnd(bool aIsUnframed)
{
  if (aIsUnframed) {
    isEndUnproved_ = true;
  } else {
    RecordAnswer();
  }
}

void
RunEvidence::ExamineFailure(const AttemptResult& aResult,
                            const SocketAddress& aServer,
                            std::optional<Time> aBrokenAt)
{
  const bool isBroken = aResult.error_ &&
                        aResult.error_->verdict_ != Verdict::NotRun &&
                        aResult.error_->code_ != ErrorCode::Cancelled;
  const bool isUnproved = !aResult.error_ && isEndUnproved_;
  if ((isBroken || isUnproved) && !isAnswered_ &&
      services_.deathProbe_ != nullptr) {
    services_.deathProbe_->Examine({ context_.metadata_.attemptId_,
                                     context_.server_,
                                     aServer,
                                     fingerprints_,
                                     aBrokenAt.value_or(ReadMonotonicTime()),
                                     isUnproved });
  }
}

bool
RunEvidence::IsQuarantined() const
{
  return !isAnswered_ && services_.state_.GetQuarantine().FindQuarantined(
                           fingerprints_, ReadMonotonicTime());
}

} // namespace azurecross
