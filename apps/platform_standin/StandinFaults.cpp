#include "StandinFaults.h"

#include <azurecross_tables/codec/FieldReader.h>
#include <azurecross_tables/codec/JsonText.h>

#include <boost/json/serialize.hpp>

namespace azurecross {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMostDelayMilliseconds = 600'000;
constexpr std::int64_t kMostLostAnswers = 1'000'000;

} // namespace

Result<StandinFaults>
ParseFaults(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aText, "faults"));
  TableProblems problems;
  FieldReader reader(object, "faults", problems);
  StandinFaults faults;
  faults.isStoreDown_ = reader.ReadFlag("store_down", false);
  faults.isVmListDown_ = reader.ReadFlag("vms_down", false);
  faults.delay_ = std::chrono::milliseconds(
    reader.ReadInteger("slow_ms", 0, 0, kMostDelayMilliseconds));
  faults.loseAnswers_ =
    reader.ReadInteger("lose_answers", 0, 0, kMostLostAnswers);
  reader.Finish();
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return faults;
}

std::string
SerializeFaults(const StandinFaults& aFaults)
{
  json::object object;
  object["store_down"] = aFaults.isStoreDown_;
  object["vms_down"] = aFaults.isVmListDown_;
  object["slow_ms"] = aFaults.delay_.count();
  object["lose_answers"] = aFaults.loseAnswers_;
  return json::serialize(object);
}

std::string
SerializeCounts(const StandinCounts& aCounts)
{
  json::object object;
  object["range"] = aCounts.range_;
  object["txn"] = aCounts.txn_;
  object["lease"] = aCounts.lease_;
  object["watch"] = aCounts.watch_;
  object["vms"] = aCounts.vms_;
  object["refused"] = aCounts.refused_;
  object["total"] = aCounts.GetTotal();
  return json::serialize(object);
}

} // namespace azurecross
