#include "Settings.h"

#include <cxxopts.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace azurecross {

namespace {

constexpr std::string_view kEnvironmentPrefix = "AZURECROSS_";
constexpr const char* kPositionalOption = "arguments";

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

template<typename Number>
std::string
DescribeRange(const char* aKind, Number aLeast, Number aMost)
{
  std::ostringstream text;
  text << aKind << " from " << aLeast << " to " << aMost;
  return text.str();
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

std::string
MakeEnvironmentName(const std::string& aName)
{
  std::string name(kEnvironmentPrefix);
  for (char character : aName) {
    name += character == '-' ? '_'
                             : static_cast<char>(std::toupper(
                                 static_cast<unsigned char>(character)));
  }
  return name;
}

bool
IsIpAddress(const std::string& aHost)
{
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(AF_INET, aHost.c_str(), parsed.data()) == 1 ||
         inet_pton(AF_INET6, aHost.c_str(), parsed.data()) == 1;
}

const char* const kAddressForm = "an IP address and port, such as 10.0.0.1:80";

} // namespace

std::string
SettingError::Describe() const
{
  return "setting --" + name_ + " (" + MakeEnvironmentName(name_) +
         ") has the value '" + value_ + "'; allowed: " + allowed_;
}

std::string
SocketAddress::Format() const
{
  const bool isIpv6 = host_.find(':') != std::string::npos;
  const std::string host = isIpv6 ? "[" + host_ + "]" : host_;
  return host + ":" + std::to_string(port_);
}

std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = ParseNumber<std::uint16_t>(aText.substr(colon + 1));
  SocketAddress address{ std::string(host), port.value_or(0) };
  if (!port || !IsIpAddress(address.host_)) {
    return std::nullopt;
  }
  return address;
}

const std::string&
SettingValues::GetText(const std::string& aName) const
{
  return values_.at(aName);
}

std::int64_t
SettingValues::GetInteger(const std::string& aName) const
{
  return ParseNumber<std::int64_t>(values_.at(aName)).value();
}

double
SettingValues::GetNumber(const std::string& aName) const
{
  return ParseNumber<double>(values_.at(aName)).value();
}

bool
SettingValues::GetFlag(const std::string& aName) const
{
  return values_.at(aName) == "true";
}

std::chrono::milliseconds
SettingValues::GetMilliseconds(const std::string& aName) const
{
  return std::chrono::milliseconds(GetInteger(aName));
}

SocketAddress
SettingValues::GetAddress(const std::string& aName) const
{
  return ParseSocketAddress(values_.at(aName)).value();
}

std::vector<SocketAddress>
SettingValues::GetAddresses(const std::string& aName) const
{
  std::vector<SocketAddress> addresses;
  for (const std::string& part : SplitList(values_.at(aName))) {
    addresses.push_back(ParseSocketAddress(part).value());
  }
  return addresses;
}

const std::vector<std::string>&
SettingValues::GetPositional() const
{
  return positional_;
}

SettingsParser::SettingsParser(std::string aProgram, std::string aDescription)
  : program_(std::move(aProgram))
  , description_(std::move(aDescription))
{
}

void
SettingsParser::Add(Setting aSetting)
{
  settings_.push_back(std::move(aSetting));
}

void
SettingsParser::AddText(const std::string& aName,
                        const std::string& aDefault,
                        const std::string& aHelp)
{
  const Check acceptAll = [](const std::string&) { return std::nullopt; };
  Add({ aName, aDefault, aHelp, false, acceptAll });
}

void
SettingsParser::AddRequiredText(const std::string& aName,
                                const std::string& aHelp)
{
  Add({ aName,
        "",
        aHelp + " (required)",
        false,
        [](const std::string& aValue) -> std::optional<std::string> {
          if (!aValue.empty()) {
            return std::nullopt;
          }
          return "a text that is not empty";
        } });
}

void
SettingsParser::AddInteger(const std::string& aName,
                           std::int64_t aDefault,
                           std::int64_t aLeast,
                           std::int64_t aMost,
                           const std::string& aHelp)
{
  const std::string allowed = DescribeRange("a whole number", aLeast, aMost);
  Add({ aName,
        std::to_string(aDefault),
        aHelp,
        false,
        [=](const std::string& aValue) -> std::optional<std::string> {
          const auto number = ParseNumber<std::int64_t>(aValue);
          if (number && *number >= aLeast && *number <= aMost) {
            return std::nullopt;
          }
          return allowed;
        } });
}

void
SettingsParser::AddNumber(const std::string& aName,
                          double aDefault,
                          double aLeast,
                          double aMost,
                          const std::string& aHelp)
{
  const std::string allowed = DescribeRange("a number", aLeast, aMost);
  std::ostringstream defaultText;
  defaultText << aDefault;
  Add({ aName,
        defaultText.str(),
        aHelp,
        false,
        [=](const std::string& aValue) -> std::optional<std::string> {
          const auto number = ParseNumber<double>(aValue);
          if (number && *number >= aLeast && *number <= aMost) {
            return std::nullopt;
          }
          return allowed;
        } });
}

void
SettingsParser::AddMilliseconds(const std::string& aName,
                                std::chrono::milliseconds aDefault,
                                std::chrono::milliseconds aLeast,
                                std::chrono::milliseconds aMost,
                                const std::string& aHelp)
{
  AddInteger(aName,
             aDefault.count(),
             aLeast.count(),
             aMost.count(),
             aHelp + ", in milliseconds");
}

void
SettingsParser::AddFlag(const std::string& aName, const std::string& aHelp)
{
  Add({ aName,
        "false",
        aHelp,
        true,
        [](const std::string& aValue) -> std::optional<std::string> {
          if (aValue == "true" || aValue == "false") {
            return std::nullopt;
          }
          return "true or false";
        } });
}

void
SettingsParser::AddChoice(const std::string& aName,
                          const std::string& aDefault,
                          const std::vector<std::string>& aChoices,
                          const std::string& aHelp)
{
  std::string allowed;
  for (const std::string& choice : aChoices) {
    allowed += (allowed.empty() ? "" : ", ") + choice;
  }
  Add({ aName,
        aDefault,
        aHelp + " (" + allowed + ")",
        false,
        [=](const std::string& aValue) -> std::optional<std::string> {
          if (std::find(aChoices.begin(), aChoices.end(), aValue) !=
              aChoices.end()) {
            return std::nullopt;
          }
          return allowed;
        } });
}

void
SettingsParser::AddAddress(const std::string& aName,
                           const std::string& aDefault,
                           const std::string& aHelp)
{
  Add({ aName,
        aDefault,
        aHelp,
        false,
        [](const std::string& aValue) -> std::optional<std::string> {
          if (ParseSocketAddress(aValue)) {
            return std::nullopt;
          }
          return kAddressForm;
        } });
}

void
SettingsParser::AddAddresses(const std::string& aName,
                             const std::string& aDefault,
                             const std::string& aHelp)
{
  Add({ aName,
        aDefault,
        aHelp,
        false,
        [](const std::string& aValue) -> std::optional<std::string> {
          for (const std::string& part : SplitList(aValue)) {
            if (!ParseSocketAddress(part)) {
              return std::string("a comma-separated list, each ") +
                     kAddressForm;
            }
          }
          return std::nullopt;
        } });
}

void
SettingsParser::AcceptPositional(const std::string& aHelp)
{
  positionalHelp_ = aHelp;
}

std::optional<std::string>
SettingsParser::ReadEnvironment(const Setting& aSetting) const
{
  const char* value = std::getenv(MakeEnvironmentName(aSetting.name_).c_str());
  if (value == nullptr) {
    return std::nullopt;
  }
  return std::string(value);
}

std::optional<SettingError>
SettingsParser::CheckValues(const SettingValues& aValues) const
{
  for (const Setting& setting : settings_) {
    const std::string& value = aValues.values_.at(setting.name_);
    if (const auto allowed = setting.check_(value)) {
      return SettingError{ setting.name_, value, *allowed };
    }
  }
  return std::nullopt;
}

SettingsParser::Outcome
SettingsParser::Parse(int aCount, const char* const* aArguments) const
{
  cxxopts::Options options(program_, description_);
  auto add = options.add_options();
  add("help", "Print this text and exit");
  add("version", "Print the version and exit");
  for (const Setting& setting : settings_) {
    const std::string help =
      setting.help_ + " [" + MakeEnvironmentName(setting.name_) + "]";
    if (setting.isFlag_) {
      add(setting.name_, help);
    } else {
      add(setting.name_,
          help,
          cxxopts::value<std::string>()->default_value(setting.default_));
    }
  }
  if (positionalHelp_) {
    add(kPositionalOption,
        *positionalHelp_,
        cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ kPositionalOption });
    options.positional_help(*positionalHelp_);
  }

  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      return SettingsExit{ 0, options.help() };
    }
    if (parsed.count("version") > 0) {
      return SettingsExit{ 0,
                           program_ + " " + std::string(GetVersion()) + "\n" };
    }
    SettingValues values;
    for (const Setting& setting : settings_) {
      const auto environment = ReadEnvironment(setting);
      if (setting.isFlag_) {
        values.values_[setting.name_] = parsed.count(setting.name_) > 0
                                          ? "true"
                                          : environment.value_or("false");
      } else if (parsed.count(setting.name_) == 0 && environment) {
        values.values_[setting.name_] = *environment;
      } else {
        values.values_[setting.name_] = parsed[setting.name_].as<std::string>();
      }
    }
    if (positionalHelp_ && parsed.count(kPositionalOption) > 0) {
      values.positional_ =
        parsed[kPositionalOption].as<std::vector<std::string>>();
    }
    if (!positionalHelp_ && !parsed.unmatched().empty()) {
      return SettingsExit{ kExitInvalidSettings,
                           program_ + ": unexpected argument '" +
                             parsed.unmatched().front() + "'; see --help\n" };
    }
    if (const auto error = CheckValues(values)) {
      return SettingsExit{ kExitInvalidSettings,
                           program_ + ": " + error->Describe() + "\n" };
    }
    return values;
  } catch (const cxxopts::exceptions::exception& exception) {
    return SettingsExit{ kExitInvalidSettings,
                         program_ + ": " + exception.what() +
                           "; see --help\n" };
  }
}

std::string_view
GetVersion()
{
  return AZURECROSS_VERSION;
}

} // namespace azurecross
