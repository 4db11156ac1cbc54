#include "EtcdCodec.h"

#include "EtcdFields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace json = boost::json;

json::object
EncodeKeys(const std::string& aKey, const std::string& aRangeEnd)
{
  json::object object;
  object["key"] = EncodeBase64(aKey);
  if (!aRangeEnd.empty()) {
    object["range_end"] = EncodeBase64(aRangeEnd);
  }
  return object;
}

json::object
EncodeRange(const RangeRequest& aRequest)
{
  json::object object = EncodeKeys(aRequest.key_, aRequest.rangeEnd_);
  if (aRequest.limit_ != 0) {
    object["limit"] = std::to_string(aRequest.limit_);
  }
  if (aRequest.revision_ != 0) {
    object["revision"] = std::to_string(aRequest.revision_);
  }
  if (aRequest.isDescending_) {
    object["sort_order"] = "DESCEND";
    object["sort_target"] = "KEY";
  }
  return object;
}

json::object
EncodePut(const PutRequest& aRequest)
{
  json::object object;
  object["key"] = EncodeBase64(aRequest.key_);
  object["value"] = EncodeBase64(aRequest.value_);
  if (aRequest.lease_.GetValue() != 0) {
    object["lease"] = std::to_string(aRequest.lease_.GetValue());
  }
  return object;
}

json::object
EncodeOperation(const StoreOperation& aOperation)
{
  json::object object;
  if (const auto* range = std::get_if<RangeRequest>(&aOperation)) {
    object["request_range"] = EncodeRange(*range);
  } else if (const auto* put = std::get_if<PutRequest>(&aOperation)) {
    object["request_put"] = EncodePut(*put);
  } else {
    const auto& deletion = std::get<DeleteRequest>(aOperation);
    object["request_delete_range"] =
      EncodeKeys(deletion.key_, deletion.rangeEnd_);
  }
  return object;
}

json::array
EncodeOperations(const std::vector<StoreOperation>& aOperations)
{
  json::array array;
  for (const StoreOperation& operation : aOperations) {
    array.emplace_back(EncodeOperation(operation));
  }
  return array;
}

json::object
EncodeCompare(const Compare& aCompare)
{
  json::object object;
  object["key"] = EncodeBase64(aCompare.key_);
  object["result"] = "EQUAL";
  const std::string_view target =
    kCompareTargetNames.FindName(aCompare.target_);
  object["target"] = json::string_view(target.data(), target.size());
  const char* field = "lease";
  if (aCompare.target_ == CompareTarget::ModRevision) {
    field = "mod_revision";
  } else if (aCompare.target_ == CompareTarget::CreateRevision) {
    field = "create_revision";
  }
  object[field] = std::to_string(aCompare.value_);
  return object;
}

Result<std::int64_t>
DecodeHeaderRevision(const EtcdFields& aFields)
{
  BOOST_LEAF_AUTO(header, aFields.ReadObject("header"));
  if (header == nullptr) {
    return MakeFailure(MakeEtcdFormatError("there is no header"));
  }
  return EtcdFields(*header, "header").ReadInteger("revision");
}

Result<RangeAnswer>
DecodeRangeAnswer(const json::object& aObject)
{
  const EtcdFields fields(aObject, "range");
  RangeAnswer answer;
  BOOST_LEAF_ASSIGN(answer.storeRevision_, DecodeHeaderRevision(fields));
  BOOST_LEAF_ASSIGN(answer.hasMore_, fields.ReadFlag("more"));
  BOOST_LEAF_AUTO(keyValues, fields.ReadObjects("kvs"));
  for (const json::object* entry : keyValues) {
    BOOST_LEAF_AUTO(keyValue, DecodeKeyValue(*entry));
    answer.keyValues_.push_back(std::move(keyValue));
  }
  return answer;
}

Result<LeaseAnswer>
DecodeLease(const json::object& aObject)
{
  const EtcdFields fields(aObject, "lease");
  BOOST_LEAF_AUTO(id, fields.ReadInteger("ID"));
  BOOST_LEAF_AUTO(timeToLive, fields.ReadInteger("TTL"));
  return LeaseAnswer{ LeaseId(id), std::chrono::seconds(timeToLive) };
}

/** @returns the `result` of one part of a stream, or its error. */
Result<const json::object*>
ReadStreamResult(const json::object& aObject)
{
  BOOST_LEAF_AUTO(result,
                  EtcdFields(aObject, "stream part").ReadObject("result"));
  if (result == nullptr) {
    return MakeFailure(ParseEtcdError(0, json::serialize(aObject)));
  }
  return result;
}

Result<KeyEvent>
DecodeEvent(const json::object& aObject)
{
  const EtcdFields fields(aObject, "event");
  KeyEvent event;
  BOOST_LEAF_AUTO(type, fields.ReadText("type"));
  if (!type.empty() && type != "PUT" && type != "DELETE") {
    return MakeFailure(MakeEtcdFormatError("unknown event type " + type));
  }
  event.isDelete_ = type == "DELETE";
  BOOST_LEAF_AUTO(keyValue, fields.ReadObject("kv"));
  if (keyValue == nullptr) {
    return MakeFailure(MakeEtcdFormatError("an event has no kv"));
  }
  BOOST_LEAF_ASSIGN(event.keyValue_, DecodeKeyValue(*keyValue));
  return event;
}

std::string
FindErrorText(const json::object& aObject)
{
  const json::value* error = aObject.if_contains("error");
  if (error != nullptr && error->is_object()) {
    return FindErrorText(error->get_object());
  }
  const json::value* message = aObject.if_contains("message");
  const json::value* text = message != nullptr ? message : error;
  return text != nullptr && text->is_string() ? text->get_string().c_str()
                                              : "no message";
}

} // namespace

std::string
SerializeRange(const RangeRequest& aRequest)
{
  return json::serialize(EncodeRange(aRequest));
}

std::string
SerializeTransaction(const Transaction& aTransaction)
{
  json::array compares;
  for (const Compare& compare : aTransaction.compares_) {
    compares.emplace_back(EncodeCompare(compare));
  }
  json::object object;
  object["compare"] = std::move(compares);
  object["success"] = EncodeOperations(aTransaction.success_);
  object["failure"] = EncodeOperations(aTransaction.failure_);
  return json::serialize(object);
}

std::string
SerializeLeaseGrant(std::chrono::seconds aTimeToLive)
{
  json::object object;
  object["TTL"] = std::to_string(aTimeToLive.count());
  return json::serialize(object);
}

std::string
SerializeLease(LeaseId aLease)
{
  json::object object;
  object["ID"] = std::to_string(aLease.GetValue());
  return json::serialize(object);
}

std::string
SerializeWatch(const WatchRequest& aRequest)
{
  json::object create = EncodeKeys(aRequest.key_, aRequest.rangeEnd_);
  if (aRequest.startRevision_ != 0) {
    create["start_revision"] = std::to_string(aRequest.startRevision_);
  }
  json::object object;
  object["create_request"] = std::move(create);
  return json::serialize(object);
}

Result<RangeAnswer>
ParseRangeAnswer(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  return DecodeRangeAnswer(object);
}

Result<TransactionAnswer>
ParseTransactionAnswer(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  const EtcdFields fields(object, "transaction");
  TransactionAnswer answer;
  BOOST_LEAF_ASSIGN(answer.storeRevision_, DecodeHeaderRevision(fields));
  BOOST_LEAF_ASSIGN(answer.succeeded_, fields.ReadFlag("succeeded"));
  BOOST_LEAF_AUTO(responses, fields.ReadObjects("responses"));
  for (const json::object* entry : responses) {
    BOOST_LEAF_AUTO(
      range, EtcdFields(*entry, "response").ReadObject("response_range"));
    RangeAnswer rangeAnswer;
    if (range != nullptr) {
      BOOST_LEAF_ASSIGN(rangeAnswer, DecodeRangeAnswer(*range));
    }
    answer.ranges_.push_back(std::move(rangeAnswer));
  }
  return answer;
}

Result<LeaseAnswer>
ParseLeaseGrantAnswer(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  BOOST_LEAF_AUTO(answer, DecodeLease(object));
  if (answer.id_.GetValue() == 0) {
    return MakeFailure(MakeEtcdFormatError("a granted lease has no ID"));
  }
  return answer;
}

Result<LeaseAnswer>
ParseLeaseKeepaliveAnswer(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  BOOST_LEAF_AUTO(result, ReadStreamResult(object));
  return DecodeLease(*result);
}

Result<WatchMessage>
ParseWatchMessage(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseEtcdObject(aText));
  BOOST_LEAF_AUTO(result, ReadStreamResult(object));
  const EtcdFields fields(*result, "watch");
  WatchMessage message;
  WatchBatch& batch = message.batch_;
  BOOST_LEAF_ASSIGN(batch.storeRevision_, DecodeHeaderRevision(fields));
  BOOST_LEAF_ASSIGN(batch.isCreated_, fields.ReadFlag("created"));
  BOOST_LEAF_ASSIGN(message.isCancelled_, fields.ReadFlag("canceled"));
  BOOST_LEAF_ASSIGN(message.compactRevision_,
                    fields.ReadInteger("compact_revision"));
  BOOST_LEAF_AUTO(events, fields.ReadObjects("events"));
  for (const json::object* entry : events) {
    BOOST_LEAF_AUTO(event, DecodeEvent(*entry));
    batch.events_.push_back(std::move(event));
  }
  return message;
}

Error
ParseEtcdError(unsigned aStatus, std::string_view aText)
{
  const bool mayHaveRun = aStatus == 0 || aStatus >= 500;
  const auto object = CaptureResult([&] { return ParseEtcdObject(aText); });
  const std::string text =
    object.has_value() ? FindErrorText(*object) : "no message";
  return Error{ ErrorCode::StoreUnavailable,
                mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                "the store answered " + std::to_string(aStatus) + ": " + text,
                {} };
}

} // namespace azurecross
