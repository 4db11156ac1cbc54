#pragma once

#include "../types/Identifiers.h"
#include "../types/NameTable.h"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace azurecross {

/** Severity of a log record. */
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

inline constexpr NameTable<LogLevel, 4> kLogLevelNames{
  { { { LogLevel::Debug, "debug" },
      { LogLevel::Info, "info" },
      { LogLevel::Warning, "warning" },
      { LogLevel::Error, "error" } } }
};

/** One named value of a log record. */
struct LogField
{
  using Value = std::variant<std::string_view, std::int64_t, double, bool>;

  LogField(std::string_view aName, std::string_view aValue)
    : name_(aName)
    , value_(aValue)
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : name_(aName)
    , value_(std::string_view(aValue))
  {
  }
  LogField(std::string_view aName, const std::string& aValue)
    : name_(aName)
    , value_(std::string_view(aValue))
  {
  }
  template<typename Tag>
  LogField(std::string_view aName, const StrongId<Tag, std::string>& aId)
    : name_(aName)
    , value_(std::string_view(aId.GetValue()))
  {
  }
  LogField(std::string_view aName, bool aValue)
    : name_(aName)
    , value_(aValue)
  {
  }
  LogField(std::string_view aName, double aValue)
    : name_(aName)
    , value_(aValue)
  {
  }
  template<typename Integer>
  requires std::is_integral_v<Integer> LogField(std::string_view aName,
                                                Integer aValue)
    : name_(aName)
    , value_(static_cast<std::int64_t>(aValue))
  {
  }

  std::string_view name_;
  Value value_;
};

/** Where log records go. */
enum class LogOutput
{
  StandardError,
  /**
   * Standard output. A record that the reader is too slow for is dropped and
   * counted: writing never blocks.
   */
  StandardOutput,
};

/** Sets up JSON-line logging from this level upwards. */
void
StartLogging(LogLevel aLowestLevel,
             std::string_view aProgram,
             LogOutput aOutput = LogOutput::StandardError);

/** @returns how many records were dropped because the reader was too slow. */
std::uint64_t
CountDroppedLogRecords();

/** The text of a record's time, for example `2026-01-01T00:00:00.000Z`. */
using LogTime = std::array<char, 24>;

/** @returns the time of the last record, or of `StartLogging` if there is none.
 * Safe in a signal handler. */
LogTime
GetLastLogTime();

/** @returns whether records of this level are written. */
bool
IsLogged(LogLevel aLevel);

/**
 * Writes one JSON line with the time, level, message and fields.
 *
 * @code
 * WriteLog(LogLevel::Info, "listening", { { "port", port } });
 * @endcode
 */
void
WriteLog(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields = {});

} // namespace azurecross
