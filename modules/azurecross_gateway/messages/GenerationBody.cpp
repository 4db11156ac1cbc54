#include "GenerationBody.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace json = boost::json;

/** An average for English text; the length predictor corrects the rest. */
constexpr std::size_t kBytesPerToken = 4;
/** Engines cache prefixes in blocks of tokens; this is about 64 of them. */
constexpr std::size_t kPrefixBlockBytes = 256;
/** Longer prefixes add nothing to the choice of a backend server. */
constexpr std::size_t kPrefixBlockLimit = 32;

Error
MakeBodyError(std::string aMessage)
{
  return Error{
    ErrorCode::InvalidRequest, Verdict::NotRun, std::move(aMessage), {}
  };
}

/** @returns the text whose prefixes engines can share. */
std::string
CollectPrompt(const json::object& aBody)
{
  for (const char* name : { "messages", "prompt" }) {
    if (const json::value* prompt = aBody.if_contains(name)) {
      return prompt->is_string() ? std::string(prompt->as_string())
                                 : json::serialize(*prompt);
    }
  }
  return {};
}

std::vector<std::uint64_t>
HashPrefixes(std::string_view aModel, std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = HashBytes(aModel);
  while (aPrompt.size() >= kPrefixBlockBytes &&
         hashes.size() < kPrefixBlockLimit) {
    hash = HashBytes(aPrompt.substr(0, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
    aPrompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

std::optional<std::uint64_t>
FindOutputLimit(const json::object& aBody)
{
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    const json::value* limit = aBody.if_contains(name);
    if (limit != nullptr && limit->is_int64() && limit->as_int64() > 0) {
      return static_cast<std::uint64_t>(limit->as_int64());
    }
  }
  return std::nullopt;
}

} // namespace

AsyncResult<GenerationBody>
ParseGenerationBody(std::string_view aBody)
{
  boost::system::error_code code;
  json::value value =
    json::parse(json::string_view(aBody.data(), aBody.size()), code);
  if (code) {
    return MakeBodyError("the body is not JSON: " + code.message());
  }
  if (!value.is_object()) {
    return MakeBodyError("the body is not a JSON object");
  }
  GenerationBody body;
  body.json_ = std::move(value.as_object());
  const json::value* model = body.json_.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return MakeBodyError("the body has no text member \"model\"");
  }
  body.model_ = std::string(model->as_string());
  if (const json::value* stream = body.json_.if_contains("stream")) {
    if (!stream->is_bool() && !stream->is_null()) {
      return MakeBodyError("the member \"stream\" is neither true nor false");
    }
    body.isStream_ = stream->is_bool() && stream->as_bool();
  }
  const std::string prompt = CollectPrompt(body.json_);
  body.promptTokens_ = prompt.size() / kBytesPerToken + 1;
  body.prefixHashes_ = HashPrefixes(body.model_, prompt);
  body.outputLimit_ = FindOutputLimit(body.json_);
  return body;
}

} // namespace azurecross
