#include "Commands.h"

#include "CheckCommand.h"
#include "EntryCommands.h"
#include "TableCommands.h"
#include "TraceCommand.h"

#include <array>
#include <iostream>

namespace azurecross {

namespace {

struct Command
{
  const char* name_;
  const char* help_;
  int (*run_)(CommandContext&);
};

constexpr std::array<Command, 11> kCommands{ {
  { "get", "[routes|pools|TABLE/NAME]: print the tables", RunGet },
  { "edit", "TABLE/NAME FIELD=VALUE...: change or --delete a row", RunEdit },
  { "diff", "FILE: print what apply would change", RunDiff },
  { "apply", "FILE: write the rows of a file", RunApply },
  { "watch", "print each new revision", RunWatch },
  { "audit", "print the newest edits", RunAudit },
  { "status", "print the status of --entries", RunStatus },
  { "explain", "METHOD PATH: how an entry would treat a request", RunExplain },
  { "send", "METHOD PATH: send a request to --entry", RunSend },
  { "check-tables",
    "FILE: check a document of the forwarding path before it is sent",
    RunCheckTables },
  { "trace", "REQUEST-ID [FILE...]: tell a request from logs", RunTrace },
} };

std::string
DescribeCommands()
{
  std::string text = "Reads and edits the tables and asks entries.\n\n"
                     "Commands:";
  for (const Command& command : kCommands) {
    text += std::string("\n  ") + command.name_ + " " + command.help_;
  }
  return text + "\n";
}

} // namespace

SettingsParser
MakeCommandParser()
{
  SettingsParser parser("azurecross", DescribeCommands());
  parser.AcceptPositional("COMMAND ARGUMENTS");
  parser.AddAddresses("store", "127.0.0.1:2379", "Addresses of the store");
  parser.AddAddresses("entries", "", "Operations ports of entries");
  parser.AddAddress("entry", "127.0.0.1:8080", "Callers' port of an entry");
  parser.AddText("author", "", "Who edits, for the audit; default: USER");
  parser.AddInteger("base-revision",
                    -1,
                    -1,
                    INT64_MAX,
                    "Refuse the edit unless the store is at this revision; "
                    "-1: the revision in the file, if any");
  parser.AddFlag("prune", "Delete the rows that the file does not name");
  parser.AddFlag("delete", "Delete the row");
  parser.AddFlag("accept-store-rows",
                 "Take over rows that were written past the tool");
  parser.AddFlag("recover",
                 "Write to a store that is older than the entries, with a "
                 "revision that they accept");
  parser.AddInteger("limit", 20, 1, 1000, "How many edits to print");
  parser.AddMilliseconds("timeout",
                         std::chrono::seconds(10),
                         std::chrono::milliseconds(1),
                         std::chrono::hours(1),
                         "Longest wait for an answer");
  parser.AddText("model", "", "Model of the request to explain");
  parser.AddText("customer", "", "Customer of the request");
  parser.AddText("body", "", "Body of the request; @FILE reads a file");
  parser.AddText("request-id", "", "X-Request-Id of the request");
  parser.AddText("idempotency-key", "", "Idempotency-Key of the request");
  parser.AddText("last-event-id", "", "Last-Event-ID of the request");
  parser.AddText(
    "in-force", "", "File with the document in force, for check-tables");
  parser.AddText("output", "text", "Output of check-tables: text or json");
  parser.AddFlag("check", "Check the settings and exit");
  return parser;
}

int
RunCommand(const SettingValues& aSettings)
{
  const auto& arguments = aSettings.GetPositional();
  const std::string name = arguments.empty() ? "" : arguments.front();
  for (const Command& command : kCommands) {
    if (name == command.name_) {
      CommandContext context(aSettings);
      return command.run_(context);
    }
  }
  std::cerr << "azurecross: '" << name
            << "' is not a command; allowed: get, edit, diff, apply, watch, "
               "audit, status, explain, send, check-tables, trace\n";
  return kExitInvalidSettings;
}

} // namespace azurecross
