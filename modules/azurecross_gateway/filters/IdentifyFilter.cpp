#include "IdentifyFilter.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace azurecross {

namespace http = boost::beast::http;

namespace {

/** Identifiers go into logs, messages between entries and store keys. */
constexpr std::size_t kIdentifierLimit = 128;

bool
IsIdentifier(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kIdentifierLimit &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter < '\x7f';
         });
}

Error
MakeRefusal(std::string aMessage)
{
  return Error{
    ErrorCode::InvalidRequest, Verdict::NotRun, std::move(aMessage), {}
  };
}

} // namespace

std::optional<Error>
IdentifyFilter::Run(RequestContext& aContext) const
{
  const std::string_view target = aContext.request_.target();
  aContext.path_ = target.substr(0, target.find('?'));
  const std::string_view id = aContext.request_["X-Request-Id"];
  aContext.requestId_ =
    IsIdentifier(id) ? RequestId(std::string(id)) : DrawRequestId();
  const std::string_view customer = aContext.request_["X-Azurecross-Customer"];
  if (!customer.empty() && !IsIdentifier(customer)) {
    return MakeRefusal("the header X-Azurecross-Customer is not an identifier");
  }
  aContext.customer_ =
    CustomerId(std::string(customer.empty() ? "anonymous" : customer));
  if (aContext.path_.empty() || aContext.path_.front() != '/') {
    return MakeRefusal("the target is not a path");
  }
  aContext.isCompletion_ = aContext.path_ == "/v1/completions" ||
                           aContext.path_ == "/v1/chat/completions";
  if (!aContext.isCompletion_) {
    return std::nullopt;
  }
  if (aContext.request_.method() != http::verb::post) {
    return MakeRefusal("completions are asked for with POST");
  }
  auto body = ParseGenerationBody(aContext.request_.body());
  if (!body) {
    return body.error();
  }
  aContext.generation_ = std::move(*body);
  const std::string_view last = aContext.request_["Last-Event-ID"];
  if (last.empty()) {
    return std::nullopt;
  }
  aContext.lastEvent_ = ParseEventId(last);
  if (!aContext.lastEvent_ || !aContext.generation_->isStream_) {
    // The id stands for a generation that may have begun.
    return Error{ ErrorCode::InvalidRequest,
                  Verdict::MayHaveRun,
                  "the header Last-Event-ID does not name an event of a stream",
                  {} };
  }
  return std::nullopt;
}

RequestId
IdentifyFilter::DrawRequestId() const
{
  constexpr int kBase = 16;
  constexpr std::size_t kDigitsPerWord = 16;
  std::array<char, 2 * kDigitsPerWord> digits{};
  digits.fill('0');
  char* const middle = digits.data() + kDigitsPerWord;
  std::to_chars(digits.data(), middle, random_.DrawBits(), kBase);
  std::to_chars(middle, middle + kDigitsPerWord, random_.DrawBits(), kBase);
  return RequestId(std::string(digits.data(), digits.size()));
}

} // namespace azurecross
