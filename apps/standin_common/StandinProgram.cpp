#include "StandinProgram.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <iostream>

namespace azurecross {

void
AddStandinSettings(SettingsParser& aParser)
{
  aParser.AddAddress("listen", "127.0.0.1:0", "Address; port 0 picks one");
}

int
PrintExit(const SettingsExit& aExit)
{
  (aExit.status_ == 0 ? std::cout : std::cerr) << aExit.text_;
  return aExit.status_;
}

int
RunStandin(std::string_view aProgram,
           const SettingValues& aSettings,
           boost::asio::io_context& aContext,
           HttpServer::Handler aHandler)
{
  try {
    HttpServer server(aContext.get_executor(),
                      aSettings.GetAddress("listen"),
                      std::move(aHandler));
    server.Start();
    boost::asio::signal_set signals(aContext, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { aContext.stop(); });
    const boost::json::object line = {
      { "program", boost::json::string_view(aProgram) },
      { "address", server.GetAddress().Format() }
    };
    std::cout << boost::json::serialize(line) << std::endl;
    aContext.run();
    return 0;
  } catch (const std::exception& exception) {
    std::cerr << aProgram << ": " << exception.what() << '\n';
    return 1;
  }
}

} // namespace azurecross
