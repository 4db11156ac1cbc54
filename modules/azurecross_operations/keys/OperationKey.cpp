#include "OperationKey.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace azurecross {

namespace {

/** Reserved for issued keys, so that a damaged one never passes as a caller's.
 */
constexpr std::string_view kReservedPrefix = "axop";
constexpr std::string_view kVersion = "axop1";
constexpr std::size_t kPartCount = 6;
constexpr std::size_t kRandomDigits = 32;
constexpr std::size_t kKeyLimitBytes = 255;
constexpr std::size_t kOwnerLimitBytes = 48;
constexpr int kHexBase = 16;

std::vector<std::string_view>
Split(std::string_view aText)
{
  std::vector<std::string_view> parts;
  std::size_t start = 0;
  for (;;) {
    const std::size_t dot = aText.find('.', start);
    parts.push_back(aText.substr(start, dot - start));
    if (dot == std::string_view::npos) {
      return parts;
    }
    start = dot + 1;
  }
}

bool
IsHex(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

template<typename Number>
std::string
FormatNumber(Number aNumber)
{
  std::string text(2 * sizeof(Number) + 1, '\0');
  const auto result =
    std::to_chars(text.data(), text.data() + text.size(), aNumber, kHexBase);
  text.resize(static_cast<std::size_t>(result.ptr - text.data()));
  return text;
}

/** Accepts only the form that `FormatNumber` writes. */
template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number, kHexBase);
  if (result.ec != std::errc() || result.ptr != end ||
      FormatNumber(number) != aText) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::string>
ParseHexText(std::string_view aText)
{
  if (aText.empty() || aText.size() % 2 != 0 || !IsHex(aText) ||
      aText.size() > 2 * kOwnerLimitBytes) {
    return std::nullopt;
  }
  std::string bytes;
  for (std::size_t index = 0; index < aText.size(); index += 2) {
    unsigned byte = 0;
    std::from_chars(
      aText.data() + index, aText.data() + index + 2, byte, kHexBase);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

std::optional<OperationKey>
ParseIssuedKey(std::string_view aText)
{
  const auto parts = Split(aText);
  if (parts.size() != kPartCount || parts[0] != kVersion) {
    return std::nullopt;
  }
  const auto owner = ParseHexText(parts[1]);
  const auto incarnation = ParseNumber<std::uint64_t>(parts[2]);
  const auto expires = ParseNumber<std::int64_t>(parts[3]);
  const bool isWellFormed = parts[4].size() == kRandomDigits &&
                            parts[5].size() == kRandomDigits &&
                            IsHex(parts[4]) && IsHex(parts[5]);
  if (!owner || !incarnation || !expires || !isWellFormed) {
    return std::nullopt;
  }
  return OperationKey{ EntryId(*owner),
                       Incarnation(*incarnation),
                       *expires,
                       std::string(parts[4]),
                       std::string(parts[5]) };
}

bool
IsVisible(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

} // namespace

std::string
FormatHex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aBytes.size());
  for (const char character : aBytes) {
    const auto byte = static_cast<unsigned char>(character);
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xF];
  }
  return text;
}

std::string
OperationKey::FormatUntagged() const
{
  return std::string(kVersion) + "." + FormatHex(owner_.GetValue()) + "." +
         FormatNumber(incarnation_.GetValue()) + "." +
         FormatNumber(expiresMilliseconds_) + "." + random_;
}

std::string
OperationKey::Format() const
{
  return FormatUntagged() + "." + tag_;
}

ParsedKey
ParseKey(std::string_view aText)
{
  const bool isText = !aText.empty() && aText.size() <= kKeyLimitBytes &&
                      std::all_of(aText.begin(), aText.end(), IsVisible);
  if (!isText) {
    return {};
  }
  if (!aText.starts_with(kReservedPrefix)) {
    return { KeyKind::CallerKey, {} };
  }
  auto key = ParseIssuedKey(aText);
  if (!key) {
    return {};
  }
  return { KeyKind::IssuedKey, std::move(*key) };
}

} // namespace azurecross
