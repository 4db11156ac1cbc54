#pragma once

#include <azurecross_core/azurecross_core.h>

#include <string>
#include <vector>

namespace azurecross {

/** Why a row of the tables is refused. */
struct TableProblem
{
  /** The row, such as `routes/chat`. */
  std::string row_;
  std::string reason_;

  friend bool operator==(const TableProblem&, const TableProblem&) = default;
};

using TableProblems = std::vector<TableProblem>;

/** @returns the problems as one text, each as `row: reason`. */
std::string
DescribeProblems(const TableProblems& aProblems);

/** @returns the error `invalid_tables` with the problems as its message. */
Error
MakeTablesError(const TableProblems& aProblems);

} // namespace azurecross
