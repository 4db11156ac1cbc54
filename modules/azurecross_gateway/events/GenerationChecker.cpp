#include "GenerationChecker.h"

#include "EventId.h"

#include <cctype>

namespace azurecross {

namespace {

constexpr std::string_view kDone = "[DONE]";

/** Reads tokens of a JSON text far enough to find a top-level member. */
class MemberScanner
{
public:
  explicit MemberScanner(std::string_view aText)
    : text_(aText)
  {
  }

  std::string_view Find(std::string_view aName)
  {
    SkipSpace();
    if (!Take('{')) {
      return {};
    }
    for (;;) {
      SkipSpace();
      const std::string_view name = ReadText();
      SkipSpace();
      if (name.data() == nullptr || !Take(':')) {
        return {};
      }
      SkipSpace();
      if (name == aName) {
        return ReadText();
      }
      SkipValue();
      if (!Take(',')) {
        return {};
      }
    }
  }

private:
  void SkipSpace()
  {
    while (at_ < text_.size() &&
           std::isspace(static_cast<unsigned char>(text_[at_])) != 0) {
      ++at_;
    }
  }

  bool Take(char aCharacter)
  {
    if (at_ >= text_.size() || text_[at_] != aCharacter) {
      return false;
    }
    ++at_;
    return true;
  }

  std::string_view ReadText()
  {
    if (!Take('"')) {
      return {};
    }
    const std::size_t start = at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      at_ += text_[at_] == '\\' ? 2 : 1;
    }
    if (at_ >= text_.size()) {
      return {};
    }
    return text_.substr(start, at_++ - start);
  }

  /** Goes to the comma or brace after the value. */
  void SkipValue()
  {
    std::size_t depth = 0;
    while (at_ < text_.size()) {
      const char character = text_[at_];
      if (character == '"') {
        ReadText();
        continue;
      }
      if (depth == 0 && (character == ',' || character == '}')) {
        return;
      }
      if (character == '{' || character == '[') {
        ++depth;
      } else if (character == '}' || character == ']') {
        --depth;
      }
      ++at_;
    }
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

} // namespace

std::string_view
FindTopLevelText(std::string_view aJson, std::string_view aName)
{
  return MemberScanner(aJson).Find(aName);
}

GenerationChecker::GenerationChecker(std::string aGeneration,
                                     std::uint64_t aNextOffset)
  : generation_(std::move(aGeneration))
  , nextOffset_(aNextOffset)
  , isOffsetKnown_(true)
{
}

EventKind
GenerationChecker::Check(const StreamEvent& aEvent)
{
  if (!aEvent.hasData_) {
    return EventKind::Comment;
  }
  if (aEvent.data_ == kDone) {
    return EventKind::Done;
  }
  const std::string_view generation = FindTopLevelText(aEvent.data_, "id");
  if (generation.empty()) {
    return aEvent.data_.find("\"error\"") == std::string_view::npos
             ? EventKind::Mismatched
             : EventKind::EngineError;
  }
  if (generation_.empty()) {
    if (!IsValidGenerationId(generation)) {
      return EventKind::Mismatched;
    }
    generation_ = generation;
  } else if (generation != generation_) {
    return EventKind::Mismatched;
  }
  return CheckOffset(aEvent.id_);
}

EventKind
GenerationChecker::CheckOffset(std::string_view aId)
{
  if (!aId.empty()) {
    const auto offset = ParseEventOffset(aId);
    if (!offset) {
      return EventKind::Mismatched;
    }
    if (!isOffsetKnown_) {
      nextOffset_ = *offset;
    } else if (*offset != nextOffset_) {
      return *offset < nextOffset_ ? EventKind::Duplicated : EventKind::Gap;
    }
  }
  isOffsetKnown_ = true;
  ++nextOffset_;
  return EventKind::Token;
}

} // namespace azurecross
