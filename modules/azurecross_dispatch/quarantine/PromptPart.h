#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** Identifies a part of a prompt that several requests can share, wherever it
 * stands in their prompts. */
using PromptPartId = std::uint64_t;

/** @returns the id in hexadecimal, as in requests and logs. */
std::string
FormatPromptPartId(PromptPartId aPart);

/** @returns the id, or nothing if the text is not a hexadecimal number of at
 * most 64 bits. */
std::optional<PromptPartId>
ParsePromptPartId(std::string_view aText);

/** The end of an engine process under its requests. */
struct EngineDeath
{
  BackendServerId server_;
  /** Start time, which identifies the process; 0 if unknown. */
  std::int64_t startedUnixMs_ = 0;
  Time at_;
};

/** What is known about a part of a prompt that is suspected to end engines. */
struct PromptPartEvidence
{
  PromptPartId part_ = 0;
  /** Deaths of engines on which a request with the part had not yet begun to be
   * answered. */
  std::vector<EngineDeath> deaths_;
  /** When an engine last answered a request with the part. */
  std::optional<Time> soundAt_;
};

} // namespace azurecross
