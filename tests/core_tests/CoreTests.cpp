#define BOOST_TEST_MODULE core_tests
#include <boost/test/unit_test.hpp>

#include <azurecross_core/azurecross_core.h>

namespace azurecross {

// Guards against a name missing from a table, which callers would see as
// "unknown".
BOOST_AUTO_TEST_CASE(ErrorCodesHaveNames)
{
  for (int value = 0; value <= static_cast<int>(ErrorCode::Internal); ++value) {
    const auto code = static_cast<ErrorCode>(value);
    const auto name = kErrorCodeNames.FindName(code);
    BOOST_TEST(name != "unknown");
    BOOST_TEST(kErrorCodeNames.FindValue(name).has_value());
  }
}

// Guards against runs that can't be repeated from their seed.
BOOST_AUTO_TEST_CASE(SameSeedGivesSameNumbers)
{
  Random first(7);
  Random second(7);
  for (int draw = 0; draw < 100; ++draw) {
    BOOST_TEST(first.DrawBits() == second.DrawBits());
    BOOST_TEST(first.DrawUnit() == second.DrawUnit());
    BOOST_TEST(first.DrawBelow(10) == second.DrawBelow(10));
  }
}

// Guards against draws outside the requested range.
BOOST_AUTO_TEST_CASE(DrawsStayInRange)
{
  Random random(3);
  for (int draw = 0; draw < 1000; ++draw) {
    BOOST_TEST(random.DrawBelow(3) < 3U);
    const double unit = random.DrawUnit();
    BOOST_TEST((unit >= 0.0 && unit < 1.0));
    const Duration jittered = random.Jitter(std::chrono::seconds(1), 0.5);
    BOOST_TEST((jittered >= std::chrono::milliseconds(499) &&
                jittered <= std::chrono::seconds(1)));
  }
}

// Guards against entries that disagree on a hash, and so on a home entry.
BOOST_AUTO_TEST_CASE(HashIsStable)
{
  BOOST_TEST(HashBytes("azurecross") == HashBytes("azurecross"));
  BOOST_TEST(HashBytes("azurecross", 1) != HashBytes("azurecross", 2));
}

// Guards against a metric that is registered twice or not exported.
BOOST_AUTO_TEST_CASE(MetricsAreSerialized)
{
  Metrics metrics;
  metrics.GetCounter("requests_total", "Requests.", { { "rank", "urgent" } })
    .Increment();
  metrics.GetCounter("requests_total", "Requests.", { { "rank", "urgent" } })
    .Increment();
  const std::string text = metrics.Serialize();
  BOOST_TEST(text.find("requests_total{rank=\"urgent\"} 2") !=
             std::string::npos);
}

} // namespace azurecross
