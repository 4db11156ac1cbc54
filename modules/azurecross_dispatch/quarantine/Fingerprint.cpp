#include "Fingerprint.h"

#include <charconv>
#include <initializer_list>

namespace azurecross {

namespace {

std::string
FormatHexadecimal(std::uint64_t aValue)
{
  std::array<char, 16> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aValue, 16).ptr;
  return { text.data(), end };
}

std::optional<std::uint64_t>
ParseHexadecimal(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* const textEnd = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), textEnd, value, 16);
  if (code != std::errc() || end != textEnd) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string
FormatPromptPartId(PromptPartId aPart)
{
  return FormatHexadecimal(aPart);
}

std::optional<PromptPartId>
ParsePromptPartId(std::string_view aText)
{
  return ParseHexadecimal(aText);
}

Fingerprint
ComputeFingerprint(const RequestIdentity& aIdentity)
{
  // Each hash is the seed of the next one, so that the borders between the
  // fields count.
  std::uint64_t hash = aIdentity.promptHash_;
  for (const std::string_view field : { aIdentity.method_,
                                        aIdentity.host_,
                                        aIdentity.target_,
                                        aIdentity.caller_,
                                        aIdentity.body_ }) {
    hash = HashBytes(field, hash);
  }
  return { FingerprintKind::Request, hash };
}

std::string
FormatFingerprint(const Fingerprint& aFingerprint)
{
  return FormatHexadecimal(aFingerprint.value_);
}

std::ostream&
operator<<(std::ostream& aStream, const Fingerprint& aFingerprint)
{
  return aStream << kFingerprintKindNames.FindName(aFingerprint.kind_) << " "
                 << FormatFingerprint(aFingerprint);
}

std::optional<Fingerprint>
ParseFingerprint(FingerprintKind aKind, std::string_view aText)
{
  const auto value = ParseHexadecimal(aText);
  return value ? std::optional(Fingerprint(aKind, *value)) : std::nullopt;
}

} // namespace azurecross
