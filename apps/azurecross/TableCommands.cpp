#include "TableCommands.h"

#include "EntryStatus.h"
#include "RowEdit.h"

#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>

namespace azurecross {

namespace {

namespace asio = boost::asio;

AsyncResult<TableSnapshot>
ReadStore(CommandContext& aContext)
{
  return aContext.Run(ReadTableSnapshot(aContext.GetStore(), 0));
}

Error
MakeUsageError(std::string aMessage)
{
  return Error{
    ErrorCode::InvalidRequest, Verdict::NotRun, std::move(aMessage), {}
  };
}

/** Reads the file that the first argument names; `-` is standard input. */
AsyncResult<TableDocument>
ReadDocument(CommandContext& aContext)
{
  const std::string name = aContext.GetArgument(0);
  if (name.empty()) {
    return MakeUsageError("name a file, or - for standard input");
  }
  std::ifstream file;
  if (name != "-") {
    file.open(name, std::ios::binary);
    if (!file) {
      return MakeUsageError("can't read the file '" + name + "'");
    }
  }
  std::istream& input = name == "-" ? std::cin : file;
  const std::string text{ std::istreambuf_iterator<char>(input), {} };
  return CaptureResult([&] { return ParseDocument(text); });
}

std::string
FindAuthor(const SettingValues& aSettings)
{
  if (!aSettings.GetText("author").empty()) {
    return aSettings.GetText("author");
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

EditRequest
MakeRequest(CommandContext& aContext, std::vector<RowChange> aChanges)
{
  const SettingValues& settings = aContext.GetSettings();
  EditRequest request;
  request.author_ = FindAuthor(settings);
  request.editId_ = DrawUniqueName();
  request.unixMilliseconds_ = ReadUnixMilliseconds();
  request.changes_ = std::move(aChanges);
  if (settings.GetInteger("base-revision") >= 0) {
    request.baseRevision_ = settings.GetInteger("base-revision");
  }
  request.knownRevision_ = FindKnownRevision(aContext);
  request.acceptsStoreRows_ = settings.GetFlag("accept-store-rows");
  request.recoversStore_ = settings.GetFlag("recover");
  return request;
}

/** Writes an edit and reports its outcome. */
int
Write(CommandContext& aContext, EditRequest aRequest)
{
  if (aRequest.author_.empty()) {
    return ReportError(MakeUsageError("set --author or USER"));
  }
  TableEditor<EtcdClient> editor(aContext.GetStore());
  const auto outcome = aContext.Run(editor.Apply(std::move(aRequest)));
  if (outcome.has_error()) {
    return ReportError(outcome.error());
  }
  const bool isConflict = outcome->verdict_ == EditVerdict::Conflict;
  (isConflict ? std::cerr : std::cout) << DescribeOutcome(*outcome);
  return isConflict ? kExitConflict : 0;
}

/** Checks an edit without writing it and prints its changes. */
int
ShowPlan(const TableSnapshot& aBase, const EditRequest& aRequest)
{
  const auto plan =
    CaptureResult([&] { return EditPlan::Make(aBase, aRequest); });
  if (plan.has_error()) {
    return ReportError(plan.error());
  }
  std::cout << DescribeChanges(plan->GetAudit().changes_);
  return plan->IsEmpty() ? 0 : kExitFailed;
}

/** @returns the edit that the file in the first argument asks for. */
AsyncResult<EditRequest>
MakeDocumentRequest(CommandContext& aContext, const TableSnapshot& aBase)
{
  const auto document = ReadDocument(aContext);
  if (document.has_error()) {
    return document.error();
  }
  EditRequest request = MakeRequest(
    aContext,
    MakeDocumentChanges(
      aBase.rows_, *document, aContext.GetSettings().GetFlag("prune")));
  if (!request.baseRevision_) {
    request.baseRevision_ = document->revision_;
  }
  return request;
}

std::string
FormatTime(std::int64_t aUnixMilliseconds)
{
  const std::time_t seconds = aUnixMilliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::string text(32, '\0');
  text.resize(
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
  return text;
}

void
PrintAuditEntry(const AuditEntry& aEntry)
{
  std::cout << DescribeRevision(aEntry.revision_) << " "
            << FormatTime(aEntry.unixMilliseconds_) << " by " << aEntry.author_
            << "\n"
            << DescribeChanges(aEntry.changes_);
}

/** Prints what a watch brings. */
void
PrintOutcome(const ConfigurationState& aState,
             const ConfigurationOutcome& aOutcome)
{
  if (aOutcome.tables_) {
    const Tables& tables = *aOutcome.tables_;
    std::cout << DescribeRevision(tables.GetRevision()) << ": "
              << tables.GetRoutes().size() << " routes, "
              << tables.GetPools().size() << " pools" << std::endl;
  }
  if (!aOutcome.message_.empty()) {
    std::cout << kConfigurationVerdictNames.FindName(aOutcome.verdict_) << ": "
              << aOutcome.message_ << "; in force stays "
              << DescribeRevision(aState.GetRevision()) << std::endl;
  }
}

} // namespace

int
RunGet(CommandContext& aContext)
{
  const auto snapshot = ReadStore(aContext);
  if (snapshot.has_error()) {
    return ReportError(snapshot.error());
  }
  const std::string argument = aContext.GetArgument(0);
  if (const auto row = ParseRowArgument(argument)) {
    const auto text = snapshot->rows_.FindText(row->table_, row->name_);
    if (!text) {
      return ReportError(MakeUsageError("there is no row " + argument));
    }
    std::cout << *text << "\n";
    return 0;
  }
  const auto table = kTableKindNames.FindValue(argument);
  if (!argument.empty() && !table) {
    return ReportError(MakeUsageError(
      "'" + argument + "' is not routes, pools or a row such as routes/chat"));
  }
  TableDocument document;
  document.revision_ = snapshot->revision_.number_;
  const auto collect = [](const auto& aFrom, auto& aTo) {
    for (const auto& [name, stored] : aFrom) {
      if (stored->row_) {
        aTo.push_back(*stored->row_);
      } else {
        std::cerr << "azurecross: row '" << name
                  << "' is not valid: " << stored->problem_ << "\n";
      }
    }
  };
  if (!table || *table == TableKind::Routes) {
    collect(snapshot->rows_.GetRoutes(), document.routes_);
  }
  if (!table || *table == TableKind::Pools) {
    collect(snapshot->rows_.GetPools(), document.pools_);
  }
  std::cout << SerializeDocument(document);
  return 0;
}

int
RunEdit(CommandContext& aContext)
{
  const auto row = ParseRowArgument(aContext.GetArgument(0));
  if (!row) {
    return ReportError(MakeUsageError("name a row, such as routes/chat"));
  }
  if (aContext.GetSettings().GetFlag("delete")) {
    return Write(aContext,
                 MakeRequest(aContext, { { row->table_, row->name_, {} } }));
  }
  const auto snapshot = ReadStore(aContext);
  if (snapshot.has_error()) {
    return ReportError(snapshot.error());
  }
  const auto& arguments = aContext.GetSettings().GetPositional();
  const std::vector<std::string> fields(arguments.begin() + 2, arguments.end());
  const auto change = CaptureResult([&] {
    return EditRow(
      *row, snapshot->rows_.FindText(row->table_, row->name_), fields);
  });
  if (change.has_error()) {
    return ReportError(change.error());
  }
  EditRequest request = MakeRequest(aContext, { *change });
  // The fields were merged into this revision of the row.
  request.baseRevision_ = snapshot->revision_.number_;
  return Write(aContext, std::move(request));
}

int
RunDiff(CommandContext& aContext)
{
  const auto snapshot = ReadStore(aContext);
  if (snapshot.has_error()) {
    return ReportError(snapshot.error());
  }
  const auto request = MakeDocumentRequest(aContext, *snapshot);
  if (request.has_error()) {
    return ReportError(request.error());
  }
  EditRequest checked = *request;
  if (checked.author_.empty()) {
    checked.author_ = "nobody";
  }
  return ShowPlan(*snapshot, checked);
}

int
RunApply(CommandContext& aContext)
{
  const auto snapshot = ReadStore(aContext);
  if (snapshot.has_error()) {
    return ReportError(snapshot.error());
  }
  auto request = MakeDocumentRequest(aContext, *snapshot);
  if (request.has_error()) {
    return ReportError(request.error());
  }
  return Write(aContext, std::move(*request));
}

int
RunWatch(CommandContext& aContext)
{
  ConfigurationState state;
  StoreWatchHandlers handlers;
  handlers.getRevision_ = [&] { return state.GetRevision().number_; };
  handlers.takeSnapshot_ = [&](const TableSnapshot& aSnapshot) {
    PrintOutcome(state, state.ApplySnapshot(aSnapshot));
  };
  handlers.takeEvents_ = [&](const TableEvents& aEvents) {
    for (const std::string& key : aEvents.strayKeys_) {
      std::cout << "written past the tool: " << key << std::endl;
    }
    const auto outcome = state.ApplyDeltas(aEvents.deltas_);
    PrintOutcome(state, outcome);
    return outcome.verdict_ != ConfigurationVerdict::Gap &&
           aEvents.problem_.empty();
  };
  handlers.noteFailure_ = [](const Error& aError) {
    std::cerr << "azurecross: " << aError << std::endl;
  };
  StoreWatcher<EtcdClient> watcher(aContext.GetStore(), std::move(handlers));
  aContext.Run(watcher.Run());
  return 0;
}

int
RunAudit(CommandContext& aContext)
{
  const auto entries = aContext.Run(ReadAuditEntries(
    aContext.GetStore(), aContext.GetSettings().GetInteger("limit")));
  if (entries.has_error()) {
    return ReportError(entries.error());
  }
  for (const AuditEntry& entry : *entries) {
    PrintAuditEntry(entry);
  }
  return 0;
}

} // namespace azurecross
