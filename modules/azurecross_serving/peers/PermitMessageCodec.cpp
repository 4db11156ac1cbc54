#include "PermitMessageCodec.h"

#include "ReportFields.h"

#include <boost/json.hpp>

namespace azurecross {

namespace json = boost::json;

namespace {

/** The first member of each message. */
constexpr std::string_view kPrefix = "{\"permit\":";
/** A longer wait is an invalid message. */
constexpr std::int64_t kMaxWaitMs = std::int64_t{ 3600 } * 1000;
/** A higher rank is invalid. */
constexpr std::int64_t kMaxRank = 1000;
/** More permits in one message are invalid. */
constexpr std::int64_t kMaxCount = 1000;

std::optional<std::string>
FindText(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string());
}

/** @returns the number, or nothing if it is missing or out of range. */
std::optional<std::int64_t>
FindNumber(const json::object& aObject,
           std::string_view aName,
           std::int64_t aMaximum)
{
  const json::value* value = aObject.if_contains(aName);
  const std::int64_t* number = value == nullptr ? nullptr : value->if_int64();
  if (number == nullptr || *number < 0 || *number > aMaximum) {
    return std::nullopt;
  }
  return *number;
}

} // namespace

bool
IsPermitMessage(std::string_view aText)
{
  return aText.starts_with(kPrefix);
}

std::string
FormatPermitMessage(const PermitMessage& aMessage, Time aNow)
{
  json::object object;
  object["permit"] = kPermitMessageKindNames.FindName(aMessage.kind_);
  object["sender"] = aMessage.sender_;
  object["id"] = static_cast<std::int64_t>(aMessage.id_);
  object["server"] = aMessage.server_.GetValue();
  object["zone"] = aMessage.serverZone_.GetValue();
  if (aMessage.limit_) {
    object["limit"] = FormatServerLimit(*aMessage.limit_, aNow);
  }
  if (aMessage.warmUp_) {
    object["cold"] = FormatWarmUp(*aMessage.warmUp_, aNow);
  }
  object["wait_ms"] =
    std::chrono::ceil<std::chrono::milliseconds>(aMessage.wait_).count();
  if (aMessage.rank_ != 0) {
    object["rank"] = aMessage.rank_;
  }
  object["granted"] = aMessage.isGranted_;
  object["count"] = aMessage.count_;
  return json::serialize(object);
}

std::optional<PermitMessage>
ParsePermitMessage(std::string_view aText, Time aNow)
{
  boost::system::error_code code;
  const json::value value = json::parse(aText, code);
  const json::object* object = code ? nullptr : value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto kindName = FindText(*object, "permit");
  const auto kind =
    kindName ? kPermitMessageKindNames.FindValue(*kindName) : std::nullopt;
  const auto sender = FindText(*object, "sender");
  const auto server = FindText(*object, "server");
  const auto zone = FindText(*object, "zone");
  const json::value* id = object->if_contains("id");
  const auto wait = FindNumber(*object, "wait_ms", kMaxWaitMs);
  const auto count = FindNumber(*object, "count", kMaxCount);
  const json::value* granted = object->if_contains("granted");
  if (!kind || !sender || !server || !zone || id == nullptr ||
      !id->is_int64() || !wait || !count || granted == nullptr ||
      !granted->is_bool()) {
    return std::nullopt;
  }
  PermitMessage message;
  message.kind_ = *kind;
  message.sender_ = *sender;
  message.id_ = static_cast<std::uint64_t>(id->get_int64());
  message.server_ = BackendServerId(*server);
  message.serverZone_ = AvailabilityZone(*zone);
  message.wait_ = std::chrono::milliseconds(*wait);
  message.isGranted_ = granted->get_bool();
  message.count_ = static_cast<std::uint32_t>(*count);
  if (const json::value* limit = object->if_contains("limit")) {
    message.limit_ = ParseServerLimit(*limit, aNow);
    if (!message.limit_) {
      return std::nullopt;
    }
  }
  if (object->contains("rank")) {
    const auto rank = FindNumber(*object, "rank", kMaxRank);
    if (!rank) {
      return std::nullopt;
    }
    message.rank_ = static_cast<int>(*rank);
  }
  if (const json::value* warmUp = object->if_contains("cold")) {
    message.warmUp_ = ParseWarmUp(*warmUp, aNow);
    if (!message.warmUp_) {
      return std::nullopt;
    }
  }
  return message;
}

} // namespace azurecross
