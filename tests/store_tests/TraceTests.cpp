#include <azurecross/RequestTrace.h>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace azurecross {

namespace {

/** Reads a log that was recorded in a run with faults. */
RequestTrace
ReadRecorded(const std::string& aName, const std::string& aRequest)
{
  std::ifstream file(std::string(AZURECROSS_TEST_DATA) + "/" + aName);
  BOOST_REQUIRE(file.is_open());
  RequestTrace trace(aRequest);
  trace.Read(file, aName);
  return trace;
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against a refusal in an outage that is put down to load.
BOOST_AUTO_TEST_CASE(RefusalInAnOutageNamesTheStore)
{
  const RequestTrace trace = ReadRecorded("refused.log", "a006f74b2f46ab23");
  BOOST_REQUIRE(trace.IsFound());
  BOOST_TEST(Contains(trace.FindCause(), "request_refused: store_unavailable"));
  BOOST_TEST(Contains(trace.FindCause(), "verdict not_run"));
  BOOST_TEST(Contains(trace.FindCause(), "the store was lost since"));
}

// Guards against an unknown outcome without the server that broke off.
BOOST_AUTO_TEST_CASE(UnknownOutcomeNamesTheServer)
{
  const RequestTrace trace = ReadRecorded("unknown.log", "afeba48d8363f1ff");
  BOOST_REQUIRE(trace.IsFound());
  BOOST_TEST(Contains(trace.FindCause(), "verdict may_have_run"));
  BOOST_TEST(Contains(trace.FindCause(), "reset by peer"));
  const std::string story = trace.Describe().back();
  BOOST_TEST(Contains(story, "backend_server=i-"));
}

// Guards against a cut stream without the move that did not save it.
BOOST_AUTO_TEST_CASE(CutStreamNamesItsMove)
{
  const RequestTrace trace = ReadRecorded("cut.log", "182097bcd52e2187");
  BOOST_REQUIRE(trace.IsFound());
  BOOST_TEST(Contains(trace.FindCause(), "answer_truncated"));
  BOOST_TEST(Contains(trace.FindCause(), "last move: "));
  BOOST_TEST(Contains(trace.FindCause(), "; backend server i-"));
}

// Guards against a story that ends at a line that a full disk or a killed
// process has cut.
BOOST_AUTO_TEST_CASE(CutAndForeignLinesAreCounted)
{
  std::istringstream lines(
    "{\"time\":\"1\",\"message\":\"request_sent\",\"request\":\"r\"}\n"
    "{\"time\":\"2\",\"message\":\"request_ser\n"
    "no record\n"
    "\n"
    "[]\n"
    "collector text {\"time\":\"3\",\"message\":\"request_served\","
    "\"request\":\"r\",\"status\":200}\n");
  RequestTrace trace("r");
  trace.Read(lines, "a");
  BOOST_TEST(trace.CountUnreadable() == 3U);
  BOOST_TEST(trace.Describe().size() == 2U);
  BOOST_TEST(trace.FindCause() == "served with status 200");
}

// Guards against records in the order of the files instead of their times.
BOOST_AUTO_TEST_CASE(RecordsOfSeveralProcessesAreInOrder)
{
  std::istringstream late(
    "{\"time\":\"2\",\"message\":\"request_sent\",\"request\":\"r\"}\n");
  std::istringstream early(
    "{\"time\":\"1\",\"message\":\"request_refused\",\"request\":\"r\"}\n");
  RequestTrace trace("r");
  trace.Read(late, "b");
  trace.Read(early, "a");
  BOOST_TEST(trace.Describe().front() == "1 a request_refused");
  BOOST_TEST(!RequestTrace("other").IsFound());
  BOOST_TEST(Contains(RequestTrace("other").FindCause(), "no record"));
}

} // namespace azurecross
