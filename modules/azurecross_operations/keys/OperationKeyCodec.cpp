#include "OperationKeyCodec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace azurecross {

namespace {

using Digest = std::array<unsigned char, EVP_MAX_MD_SIZE>;

constexpr std::size_t kTagBytes = 16;

std::string
FormatDigest(const Digest& aDigest, std::size_t aLength)
{
  return FormatHex({ reinterpret_cast<const char*>(aDigest.data()), aLength });
}

} // namespace

OperationKeyCodec::OperationKeyCodec(std::string aSecret)
  : secret_(std::move(aSecret))
{
}

OperationKey
OperationKeyCodec::Issue(const EntryId& aOwner,
                         Incarnation aIncarnation,
                         std::int64_t aExpiresMilliseconds,
                         std::string aRandom) const
{
  OperationKey key{
    aOwner, aIncarnation, aExpiresMilliseconds, std::move(aRandom), {}
  };
  key.tag_ = ComputeTag(key);
  return key;
}

bool
OperationKeyCodec::Verify(const OperationKey& aKey) const
{
  const std::string expected = ComputeTag(aKey);
  return expected.size() == aKey.tag_.size() &&
         CRYPTO_memcmp(expected.data(), aKey.tag_.data(), expected.size()) == 0;
}

std::string
OperationKeyCodec::ComputeTag(const OperationKey& aKey) const
{
  const std::string text = aKey.FormatUntagged();
  Digest digest{};
  unsigned length = 0;
  HMAC(EVP_sha256(),
       secret_.data(),
       static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       digest.data(),
       &length);
  return FormatDigest(digest, kTagBytes);
}

std::string
HashForStoreKey(std::string_view aBytes)
{
  Digest digest{};
  unsigned length = 0;
  EVP_Digest(aBytes.data(),
             aBytes.size(),
             digest.data(),
             &length,
             EVP_sha256(),
             nullptr);
  return FormatDigest(digest, length);
}

} // namespace azurecross
