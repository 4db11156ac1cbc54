#include "FieldReader.h"

#include <boost/json/value.hpp>

namespace azurecross {

namespace json = boost::json;

FieldReader::FieldReader(const json::object& aObject,
                         std::string aRow,
                         TableProblems& aProblems)
  : object_(aObject)
  , row_(std::move(aRow))
  , problems_(aProblems)
{
}

const json::value*
FieldReader::Find(std::string_view aName)
{
  known_.emplace(aName);
  return object_.if_contains(json::string_view(aName.data(), aName.size()));
}

void
FieldReader::AddProblem(std::string_view aName, const std::string& aReason)
{
  problems_.push_back(
    { row_, "field '" + std::string(aName) + "': " + aReason });
}

std::string
FieldReader::ReadText(std::string_view aName, std::string_view aDefault)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return std::string(aDefault);
  }
  if (!value->is_string()) {
    AddProblem(aName, "must be a text");
    return std::string(aDefault);
  }
  return std::string(value->get_string().c_str(), value->get_string().size());
}

std::string
FieldReader::ReadRequiredText(std::string_view aName)
{
  if (Find(aName) == nullptr) {
    AddProblem(aName, "is required");
    return {};
  }
  return ReadText(aName, "");
}

bool
FieldReader::ReadFlag(std::string_view aName, bool aDefault)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    AddProblem(aName, "must be true or false");
    return aDefault;
  }
  return value->get_bool();
}

std::int64_t
FieldReader::ReadInteger(std::string_view aName,
                         std::int64_t aDefault,
                         std::int64_t aLeast,
                         std::int64_t aMost)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  // The parser stores a positive number as unsigned only if it does not fit
  // into 64 bits with a sign.
  if (!value->is_int64() || value->get_int64() < aLeast ||
      value->get_int64() > aMost) {
    AddProblem(aName,
               "must be a whole number from " + std::to_string(aLeast) +
                 " to " + std::to_string(aMost));
    return aDefault;
  }
  return value->get_int64();
}

SocketAddress
FieldReader::ReadAddress(std::string_view aName)
{
  const std::string text = ReadRequiredText(aName);
  const auto address = ParseSocketAddress(text);
  if (!address) {
    AddProblem(aName,
               "'" + text +
                 "' must be an IP address and port, such as 10.0.0.1:80");
  }
  return address.value_or(SocketAddress{});
}

std::vector<std::string>
FieldReader::ReadTexts(std::string_view aName)
{
  const json::value* value = Find(aName);
  std::vector<std::string> texts;
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    AddProblem(aName, "must be a list of texts");
    return texts;
  }
  for (const json::value& entry : value->get_array()) {
    if (!entry.is_string()) {
      AddProblem(aName, "must be a list of texts");
      return texts;
    }
    texts.emplace_back(entry.get_string().c_str(), entry.get_string().size());
  }
  return texts;
}

std::map<std::string, std::string>
FieldReader::ReadTextMap(std::string_view aName)
{
  const json::value* value = Find(aName);
  std::map<std::string, std::string> texts;
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_object()) {
    AddProblem(aName, "must be an object of texts");
    return texts;
  }
  for (const auto& entry : value->get_object()) {
    if (!entry.value().is_string()) {
      AddProblem(aName, "must be an object of texts");
      return texts;
    }
    const json::string& text = entry.value().get_string();
    texts.emplace(std::string(entry.key().data(), entry.key().size()),
                  std::string(text.c_str(), text.size()));
  }
  return texts;
}

std::vector<const json::object*>
FieldReader::ReadObjects(std::string_view aName)
{
  const json::value* value = Find(aName);
  std::vector<const json::object*> objects;
  if (value == nullptr) {
    return objects;
  }
  if (!value->is_array()) {
    AddProblem(aName, "must be a list of objects");
    return objects;
  }
  for (const json::value& entry : value->get_array()) {
    if (!entry.is_object()) {
      AddProblem(aName, "must be a list of objects");
      return objects;
    }
    objects.push_back(&entry.get_object());
  }
  return objects;
}

void
FieldReader::Finish()
{
  for (const auto& entry : object_) {
    const std::string_view key(entry.key().data(), entry.key().size());
    if (!known_.contains(key)) {
      AddProblem(key, "is unknown");
    }
  }
}

} // namespace azurecross
