#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/** The body of a completion request and what the gateway needs of it. */
struct GenerationBody
{
  boost::json::object json_;
  std::string model_;
  bool isStream_ = false;
  std::uint64_t promptTokens_ = 0;
  std::optional<std::uint64_t> outputLimit_;
  /** Hash of each leading part of the prompt, the shortest first. */
  std::vector<std::uint64_t> prefixHashes_;
};

/** @returns the parsed body, or why it is refused. */
AsyncResult<GenerationBody>
ParseGenerationBody(std::string_view aBody);

} // namespace azurecross
