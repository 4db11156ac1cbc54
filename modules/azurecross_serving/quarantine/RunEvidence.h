#pragma once

#include "../forward/AttemptResult.h"
#include "../forward/ForwardContext.h"
#include "../forward/ForwardServices.h"

#include <optional>
#include <vector>

namespace azurecross {

/**
 * Tells the quarantine how one run of a request ended: answered, or broken off
 * by a server that is then examined.
 *
 * @see RequestQuarantine, ServerDeathProbe
 */
class RunEvidence
{
public:
  RunEvidence(ForwardServices& aServices, const ForwardContext& aContext);

  /** Records once that the server answers the request. */
  void RecordAnswer();
  /** Records that the answer has ended. Without framing, the end of a server
   * looks the same, so it proves nothing. */
  void RecordEnd(bool aIsUnframed);
  /** Has the server examined if it broke the connection without an answer, or
   * may have done so.
   * @param aBrokenAt when the connection broke, if that was before now. */
  void ExamineFailure(const AttemptResult& aResult,
                      const SocketAddress& aServer,
                      std::optional<Time> aBrokenAt = std::nullopt);

  /** @returns whether the request must not be sent again now. */
  bool IsQuarantined() const;

private:
  ForwardServices& services_;
  const ForwardContext& context_;
  std::vector<Fingerprint> fingerprints_;
  bool isAnswered_ = false;
  /** The answer was short and ended with its connection. */
  bool isEndUnproved_ = false;
};

} // namespace azurecross
