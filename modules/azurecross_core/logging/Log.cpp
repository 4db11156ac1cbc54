#include "Log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace azurecross {

namespace {

namespace logging = boost::log;
using Sink =
  logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

// Off until StartLogging, so that libraries and tests stay quiet.
constexpr int kLoggingOff = 1000;
std::atomic<int> gLowestLevel{ kLoggingOff };
std::string gProgram;

std::string
FormatUtcTime()
{
  using namespace std::chrono;
  const auto now = system_clock::now();
  const std::time_t seconds = system_clock::to_time_t(now);
  const auto milliseconds =
    duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
    1000;
  std::tm calendar{};
  gmtime_r(&seconds, &calendar);
  std::ostringstream text;
  text << std::put_time(&calendar, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3)
       << std::setfill('0') << milliseconds << 'Z';
  return text.str();
}

boost::json::value
ToJson(const LogField::Value& aValue)
{
  return std::visit(
    [](const auto& aContent) { return boost::json::value(aContent); }, aValue);
}

} // namespace

void
StartLogging(LogLevel aLowestLevel, std::string_view aProgram)
{
  gProgram = aProgram;
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(sink);
  gLowestLevel = static_cast<int>(aLowestLevel);
}

bool
IsLogged(LogLevel aLevel)
{
  return static_cast<int>(aLevel) >=
         gLowestLevel.load(std::memory_order_relaxed);
}

void
WriteLog(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields)
{
  if (!IsLogged(aLevel)) {
    return;
  }
  boost::json::object line;
  line["time"] = FormatUtcTime();
  line["level"] = kLogLevelNames.FindName(aLevel);
  line["program"] = gProgram;
  line["message"] = aMessage;
  for (const LogField& field : aFields) {
    line[field.name_] = ToJson(field.value_);
  }
  static thread_local logging::sources::logger logger;
  BOOST_LOG(logger) << boost::json::serialize(line);
}

} // namespace azurecross
