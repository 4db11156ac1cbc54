#include "StandinCodec.h"

#include <azurecross_store/etcd/EtcdFields.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace json = boost::json;

boost::leaf::error_id
Refuse(std::string aMessage)
{
  return MakeFailure(
    ErrorCode::InvalidRequest, Verdict::NotRun, std::move(aMessage));
}

Result<RangeRequest>
DecodeRange(const json::object& aObject)
{
  const EtcdFields fields(aObject, "range");
  RangeRequest request;
  BOOST_LEAF_ASSIGN(request.key_, fields.ReadBytes("key"));
  BOOST_LEAF_ASSIGN(request.rangeEnd_, fields.ReadBytes("range_end"));
  BOOST_LEAF_ASSIGN(request.limit_, fields.ReadInteger("limit"));
  BOOST_LEAF_ASSIGN(request.revision_, fields.ReadInteger("revision"));
  BOOST_LEAF_AUTO(order, fields.ReadText("sort_order"));
  request.isDescending_ = order == "DESCEND";
  if (request.key_.empty()) {
    return Refuse("etcdserver: key is not provided");
  }
  return request;
}

Result<PutRequest>
DecodePut(const json::object& aObject)
{
  const EtcdFields fields(aObject, "put");
  PutRequest request;
  BOOST_LEAF_ASSIGN(request.key_, fields.ReadBytes("key"));
  BOOST_LEAF_ASSIGN(request.value_, fields.ReadBytes("value"));
  BOOST_LEAF_AUTO(lease, fields.ReadInteger("lease"));
  request.lease_ = LeaseId(lease);
  if (request.key_.empty()) {
    return Refuse("etcdserver: key is not provided");
  }
  return request;
}

Result<StoreOperation>
DecodeOperation(const json::object& aObject)
{
  const EtcdFields fields(aObject, "operation");
  BOOST_LEAF_AUTO(range, fields.ReadObject("request_range"));
  if (range != nullptr) {
    BOOST_LEAF_AUTO(request, DecodeRange(*range));
    return StoreOperation(std::move(request));
  }
  BOOST_LEAF_AUTO(put, fields.ReadObject("request_put"));
  if (put != nullptr) {
    BOOST_LEAF_AUTO(request, DecodePut(*put));
    return StoreOperation(std::move(request));
  }
  BOOST_LEAF_AUTO(deletion, fields.ReadObject("request_delete_range"));
  if (deletion == nullptr) {
    return Refuse("etcdserver: unknown operation");
  }
  const EtcdFields deletionFields(*deletion, "delete");
  DeleteRequest request;
  BOOST_LEAF_ASSIGN(request.key_, deletionFields.ReadBytes("key"));
  BOOST_LEAF_ASSIGN(request.rangeEnd_, deletionFields.ReadBytes("range_end"));
  return StoreOperation(std::move(request));
}

Result<std::vector<StoreOperation>>
DecodeOperations(const EtcdFields& aFields, std::string_view aName)
{
  std::vector<StoreOperation> operations;
  BOOST_LEAF_AUTO(objects, aFields.ReadObjects(aName));
  for (const json::object* object : objects) {
    BOOST_LEAF_AUTO(operation, DecodeOperation(*object));
    operations.push_back(std::move(operation));
  }
  return operations;
}

Result<Compare>
DecodeCompare(const json::object& aObject)
{
  const EtcdFields fields(aObject, "compare");
  BOOST_LEAF_AUTO(result, fields.ReadText("result"));
  BOOST_LEAF_AUTO(targetName, fields.ReadText("target"));
  const auto target = kCompareTargetNames.FindValue(targetName);
  if ((!result.empty() && result != "EQUAL") || !target) {
    return Refuse("the stand-in only compares MOD, CREATE and LEASE by EQUAL");
  }
  Compare compare;
  compare.target_ = *target;
  BOOST_LEAF_ASSIGN(compare.key_, fields.ReadBytes("key"));
  const char* field = "lease";
  if (*target == CompareTarget::ModRevision) {
    field = "mod_revision";
  } else if (*target == CompareTarget::CreateRevision) {
    field = "create_revision";
  }
  BOOST_LEAF_ASSIGN(compare.value_, fields.ReadInteger(field));
  return compare;
}

json::object
MakeHeader(std::int64_t aRevision)
{
  json::object header;
  header["cluster_id"] = "1";
  header["member_id"] = "1";
  header["revision"] = std::to_string(aRevision);
  header["raft_term"] = "1";
  return header;
}

json::object
EncodeRangeAnswer(const RangeAnswer& aAnswer)
{
  json::array keyValues;
  for (const KeyValue& keyValue : aAnswer.keyValues_) {
    keyValues.emplace_back(EncodeKeyValue(keyValue));
  }
  json::object object;
  object["header"] = MakeHeader(aAnswer.storeRevision_);
  if (!keyValues.empty()) {
    object["count"] = std::to_string(keyValues.size());
    object["kvs"] = std::move(keyValues);
  }
  if (aAnswer.hasMore_) {
    object["more"] = true;
  }
  return object;
}

const char*
FindResponseName(const StoreOperation& aOperation)
{
  if (std::holds_alternative<RangeRequest>(aOperation)) {
    return "response_range";
  }
  return std::holds_alternative<PutRequest>(aOperation)
           ? "response_put"
           : "response_delete_range";
}

std::string
SerializeStreamPart(json::object aResult)
{
  json::object object;
  object["result"] = std::move(aResult);
  return json::serialize(object) + "\n";
}

json::object
EncodeLeaseAnswer(const LeaseAnswer& aAnswer, std::int64_t aRevision)
{
  json::object object;
  object["header"] = MakeHeader(aRevision);
  object["ID"] = std::to_string(aAnswer.id_.GetValue());
  // Like etcd's gateway, leaves out a zero.
  if (aAnswer.timeToLive_.count() != 0) {
    object["TTL"] = std::to_string(aAnswer.timeToLive_.count());
  }
  return object;
}

} // namespace

Result<RangeRequest>
ParseRangeRequest(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  return DecodeRange(object);
}

Result<Transaction>
ParseTransaction(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  const EtcdFields fields(object, "transaction");
  Transaction transaction;
  BOOST_LEAF_AUTO(compares, fields.ReadObjects("compare"));
  for (const json::object* entry : compares) {
    BOOST_LEAF_AUTO(compare, DecodeCompare(*entry));
    transaction.compares_.push_back(std::move(compare));
  }
  BOOST_LEAF_ASSIGN(transaction.success_, DecodeOperations(fields, "success"));
  BOOST_LEAF_ASSIGN(transaction.failure_, DecodeOperations(fields, "failure"));
  return transaction;
}

Result<std::chrono::seconds>
ParseLeaseGrantRequest(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  BOOST_LEAF_AUTO(seconds, EtcdFields(object, "grant").ReadInteger("TTL"));
  if (seconds < 1) {
    return Refuse("etcdserver: TTL must be positive");
  }
  return std::chrono::seconds(seconds);
}

Result<LeaseId>
ParseLeaseRequest(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  BOOST_LEAF_AUTO(id, EtcdFields(object, "lease").ReadInteger("ID"));
  return LeaseId(id);
}

Result<WatchRequest>
ParseWatchRequest(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  BOOST_LEAF_AUTO(create,
                  EtcdFields(object, "watch").ReadObject("create_request"));
  if (create == nullptr) {
    return Refuse("the stand-in only knows create_request");
  }
  const EtcdFields fields(*create, "create_request");
  WatchRequest request;
  BOOST_LEAF_ASSIGN(request.key_, fields.ReadBytes("key"));
  BOOST_LEAF_ASSIGN(request.rangeEnd_, fields.ReadBytes("range_end"));
  BOOST_LEAF_ASSIGN(request.startRevision_,
                    fields.ReadInteger("start_revision"));
  return request;
}

std::string
SerializeRangeAnswer(const RangeAnswer& aAnswer)
{
  return json::serialize(EncodeRangeAnswer(aAnswer));
}

std::string
SerializeTransactionAnswer(const Transaction& aTransaction,
                           const TransactionAnswer& aAnswer)
{
  const auto& operations =
    aAnswer.succeeded_ ? aTransaction.success_ : aTransaction.failure_;
  json::array responses;
  for (std::size_t at = 0; at < aAnswer.ranges_.size(); ++at) {
    json::object response;
    response[FindResponseName(operations[at])] =
      EncodeRangeAnswer(aAnswer.ranges_[at]);
    responses.emplace_back(std::move(response));
  }
  json::object object;
  object["header"] = MakeHeader(aAnswer.storeRevision_);
  if (aAnswer.succeeded_) {
    object["succeeded"] = true;
  }
  object["responses"] = std::move(responses);
  return json::serialize(object);
}

std::string
SerializeLeaseAnswer(const LeaseAnswer& aAnswer, std::int64_t aRevision)
{
  return json::serialize(EncodeLeaseAnswer(aAnswer, aRevision));
}

std::string
SerializeKeepaliveAnswer(const LeaseAnswer& aAnswer, std::int64_t aRevision)
{
  return SerializeStreamPart(EncodeLeaseAnswer(aAnswer, aRevision));
}

std::string
SerializeEtcdError(int aCode, std::string_view aMessage)
{
  const json::string_view message(aMessage.data(), aMessage.size());
  json::object object;
  object["error"] = message;
  object["code"] = aCode;
  object["message"] = message;
  return json::serialize(object);
}

std::string
SerializeWatchCreated(std::int64_t aRevision)
{
  json::object result;
  result["header"] = MakeHeader(aRevision);
  result["created"] = true;
  return SerializeStreamPart(std::move(result));
}

std::string
SerializeWatchCompacted(std::int64_t aRevision, std::int64_t aCompactRevision)
{
  json::object result;
  result["header"] = MakeHeader(aRevision);
  result["canceled"] = true;
  result["compact_revision"] = std::to_string(aCompactRevision);
  return SerializeStreamPart(std::move(result));
}

std::string
SerializeWatchEvents(const std::vector<KeyEvent>& aEvents,
                     std::int64_t aRevision)
{
  json::array events;
  for (const KeyEvent& event : aEvents) {
    json::object object;
    if (event.isDelete_) {
      object["type"] = "DELETE";
    }
    object["kv"] = EncodeKeyValue(event.keyValue_);
    events.emplace_back(std::move(object));
  }
  json::object result;
  result["header"] = MakeHeader(aRevision);
  result["events"] = std::move(events);
  return SerializeStreamPart(std::move(result));
}

} // namespace azurecross
