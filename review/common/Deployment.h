#pragma once

#include "Http.h"

#include <string>

namespace review {

/** Host of all routes of the tests. */
inline constexpr const char* kHost = "desk.example";
/** API key of the only customer, and its name. */
inline constexpr const char* kApiKey = "xd9dnn2ctnfzs989anu6";
inline constexpr const char* kCustomer = "huka270";

/** A route of the operator's configuration. */
struct RouteText
{
  std::string name_;
  std::string prefix_;
  std::string kind_;
  std::string service_;
  int timeoutMs_ = 0;
  int goalMs_ = 0;
  int attempts_ = 1;
};

std::string
FormatRoute(const RouteText& aRoute);

/** @returns the configuration with a plain service `desk` and a service
 * `model` of model engines.
 * @param aRoutes formatted routes, separated by commas. */
std::string
FormatConfiguration(unsigned aVersion, const std::string& aRoutes);

/** @returns a server's entry in the store. */
std::string
FormatRegistration(const std::string& aService,
                   const Endpoint& aAddress,
                   const std::string& aZone,
                   const std::string& aState,
                   unsigned aSlots);

/** @returns a request as consumers send it.
 * @param aHeaders further headers, each with its line end. */
std::string
FormatRequest(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aAttemptId,
              int aDeadlineMs,
              const std::string& aHeaders,
              const std::string& aBody);

/** @returns the headers of a server's own answer to this request. */
std::string
FormatSeal(const HttpMessage& aRequest);

} // namespace review
