#include "PlatformFixture.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/test/unit_test.hpp>

namespace azurecross {

PlatformFixture::PlatformFixture()
  : standin_(standinContext_.get_executor(), { "127.0.0.1", 0 })
  , clientSettings_{ { standin_.GetAddress() },
                     std::chrono::milliseconds(500),
                     std::chrono::milliseconds(500),
                     std::chrono::seconds(60) }
  , client_(MakeClient())
{
  standin_.Start();
  thread_ = std::thread([this] { standinContext_.run(); });
}

PlatformFixture::~PlatformFixture()
{
  standin_.Stop();
  thread_.join();
}

EtcdClient
PlatformFixture::MakeClient()
{
  return EtcdClient(context_.get_executor(), clientSettings_);
}

void
PlatformFixture::RunFor(std::chrono::milliseconds aTime)
{
  context_.restart();
  context_.run_for(aTime);
}

std::string
PlatformFixture::Call(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody)
{
  HttpClient http(context_.get_executor());
  const auto response =
    Run(http.Send(standin_.GetAddress(), { aMethod, aPath, {}, aBody }));
  BOOST_REQUIRE(response.has_value());
  BOOST_REQUIRE_EQUAL(response->status_, 200U);
  return response->body_;
}

void
PlatformFixture::SetFaults(const std::string& aFaults)
{
  Call("PUT", "/test/faults", aFaults);
}

std::int64_t
PlatformFixture::ReadCount(const std::string& aName)
{
  const auto counts = boost::json::parse(Call("GET", "/test/counts", ""));
  return counts.as_object().at(aName).to_number<std::int64_t>();
}

AsyncResult<EditOutcome>
PlatformFixture::TryEdit(EditRequest aRequest)
{
  TableEditor<EtcdClient> editor(client_, { 3, std::chrono::milliseconds(20) });
  return Run(editor.Apply(std::move(aRequest)));
}

EditOutcome
PlatformFixture::Edit(const std::string& aEditId,
                      std::vector<RowChange> aChanges)
{
  const auto outcome = TryEdit(MakeEdit(aEditId, std::move(aChanges)));
  BOOST_REQUIRE_MESSAGE(outcome.has_value(), outcome.error());
  BOOST_REQUIRE(outcome->verdict_ == EditVerdict::Applied);
  return *outcome;
}

void
PlatformFixture::Put(const std::vector<PutRequest>& aPuts)
{
  Transaction transaction;
  for (const PutRequest& put : aPuts) {
    transaction.success_.emplace_back(put);
  }
  const auto answer = Run(client_.Commit(std::move(transaction)));
  BOOST_REQUIRE(answer.has_value());
}

TableSnapshot
PlatformFixture::Read()
{
  const auto snapshot = Run(ReadTableSnapshot(client_, 0));
  BOOST_REQUIRE(snapshot.has_value());
  return *snapshot;
}

EditRequest
MakeEdit(const std::string& aEditId, std::vector<RowChange> aChanges)
{
  EditRequest request;
  request.author_ = "ola";
  request.editId_ = aEditId;
  request.unixMilliseconds_ = 1;
  request.changes_ = std::move(aChanges);
  return request;
}

RowChange
SetPool(const std::string& aName, std::int64_t aMaxConcurrent)
{
  Pool pool;
  pool.name_ = PoolName(aName);
  pool.group_ = "group-" + aName;
  pool.models_ = { ModelName("paint") };
  pool.maxConcurrent_ = aMaxConcurrent;
  return { TableKind::Pools, aName, SerializePool(pool) };
}

} // namespace azurecross
