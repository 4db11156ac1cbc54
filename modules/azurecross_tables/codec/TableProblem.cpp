#include "TableProblem.h"

namespace azurecross {

namespace {

// A file with thousands of wrong rows would otherwise fill the log.
constexpr std::size_t kMostProblemsShown = 20;

} // namespace

std::string
DescribeProblems(const TableProblems& aProblems)
{
  std::string text;
  for (std::size_t at = 0; at < aProblems.size(); ++at) {
    if (at == kMostProblemsShown) {
      return text + "; and " + std::to_string(aProblems.size() - at) + " more";
    }
    text +=
      (at == 0 ? "" : "; ") + aProblems[at].row_ + ": " + aProblems[at].reason_;
  }
  return text;
}

Error
MakeTablesError(const TableProblems& aProblems)
{
  return Error{
    ErrorCode::InvalidTables, Verdict::NotRun, DescribeProblems(aProblems), {}
  };
}

} // namespace azurecross
