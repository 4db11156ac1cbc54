#include "EventFramer.h"

#include <charconv>
#include <cstring>

namespace azurecross {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
/** Digits of the largest offset, and the line feed. */
constexpr std::size_t kOffsetBytes = 21;
/** Leading zeros make the header's length independent of the chunk's. */
constexpr std::size_t kChunkHeaderBytes = 10;

} // namespace

EventFramer::EventFramer(bool aIsChunked)
  : isChunked_(aIsChunked)
{
}

void
EventFramer::SetOrigin(const BackendServerId& aBackendServer,
                       std::string_view aGeneration)
{
  origin_ = "id: " + aBackendServer.GetValue() + ".";
  origin_ += aGeneration;
  origin_ += '.';
  slotBytes_ = kChunkHeaderBytes + origin_.size() + kOffsetBytes;
  slots_.resize(slotBytes_ * (kBufferLimit / kLeastBuffersPerEvent));
  for (std::size_t at = 0; at < slots_.size(); at += slotBytes_) {
    std::memcpy(
      slots_.data() + at + kChunkHeaderBytes, origin_.data(), origin_.size());
  }
}

void
EventFramer::AddHead(std::string aHead)
{
  Add(Keep(std::move(aHead)));
}

void
EventFramer::AddEvent(const StreamEvent& aEvent, std::uint64_t aOffset)
{
  char* const slot = slots_.data() + slotBytes_ * usedSlots_++;
  char* const line = slot + kChunkHeaderBytes;
  char* const digits = line + origin_.size();
  char* end = std::to_chars(digits, digits + kOffsetBytes - 1, aOffset).ptr;
  *end++ = '\n';
  const auto length = static_cast<std::size_t>(end - line);
  if (isChunked_ && !hasBody_) {
    // The first id line of a chunk goes out with the chunk's header.
    hasBody_ = true;
    chunkHeader_ = slot;
    chunkBytes_ += length;
    Add({ slot, kChunkHeaderBytes + length });
  } else {
    AddBody({ line, length });
  }
  if (aEvent.isAssembled_) {
    std::string copy(aEvent.block_);
    if (!aEvent.idLine_.empty()) {
      copy.erase(aEvent.idLine_.data() - aEvent.block_.data(),
                 aEvent.idLine_.size());
    }
    AddBody(Keep(std::move(copy)));
    return;
  }
  if (aEvent.idLine_.empty()) {
    AddBody(aEvent.block_);
    return;
  }
  const std::size_t before = aEvent.idLine_.data() - aEvent.block_.data();
  AddBody(aEvent.block_.substr(0, before));
  AddBody(aEvent.block_.substr(before + aEvent.idLine_.size()));
}

void
EventFramer::AddBlock(const StreamEvent& aEvent)
{
  AddBody(aEvent.isAssembled_ ? Keep(std::string(aEvent.block_))
                              : aEvent.block_);
}

void
EventFramer::AddText(std::string aText)
{
  AddBody(Keep(std::move(aText)));
}

void
EventFramer::AddEnd()
{
  hasEnd_ = true;
}

std::span<asio::const_buffer>
EventFramer::Finish()
{
  if (isChunked_ && hasBody_) {
    char* digits = chunkHeader_;
    std::size_t rest = chunkBytes_;
    for (std::size_t at = kChunkHeaderBytes - 2; at-- > 0;) {
      digits[at] = "0123456789abcdef"[rest & 0xF];
      rest >>= 4;
    }
    digits[kChunkHeaderBytes - 2] = '\r';
    digits[kChunkHeaderBytes - 1] = '\n';
    Add(kLineEnd);
  }
  if (isChunked_ && hasEnd_) {
    Add(kLastChunk);
  }
  return { buffers_.data(), count_ };
}

void
EventFramer::Clear()
{
  count_ = 0;
  chunkBytes_ = 0;
  usedSlots_ = 0;
  hasBody_ = false;
  hasEnd_ = false;
  kept_.clear();
}

void
EventFramer::Add(std::string_view aText)
{
  buffers_[count_++] = asio::buffer(aText.data(), aText.size());
}

void
EventFramer::AddBody(std::string_view aText)
{
  if (aText.empty()) {
    return;
  }
  if (!hasBody_) {
    hasBody_ = true;
    if (isChunked_) {
      // `Finish` fills in the chunk's header.
      chunkHeader_ = ownHeader_.data();
      Add({ chunkHeader_, kChunkHeaderBytes });
    }
  }
  chunkBytes_ += aText.size();
  Add(aText);
}

std::string_view
EventFramer::Keep(std::string aText)
{
  return kept_.emplace_back(std::move(aText));
}

} // namespace azurecross
