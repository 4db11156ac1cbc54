#include "RowChecks.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string_view>

namespace azurecross {

namespace {

const char* const kRowNameForm =
  "must be 1 to 128 letters, digits, '.', '_' or '-' and begin with a letter "
  "or digit";

bool
IsAlphanumeric(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0;
}

/** Row names become parts of store keys, so a slash is not allowed. */
bool
IsRowName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMostNameBytes &&
         IsAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return IsAlphanumeric(aCharacter) || aCharacter == '.' ||
                  aCharacter == '_' || aCharacter == '-';
         });
}

/** Names that come from callers may hold any printable ASCII. */
bool
IsPrintableName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMostNameBytes &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter < '\x7f';
         });
}

const std::string&
GetText(const std::string& aName)
{
  return aName;
}

template<typename Tag>
const std::string&
GetText(const StrongId<Tag, std::string>& aName)
{
  return aName.GetValue();
}

/** Collects the problems of one row. */
class RowChecker
{
public:
  RowChecker(const std::string& aRow, TableProblems& aProblems)
    : row_(aRow)
    , problems_(aProblems)
  {
  }

  void Require(bool aCondition, const char* aField, const std::string& aReason)
  {
    if (!aCondition) {
      problems_.push_back(
        { row_, "field '" + std::string(aField) + "': " + aReason });
    }
  }

  template<typename Name>
  void RequireNames(const std::vector<Name>& aNames, const char* aField)
  {
    std::set<std::string> seen;
    Require(aNames.size() <= kMostListEntries,
            aField,
            "has more than " + std::to_string(kMostListEntries) + " entries");
    for (const Name& name : aNames) {
      const std::string& text = GetText(name);
      Require(IsPrintableName(text),
              aField,
              "'" + text +
                "' must be 1 to 128 printable characters without spaces");
      Require(seen.insert(text).second,
              aField,
              "'" + text + "' occurs more than once");
    }
  }

private:
  const std::string& row_;
  TableProblems& problems_;
};

bool
IsPathPrefix(const std::string& aPrefix)
{
  return !aPrefix.empty() && aPrefix.front() == '/' &&
         aPrefix.size() <= kMostPathPrefixBytes &&
         std::all_of(aPrefix.begin(), aPrefix.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter < '\x7f' &&
                  aCharacter != '?' && aCharacter != '#';
         });
}

bool
IsMethod(const std::string& aMethod)
{
  return !aMethod.empty() &&
         std::all_of(aMethod.begin(), aMethod.end(), [](char aCharacter) {
           return aCharacter >= 'A' && aCharacter <= 'Z';
         });
}

void
CheckBackendServers(const Pool& aPool, RowChecker& aChecker)
{
  std::set<BackendServerId> ids;
  for (const StaticBackendServer& server : aPool.backendServers_) {
    const std::string& id = server.id_.GetValue();
    aChecker.Require(IsPrintableName(id),
                     "backend_servers",
                     "id '" + id + "' must be 1 to 128 printable characters");
    aChecker.Require(ids.insert(server.id_).second,
                     "backend_servers",
                     "id '" + id + "' occurs more than once");
    aChecker.Require(IsPrintableName(server.availabilityZone_.GetValue()),
                     "backend_servers",
                     "availability_zone of '" + id +
                       "' must be 1 to 128 printable characters");
  }
}

} // namespace

void
CheckRoute(const Route& aRoute,
           const std::string& aRow,
           TableProblems& aProblems)
{
  RowChecker checker(aRow, aProblems);
  checker.Require(IsRowName(aRoute.name_.GetValue()), "name", kRowNameForm);
  checker.Require(IsRowName(aRoute.pool_.GetValue()), "pool", kRowNameForm);
  checker.Require(IsPathPrefix(aRoute.pathPrefix_),
                  "path_prefix",
                  "must begin with '/', have at most 1024 characters and "
                  "contain no space, '?' or '#'");
  for (const std::string& method : aRoute.methods_) {
    checker.Require(IsMethod(method),
                    "methods",
                    "'" + method + "' must be capital letters, such as POST");
  }
  checker.RequireNames(aRoute.methods_, "methods");
  checker.RequireNames(aRoute.models_, "models");
  checker.RequireNames(aRoute.customers_, "customers");
  const std::size_t pairs = std::max<std::size_t>(aRoute.models_.size(), 1) *
                            std::max<std::size_t>(aRoute.customers_.size(), 1);
  checker.Require(pairs <= kMostMatchPairs,
                  "customers",
                  "models times customers must be at most " +
                    std::to_string(kMostMatchPairs));
  checker.Require(aRoute.kind_ == RouteKind::Generation ||
                    aRoute.models_.empty(),
                  "models",
                  "a route of kind 'service' has no models");
}

void
CheckPool(const Pool& aPool, const std::string& aRow, TableProblems& aProblems)
{
  RowChecker checker(aRow, aProblems);
  checker.Require(IsRowName(aPool.name_.GetValue()), "name", kRowNameForm);
  checker.Require(aPool.group_.empty() || IsPrintableName(aPool.group_),
                  "group",
                  "must be at most 128 printable characters without spaces");
  checker.Require(!aPool.group_.empty() || !aPool.backendServers_.empty(),
                  "group",
                  "a pool needs a group or backend_servers");
  CheckBackendServers(aPool, checker);
  checker.RequireNames(aPool.models_, "models");
  checker.RequireNames(aPool.adapters_, "adapters");
  const bool isEngine = aPool.kind_ == PoolKind::Engine;
  checker.Require(!isEngine || !aPool.models_.empty(),
                  "models",
                  "a pool of kind 'engine' needs at least one model");
  checker.Require(isEngine ||
                    (aPool.models_.empty() && aPool.adapters_.empty() &&
                     aPool.versions_.empty()),
                  "models",
                  "a pool of kind 'service' has no models, adapters or "
                  "versions");
  for (const auto& [name, version] : aPool.versions_) {
    const bool isModel =
      std::find(aPool.models_.begin(), aPool.models_.end(), ModelName(name)) !=
      aPool.models_.end();
    const bool isAdapter =
      std::find(aPool.adapters_.begin(), aPool.adapters_.end(), name) !=
      aPool.adapters_.end();
    checker.Require(isModel || isAdapter,
                    "versions",
                    "'" + name + "' is neither a model nor an adapter");
    checker.Require(IsPrintableName(version),
                    "versions",
                    "version of '" + name +
                      "' must be 1 to 128 printable characters");
  }
}

} // namespace azurecross
