#include <azurecross_gateway/events/EventId.h>
#include <azurecross_gateway/events/GenerationChecker.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>
#include <tuple>
#include <vector>

namespace azurecross {

namespace {

using Fields = std::tuple<std::string, std::string, bool>;

std::vector<Fields>
ParseInPieces(const std::vector<std::string>& aPieces)
{
  EventParser parser(4096);
  std::vector<Fields> events;
  for (const std::string& piece : aPieces) {
    parser.Give(piece);
    while (const auto event = parser.Next()) {
      events.emplace_back(event->data_, event->id_, event->hasData_);
    }
  }
  return events;
}

std::vector<std::string>
SplitAt(const std::string& aText, const std::vector<std::size_t>& aPlaces)
{
  std::vector<std::string> pieces;
  std::size_t from = 0;
  for (const std::size_t place : aPlaces) {
    if (place > from && place < aText.size()) {
      pieces.push_back(aText.substr(from, place - from));
      from = place;
    }
  }
  pieces.push_back(aText.substr(from));
  return pieces;
}

const std::string kText = "id: 1\ndata: one\n\n"
                          "id: 2\r\ndata: two\r\ndata: more\r\n\r\n"
                          ": comment\n\n"
                          "data:three\rid:3\r\r"
                          "\n\ndata: {\"a\":\"b\\n\"}\n\n";

} // namespace

// Guards against an event that is read differently when its bytes arrive in
// pieces, with each kind of line end.
BOOST_AUTO_TEST_CASE(SplitAtEveryByte)
{
  const std::vector<Fields> expected = { { "one", "1", true },
                                         { "two\nmore", "2", true },
                                         { "", "", false },
                                         { "three", "3", true },
                                         { "{\"a\":\"b\\n\"}", "", true } };
  BOOST_CHECK(ParseInPieces({ kText }) == expected);
  for (std::size_t one = 1; one < kText.size(); ++one) {
    for (std::size_t other = one; other < kText.size(); ++other) {
      BOOST_REQUIRE(ParseInPieces(SplitAt(kText, { one, other })) == expected);
    }
  }
  std::vector<std::size_t> all;
  for (std::size_t place = 1; place < kText.size(); ++place) {
    all.push_back(place);
  }
  BOOST_CHECK(ParseInPieces(SplitAt(kText, all)) == expected);
}

// Guards against bytes lost or crashes for arbitrary input and splits.
BOOST_AUTO_TEST_CASE(RandomInputDoesNotDependOnSplits)
{
  const bool isHeld = rc::check("splits do not matter", [] {
    const auto symbols = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>(
        "\n", "\r", "\r\n", ":", " ", "data", "id", "x", "data: y", "\n\n"));
    std::string text;
    for (const std::string& symbol : symbols) {
      text += symbol;
    }
    auto places = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, text.size() + 1));
    std::sort(places.begin(), places.end());
    RC_ASSERT(ParseInPieces({ text }) == ParseInPieces(SplitAt(text, places)));
  });
  BOOST_TEST(isHeld);
}

// Guards against unbounded memory for a line that never ends.
BOOST_AUTO_TEST_CASE(HugeLineIsRefused)
{
  EventParser parser(1000);
  const std::string piece(100, 'x');
  int given = 0;
  while (!parser.HasFailed() && given < 100) {
    parser.Give(piece);
    BOOST_TEST(!parser.Next().has_value());
    ++given;
  }
  BOOST_TEST(given == 11);
}

// Guards against copies of events that lie in one piece.
BOOST_AUTO_TEST_CASE(WholeEventIsNotCopied)
{
  const std::string piece = "id: 5\ndata: x\n\n";
  EventParser parser(1000);
  parser.Give(piece);
  const auto event = parser.Next();
  BOOST_REQUIRE(event.has_value());
  BOOST_TEST(!event->isAssembled_);
  BOOST_CHECK(event->block_.data() == piece.data());
  BOOST_TEST(event->idLine_ == "id: 5\n");
}

namespace {

EventKind
CheckText(GenerationChecker& aChecker, const std::string& aText)
{
  EventParser parser(1000);
  parser.Give(aText);
  return aChecker.Check(*parser.Next());
}

} // namespace

// Guards against events of another generation, repeated and missing ones.
BOOST_AUTO_TEST_CASE(WrongEventsAreDetected)
{
  GenerationChecker checker;
  BOOST_CHECK(CheckText(checker, "id: 4\ndata: {\"id\":\"g\"}\n\n") ==
              EventKind::Token);
  BOOST_CHECK(
    CheckText(checker, "id: 5\ndata: {\"x\":[{}],\"id\":\"g\"}\n\n") ==
    EventKind::Token);
  BOOST_TEST(checker.GetOffset() == 5U);
  BOOST_CHECK(CheckText(checker, "id: 5\ndata: {\"id\":\"g\"}\n\n") ==
              EventKind::Duplicated);
  BOOST_CHECK(CheckText(checker, "id: 7\ndata: {\"id\":\"g\"}\n\n") ==
              EventKind::Gap);
  BOOST_CHECK(CheckText(checker, "id: 6\ndata: {\"id\":\"h\"}\n\n") ==
              EventKind::Mismatched);
  BOOST_CHECK(CheckText(checker, "data: {\"error\":{}}\n\n") ==
              EventKind::EngineError);
  BOOST_CHECK(CheckText(checker, "data: [DONE]\n\n") == EventKind::Done);
}

// Guards against an id found inside a text or an inner object.
BOOST_AUTO_TEST_CASE(OnlyTopLevelIdCounts)
{
  BOOST_TEST(FindTopLevelText(R"({"a":"\"id\":\"x\"","id":"g"})", "id") == "g");
  BOOST_TEST(FindTopLevelText(R"({"a":{"id":"x"}, "id" : "g"})", "id") == "g");
  BOOST_TEST(FindTopLevelText(R"([{"id":"x"}])", "id").empty());
  BOOST_TEST(FindTopLevelText(R"({"a":"\)", "id").empty());
}

// Guards against an event id that cannot be read back.
BOOST_AUTO_TEST_CASE(EventIdIsReadBack)
{
  const auto id = ParseEventId("zone.host-1.gen_2.17");
  BOOST_REQUIRE(id.has_value());
  BOOST_TEST(id->backendServer_.GetValue() == "zone.host-1");
  BOOST_TEST(id->generation_ == "gen_2");
  BOOST_TEST(id->offset_ == 17U);
  BOOST_TEST(id->Format() == "zone.host-1.gen_2.17");
  for (const char* text : { "",
                            ".",
                            "..",
                            "a.b",
                            "a.b.",
                            "a.b.x",
                            ".b.1",
                            "a..1",
                            "a.b/../c.1",
                            "a.b.99999999999999999999" }) {
    BOOST_TEST(!ParseEventId(text).has_value());
  }
}

} // namespace azurecross
