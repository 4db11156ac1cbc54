#include "ReportFields.h"

#include <algorithm>
#include <cmath>

namespace azurecross {

namespace json = boost::json;

namespace {

/** A fingerprint that stays fatal keeps its first death for any time. Older
 * ages are sent as this one; a report with an older age is invalid. */
constexpr std::int64_t kMaxAgeMs = std::int64_t{ 24 } * 3600 * 1000;
constexpr std::size_t kServerLimitFieldCount = 3;

} // namespace

std::int64_t
FormatAge(Time aTime, Time aNow)
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aTime);
  return std::clamp<std::int64_t>(age.count(), 0, kMaxAgeMs);
}

std::optional<Time>
ParseAge(const json::value& aValue, Time aNow)
{
  const std::int64_t* age = aValue.if_int64();
  if (age == nullptr || *age < 0 || *age > kMaxAgeMs) {
    return std::nullopt;
  }
  return aNow - std::chrono::milliseconds(*age);
}

json::array
FormatServerLimit(const ServerLimit& aLimit, Time aNow)
{
  json::value rate;
  if (aLimit.requestsPerSecond_) {
    rate = *aLimit.requestsPerSecond_;
  }
  return json::array{ aLimit.server_.GetValue(),
                      std::move(rate),
                      FormatAge(aLimit.statedAt_, aNow) };
}

std::optional<ServerLimit>
ParseServerLimit(const json::value& aValue, Time aNow)
{
  const json::array* fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kServerLimitFieldCount ||
      !(*fields)[0].is_string()) {
    return std::nullopt;
  }
  const auto statedAt = ParseAge((*fields)[2], aNow);
  if (!statedAt) {
    return std::nullopt;
  }
  ServerLimit limit;
  limit.server_ = BackendServerId(std::string((*fields)[0].get_string()));
  limit.statedAt_ = *statedAt;
  if (!(*fields)[1].is_null()) {
    boost::system::error_code code;
    const double rate = (*fields)[1].to_number<double>(code);
    if (code || !std::isfinite(rate) || rate < 0.0) {
      return std::nullopt;
    }
    limit.requestsPerSecond_ = rate;
  }
  return limit;
}

json::array
FormatWarmUp(const WarmUp& aWarmUp, Time aNow)
{
  const std::int64_t remaining =
    std::chrono::ceil<std::chrono::milliseconds>(aWarmUp.until_ - aNow).count();
  return { aWarmUp.requestsPerSecond_, std::max<std::int64_t>(remaining, 0) };
}

std::optional<WarmUp>
ParseWarmUp(const json::value& aValue, Time aNow)
{
  constexpr std::size_t kFieldCount = 2;
  constexpr std::int64_t kMaxWarmUpMs = std::int64_t{ 3600 } * 1000;
  constexpr double kMinWarmUpRate = 0.01;
  const json::array* fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kFieldCount) {
    return std::nullopt;
  }
  boost::system::error_code code;
  const double rate =
    (*fields)[0].is_number() ? (*fields)[0].to_number<double>(code) : 0.0;
  const std::int64_t* remaining = (*fields)[1].if_int64();
  const bool isValid = !code && std::isfinite(rate) && rate >= kMinWarmUpRate &&
                       remaining != nullptr && *remaining >= 0 &&
                       *remaining <= kMaxWarmUpMs;
  if (!isValid) {
    return std::nullopt;
  }
  return WarmUp{ rate, aNow + std::chrono::milliseconds(*remaining) };
}

} // namespace azurecross
