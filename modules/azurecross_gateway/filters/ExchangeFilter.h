#pragma once

#include "../backend/BackendAdapter.h"
#include "../backend/Slot.h"
#include "../events/GenerationChecker.h"
#include "AnswerWriter.h"
#include "OperationGuard.h"
#include "RequestContext.h"
#include "WorkerServices.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace azurecross {

/** How one attempt ended. */
struct AttemptOutcome
{
  /** Whether the caller has an answer, or a part of one. */
  bool isAnswered_ = false;
  std::optional<Error> error_;
};

/**
 * Puts a request to one backend server and relays the answer. Nothing is sent
 * to the caller until the answer is known to belong to the request, so that
 * a failed attempt can be followed by another.
 */
class ExchangeFilter
{
public:
  ExchangeFilter(WorkerServices& aServices,
                 RequestContext& aContext,
                 AnswerWriter& aWriter,
                 RunningRequests::Registration& aRegistration);

  /** Makes one attempt with a slot; sets the slot's outcome. */
  boost::asio::awaitable<AttemptOutcome> Run(Slot& aSlot,
                                             OperationGuard* aOperation);

  /** Resumes the generation that the caller names at this address. */
  boost::asio::awaitable<AttemptOutcome> Resume(SocketAddress aAddress);

private:
  using Connection = std::unique_ptr<BackendConnection>;

  boost::asio::awaitable<std::optional<Error>> SendAndReadHead(
    Connection& aConnection,
    SocketAddress aAddress,
    const OutgoingRequest& aRequest,
    bool aMayReuse);
  boost::asio::awaitable<std::optional<Error>> SendOnce(
    BackendConnection& aConnection,
    const OutgoingRequest& aRequest);
  boost::asio::awaitable<AttemptOutcome> PassOnAnswer(
    BackendConnection& aConnection,
    Slot& aSlot,
    OperationGuard* aOperation);
  boost::asio::awaitable<AttemptOutcome> PassOnStream(
    BackendConnection& aConnection,
    Slot* aSlot,
    const BackendServerId& aBackendServer,
    GenerationChecker aChecker);
  std::optional<Error> CheckHead(const BackendConnection::Head& aHead) const;
  void WatchCaller(BackendConnection& aConnection);
  bool IsRepeatable() const;
  Time FindHeadDeadline() const;

  WorkerServices& services_;
  RequestContext& context_;
  AnswerWriter& writer_;
  RunningRequests::Registration& registration_;
};

} // namespace azurecross
