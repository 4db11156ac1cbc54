#pragma once

#include "ForwardContext.h"
#include "ForwardServices.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace azurecross {

/**
 * Finds the route, the pool and the customer of a request, or the reason to
 * reject it. A missing route or API key is final only while the tables are
 * known to be fresh. Otherwise the tables may be out of date, so the caller is
 * asked to retry.
 */
class Admission
{
public:
  Admission(ForwardServices& aServices, ForwardContext& aContext)
    : services_(aServices)
    , context_(aContext)
  {
  }

  /**
   * Fills the context with the route, pool, customer, priority and deadline.
   * @returns the reason to reject the request, if any.
   */
  boost::asio::awaitable<std::optional<Error>> Run();

private:
  /**
   * @returns whether the tables are recent enough to prove that a route or key
   * does not exist.
   */
  bool AreTablesRecent() const;
  /** Selects the route, with its deadline and priority, and draws one of its
   * pools by weight. */
  std::optional<Error> FindRoute();
  /** @returns whether the request needs an API key. */
  bool NeedsApiKey() const;
  /** Finds the customer of the API key; waits for fresh tables if necessary. */
  boost::asio::awaitable<std::optional<Error>> CheckApiKey();
  /** Rejects a request that a planned shutdown would cut off. */
  std::optional<Error> CheckShutdown() const;

  ForwardServices& services_;
  ForwardContext& context_;
};

} // namespace azurecross
