#include "TestTables.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

EditRequest
MakeRequest(std::vector<RowChange> aChanges)
{
  EditRequest request;
  request.author_ = "ola";
  request.editId_ = "e-new";
  request.unixMilliseconds_ = 5;
  request.changes_ = std::move(aChanges);
  return request;
}

AsyncResult<EditPlan>
Plan(const TestStore& aStore, const EditRequest& aRequest)
{
  return CaptureResult([&] { return EditPlan::Make(aStore.Read(), aRequest); });
}

TestStore
MakeStore()
{
  TestStore store;
  store.Edit(
    "e1",
    { SetPool(MakePool("engines")), SetRoute(MakeRoute("chat", "engines")) });
  return store;
}

} // namespace

// Guards against an edit whose rows, head and audit entry do not belong
// together.
BOOST_AUTO_TEST_CASE(PlanWritesRowsHeadAndAudit)
{
  Route route = MakeRoute("chat", "engines");
  route.rank_ = Rank::Urgent;
  const auto plan = Plan(MakeStore(), MakeRequest({ SetRoute(route) }));
  BOOST_REQUIRE(plan.has_value());
  const AuditEntry& audit = plan->GetAudit();
  BOOST_TEST(audit.revision_.number_ == 2);
  BOOST_TEST(audit.revision_.parentEditId_ == "e1");
  BOOST_REQUIRE(audit.changes_.size() == 1U);
  BOOST_TEST(audit.changes_[0].old_.value() ==
             SerializeRoute(MakeRoute("chat", "engines")));
  BOOST_TEST(audit.changes_[0].new_.value() == SerializeRoute(route));
  BOOST_REQUIRE(plan->GetPuts().size() == 3U);
  BOOST_TEST(plan->GetPuts()[0].key_ == "azurecross/config/routes/chat");
  BOOST_TEST(plan->GetPuts()[1].key_ == kHeadKey);
  BOOST_TEST(plan->GetPuts()[2].key_ ==
             "azurecross/config/audit/0000000000000000002");
  const auto read =
    CaptureResult([&] { return ParseAuditEntry(plan->GetPuts()[2].value_); });
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK(*read == audit);
}

// Guards against an invalid edit reaching the store.
BOOST_AUTO_TEST_CASE(InvalidEditIsRefused)
{
  const auto plan =
    Plan(MakeStore(), MakeRequest({ { TableKind::Pools, "engines", {} } }));
  BOOST_REQUIRE(plan.has_error());
  BOOST_CHECK(plan.error().code_ == ErrorCode::InvalidTables);
  BOOST_CHECK(plan.error().verdict_ == Verdict::NotRun);
  BOOST_TEST(plan.error().message_ ==
             "routes/chat: field 'pool': there is no pool 'engines'");
}

// Guards against a revision that changes nothing.
BOOST_AUTO_TEST_CASE(SameRowsAreNoEdit)
{
  const auto plan =
    Plan(MakeStore(),
         MakeRequest({ { TableKind::Routes,
                         "chat",
                         R"({ "pool": "engines", "name": "chat" })" } }));
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->IsEmpty());
}

// Guards against an edit that takes over a row written past the tool.
BOOST_AUTO_TEST_CASE(StrayRowIsNotTakenOverSilently)
{
  TestStore store = MakeStore();
  store.snapshot_.rows_.Apply(SetRoute(MakeRoute("stray", "engines")));
  EditRequest request = MakeRequest({ SetPool(MakePool("more")) });
  const auto refused = Plan(store, request);
  BOOST_REQUIRE(refused.has_error());
  BOOST_TEST(refused.error().message_.find("past the tool") !=
             std::string::npos);
  request.acceptsStoreRows_ = true;
  BOOST_TEST(Plan(store, request).has_value());
}

// Guards against accepted changes being reverted by a restored store.
BOOST_AUTO_TEST_CASE(OlderOrForkedStoreIsNotWritten)
{
  EditRequest request = MakeRequest({ SetPool(MakePool("more")) });
  request.knownRevision_ = TableRevision{ 2, "e2", "e1", 0 };
  const auto older = Plan(MakeStore(), request);
  BOOST_REQUIRE(older.has_error());
  BOOST_CHECK(older.error().code_ == ErrorCode::EditConflict);
  request.knownRevision_ = TableRevision{ 1, "x1", "", 0 };
  BOOST_TEST(Plan(MakeStore(), request).has_error());
  request.knownRevision_ = TableRevision{ 1, "e1", "", 0 };
  BOOST_TEST(Plan(MakeStore(), request).has_value());
}

// Guards against a restored store that can't be brought back into use.
BOOST_AUTO_TEST_CASE(RecoveryNumbersTheEditAfterTheEntries)
{
  EditRequest request = MakeRequest({ SetPool(MakePool("more")) });
  request.knownRevision_ = TableRevision{ 8, "e8", "e7", 0 };
  request.recoversStore_ = true;
  const auto plan = Plan(MakeStore(), request);
  BOOST_REQUIRE(plan.has_value());
  request.knownRevision_.reset();
  BOOST_TEST(Plan(MakeStore(), request).has_error());
  BOOST_TEST(plan->GetAudit().revision_.number_ == 9);
  BOOST_TEST(plan->GetAudit().revision_.parentEditId_ == "e8");
}

// Guards against transactions and values that the store refuses.
BOOST_AUTO_TEST_CASE(OversizedEditIsRefused)
{
  std::vector<RowChange> changes;
  for (std::size_t at = 0; at <= kMostRowsPerEdit; ++at) {
    changes.push_back(SetPool(MakePool("p" + std::to_string(at))));
  }
  const auto many = Plan(TestStore(), MakeRequest(changes));
  BOOST_REQUIRE(many.has_error());
  BOOST_TEST(many.error().message_.find("101 rows") != std::string::npos);

  Route route = MakeRoute("chat", "engines");
  for (int at = 0; at < 9'999; ++at) {
    route.customers_.emplace_back(std::string(110, 'c') + std::to_string(at));
  }
  const auto large = Plan(MakeStore(), MakeRequest({ SetRoute(route) }));
  BOOST_REQUIRE(large.has_error());
  BOOST_TEST(large.error().message_.find("at most 1048576") !=
             std::string::npos);
}

// Guards against an audit that grows without bound.
BOOST_AUTO_TEST_CASE(OldAuditEntriesAreDeleted)
{
  TestStore store = MakeStore();
  const auto first = Plan(store, MakeRequest({ SetPool(MakePool("more")) }));
  BOOST_TEST(!first->FindAuditEnd().has_value());
  store.snapshot_.revision_.number_ = 1500;
  const auto later = Plan(store, MakeRequest({ SetPool(MakePool("more")) }));
  BOOST_TEST(later->FindAuditEnd().value() == MakeAuditKey(502));
}

// Guards against a difference that operators can't read.
BOOST_AUTO_TEST_CASE(ChangesNameRowsAndFields)
{
  Route route = MakeRoute("chat", "engines");
  const std::string before = SerializeRoute(route);
  route.rank_ = Rank::Urgent;
  const std::string text = DescribeChanges(
    { { TableKind::Routes, "chat", before, SerializeRoute(route) },
      { TableKind::Pools, "old", "{}", std::nullopt } });
  BOOST_TEST(text == "~ routes/chat rank: \"lesser\" -> \"urgent\"\n"
                     "- pools/old {}\n");
}

} // namespace azurecross
