#pragma once

#include "OperationKey.h"

namespace azurecross {

/**
 * Issues and verifies the keys of one incarnation of an entry. The tag is an
 * HMAC-SHA256, cut to 128 bits, under a secret that only the owner and, after
 * a hand-over, its successor have. So an altered key, for example one with a
 * later expiry, is refused.
 */
class OperationKeyCodec
{
public:
  /** @param aSecret at least 16 random bytes, kept for this incarnation. */
  explicit OperationKeyCodec(std::string aSecret);

  /** @returns a key with its tag. @param aRandom 32 hexadecimal digits. */
  OperationKey Issue(const EntryId& aOwner,
                     Incarnation aIncarnation,
                     std::int64_t aExpiresMilliseconds,
                     std::string aRandom) const;
  bool Verify(const OperationKey& aKey) const;
  const std::string& GetSecret() const { return secret_; }

private:
  std::string ComputeTag(const OperationKey& aKey) const;

  std::string secret_;
};

/** @returns the SHA-256 of the bytes as hexadecimal digits. */
std::string
HashForStoreKey(std::string_view aBytes);

} // namespace azurecross
