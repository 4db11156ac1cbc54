#include "EventParser.h"

#include <cstring>

namespace azurecross {

namespace {

constexpr std::size_t kNotFound = std::string_view::npos;

/** @returns the position of the first CR or LF. */
std::size_t
FindLineEnd(std::string_view aBytes)
{
  const void* feed = std::memchr(aBytes.data(), '\n', aBytes.size());
  const std::size_t length = feed == nullptr
                               ? aBytes.size()
                               : static_cast<const char*>(feed) - aBytes.data();
  const void* carriage = std::memchr(aBytes.data(), '\r', length);
  if (carriage != nullptr) {
    return static_cast<const char*>(carriage) - aBytes.data();
  }
  return feed == nullptr ? kNotFound : length;
}

} // namespace

EventParser::EventParser(std::size_t aEventLimitBytes)
  : limit_(aEventLimitBytes)
{
}

void
EventParser::Give(std::string_view aPiece)
{
  rest_ = aPiece;
}

std::optional<StreamEvent>
EventParser::Next()
{
  if (carryIsUsedUp_) {
    carry_.clear();
    carryIsUsedUp_ = false;
  }
  while (!rest_.empty() && !failed_) {
    const std::size_t end = FindEventEnd(rest_);
    if (end == kNotFound) {
      KeepRest();
      return std::nullopt;
    }
    StreamEvent event;
    std::string_view block = rest_.substr(0, end);
    rest_.remove_prefix(end);
    if (!carry_.empty()) {
      carry_ += block;
      block = carry_;
      event.isAssembled_ = true;
      carryIsUsedUp_ = true;
    }
    if (block.size() > limit_) {
      failed_ = true;
      return std::nullopt;
    }
    if (ParseBlock(block, event)) {
      return event;
    }
    if (carryIsUsedUp_) {
      carry_.clear();
      carryIsUsedUp_ = false;
    }
  }
  return std::nullopt;
}

bool
EventParser::KeepRest()
{
  failed_ = carry_.size() + rest_.size() > limit_;
  if (!failed_) {
    carry_ += rest_;
  }
  rest_ = {};
  return !failed_;
}

std::size_t
EventParser::FindEventEnd(std::string_view aBytes)
{
  std::size_t at = 0;
  while (at < aBytes.size()) {
    if (skipLineFeed_) {
      skipLineFeed_ = false;
      if (aBytes[at] == '\n') {
        ++at;
        continue;
      }
    }
    const std::size_t length = FindLineEnd(aBytes.substr(at));
    if (length == kNotFound) {
      isLineEmpty_ = false;
      return kNotFound;
    }
    const bool isBlank = isLineEmpty_ && length == 0;
    at += length;
    const bool isCarriageReturn = aBytes[at] == '\r';
    ++at;
    isLineEmpty_ = true;
    skipLineFeed_ = isCarriageReturn;
    if (isBlank) {
      if (skipLineFeed_ && at < aBytes.size()) {
        skipLineFeed_ = false;
        at += aBytes[at] == '\n' ? 1 : 0;
      }
      return at;
    }
  }
  return kNotFound;
}

bool
EventParser::ParseBlock(std::string_view aBlock, StreamEvent& aEvent)
{
  aEvent.block_ = aBlock;
  bool hasLine = false;
  while (!aBlock.empty()) {
    std::size_t length = FindLineEnd(aBlock);
    // The block ends in a line end.
    std::size_t whole = length + 1;
    if (aBlock[length] == '\r' && whole < aBlock.size() &&
        aBlock[whole] == '\n') {
      ++whole;
    }
    if (length > 0) {
      hasLine = true;
      ParseLine(aBlock.substr(0, length), aBlock.substr(0, whole), aEvent);
    }
    aBlock.remove_prefix(whole);
  }
  return hasLine;
}

void
EventParser::ParseLine(std::string_view aLine,
                       std::string_view aWholeLine,
                       StreamEvent& aEvent)
{
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  std::string_view value;
  if (colon != kNotFound) {
    value = aLine.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
  }
  if (name == "data") {
    if (aEvent.hasData_) {
      if (aEvent.data_.data() != joined_.data()) {
        joined_.assign(aEvent.data_);
      }
      joined_ += '\n';
      joined_ += value;
      aEvent.data_ = joined_;
    } else {
      aEvent.data_ = value;
      aEvent.hasData_ = true;
    }
  } else if (name == "id") {
    aEvent.id_ = value;
    aEvent.idLine_ = aWholeLine;
  }
}

} // namespace azurecross
