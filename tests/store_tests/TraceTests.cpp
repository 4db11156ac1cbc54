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

// Guards against a refusal that does not name the rate limits of the servers.
BOOST_AUTO_TEST_CASE(RefusalNamesThePermitsThatWereAwaited)
{
  std::istringstream lines(
    R"({"time":"1","message":"server_limit_changed","backend_server":"s1","requests_per_s":1.0}
{"time":"2","message":"request_sent","request":"r","backend_server":"s1","permit_wait_s":0.5}
{"time":"3","message":"request_refused","request":"r","backend_server":"s1","reason":"deadline_unreachable","detail":"1 servers limit their rate","verdict":"not_run"}
)");
  RequestTrace trace("r");
  trace.Read(lines, "a");
  BOOST_TEST(Contains(trace.FindCause(), "1 servers limit their rate"));
  BOOST_TEST(Contains(trace.FindCause(), "waited 0.500000 s for permits"));
  BOOST_REQUIRE(trace.Describe().size() == 3U);
  BOOST_TEST(Contains(trace.Describe()[0], "requests_per_s=1"));
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

// Guards against a refusal for a part of the prompt without its evidence.
BOOST_AUTO_TEST_CASE(RefusedPromptNamesThePartAndTheEngines)
{
  const std::string quarantined =
    "{\"time\":\"2\",\"message\":\"prompt_quarantine_changed\",\"part\":"
    "\"ab1\","
    "\"change\":\"quarantined\",\"deaths\":2,"
    "\"engines\":\"e1 1.5 s ago, e2 0.0 s ago\"}\n";
  const std::string refused =
    "{\"time\":\"3\",\"message\":\"request_refused\",\"request\":\"r\","
    "\"reason\":\"prompt_quarantined\",\"verdict\":\"not_run\",\"detail\":"
    "\"part ab1 of the prompt is in quarantine: 2 engines died before they "
    "answered requests with it\"}\n";
  std::istringstream lines(
    "{\"time\":\"1\",\"message\":\"prompt_quarantine_changed\",\"part\":\"b1\","
    "\"change\":\"quarantined\",\"deaths\":2,\"engines\":\"e8, e9\"}\n" +
    quarantined + refused +
    "{\"time\":\"4\",\"message\":\"prompt_quarantine_changed\",\"part\":"
    "\"ab1\","
    "\"change\":\"lifted\",\"deaths\":2,\"engines\":\"e1, e2\"}\n");
  RequestTrace trace("r");
  trace.Read(lines, "a");
  const std::string cause = trace.FindCause();
  BOOST_TEST(Contains(cause, "request_refused: prompt_quarantined"));
  BOOST_TEST(Contains(cause,
                      "part ab1 was quarantined at 2 after 2 deaths of "
                      "engines: e1 1.5 s ago, e2 0.0 s ago"));
  BOOST_TEST(Contains(cause, "lifted at 4"));
  BOOST_TEST(trace.Describe().size() == 3U);

  std::istringstream other(quarantined);
  std::istringstream own(refused);
  RequestTrace incomplete("r");
  incomplete.Read(other, "b");
  incomplete.Read(own, "a");
  BOOST_TEST(Contains(incomplete.FindCause(), "its log is missing"));
}

// Guards against a failed request whose engine died without a word about it.
BOOST_AUTO_TEST_CASE(FailedRequestTellsWhetherItsEngineDied)
{
  std::istringstream lines(
    "{\"time\":\"1\",\"message\":\"request_failed\",\"request\":\"r\","
    "\"reason\":\"answer_truncated\",\"verdict\":\"ran\","
    "\"backend_server\":\"e1\",\"detail\":\"broken off\"}\n"
    "{\"time\":\"2\",\"message\":\"server_examined\",\"request\":\"r\","
    "\"backend_server\":\"e1\",\"outcome\":\"dead\"}\n");
  RequestTrace trace("r");
  trace.Read(lines, "a");
  BOOST_TEST(Contains(trace.FindCause(), "; server e1 was found dead at 2"));
}

// Guards against a refused request whose trace leaves out why it is
// quarantined.
BOOST_AUTO_TEST_CASE(QuarantinedRequestTellsTheDeathsBehindIt)
{
  std::istringstream lines(
    "{\"time\":\"1\",\"message\":\"request_quarantine_changed\","
    "\"fingerprint\":\"ab1\",\"change\":\"quarantined\",\"deaths\":2,"
    "\"servers\":\"s1, s2\"}\n"
    "{\"time\":\"1\",\"message\":\"request_quarantine_changed\","
    "\"fingerprint\":\"ab\",\"change\":\"quarantined\",\"deaths\":3,"
    "\"servers\":\"s3\"}\n"
    "{\"time\":\"2\",\"message\":\"request_refused\",\"request\":\"r\","
    "\"reason\":\"request_quarantined\",\"verdict\":\"not_run\","
    "\"detail\":\"the request is in quarantine; fingerprint ab1\"}\n");
  RequestTrace trace("r");
  trace.Read(lines, "a");
  BOOST_TEST(
    Contains(trace.FindCause(),
             "; fingerprint ab1 was quarantined at 1 after 2 deaths of "
             "servers: s1, s2"));
}

} // namespace azurecross
