#pragma once

#include <azurecross_store/azurecross_store.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <string>
#include <utility>
#include <vector>

namespace azurecross {

/** Exit statuses besides 0 and those of the settings. */
inline constexpr int kExitFailed = 1;
/** Another edit came first. */
inline constexpr int kExitConflict = 3;
/** It is not known whether the edit took effect. */
inline constexpr int kExitUnsettled = 4;

/** The settings of one run of the operator command line, and its clients. */
class CommandContext
{
public:
  explicit CommandContext(const SettingValues& aSettings);

  const SettingValues& GetSettings() const { return settings_; }
  /** @returns an argument after the command's name, or an empty text. */
  std::string GetArgument(std::size_t aIndex) const;
  std::size_t CountArguments() const;

  EtcdClient& GetStore() { return store_; }
  HttpClient& GetHttp() { return http_; }

  /** Runs a coroutine to its end and @returns its value. */
  template<typename Value>
  Value Run(boost::asio::awaitable<Value> aCall)
  {
    auto future = boost::asio::co_spawn(
      context_, std::move(aCall), boost::asio::use_future);
    context_.restart();
    context_.run();
    return future.get();
  }

private:
  const SettingValues& settings_;
  boost::asio::io_context context_{ 1 };
  EtcdClient store_;
  HttpClient http_;
};

/** Prints an error and @returns the exit status for it. */
int
ReportError(const Error& aError);

} // namespace azurecross
