#include "EntryCommands.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace azurecross {

namespace {

constexpr unsigned kFirstFailureStatus = 400;

int
ReportUsage(const std::string& aMessage)
{
  return ReportError(
    { ErrorCode::InvalidRequest, Verdict::NotRun, aMessage, {} });
}

std::string
EncodePercent(std::string_view aText)
{
  constexpr std::string_view kPlain =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~/";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : aText) {
    if (kPlain.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

/** Prints the answer to a GET; @returns the exit status. */
int
PrintAnswer(CommandContext& aContext,
            const SocketAddress& aAddress,
            const std::string& aTarget)
{
  HttpRequest request;
  request.target_ = aTarget;
  const auto response =
    aContext.Run(aContext.GetHttp().Send(aAddress, std::move(request)));
  if (response.has_error()) {
    return ReportError(response.error());
  }
  std::cout << response->body_ << "\n";
  return response->status_ < kFirstFailureStatus ? 0 : kExitFailed;
}

/** @returns the body given by `--body`; `@name` reads a file. */
std::optional<std::string>
ReadBody(const SettingValues& aSettings)
{
  const std::string& body = aSettings.GetText("body");
  if (!body.starts_with('@')) {
    return body;
  }
  std::ifstream file(body.substr(1), std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>(file), {} };
}

HttpRequest
MakeSendRequest(CommandContext& aContext, std::string aBody)
{
  const SettingValues& settings = aContext.GetSettings();
  HttpRequest request;
  request.method_ = aContext.GetArgument(0);
  request.target_ = aContext.GetArgument(1);
  request.body_ = std::move(aBody);
  const auto set = [&](const char* aHeader, const char* aSetting) {
    if (!settings.GetText(aSetting).empty()) {
      request.headers_[aHeader] = settings.GetText(aSetting);
    }
  };
  set("X-Azurecross-Customer", "customer");
  set("X-Request-Id", "request-id");
  set("Idempotency-Key", "idempotency-key");
  set("Last-Event-ID", "last-event-id");
  if (!request.body_.empty()) {
    request.headers_["Content-Type"] = "application/json";
  }
  return request;
}

} // namespace

int
RunStatus(CommandContext& aContext)
{
  const auto entries = aContext.GetSettings().GetAddresses("entries");
  if (entries.empty()) {
    return ReportUsage("set --entries to operations ports");
  }
  int status = 0;
  for (const SocketAddress& address : entries) {
    std::cout << address.Format() << " " << std::flush;
    const int result = PrintAnswer(aContext, address, "/status");
    status = result == 0 ? status : kExitFailed;
  }
  return status;
}

int
RunExplain(CommandContext& aContext)
{
  const SettingValues& settings = aContext.GetSettings();
  const auto entries = settings.GetAddresses("entries");
  if (entries.empty() || aContext.CountArguments() != 2) {
    return ReportUsage("use: azurecross explain METHOD PATH --entries ADDRESS");
  }
  return PrintAnswer(
    aContext,
    entries.front(),
    "/explain?method=" + EncodePercent(aContext.GetArgument(0)) +
      "&path=" + EncodePercent(aContext.GetArgument(1)) +
      "&model=" + EncodePercent(settings.GetText("model")) +
      "&customer=" + EncodePercent(settings.GetText("customer")));
}

int
RunSend(CommandContext& aContext)
{
  if (aContext.CountArguments() != 2) {
    return ReportUsage("use: azurecross send METHOD PATH --entry ADDRESS");
  }
  auto body = ReadBody(aContext.GetSettings());
  if (!body) {
    return ReportUsage("can't read the file of --body");
  }
  HttpClient::PartHandler print = [](std::string_view aPart) {
    std::cout << aPart << std::flush;
    return true;
  };
  const auto response = aContext.Run(
    aContext.GetHttp().Stream(aContext.GetSettings().GetAddress("entry"),
                              MakeSendRequest(aContext, std::move(*body)),
                              std::move(print)));
  std::cout << std::endl;
  if (response.has_error()) {
    return ReportError(response.error());
  }
  const auto verdict = response->FindHeader("X-Azurecross-Verdict");
  std::cerr << "status " << response->status_
            << (verdict.empty() ? "" : ", verdict ") << verdict << "\n";
  return response->status_ < kFirstFailureStatus ? 0 : kExitFailed;
}

} // namespace azurecross
