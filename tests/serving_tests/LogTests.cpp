#include <azurecross_serving/log/DecisionLog.h>

#include <boost/test/unit_test.hpp>

namespace azurecross {

BOOST_AUTO_TEST_SUITE(DecisionLogs)

// Guards against a kind of record that is suppressed for good once its budget
// is exhausted.
BOOST_AUTO_TEST_CASE(BudgetOfEachKindIsRenewed)
{
  StartLogging(LogLevel::Info, "serving_tests");
  const ScopeGuard quiet(
    [] { StartLogging(LogLevel::Error, "serving_tests"); });
  constexpr std::uint32_t kBudget = 2;
  for (const auto& [decision, name] : kDecisionNames.GetEntries()) {
    BOOST_TEST_CONTEXT(name)
    {
      DecisionLog log(kBudget);
      for (std::uint32_t record = 0; record <= kBudget; ++record) {
        log.Write(decision, {});
      }
      BOOST_TEST(log.CountSuppressedRecords() == 1U);
      // Writes one record about the suppressed one.
      log.Tick(Time(std::chrono::seconds(100)));
      log.Write(decision, {});
      BOOST_TEST(log.CountSuppressedRecords() == 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
