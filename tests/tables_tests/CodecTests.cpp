#include "TestTables.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

namespace azurecross {

namespace {

/** @returns the message of the refusal, or an empty text. */
template<typename Function>
std::string
FindRefusal(Function aFunction)
{
  const auto result = CaptureResult(aFunction);
  return result.has_error() ? result.error().message_ : std::string();
}

std::string
FindRouteRefusal(const std::string& aText)
{
  return FindRefusal([&] { return ParseRoute("chat", aText); });
}

rc::Gen<std::string>
GenName()
{
  return rc::gen::nonEmpty(rc::gen::container<std::string>(
    rc::gen::elementOf(std::string("abcXYZ019"))));
}

template<typename Id>
rc::Gen<std::vector<Id>>
GenNames()
{
  return rc::gen::unique<std::vector<Id>>(
    rc::gen::map(rc::gen::scale(0.2, GenName()),
                 [](std::string aName) { return Id(aName.substr(0, 100)); }));
}

template<typename Enum, std::size_t Count>
Enum
PickChoice(const NameTable<Enum, Count>& aNames)
{
  return aNames.GetEntries()[*rc::gen::inRange<std::size_t>(0, Count)].first;
}

Route
PickRoute()
{
  Route route =
    MakeRoute((*GenName()).substr(0, 100), (*GenName()).substr(0, 100));
  route.kind_ = PickChoice(kRouteKindNames);
  route.rank_ = PickChoice(kRankNames);
  route.idempotent_ = PickChoice(kIdempotencyNames);
  route.customers_ = *GenNames<CustomerId>();
  if (route.kind_ == RouteKind::Generation) {
    route.models_ = *rc::gen::scale(0.3, GenNames<ModelName>());
  }
  route.pathPrefix_ = "/" + (*GenName()).substr(0, 100);
  route.deadline_ =
    std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(1, 86'400'001));
  route.priorityOrder_ = *rc::gen::inRange<std::int64_t>(0, 1'000'001);
  return route;
}

/** @returns a text with a few bytes changed, removed or repeated. */
std::string
Mutate(std::string aText)
{
  const int changes = *rc::gen::inRange(1, 8);
  for (int change = 0; change < changes && !aText.empty(); ++change) {
    const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        aText[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        aText.erase(at, 1);
        break;
      default:
        aText.insert(at, aText.substr(at / 2, 5));
    }
  }
  return aText;
}

} // namespace

// Guards against a field that is written but not read, or read with another
// meaning.
BOOST_AUTO_TEST_CASE(RouteSurvivesItsJsonForm)
{
  BOOST_TEST(rc::check("route round trip", [] {
    const Route route = PickRoute();
    const auto read = CaptureResult([&] {
      return ParseRoute(route.name_.GetValue(), SerializeRoute(route));
    });
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == route);
  }));
}

// Guards against a pool field that is lost on the way to the store.
BOOST_AUTO_TEST_CASE(PoolSurvivesItsJsonForm)
{
  Pool pool = MakePool("engines");
  pool.backendServers_ = {
    { BackendServerId("e1"), { "::1", 8000 }, AvailabilityZone("shubra") }
  };
  pool.adapters_ = { "gloss" };
  pool.versions_ = { { "paint", "3" }, { "gloss", "1" } };
  pool.checksFencing_ = true;
  pool.memoryTokens_ = 5;
  pool.maxConcurrent_ = 7;
  const auto read =
    CaptureResult([&] { return ParsePool("engines", SerializePool(pool)); });
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK(*read == pool);
}

// Guards against a crash or an unclear refusal on damaged text.
BOOST_AUTO_TEST_CASE(DamagedTextIsRefusedClearly)
{
  TableDocument document;
  document.routes_ = { MakeRoute("chat", "engines") };
  document.pools_ = { MakePool("engines") };
  document.pools_[0].versions_ = { { "paint", "3" } };
  const std::string good = SerializeDocument(document);
  BOOST_TEST(rc::check("damaged document", [&] {
    const auto result =
      CaptureResult([&, text = Mutate(good)] { return ParseDocument(text); });
    if (result.has_error()) {
      RC_ASSERT(result.error().code_ == ErrorCode::InvalidTables);
      RC_ASSERT(!result.error().message_.empty());
    }
  }));
  BOOST_TEST(rc::check("random bytes", [](const std::string& aText) {
    // An empty object is an empty document. The extra parentheses keep
    // RC_ASSERT from evaluating both sides of the operator.
    const auto read = CaptureResult([&] { return ParseDocument(aText); });
    RC_ASSERT((read.has_error() || *read == TableDocument()));
    RC_ASSERT(
      CaptureResult([&] { return ParseTableRevision(aText); }).has_error());
    RC_ASSERT(
      CaptureResult([&] { return ParseAuditEntry(aText); }).has_error());
    RC_ASSERT(
      CaptureResult([&] { return ParseTableUpdate(aText); }).has_error());
    RC_ASSERT(CaptureResult([&] { return ParseVmList(aText); }).has_error());
  }));
}

// Guards against a crash on deeply nested text.
BOOST_AUTO_TEST_CASE(DeepNestingIsRefused)
{
  const std::string deep = "{\"name\":" + std::string(100'000, '[');
  BOOST_TEST(!FindRouteRefusal(deep).empty());
}

// Guards against a misspelt field that silently has its default.
BOOST_AUTO_TEST_CASE(UnknownFieldIsRefusedWithRowAndName)
{
  BOOST_TEST(
    FindRouteRefusal(R"({"name":"chat","pool":"engines","rnak":"urgent"})") ==
    "routes/chat: field 'rnak': is unknown");
  const std::string nested = FindRefusal([] {
    return ParsePool("p", R"({"name":"p","kind":"service","backend_servers":[
      {"id":"a","address":"1.2.3.4:5","availability_zone":"z","weight":1}]})");
  });
  BOOST_TEST(nested == "pools/p/backend_servers: field 'weight': is unknown");
}

// Guards against values that later overflow or stop a route from working.
BOOST_AUTO_TEST_CASE(ValuesOutOfRangeAreRefused)
{
  const auto refuses = [](const std::string& aField,
                          const std::string& aReason) {
    const std::string refusal =
      FindRouteRefusal(R"({"name":"chat","pool":"engines",)" + aField + "}");
    BOOST_TEST(refusal.find(aReason) != std::string::npos,
               aField << " gave '" << refusal << "'");
  };
  refuses(R"("deadline_ms":0)", "from 1 to 86400000");
  refuses(R"("deadline_ms":86400001)", "from 1 to 86400000");
  refuses(R"("deadline_ms":1.5)", "whole number");
  refuses(R"("deadline_ms":"5")", "whole number");
  refuses(R"("deadline_ms":18446744073709551615)", "whole number");
  refuses(R"("priority_order":-1)", "from 0 to 1000000");
  refuses(R"("rank":"fast")", "allowed: urgent, lesser");
  refuses(R"("path_prefix":"v1")", "must begin with '/'");
  refuses(R"("methods":["post"])", "capital letters");
  refuses(R"("methods":"POST")", "list of texts");
  refuses(R"("models":["a","a"])", "more than once");
  refuses(R"("customers":["a b"])", "printable");
  refuses(R"("kind":"service","models":["a"])", "has no models");
}

// Guards against a row whose name differs from its key, and against names that
// would form other keys.
BOOST_AUTO_TEST_CASE(NameHasToMatchTheKey)
{
  BOOST_TEST(FindRouteRefusal(R"({"name":"other","pool":"engines"})") ==
             "routes/chat: field 'name': 'other' is not the key");
  BOOST_TEST(!FindRefusal([] {
                return ParseRoute("a/b", R"({"name":"a/b","pool":"p"})");
              }).empty());
}

// Guards against two revisions without an edit id that pass for the same edit.
BOOST_AUTO_TEST_CASE(RevisionNeedsAnEditId)
{
  TableRevision revision{ 3, "e3", "e2", 0xfedcba9876543210U };
  const auto read = CaptureResult(
    [&] { return ParseTableRevision(SerializeTableRevision(revision)); });
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK(*read == revision);
  revision.editId_.clear();
  BOOST_TEST(!FindRefusal([&] {
                return ParseTableRevision(SerializeTableRevision(revision));
              }).empty());
}

// Guards against one of two rows with the same name being dropped silently.
BOOST_AUTO_TEST_CASE(DuplicateNamesAreRefused)
{
  const std::string refusal = FindRefusal([] {
    return ParseDocument(R"({"routes":[{"name":"a","pool":"p"},
                                       {"name":"a","pool":"q"}]})");
  });
  BOOST_TEST(refusal == "routes/a: the name occurs more than once");
}

// Guards against a list of VMs that is read wrongly, and against another
// answer taken as a list without VMs.
BOOST_AUTO_TEST_CASE(VmListSurvivesItsJsonForm)
{
  VmList list;
  list.version_ = 4;
  list.vms_ = { { "vm1",
                  VmRole::Entry,
                  "entries",
                  AvailabilityZone("helwan"),
                  { "10.0.0.1", 80 },
                  VmState::Leaving } };
  const auto read =
    CaptureResult([&] { return ParseVmList(SerializeVmList(list)); });
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK(*read == list);
  BOOST_TEST(!FindRefusal([] { return ParseVmList("{}"); }).empty());
}

} // namespace azurecross
