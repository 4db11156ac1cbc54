#include "TableRevision.h"

#include "../codec/JsonText.h"
#include "RevisionJson.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>

namespace azurecross {

namespace {

// JSON numbers lose precision above 2^53 in many readers.
std::string
FormatDigest(std::uint64_t aDigest)
{
  std::array<char, 16> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aDigest, 16).ptr;
  return { text.data(), end };
}

std::uint64_t
ReadDigest(FieldReader& aReader)
{
  const std::string text = aReader.ReadRequiredText("rows_digest");
  std::uint64_t digest = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, digest, 16);
  if (error != std::errc() || stop != end) {
    aReader.AddProblem("rows_digest", "must be a hexadecimal number");
  }
  return digest;
}

} // namespace

boost::json::object
EncodeRevision(const TableRevision& aRevision)
{
  boost::json::object object;
  object["revision"] = aRevision.number_;
  object["edit_id"] = aRevision.editId_;
  object["parent_edit_id"] = aRevision.parentEditId_;
  object["rows_digest"] = FormatDigest(aRevision.rowsDigest_);
  return object;
}

TableRevision
DecodeRevision(const boost::json::object& aObject,
               const std::string& aSource,
               TableProblems& aProblems)
{
  FieldReader reader(aObject, aSource, aProblems);
  TableRevision revision;
  revision.number_ = reader.ReadInteger("revision", 0, 0, INT64_MAX);
  revision.editId_ = reader.ReadRequiredText("edit_id");
  revision.parentEditId_ = reader.ReadRequiredText("parent_edit_id");
  revision.rowsDigest_ = ReadDigest(reader);
  // Two revisions without an edit id would look like the same edit.
  if (revision.number_ > 0 && revision.editId_.empty()) {
    reader.AddProblem("edit_id", "must not be empty");
  }
  reader.Finish();
  return revision;
}

Result<TableRevision>
ParseTableRevision(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aText, "head"));
  TableProblems problems;
  TableRevision revision = DecodeRevision(object, "head", problems);
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return revision;
}

std::string
SerializeTableRevision(const TableRevision& aRevision)
{
  return boost::json::serialize(EncodeRevision(aRevision));
}

std::string
DescribeRevision(const TableRevision& aRevision)
{
  std::string text = "revision " + std::to_string(aRevision.number_);
  if (!aRevision.editId_.empty()) {
    text += " (edit " + aRevision.editId_ + ")";
  }
  return text;
}

} // namespace azurecross
