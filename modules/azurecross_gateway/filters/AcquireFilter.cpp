#include "AcquireFilter.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;

asio::awaitable<AsyncResult<Assignment>>
AcquireFilter::Run(RequestContext& aContext,
                   const std::vector<BackendServerId>& aExcluded) const
{
  Error failure{ ErrorCode::Cancelled, Verdict::NotRun, "the caller left", {} };
  asio::cancellation_signal signal;
  aContext.cancel_ = [&signal] {
    signal.emit(asio::cancellation_type::terminal);
  };
  const ScopeGuard forget([&aContext] { aContext.cancel_ = nullptr; });
  auto wait = services_.controller_.Acquire(BuildRequest(aContext, aExcluded));
  try {
    auto assignment = co_await asio::co_spawn(
      services_.executor_,
      std::move(wait),
      asio::bind_cancellation_slot(signal.slot(), asio::use_awaitable));
    co_return assignment;
  } catch (const std::exception& exception) {
    if (!aContext.callerHasLeft_) {
      failure.code_ = ErrorCode::Internal;
      failure.message_ = exception.what();
    }
  }
  co_return failure;
}

DispatchRequest
AcquireFilter::BuildRequest(const RequestContext& aContext,
                            const std::vector<BackendServerId>& aExcluded)
{
  DispatchRequest request;
  request.requestId_ = aContext.requestId_;
  request.customer_ = aContext.customer_;
  request.route_ = RouteName(std::string(aContext.route_.route_));
  request.pool_ = PoolName(std::string(aContext.route_.pool_));
  request.kind_ = aContext.route_.kind_;
  request.rank_ = aContext.route_.rank_;
  request.arrival_ = aContext.arrival_;
  request.deadline_ = aContext.deadline_;
  request.excluded_ = aExcluded;
  if (aContext.generation_) {
    request.model_ = ModelName(aContext.generation_->model_);
    request.promptTokens_ = aContext.generation_->promptTokens_;
    request.outputLimit_ = aContext.generation_->outputLimit_;
    request.prefixHashes_ = aContext.generation_->prefixHashes_;
  }
  return request;
}

} // namespace azurecross
