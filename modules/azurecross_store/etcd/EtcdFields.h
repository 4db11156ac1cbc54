#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_http/azurecross_http.h>
#include <azurecross_tables/azurecross_tables.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * Reads the fields of etcd's JSON gateway, which writes 64-bit numbers as
 * texts, bytes as base64 and leaves out fields with zero values. A field of
 * the wrong type is an error.
 */
class EtcdFields
{
public:
  EtcdFields(const boost::json::object& aObject, std::string aSource)
    : object_(aObject)
    , source_(std::move(aSource))
  {
  }

  /** Reads a number given as text or number; 0 if absent. */
  Result<std::int64_t> ReadInteger(std::string_view aName) const;
  Result<bool> ReadFlag(std::string_view aName) const;
  Result<std::string> ReadText(std::string_view aName) const;
  Result<std::string> ReadBytes(std::string_view aName) const;
  /** @returns the object, or null if absent. */
  Result<const boost::json::object*> ReadObject(std::string_view aName) const;
  /** @returns the objects of a list; none if absent. */
  Result<std::vector<const boost::json::object*>> ReadObjects(
    std::string_view aName) const;

private:
  const boost::json::value* Find(std::string_view aName) const;
  boost::leaf::error_id Fail(std::string_view aName,
                             std::string_view aReason) const;

  const boost::json::object& object_;
  std::string source_;
};

/** Parses a text that must be one JSON object. */
Result<boost::json::object>
ParseEtcdObject(std::string_view aText);

boost::json::object
EncodeKeyValue(const KeyValue& aKeyValue);

Result<KeyValue>
DecodeKeyValue(const boost::json::object& aObject);

/** @returns the error that a malformed message of the store stands for. */
Error
MakeEtcdFormatError(std::string aMessage);

} // namespace azurecross
