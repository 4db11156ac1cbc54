#pragma once

#include "ForwardContext.h"
#include "ForwardServices.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace azurecross {

/**
 * Finds the route, the pool and the customer of a request, or the reason to
 * refuse it. A refusal for an unknown route or key is given only while the
 * tables are known to be fresh; otherwise the request may be right and the
 * tables old, so the caller is told to come back.
 */
class Admission
{
public:
  Admission(ForwardServices& aServices, ForwardContext& aContext)
    : services_(aServices)
    , context_(aContext)
  {
  }

  boost::asio::awaitable<std::optional<Error>> Run();

private:
  /** @returns whether the tables were read within the bound for changes. */
  bool AreTablesRecent() const;
  std::optional<Error> FindRoute();
  boost::asio::awaitable<std::optional<Error>> CheckKey();
  std::optional<Error> CheckStop() const;

  ForwardServices& services_;
  ForwardContext& context_;
};

} // namespace azurecross
