#include "ClaimRecord.h"

#include "../keys/OperationKeyCodec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace azurecross {

namespace {

namespace json = boost::json;

constexpr std::string_view kClaimPrefix = "azurecross/claims/";

std::string
ReadText(const json::object& aObject, const char* aName)
{
  return json::value_to<std::string>(aObject.at(aName));
}

template<typename Number>
Number
ReadNumber(const json::object& aObject, const char* aName)
{
  return aObject.at(aName).to_number<Number>();
}

std::optional<StoredAnswer>
ReadAnswer(const json::object& aObject)
{
  const json::value* value = aObject.if_contains("answer");
  if (value == nullptr) {
    return std::nullopt;
  }
  const json::object& answer = value->as_object();
  return StoredAnswer{ ReadNumber<unsigned>(answer, "status"),
                       ReadText(answer, "content_type"),
                       ReadText(answer, "body") };
}

ClaimRecord
ReadClaim(const json::object& aObject)
{
  ClaimRecord claim;
  claim.customer_ = CustomerId(ReadText(aObject, "customer"));
  claim.key_ = ReadText(aObject, "key");
  claim.fingerprint_ = ReadNumber<std::uint64_t>(aObject, "fingerprint");
  claim.attempt_ = ReadText(aObject, "attempt");
  claim.holder_ = EntryId(ReadText(aObject, "holder"));
  claim.incarnation_ =
    Incarnation(ReadNumber<std::uint64_t>(aObject, "incarnation"));
  claim.state_ = kClaimStateNames.FindValue(ReadText(aObject, "state")).value();
  claim.answer_ = ReadAnswer(aObject);
  claim.claimedMilliseconds_ = ReadNumber<std::int64_t>(aObject, "claimed_ms");
  claim.expiresMilliseconds_ = ReadNumber<std::int64_t>(aObject, "expires_ms");
  return claim;
}

} // namespace

std::string
EncodeClaim(const ClaimRecord& aClaim)
{
  json::object object = {
    { "customer", aClaim.customer_.GetValue() },
    { "key", aClaim.key_ },
    { "fingerprint", aClaim.fingerprint_ },
    { "attempt", aClaim.attempt_ },
    { "holder", aClaim.holder_.GetValue() },
    { "incarnation", aClaim.incarnation_.GetValue() },
    { "state", json::string_view(kClaimStateNames.FindName(aClaim.state_)) },
    { "claimed_ms", aClaim.claimedMilliseconds_ },
    { "expires_ms", aClaim.expiresMilliseconds_ }
  };
  if (aClaim.answer_) {
    object["answer"] =
      json::object{ { "status", aClaim.answer_->status_ },
                    { "content_type", aClaim.answer_->contentType_ },
                    { "body", aClaim.answer_->body_ } };
  }
  return json::serialize(object);
}

std::optional<ClaimRecord>
DecodeClaim(std::string_view aText)
{
  try {
    const json::value value = json::parse(json::string_view(aText));
    return ReadClaim(value.as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string
MakeClaimStoreKey(const CustomerId& aCustomer, std::string_view aKey)
{
  // The length makes the pair unambiguous.
  const std::string& customer = aCustomer.GetValue();
  const std::string text =
    std::to_string(customer.size()) + ":" + customer + std::string(aKey);
  return std::string(kClaimPrefix) + HashForStoreKey(text);
}

} // namespace azurecross
