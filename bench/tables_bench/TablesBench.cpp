#include <azurecross_tables/azurecross_tables.h>

#include <benchmark/benchmark.h>

namespace azurecross {

namespace {

constexpr int kModels = 8;

std::string
MakeCustomer(std::int64_t aIndex)
{
  return "customer-" + std::to_string(aIndex);
}

std::string
MakeModel(std::int64_t aIndex)
{
  return "model-" + std::to_string(aIndex % kModels);
}

/** One route per customer and one for all, as in a large deployment. */
TableRows
MakeBenchRows(std::int64_t aRoutes)
{
  TableDocument document;
  Pool pool;
  pool.name_ = PoolName("engines");
  pool.group_ = "engines";
  for (int model = 0; model < kModels; ++model) {
    pool.models_.emplace_back(MakeModel(model));
  }
  document.pools_ = { pool };
  Route all;
  all.name_ = RouteName("all");
  all.pool_ = pool.name_;
  all.pathPrefix_ = "/v1";
  document.routes_.push_back(all);
  for (std::int64_t at = 0; at < aRoutes; ++at) {
    Route route = all;
    route.name_ = RouteName("route-" + std::to_string(at));
    route.pathPrefix_ = "/v1/chat/completions";
    route.customers_ = { CustomerId(MakeCustomer(at)) };
    route.models_ = { ModelName(MakeModel(at)) };
    route.methods_ = { "POST" };
    document.routes_.push_back(route);
  }
  return MakeRows(document);
}

TableRevision
MakeRevision(std::int64_t aNumber, const TableRows& aRows)
{
  return { aNumber,
           "e" + std::to_string(aNumber),
           "e" + std::to_string(aNumber - 1),
           aRows.ComputeDigest() };
}

/** The cost of a look-up per request. */
void
FindRoute(benchmark::State& aState)
{
  const TableRows rows = MakeBenchRows(aState.range(0));
  const auto tables = CaptureResult([&] { return Tables::Make({}, rows); });
  std::vector<std::string> customers;
  for (std::int64_t at = 0; at < 1024; ++at) {
    customers.push_back(MakeCustomer(at * 7 % (aState.range(0) + 100)));
  }
  std::size_t next = 0;
  for (auto iteration : aState) {
    benchmark::DoNotOptimize(
      (*tables)->FindRoute("POST",
                           "/v1/chat/completions",
                           "model-3",
                           customers[next++ % customers.size()]));
  }
}
BENCHMARK(FindRoute)->Arg(10)->Arg(1000)->Arg(7200);

/** The cost of one edit at an entry. */
void
ApplyDelta(benchmark::State& aState)
{
  TableSnapshot snapshot;
  snapshot.rows_ = MakeBenchRows(aState.range(0));
  snapshot.revision_ = MakeRevision(1, snapshot.rows_);
  ConfigurationState state;
  state.ApplySnapshot(snapshot);
  std::int64_t number = 1;
  for (auto iteration : aState) {
    aState.PauseTiming();
    Route route;
    route.name_ = RouteName("route-0");
    route.pool_ = PoolName("engines");
    route.deadline_ = std::chrono::milliseconds(1 + number % 1000);
    const RowChange change{ TableKind::Routes,
                            "route-0",
                            SerializeRoute(route) };
    snapshot.rows_.Apply(change);
    TableDelta delta;
    delta.baseNumber_ = number;
    delta.baseEditId_ = "e" + std::to_string(number);
    delta.revision_ = MakeRevision(++number, snapshot.rows_);
    delta.changes_ = { change };
    aState.ResumeTiming();
    const auto outcome = state.ApplyDeltas({ delta });
    if (outcome.verdict_ != ConfigurationVerdict::Activated) {
      aState.SkipWithError(outcome.message_.c_str());
    }
  }
}
BENCHMARK(ApplyDelta)->Arg(1000)->Arg(7200)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace azurecross

BENCHMARK_MAIN();
