#include "Route.h"

#include <algorithm>
#include <array>

namespace azurecross {

namespace {

constexpr std::array<std::string_view, 5> kIdempotentMethods{ "GET",
                                                              "HEAD",
                                                              "OPTIONS",
                                                              "PUT",
                                                              "DELETE" };

} // namespace

bool
IsIdempotentMethod(std::string_view aMethod)
{
  return std::find(kIdempotentMethods.begin(),
                   kIdempotentMethods.end(),
                   aMethod) != kIdempotentMethods.end();
}

bool
IsIdempotent(const Route& aRoute, std::string_view aMethod)
{
  if (aRoute.idempotent_ == Idempotency::ByMethod) {
    return IsIdempotentMethod(aMethod);
  }
  return aRoute.idempotent_ == Idempotency::Always;
}

} // namespace azurecross
