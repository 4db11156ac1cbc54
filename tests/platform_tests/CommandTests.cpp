#include <azurecross/RowEdit.h>

#include <boost/test/unit_test.hpp>

namespace azurecross {

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
