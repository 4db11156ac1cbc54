#include "TokenChecker.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <charconv>

namespace azurecross {

namespace json = boost::json;

TokenChecker::TokenChecker(Figures& aFigures, StreamRecord& aRecord)
  : figures_(aFigures)
  , record_(aRecord)
{
}

void
TokenChecker::Take(std::string_view aPart)
{
  rest_ += aPart;
  std::size_t end = 0;
  while ((end = rest_.find("\n\n")) != std::string::npos) {
    TakeEvent(rest_.substr(0, end));
    rest_.erase(0, end + 2);
  }
}

void
TokenChecker::TakeEvent(const std::string& aEvent)
{
  std::string data;
  std::string id;
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    const std::string line = aEvent.substr(start, end - start);
    if (line.starts_with("data: ")) {
      data = line.substr(6);
    } else if (line.starts_with("id: ")) {
      id = line.substr(4);
    }
    start = end + 1;
  }
  if (data == "[DONE]") {
    isDone_ = true;
    return;
  }
  boost::system::error_code code;
  const json::value value = json::parse(data, code);
  if (code || !value.is_object() || !value.as_object().contains("choices")) {
    return;
  }
  lastEventId_ = id;
  TakeToken(std::string(
    value.at("choices").at(0).at("delta").at("content").as_string()));
}

void
TokenChecker::TakeToken(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  const std::string generation = aText.substr(0, colon);
  std::int64_t offset = -1;
  std::from_chars(
    aText.data() + colon + 1, aText.data() + aText.size(), offset);
  if (generation.starts_with("crossed-")) {
    ++figures_.crossedAnswers_;
    figures_.AddExample("foreign token " + aText + " in " + record_.requestId_);
    return;
  }
  if (record_.generation_.empty()) {
    record_.generation_ = generation;
  }
  if (generation != record_.generation_) {
    ++figures_.tokensFromSecondGeneration_;
    figures_.AddExample("token " + aText + " after generation " +
                        record_.generation_);
    return;
  }
  if (offset < record_.received_) {
    ++figures_.tokensRepeated_;
    figures_.AddExample("repeated token " + aText);
    return;
  }
  if (offset > record_.received_) {
    figures_.tokensLost_ += offset - record_.received_;
    figures_.AddExample("tokens lost before " + aText);
  }
  record_.received_ = offset + 1;
  ++figures_.tokens_;
}

void
TokenChecker::CheckEnd()
{
  const std::int64_t missing = record_.wanted_ - record_.received_;
  if (isDone_ && missing > 0) {
    figures_.tokensLost_ += missing;
    figures_.AddExample("complete stream without its last tokens: " +
                        record_.requestId_);
  }
}

} // namespace azurecross
