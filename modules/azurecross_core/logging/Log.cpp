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

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <climits>
#include <cstring>
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

std::atomic<std::uint64_t> gDroppedRecords{ 0 };

// The characters of the last record's time. Words, so that a signal handler
// and other threads can read them without a lock.
constexpr std::size_t kTimeWords =
  std::tuple_size_v<LogTime> / sizeof(std::uint64_t);
std::array<std::atomic<std::uint64_t>, kTimeWords> gLastTime{};

/** Writes whole lines to standard output as far as that does not block. */
class NonBlockingBackend
  : public logging::sinks::basic_formatted_sink_backend<char>
{
public:
  // The name is fixed by Boost.Log.
  void consume( // NOLINT
    const logging::record_view&,
    const std::string& aLine)
  {
    pollfd poller{ STDOUT_FILENO, POLLOUT, 0 };
    const std::string line = aLine + "\n";
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
    const bool isSent = line.size() <= PIPE_BUF && poll(&poller, 1, 0) == 1 &&
                        (poller.revents & POLLOUT) != 0 &&
                        write(STDOUT_FILENO, line.data(), line.size()) ==
                          static_cast<ssize_t>(line.size());
    if (!isSent) {
      gDroppedRecords.fetch_add(1, std::memory_order_relaxed);
    }
  }
};

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

void
StoreLastTime(const std::string& aTime)
{
  std::array<std::uint64_t, kTimeWords> words{};
  std::memcpy(
    words.data(), aTime.data(), std::min(aTime.size(), sizeof(words)));
  for (std::size_t index = 0; index < kTimeWords; ++index) {
    gLastTime[index].store(words[index], std::memory_order_relaxed);
  }
}

boost::json::value
ToJson(const LogField::Value& aValue)
{
  return std::visit(
    [](const auto& aContent) { return boost::json::value(aContent); }, aValue);
}

} // namespace

std::uint64_t
CountDroppedLogRecords()
{
  return gDroppedRecords.load(std::memory_order_relaxed);
}

LogTime
GetLastLogTime()
{
  std::array<std::uint64_t, kTimeWords> words{};
  for (std::size_t index = 0; index < kTimeWords; ++index) {
    words[index] = gLastTime[index].load(std::memory_order_relaxed);
  }
  LogTime time{};
  std::memcpy(time.data(), words.data(), time.size());
  return time;
}

void
StartLogging(LogLevel aLowestLevel,
             std::string_view aProgram,
             LogOutput aOutput)
{
  gProgram = aProgram;
  StoreLastTime(FormatUtcTime());
  gLowestLevel = static_cast<int>(aLowestLevel);
  logging::core::get()->remove_all_sinks();
  if (aOutput == LogOutput::StandardOutput) {
    auto output = boost::make_shared<
      logging::sinks::synchronous_sink<NonBlockingBackend>>();
    output->set_formatter(logging::expressions::stream
                          << logging::expressions::smessage);
    logging::core::get()->add_sink(output);
    return;
  }
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->add_sink(sink);
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
  const std::string time = FormatUtcTime();
  StoreLastTime(time);
  line["time"] = time;
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
