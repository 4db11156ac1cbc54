#pragma once

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <variant>

namespace azurecross {

/** Adds the settings that each stand-in has. */
void
AddStandinSettings(SettingsParser& aParser);

/** Prints the text of a refused or informational start; @returns its status. */
int
PrintExit(const SettingsExit& aExit);

/**
 * Serves requests on one thread until SIGINT or SIGTERM, after printing one
 * JSON line `{"program","address"}` to standard output.
 */
int
RunStandin(std::string_view aProgram,
           const SettingValues& aSettings,
           boost::asio::io_context& aContext,
           HttpServer::Handler aHandler);

} // namespace azurecross
