#include "EtcdFields.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace azurecross {

namespace {

namespace json = boost::json;

} // namespace

Error
MakeEtcdFormatError(std::string aMessage)
{
  return Error{ ErrorCode::StoreUnavailable,
                Verdict::MayHaveRun,
                "malformed store message: " + std::move(aMessage),
                {} };
}

const json::value*
EtcdFields::Find(std::string_view aName) const
{
  return object_.if_contains(json::string_view(aName.data(), aName.size()));
}

boost::leaf::error_id
EtcdFields::Fail(std::string_view aName, std::string_view aReason) const
{
  return MakeFailure(MakeEtcdFormatError(source_ + "." + std::string(aName) +
                                         " " + std::string(aReason)));
}

Result<std::int64_t>
EtcdFields::ReadInteger(std::string_view aName) const
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return 0;
  }
  if (value->is_int64()) {
    return value->get_int64();
  }
  if (!value->is_string()) {
    return Fail(aName, "is not a number");
  }
  const json::string& text = value->get_string();
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return Fail(aName, "is not a 64-bit number");
  }
  return number;
}

Result<bool>
EtcdFields::ReadFlag(std::string_view aName) const
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    return Fail(aName, "is not true or false");
  }
  return value->get_bool();
}

Result<std::string>
EtcdFields::ReadText(std::string_view aName) const
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return std::string();
  }
  if (!value->is_string()) {
    return Fail(aName, "is not a text");
  }
  return std::string(value->get_string().data(), value->get_string().size());
}

Result<std::string>
EtcdFields::ReadBytes(std::string_view aName) const
{
  BOOST_LEAF_AUTO(text, ReadText(aName));
  auto bytes = DecodeBase64(text);
  if (!bytes) {
    return MakeFailure(MakeEtcdFormatError("a value is not base64"));
  }
  return std::move(*bytes);
}

Result<const json::object*>
EtcdFields::ReadObject(std::string_view aName) const
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return static_cast<const json::object*>(nullptr);
  }
  if (!value->is_object()) {
    return Fail(aName, "is not an object");
  }
  return &value->get_object();
}

Result<std::vector<const json::object*>>
EtcdFields::ReadObjects(std::string_view aName) const
{
  std::vector<const json::object*> objects;
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return objects;
  }
  if (!value->is_array()) {
    return Fail(aName, "is not a list");
  }
  for (const json::value& entry : value->get_array()) {
    if (!entry.is_object()) {
      return Fail(aName, "has an entry that is not an object");
    }
    objects.push_back(&entry.get_object());
  }
  return objects;
}

Result<json::object>
ParseEtcdObject(std::string_view aText)
{
  json::error_code code;
  json::value value =
    json::parse(json::string_view(aText.data(), aText.size()), code);
  if (code) {
    return MakeFailure(MakeEtcdFormatError("not JSON: " + code.message()));
  }
  if (!value.is_object()) {
    return MakeFailure(MakeEtcdFormatError("not an object"));
  }
  return std::move(value.get_object());
}

json::object
EncodeKeyValue(const KeyValue& aKeyValue)
{
  json::object object;
  object["key"] = EncodeBase64(aKeyValue.key_);
  object["create_revision"] = std::to_string(aKeyValue.createRevision_);
  object["mod_revision"] = std::to_string(aKeyValue.modRevision_);
  object["value"] = EncodeBase64(aKeyValue.value_);
  if (aKeyValue.lease_ != 0) {
    object["lease"] = std::to_string(aKeyValue.lease_);
  }
  return object;
}

Result<KeyValue>
DecodeKeyValue(const json::object& aObject)
{
  const EtcdFields fields(aObject, "kv");
  KeyValue keyValue;
  BOOST_LEAF_ASSIGN(keyValue.key_, fields.ReadBytes("key"));
  BOOST_LEAF_ASSIGN(keyValue.value_, fields.ReadBytes("value"));
  BOOST_LEAF_ASSIGN(keyValue.modRevision_, fields.ReadInteger("mod_revision"));
  BOOST_LEAF_ASSIGN(keyValue.createRevision_,
                    fields.ReadInteger("create_revision"));
  BOOST_LEAF_ASSIGN(keyValue.lease_, fields.ReadInteger("lease"));
  return keyValue;
}

} // namespace azurecross
