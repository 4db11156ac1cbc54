#pragma once

#include "TableProblem.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/**
 * Reads the fields of one JSON object strictly: a field with the wrong type, a
 * value out of range and a field that nobody asked for become problems.
 *
 * Call one `Read...` per field, then `Finish`.
 */
class FieldReader
{
public:
  FieldReader(const boost::json::object& aObject,
              std::string aRow,
              TableProblems& aProblems);

  std::string ReadText(std::string_view aName, std::string_view aDefault);
  std::string ReadRequiredText(std::string_view aName);
  bool ReadFlag(std::string_view aName, bool aDefault);
  std::int64_t ReadInteger(std::string_view aName,
                           std::int64_t aDefault,
                           std::int64_t aLeast,
                           std::int64_t aMost);
  /** Reads an address such as `10.0.0.1:80`. */
  SocketAddress ReadAddress(std::string_view aName);
  std::vector<std::string> ReadTexts(std::string_view aName);
  /** Reads an object whose values are texts. */
  std::map<std::string, std::string> ReadTextMap(std::string_view aName);
  /** Reads a list of objects; an entry of another type is a problem. */
  std::vector<const boost::json::object*> ReadObjects(std::string_view aName);

  template<typename Enum, std::size_t Count>
  Enum ReadChoice(std::string_view aName,
                  const NameTable<Enum, Count>& aNames,
                  Enum aDefault)
  {
    const std::string text = ReadText(aName, aNames.FindName(aDefault));
    const auto value = aNames.FindValue(text);
    if (!value) {
      AddProblem(
        aName, "'" + text + "' is not allowed; allowed: " + aNames.JoinNames());
    }
    return value.value_or(aDefault);
  }

  /** Reports the fields that were not read. */
  void Finish();

  void AddProblem(std::string_view aName, const std::string& aReason);

private:
  const boost::json::value* Find(std::string_view aName);

  const boost::json::object& object_;
  std::string row_;
  TableProblems& problems_;
  std::set<std::string, std::less<>> known_;
};

} // namespace azurecross
