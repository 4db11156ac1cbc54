#include "test_support/PlatformFixture.h"

#include <azurecross/Commands.h>
#include <azurecross/EntryStatus.h>
#include <azurecross/RowEdit.h>

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace azurecross {

namespace {

/** Collects what a stream gets. */
class Capture
{
public:
  explicit Capture(std::ostream& aStream)
    : stream_(aStream)
    , previous_(aStream.rdbuf(text_.rdbuf()))
  {
  }
  ~Capture() { stream_.rdbuf(previous_); }

  std::string GetText() const { return text_.str(); }

private:
  std::ostringstream text_;
  std::ostream& stream_;
  std::streambuf* previous_;
};

/** Runs commands against the stand-in. */
class CommandFixture : public PlatformFixture
{
public:
  ~CommandFixture() { std::remove(file_.c_str()); }

  int RunCommandLine(std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.begin(), "azurecross");
    aArguments.push_back("--store=" + standin_.GetAddress().Format());
    aArguments.emplace_back("--author=ola");
    std::vector<const char*> arguments;
    arguments.reserve(aArguments.size());
    for (const std::string& argument : aArguments) {
      arguments.push_back(argument.c_str());
    }
    const auto outcome = MakeCommandParser().Parse(
      static_cast<int>(arguments.size()), arguments.data());
    BOOST_REQUIRE(std::holds_alternative<SettingValues>(outcome));
    const Capture output(std::cout);
    const Capture errors(std::cerr);
    const int status = RunCommand(std::get<SettingValues>(outcome));
    output_ = output.GetText();
    errors_ = errors.GetText();
    return status;
  }

  void WriteFile(const std::string& aText) { std::ofstream(file_) << aText; }

  std::string file_ = "command-tests-" + DrawUniqueName() + ".json";
  std::string output_;
  std::string errors_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CommandTests, CommandFixture)

// Guards against a file that does not come back as it was written.
BOOST_AUTO_TEST_CASE(TablesAreAppliedAndRead)
{
  WriteFile(R"({"pools":[{"name":"desk","kind":"service","group":"desk"}]})");
  BOOST_TEST(RunCommandLine({ "diff", file_ }) == 1);
  BOOST_TEST(RunCommandLine({ "apply", file_ }) == 0);
  BOOST_TEST(RunCommandLine({ "apply", file_ }) == 0);
  BOOST_TEST(output_.starts_with("nothing to do at revision 1"));
  BOOST_TEST(RunCommandLine({ "get" }) == 0);
  WriteFile(output_);
  BOOST_TEST(RunCommandLine({ "diff", file_ }) == 0);
  BOOST_TEST(RunCommandLine({ "edit", "pools/desk", "max_concurrent=7" }) == 0);
  BOOST_TEST(RunCommandLine({ "get", "pools/desk" }) == 0);
  BOOST_TEST(output_.find("\"max_concurrent\":7") != std::string::npos);
  // The file states revision 1.
  BOOST_TEST(RunCommandLine({ "apply", file_ }) == kExitConflict);
  BOOST_TEST(errors_.find("max_concurrent: 64 -> 7") != std::string::npos);
  BOOST_TEST(RunCommandLine({ "audit" }) == 0);
  BOOST_TEST(output_.starts_with("revision 2"));
}

// Guards against a refusal without the row and the reason, or with status 0.
BOOST_AUTO_TEST_CASE(RefusalsNameTheRowAndTheReason)
{
  WriteFile(R"({"routes":[{"name":"chat","pool":"none"}]})");
  BOOST_TEST(RunCommandLine({ "apply", file_ }) == kExitFailed);
  BOOST_TEST(errors_.find("routes/chat: field 'pool': there is no pool") !=
             std::string::npos);
  BOOST_TEST(RunCommandLine({ "apply", "no-such-file" }) == kExitFailed);
  BOOST_TEST(RunCommandLine({ "fetch" }) == kExitInvalidSettings);
  SetFaults(R"({"store_down":true})");
  BOOST_TEST(RunCommandLine({ "edit", "pools/a", "--delete" }) == kExitFailed);
}

// Guards against an unsettled edit that looks like a refused one.
BOOST_AUTO_TEST_CASE(UnsettledEditHasItsOwnStatus)
{
  SetFaults(R"({"lose_answers":1,"down_after_loss":true})");
  WriteFile(R"({"pools":[{"name":"desk","kind":"service","group":"desk"}]})");
  BOOST_TEST(RunCommandLine({ "apply", file_, "--timeout=300" }) ==
             kExitUnsettled);
}

// Guards against edits on a restored store while entries have newer tables.
BOOST_AUTO_TEST_CASE(EntriesKeepARestoredStoreFromBeingWritten)
{
  HttpServer entry(standinContext_.get_executor(),
                   { "127.0.0.1", 0 },
                   [](HttpExchange& aExchange) -> boost::asio::awaitable<void> {
                     HttpResponse response = MakeJsonResponse(
                       200, R"({"tables":{"revision":9,"edit_id":"e9"}})");
                     co_await aExchange.Respond(std::move(response));
                   });
  entry.Start();
  Edit("e1", { SetPool("one") });
  const std::string entries = "--entries=" + entry.GetAddress().Format();
  BOOST_TEST(
    RunCommandLine({ "edit", "pools/one", "max_concurrent=7", entries }) ==
    kExitFailed);
  BOOST_TEST(errors_.find("the store is older") != std::string::npos);
  BOOST_TEST(RunCommandLine({ "status", entries }) == 0);
  BOOST_TEST(output_.find("\"revision\":9") != std::string::npos);
  BOOST_TEST(RunCommandLine({ "explain", "GET", "/a b", entries }) == 0);
  BOOST_TEST(
    RunCommandLine(
      { "edit", "pools/one", "max_concurrent=7", entries, "--recover" }) == 0);
  BOOST_TEST(Read().revision_.number_ == 10);
  entry.Stop();
}

// Guards against an answer that is not printed, or a failure with status 0.
BOOST_AUTO_TEST_CASE(SendPrintsTheAnswer)
{
  const std::string entry = "--entry=" + standin_.GetAddress().Format();
  BOOST_TEST(RunCommandLine({ "send", "GET", "/v1/vms", entry }) == 0);
  BOOST_TEST(output_.find("\"vms\":[]") != std::string::npos);
  BOOST_TEST(RunCommandLine({ "send", "GET", "/none", entry }) == kExitFailed);
  BOOST_TEST(
    RunCommandLine({ "send", "GET", "/none", "--entry=127.0.0.1:1" }) ==
    kExitFailed);
}

// Guards against a document that is sent although the check has found an error,
// because of its exit status, and against findings that scripts can't read.
BOOST_AUTO_TEST_CASE(DocumentsAreCheckedBeforeTheyAreSent)
{
  const std::string sound =
    R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/r/",)"
    R"("kind":"idempotent","timeoutMs":800,"service":"desk"}],)"
    R"("services":[{"name":"desk","maxConns":10}]})";
  WriteFile(sound);
  BOOST_TEST(RunCommandLine({ "check-tables", file_ }) == 0);
  BOOST_TEST(output_ == "no findings\n");
  BOOST_TEST(RunCommandLine({ "check-tables", file_, "--in-force=" + file_ }) ==
             1);
  BOOST_TEST(output_.find("error: version: 3 is not newer") !=
             std::string::npos);
  BOOST_TEST(
    RunCommandLine({ "check-tables", file_, "--in-force=missing.json" }) == 2);
  BOOST_TEST(RunCommandLine({ "check-tables", file_, "--output=xml" }) == 2);
  BOOST_TEST(RunCommandLine({ "check-tables", "missing.json" }) == 2);
  WriteFile(R"({"version":4,"routes":1,"services":[]})");
  BOOST_TEST(RunCommandLine({ "check-tables", file_, "--output=json" }) == 1);
  BOOST_TEST(output_.starts_with(R"({"findings":[{"level":"error")"));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a status without tables that counts as a known revision.
BOOST_AUTO_TEST_CASE(StatusWithoutTablesHasNoRevision)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"tables":null})",
                            R"({"tables":{"revision":0,"edit_id":""}})",
                            R"({"tables":{"revision":"1","edit_id":"e"}})" }) {
    BOOST_TEST(!ParseStatusRevision(text).has_value(), text);
  }
}

// Guards against an edit of another row than the one that was named.
BOOST_AUTO_TEST_CASE(RowArgumentsAreRead)
{
  const auto row = ParseRowArgument("pools/a-1");
  BOOST_REQUIRE(row.has_value());
  BOOST_CHECK(row->table_ == TableKind::Pools);
  BOOST_TEST(row->name_ == "a-1");
  for (const char* text : { "", "pools", "pools/", "other/a", "/a" }) {
    BOOST_TEST(!ParseRowArgument(text).has_value(), text);
  }
}

// Guards against fields that are lost, or read as another type, in an edit.
BOOST_AUTO_TEST_CASE(FieldsAreChanged)
{
  const auto change = CaptureResult([] {
    return EditRow({ TableKind::Routes, "chat" },
                   R"({"name":"chat","pool":"p","rank":"urgent"})",
                   { "pool=q", "deadline_ms=5", "models=[\"m\"]", "rank=" });
  });
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->value_.value() ==
             R"({"name":"chat","pool":"q","deadline_ms":5,"models":["m"]})");
  const auto refused = CaptureResult([] {
    return EditRow({ TableKind::Routes, "chat" }, {}, { "urgent" });
  });
  BOOST_TEST(refused.has_error());
}

// Guards against rows that are deleted only because a file leaves them out.
BOOST_AUTO_TEST_CASE(OnlyPruningDeletesRows)
{
  TableRows rows;
  rows.Apply({ TableKind::Pools, "old", "{}" });
  BOOST_TEST(MakeDocumentChanges(rows, {}, false).empty());
  BOOST_TEST(MakeDocumentChanges(rows, {}, true).size() == 1U);
}

} // namespace azurecross
