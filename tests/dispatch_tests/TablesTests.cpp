#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace azurecross {

namespace {

ServingRoute
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  ServingRoute route;
  route.name_ = RouteName(aName);
  route.host_ = "h";
  route.prefix_ = aPrefix;
  return route;
}

} // namespace

// Guards against matching a shorter prefix or the route of another host.
BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins)
{
  ServingTables::Content content;
  content.routes_ = { MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/") };
  const ServingTables tables(std::move(content));
  BOOST_TEST(tables.FindRoute("h", "/a/b/c")->name_.GetValue() == "long");
  BOOST_TEST(tables.FindRoute("h", "/a/bc")->name_.GetValue() == "short");
  BOOST_TEST(tables.FindRoute("h", "/b/") == nullptr);
  BOOST_TEST(tables.FindRoute("other", "/a/b/c") == nullptr);
}

// Guards against API keys that map to the wrong customer, and against unknown
// keys that are accepted.
BOOST_AUTO_TEST_CASE(KeyBelongsToItsCustomer)
{
  ServingTables::Content content;
  content.customers_.emplace();
  content.customers_->push_back({ CustomerId("x"), { "k1", "k2" }, {} });
  content.customers_->push_back({ CustomerId("y"), { "k3" }, 1 });
  const ServingTables tables(std::move(content));
  BOOST_TEST(tables.FindCustomer("k2")->name_.GetValue() == "x");
  BOOST_TEST(tables.FindCustomer("k3")->priority_.value() == 1);
  BOOST_TEST(tables.FindCustomer("k4") == nullptr);
}

// Guards against an empty list of customers that is taken for none.
BOOST_AUTO_TEST_CASE(EmptyListOfCustomersNeedsKeys)
{
  ServingTables::Content content;
  BOOST_TEST(!ServingTables(content).NeedApiKeys());
  content.customers_.emplace();
  const ServingTables tables(std::move(content));
  BOOST_TEST(tables.NeedApiKeys());
  BOOST_TEST(tables.FindCustomer("") == nullptr);
}

// Guards against pool shares that differ from the weights of the route.
BOOST_AUTO_TEST_CASE(PoolsGetTheirShares)
{
  ServingRoute route = MakeRoute("split", "/a/");
  route.pools_ = { { PoolName("p"), 90.0 }, { PoolName("q"), 10.0 } };
  std::map<std::string, int> counts;
  Random random(3);
  constexpr int kDraws = 10000;
  for (int draw = 0; draw < kDraws; ++draw) {
    ++counts[ChoosePool(route, random.DrawUnit()).GetValue()];
  }
  BOOST_TEST(counts["q"] > 900);
  BOOST_TEST(counts["q"] < 1100);
}

} // namespace azurecross
