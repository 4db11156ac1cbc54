#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azurecross {

/** Exit status of a program that refuses its settings. */
inline constexpr int kExitInvalidSettings = 2;

/** A setting that was refused: its name, its value and what is allowed. */
struct SettingError
{
  std::string name_;
  std::string value_;
  std::string allowed_;

  /** @returns a sentence for the operator. */
  std::string Describe() const;
};

/** A numeric IP address and port. */
struct SocketAddress
{
  std::string host_;
  std::uint16_t port_ = 0;

  /** @returns `host:port`, with brackets around an IPv6 host. */
  std::string Format() const;

  // clang-tidy takes the 0 of rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

/** @returns the address in `1.2.3.4:80` or `[::1]:80`, or nothing. */
std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText);

/** The values of a program's settings after they have been checked. */
class SettingValues
{
public:
  const std::string& GetText(const std::string& aName) const;
  std::int64_t GetInteger(const std::string& aName) const;
  double GetNumber(const std::string& aName) const;
  bool GetFlag(const std::string& aName) const;
  std::chrono::milliseconds GetMilliseconds(const std::string& aName) const;
  SocketAddress GetAddress(const std::string& aName) const;
  /** @returns the addresses of a comma-separated list. */
  std::vector<SocketAddress> GetAddresses(const std::string& aName) const;
  /** @returns the arguments that belong to no flag. */
  const std::vector<std::string>& GetPositional() const;

private:
  friend class SettingsParser;

  std::map<std::string, std::string> values_;
  std::vector<std::string> positional_;
};

/** The parser prints this text and the program exits with the status. */
struct SettingsExit
{
  int status_ = 0;
  std::string text_;
};

/**
 * Declares the settings of one program, reads them from flags and environment
 * variables and checks them.
 *
 * A setting `listen-port` of a program with the prefix `AZURECROSS` is the
 * flag `--listen-port` or the variable `AZURECROSS_LISTEN_PORT`; the flag
 * takes precedence. `--help` and `--version` are always there.
 *
 * @code
 * SettingsParser parser("azurecross-entry", "Serves callers.");
 * parser.AddInteger("workers", 2, 1, 256, "Worker threads");
 * auto outcome = parser.Parse(argc, argv);
 * @endcode
 */
class SettingsParser
{
public:
  using Outcome = std::variant<SettingValues, SettingsExit>;

  SettingsParser(std::string aProgram, std::string aDescription);

  /** Adds a text setting; an empty default makes it optional. */
  void AddText(const std::string& aName,
               const std::string& aDefault,
               const std::string& aHelp);
  /** Adds a text setting that must not be empty. */
  void AddRequiredText(const std::string& aName, const std::string& aHelp);
  void AddInteger(const std::string& aName,
                  std::int64_t aDefault,
                  std::int64_t aLeast,
                  std::int64_t aMost,
                  const std::string& aHelp);
  void AddNumber(const std::string& aName,
                 double aDefault,
                 double aLeast,
                 double aMost,
                 const std::string& aHelp);
  /** Adds a duration, written as whole milliseconds. */
  void AddMilliseconds(const std::string& aName,
                       std::chrono::milliseconds aDefault,
                       std::chrono::milliseconds aLeast,
                       std::chrono::milliseconds aMost,
                       const std::string& aHelp);
  void AddFlag(const std::string& aName, const std::string& aHelp);
  void AddChoice(const std::string& aName,
                 const std::string& aDefault,
                 const std::vector<std::string>& aChoices,
                 const std::string& aHelp);
  void AddAddress(const std::string& aName,
                  const std::string& aDefault,
                  const std::string& aHelp);
  /** Adds a comma-separated list of addresses; may be empty. */
  void AddAddresses(const std::string& aName,
                    const std::string& aDefault,
                    const std::string& aHelp);
  /** Accepts arguments that belong to no flag. */
  void AcceptPositional(const std::string& aHelp);

  /** @returns the checked values, or what to print before exiting. */
  Outcome Parse(int aCount, const char* const* aArguments) const;

private:
  /** @returns what is allowed, if the value is refused. */
  using Check = std::function<std::optional<std::string>(const std::string&)>;

  struct Setting
  {
    std::string name_;
    std::string default_;
    std::string help_;
    bool isFlag_ = false;
    Check check_;
  };

  void Add(Setting aSetting);
  std::optional<std::string> ReadEnvironment(const Setting& aSetting) const;
  std::optional<SettingError> CheckValues(const SettingValues& aValues) const;

  std::string program_;
  std::string description_;
  std::optional<std::string> positionalHelp_;
  std::vector<Setting> settings_;
};

/** @returns the version of this build. */
std::string_view
GetVersion();

} // namespace azurecross
