#pragma once

#include "../controller/ControllerPort.h"
#include "RequestContext.h"

namespace azurecross {

/** Finds the route of a request and the deadline it sets. */
class MatchFilter
{
public:
  explicit MatchFilter(ControllerPort& aController)
    : controller_(aController)
  {
  }

  /** @returns why the request is refused, if it is. */
  std::optional<Error> Run(RequestContext& aContext) const;

private:
  ControllerPort& controller_;
};

} // namespace azurecross
