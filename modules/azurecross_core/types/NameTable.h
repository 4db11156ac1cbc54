#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace azurecross {

/**
 * Maps the values of an `enum class` to their external names and back.
 *
 * Define one constant table next to each enumeration that appears in
 * settings, tables, messages, logs or metrics:
 * @code
 * inline constexpr NameTable<Colour, 2> kColourNames{
 *   { { { Colour::Red, "red" }, { Colour::Blue, "blue" } } }
 * };
 * @endcode
 */
template<typename Enum, std::size_t Count>
class NameTable
{
public:
  using Entries = std::array<std::pair<Enum, std::string_view>, Count>;

  constexpr explicit NameTable(const Entries& aEntries)
    : entries_(aEntries)
  {
  }

  /** @returns the name of a value, or "unknown" for a value not listed. */
  constexpr std::string_view FindName(Enum aValue) const
  {
    for (const auto& entry : entries_) {
      if (entry.first == aValue) {
        return entry.second;
      }
    }
    return "unknown";
  }

  /** @returns the value with this name, or nothing for an unknown name. */
  constexpr std::optional<Enum> FindValue(std::string_view aName) const
  {
    for (const auto& entry : entries_) {
      if (entry.second == aName) {
        return entry.first;
      }
    }
    return std::nullopt;
  }

  /** @returns all names, joined by a separator, for error messages. */
  std::string JoinNames(std::string_view aSeparator = ", ") const
  {
    std::string joined;
    for (const auto& entry : entries_) {
      if (!joined.empty()) {
        joined += aSeparator;
      }
      joined += entry.second;
    }
    return joined;
  }

  constexpr const Entries& GetEntries() const { return entries_; }

private:
  Entries entries_;
};

} // namespace azurecross
