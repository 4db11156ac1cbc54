#include "CheckCommand.h"

#include <platform/azurecross_platform.h>

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace azurecross {

namespace {

/** @returns the content of a file; `-` is standard input. */
std::optional<std::string>
ReadFile(const std::string& aName)
{
  std::ifstream file;
  if (aName != "-") {
    file.open(aName, std::ios::binary);
    if (!file) {
      return std::nullopt;
    }
  }
  std::istream& input = aName == "-" ? std::cin : file;
  return std::string{ std::istreambuf_iterator<char>(input), {} };
}

void
PrintText(const std::vector<CheckFinding>& aFindings)
{
  for (const CheckFinding& finding : aFindings) {
    std::cout << kCheckLevelNames.FindName(finding.level_) << ": "
              << finding.entry_ << ": " << finding.message_ << "\n";
  }
  if (aFindings.empty()) {
    std::cout << "no findings\n";
  }
}

void
PrintJson(const std::vector<CheckFinding>& aFindings)
{
  boost::json::array findings;
  for (const CheckFinding& finding : aFindings) {
    findings.push_back(boost::json::object{
      { "level", kCheckLevelNames.FindName(finding.level_) },
      { "entry", finding.entry_ },
      { "message", finding.message_ } });
  }
  std::cout << boost::json::serialize(
                 boost::json::object{ { "findings", std::move(findings) } })
            << "\n";
}

/** @returns the tables of a document. A document that would be rejected adds an
 * error to the findings. */
std::optional<ServingTables::Content>
ParseTables(const std::string& aText,
            const std::string& aFile,
            std::vector<CheckFinding>& aFindings)
{
  auto content = platform::ParseOperatorDocument(aText);
  if (!content) {
    aFindings.push_back(
      { CheckLevel::Error, "file " + aFile, content.error().message_ });
    return std::nullopt;
  }
  return std::move(*content);
}

} // namespace

int
RunCheckTables(CommandContext& aContext)
{
  const std::string file = aContext.GetArgument(0);
  const std::string inForceFile = aContext.GetSettings().GetText("in-force");
  const std::string output = aContext.GetSettings().GetText("output");
  const auto text = file.empty() ? std::nullopt : ReadFile(file);
  const auto inForceText =
    inForceFile.empty() ? std::nullopt : ReadFile(inForceFile);
  const bool isOutputKnown = output == "text" || output == "json";
  if (!text || (!inForceFile.empty() && !inForceText) || !isOutputKnown) {
    std::cerr << "azurecross: check-tables: "
              << (!isOutputKnown ? "output is text or json"
                  : text         ? "can't read the file '" + inForceFile + "'"
                  : file.empty() ? "name a file, or - for standard input"
                                 : "can't read the file '" + file + "'")
              << "\n";
    return kExitInvalidSettings;
  }
  std::vector<CheckFinding> findings;
  const auto proposed = ParseTables(*text, file, findings);
  if (proposed) {
    findings = CheckTables(*proposed);
  }
  if (proposed && inForceText) {
    const auto inForce = ParseTables(*inForceText, inForceFile, findings);
    if (inForce) {
      const auto changes = CompareTables(*inForce, *proposed);
      findings.insert(findings.end(), changes.begin(), changes.end());
    }
  }
  if (output == "json") {
    PrintJson(findings);
  } else {
    PrintText(findings);
  }
  const bool hasError = std::any_of(
    findings.begin(), findings.end(), [](const CheckFinding& aFinding) {
      return aFinding.level_ == CheckLevel::Error;
    });
  return hasError ? kExitFailed : 0;
}

} // namespace azurecross
