#pragma once

#include <boost/json.hpp>

#include <iosfwd>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/**
 * The story of one request, joined from the decision records of several
 * processes.
 *
 * Read all logs once with `Read`; they may come in any order. Lines that are
 * cut or are no records are counted and passed over. Text before the record,
 * as log collectors add it, is ignored.
 */
class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequest);

  /** Takes the lines of one process.
   * @param aSource its name in the story, such as the file's. */
  void Read(std::istream& aLines, const std::string& aSource);

  /** @returns the request's records, what became of its backend servers,
   * outages of the store of its process, and changes of the quarantine of a
   * part of its prompt, one line each in order of time. */
  std::vector<std::string> Describe() const;

  /** @returns how the request ended and why, as far as the records tell. */
  std::string FindCause() const;

  /** @returns whether a record names the request. */
  bool IsFound() const { return !own_.empty(); }
  std::size_t CountUnreadable() const { return unreadable_; }

private:
  struct Record
  {
    std::string time_;
    std::string source_;
    std::string message_;
    boost::json::object fields_;
  };

  void TakeLine(std::string_view aLine, const std::string& aSource);
  /** @returns the records around the request that explain it. */
  std::vector<Record> FindContext() const;
  /** @returns whether engines that broke off the request were found dead. */
  std::string DescribeExamination() const;
  /** @returns how long the request waited for permits of limited servers. */
  std::string DescribePermitWait() const;
  /** @returns the evidence against the part of the prompt for which the request
   * was refused, and whether the verdict was lifted later. */
  std::string DescribeQuarantine(const Record& aEnd) const;

  std::string request_;
  std::vector<Record> own_;
  /** Changes of backend servers, of the store and of the quarantine of parts of
   * prompts, of all processes. */
  std::vector<Record> changes_;
  std::size_t unreadable_ = 0;
};

} // namespace azurecross
