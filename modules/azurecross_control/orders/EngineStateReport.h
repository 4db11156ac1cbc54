#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_orders/azurecross_orders.h>

#include <string>
#include <string_view>

namespace azurecross {

/** Reads what an engine's `GET /load` says about models and its role. */
Result<EngineState>
ParseEngineState(std::string_view aText);

/** @returns the body of `POST /orders`. */
std::string
SerializeEngineOrder(const SendEngineOrder& aOrder);

} // namespace azurecross
