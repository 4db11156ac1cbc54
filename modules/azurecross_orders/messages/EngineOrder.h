#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>
#include <string>

namespace azurecross {

/** An order, unique within one run of a controller. */
using OrderId = StrongId<struct OrderIdTag, std::uint64_t>;
/** The store revision at which the lease was taken; rises with each holder. */
using FencingNumber = StrongId<struct FencingNumberTag, std::int64_t>;

enum class OrderKind
{
  LoadModel,
  LoadAdapter,
  ChangeRole,
};

inline constexpr NameTable<OrderKind, 3> kOrderKindNames{
  { { { OrderKind::LoadModel, "load_model" },
      { OrderKind::LoadAdapter, "load_adapter" },
      { OrderKind::ChangeRole, "change_role" } } }
};

/** What an engine is to do. */
struct EngineOrder
{
  OrderKind kind_ = OrderKind::LoadModel;
  /** The model, adapter or role. */
  std::string name_;
  /** Empty if the pool names no version. */
  std::string version_;

  friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

/** What an engine reports about itself. */
struct EngineState
{
  /** Versions by model; an empty version if the engine names none. */
  std::map<std::string, std::string> models_;
  /** Versions by adapter. */
  std::map<std::string, std::string> adapters_;
  std::string role_;
  /** Whether it is carrying out an order. */
  bool isBusy_ = false;
};

/** What became of an order. */
enum class OrderOutcome
{
  /** The engine has carried it out. */
  Done,
  /** The engine did not take it, for a reason other than fencing. */
  Failed,
  /** The engine has seen a higher fencing number. */
  Fenced,
  /** The answer was lost; the engine may be carrying the order out. */
  Unknown,
};

} // namespace azurecross
