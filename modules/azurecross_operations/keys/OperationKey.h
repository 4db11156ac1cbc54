#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * A key issued by `POST /v1/operation-keys`. It names the entry that decides
 * about it.
 *
 * The text is `axop1.<owner>.<incarnation>.<expiry>.<random>.<tag>` with the
 * owner and all numbers in hexadecimal digits.
 */
struct OperationKey
{
  EntryId owner_;
  Incarnation incarnation_;
  /** Milliseconds since the Unix epoch, by the owner's clock. */
  std::int64_t expiresMilliseconds_ = 0;
  /** 128 bits as 32 hexadecimal digits. */
  std::string random_;
  /** Proves to the owner that it issued the key; 32 hexadecimal digits. */
  std::string tag_;

  /** @returns the text up to the tag, which the tag authenticates. */
  std::string FormatUntagged() const;
  std::string Format() const;

  friend bool operator==(const OperationKey&, const OperationKey&) = default;
};

/** What the text of an `Idempotency-Key` header is. */
enum class KeyKind
{
  /** A caller's own key: any text of 1 to 255 visible characters. */
  CallerKey,
  /** A well-formed issued key. */
  IssuedKey,
  /** Begins like an issued key but isn't one, or is not a valid text. */
  Malformed,
};

struct ParsedKey
{
  KeyKind kind_ = KeyKind::Malformed;
  /** Set for `IssuedKey`. */
  OperationKey issuedKey_;
};

/** Tells issued keys from callers' own keys by their format. */
ParsedKey
ParseKey(std::string_view aText);

/** @returns the bytes as lower-case hexadecimal digits. */
std::string
FormatHex(std::string_view aBytes);

} // namespace azurecross
