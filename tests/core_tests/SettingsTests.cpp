#include <boost/test/unit_test.hpp>

#include <azurecross_core/azurecross_core.h>

#include <cstdlib>
#include <vector>

namespace azurecross {

namespace {

SettingsParser
MakeParser()
{
  SettingsParser parser("program", "A program.");
  parser.AddInteger("workers", 2, 1, 8, "Worker threads");
  parser.AddAddress("listen", "127.0.0.1:80", "Address");
  parser.AddChoice("log-level", "info", { "debug", "info" }, "Level");
  parser.AddFlag("check", "Only check the settings");
  parser.AddAddresses("seeds", "", "Seeds");
  return parser;
}

SettingsParser::Outcome
Parse(std::vector<const char*> aArguments)
{
  aArguments.insert(aArguments.begin(), "program");
  return MakeParser().Parse(static_cast<int>(aArguments.size()),
                            aArguments.data());
}

void
CheckRefused(std::vector<const char*> aArguments, const std::string& aPart)
{
  const auto outcome = Parse(std::move(aArguments));
  const auto* refusal = std::get_if<SettingsExit>(&outcome);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST(refusal->status_ == kExitInvalidSettings);
  BOOST_TEST(refusal->text_.find(aPart) != std::string::npos, refusal->text_);
}

} // namespace

// Guards against settings that are silently replaced by their default.
BOOST_AUTO_TEST_CASE(FlagsAreRead)
{
  const auto outcome =
    Parse({ "--workers", "4", "--check", "--seeds=127.0.0.1:1,[::1]:2" });
  const auto& values = std::get<SettingValues>(outcome);
  BOOST_TEST(values.GetInteger("workers") == 4);
  BOOST_TEST(values.GetFlag("check"));
  BOOST_TEST(values.GetAddress("listen").port_ == 80);
  BOOST_TEST(values.GetAddresses("seeds").at(1).Format() == "[::1]:2");
}

// Guards against a daemon that starts with a wrong setting.
BOOST_AUTO_TEST_CASE(WrongValuesAreRefusedWithNameAndRange)
{
  CheckRefused({ "--workers", "9" }, "--workers");
  CheckRefused({ "--workers", "9" }, "from 1 to 8");
  CheckRefused({ "--workers", "4x" }, "'4x'");
  CheckRefused({ "--listen", "host:80" }, "--listen");
  CheckRefused({ "--listen", "127.0.0.1:70000" }, "--listen");
  CheckRefused({ "--log-level", "loud" }, "debug, info");
  CheckRefused({ "--seeds", "127.0.0.1:1,x" }, "--seeds");
  CheckRefused({ "--unknown" }, "unknown");
  CheckRefused({ "stray" }, "stray");
}

// Guards against environment variables that are ignored or unchecked.
BOOST_AUTO_TEST_CASE(EnvironmentIsReadAndFlagsTakePrecedence)
{
  setenv("AZURECROSS_WORKERS", "5", 1);
  const ScopeGuard unset([] { unsetenv("AZURECROSS_WORKERS"); });
  const auto fromEnvironment = Parse({});
  BOOST_TEST(std::get<SettingValues>(fromEnvironment).GetInteger("workers") ==
             5);
  const auto fromFlag = Parse({ "--workers", "3" });
  BOOST_TEST(std::get<SettingValues>(fromFlag).GetInteger("workers") == 3);
  setenv("AZURECROSS_WORKERS", "none", 1);
  CheckRefused({}, "AZURECROSS_WORKERS");
}

} // namespace azurecross
