#pragma once

#include "RequestContext.h"

namespace azurecross {

/**
 * Sets the request id, customer, path and, for completions, the parsed body
 * and the event to resume after.
 */
class IdentifyFilter
{
public:
  explicit IdentifyFilter(Random& aRandom)
    : random_(aRandom)
  {
  }

  /** @returns why the request is refused, if it is. */
  std::optional<Error> Run(RequestContext& aContext) const;

private:
  RequestId DrawRequestId() const;

  Random& random_;
};

} // namespace azurecross
