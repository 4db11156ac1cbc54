#include "MatchFilter.h"

namespace azurecross {

std::optional<Error>
MatchFilter::Run(RequestContext& aContext) const
{
  RouteQuery query;
  query.method_ = aContext.request_.method_string();
  query.path_ = aContext.path_;
  query.customer_ = aContext.customer_.GetValue();
  if (aContext.generation_) {
    query.model_ = aContext.generation_->model_;
  }
  auto match = controller_.MatchRoute(query);
  if (!match) {
    return match.error();
  }
  if (!match->isModelKnown_) {
    return Error{ ErrorCode::ModelNotFound,
                  Verdict::NotRun,
                  "no route offers the model \"" + std::string(query.model_) +
                    "\"",
                  {} };
  }
  const bool isGeneration = match->kind_ == RequestKind::Generation;
  if (isGeneration != aContext.isCompletion_) {
    return Error{ ErrorCode::RouteNotFound,
                  Verdict::NotRun,
                  isGeneration ? "generations are asked for at /v1/completions "
                                 "and /v1/chat/completions"
                               : "the path belongs to a plain service",
                  {} };
  }
  aContext.route_ = std::move(*match);
  if (aContext.route_.deadline_ > Duration::zero()) {
    aContext.deadline_ = aContext.arrival_ + aContext.route_.deadline_;
  }
  return std::nullopt;
}

} // namespace azurecross
