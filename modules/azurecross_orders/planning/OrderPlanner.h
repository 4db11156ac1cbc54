#pragma once

#include "../messages/EngineOrder.h"

#include <azurecross_tables/azurecross_tables.h>

#include <optional>
#include <string>

namespace azurecross {

/**
 * @returns the next order that brings an engine to what its pool asks for, or
 * nothing: first the role, then models, then adapters. A version that the pool
 * does not name is not compared.
 * @param aRole the role the engine is to have; empty for any.
 */
std::optional<EngineOrder>
PlanOrder(const Pool& aPool,
          const std::string& aRole,
          const EngineState& aState);

} // namespace azurecross
