#include "CommandContext.h"

#include <iostream>

namespace azurecross {

namespace {

EtcdClientSettings
MakeStoreSettings(const SettingValues& aSettings)
{
  EtcdClientSettings settings;
  settings.addresses_ = aSettings.GetAddresses("store");
  settings.answerTimeout_ = aSettings.GetMilliseconds("timeout");
  return settings;
}

HttpClientLimits
MakeHttpLimits(const SettingValues& aSettings)
{
  HttpClientLimits limits;
  limits.answerTimeout_ = aSettings.GetMilliseconds("timeout");
  return limits;
}

} // namespace

CommandContext::CommandContext(const SettingValues& aSettings)
  : settings_(aSettings)
  , store_(context_.get_executor(), MakeStoreSettings(aSettings))
  , http_(context_.get_executor(), MakeHttpLimits(aSettings))
{
}

std::string
CommandContext::GetArgument(std::size_t aIndex) const
{
  const auto& arguments = settings_.GetPositional();
  return aIndex + 1 < arguments.size() ? arguments[aIndex + 1] : "";
}

std::size_t
CommandContext::CountArguments() const
{
  return settings_.GetPositional().size() - 1;
}

int
ReportError(const Error& aError)
{
  std::cerr << "azurecross: " << aError << "\n";
  return aError.code_ == ErrorCode::StoreUnavailable &&
             aError.verdict_ == Verdict::MayHaveRun
           ? kExitUnsettled
           : kExitFailed;
}

} // namespace azurecross
