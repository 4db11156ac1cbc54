#pragma once

#include "PromptPart.h"

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/** What a fingerprint identifies. */
enum class FingerprintKind
{
  /** A part of a prompt, whatever else the request holds. */
  PromptPart,
  /** A request that can come again. */
  Request,
};

inline constexpr NameTable<FingerprintKind, 2> kFingerprintKindNames{
  { { { FingerprintKind::PromptPart, "prompt_part" },
      { FingerprintKind::Request, "request" } } }
};

inline constexpr std::array kFingerprintKinds{ FingerprintKind::PromptPart,
                                               FingerprintKind::Request };

/** Identifies what may end each server that begins to run a request with it. */
struct Fingerprint
{
  constexpr Fingerprint() = default;
  /** Implicit, because the id of a part is its fingerprint. */
  constexpr Fingerprint(PromptPartId aPart)
    : value_(aPart)
  {
  }
  constexpr Fingerprint(FingerprintKind aKind, std::uint64_t aValue)
    : kind_(aKind)
    , value_(aValue)
  {
  }

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;

  FingerprintKind kind_ = FingerprintKind::PromptPart;
  std::uint64_t value_ = 0;
};

/** What makes two requests the same one that comes again. */
struct RequestIdentity
{
  std::string_view method_;
  std::string_view host_;
  /** Path and query. */
  std::string_view target_;
  /** The caller's credential; empty if it has none. */
  std::string_view caller_;
  std::string_view body_;
  /** Hash of the prompt without its last part, or 0. */
  std::uint64_t promptHash_ = 0;
};

/** @returns the fingerprint of a request, the same at each daemon. */
Fingerprint
ComputeFingerprint(const RequestIdentity& aIdentity);

/** @returns the value in hexadecimal. */
std::string
FormatFingerprint(const Fingerprint& aFingerprint);

/** Writes kind and value. */
std::ostream&
operator<<(std::ostream& aStream, const Fingerprint& aFingerprint);

/** @returns the fingerprint, or nothing if the text is not a hexadecimal number
 * of at most 64 bits. */
std::optional<Fingerprint>
ParseFingerprint(FingerprintKind aKind, std::string_view aText);

/** The end of a server process under its requests. */
struct ServerDeath
{
  BackendServerId server_;
  /** Start time, which identifies the process; 0 if unknown. */
  std::int64_t startedUnixMs_ = 0;
  Time at_;
};

/** What is known about a fingerprint that is suspected to end servers. */
struct FingerprintEvidence
{
  Fingerprint fingerprint_;
  /** Deaths of servers on which a request with the fingerprint had not yet
   * begun to be answered. */
  std::vector<ServerDeath> deaths_;
  /** When a server last answered a request with the fingerprint. */
  std::optional<Time> soundAt_;
};

} // namespace azurecross
