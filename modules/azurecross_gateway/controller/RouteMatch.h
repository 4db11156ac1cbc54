#pragma once

#include <azurecross_core/azurecross_core.h>

#include <memory>
#include <string_view>

namespace azurecross {

/** What a route's requests ask for. */
enum class RequestKind
{
  /** An answer of tokens from a model engine. */
  Generation,
  /** A call of a plain service. */
  Service,
};

inline constexpr NameTable<RequestKind, 2> kRequestKindNames{
  { { { RequestKind::Generation, "generation" },
      { RequestKind::Service, "service" } } }
};

/** The parts of a request that select its route. Borrows from the request. */
struct RouteQuery
{
  std::string_view method_;
  /** The target up to the query. */
  std::string_view path_;
  /** The model named in the body; empty for calls of plain services. */
  std::string_view model_;
  std::string_view customer_;
};

/**
 * The route of a request. The names point into the tables that `snapshot_`
 * keeps alive, so that a match allocates nothing.
 */
struct RouteMatch
{
  std::shared_ptr<const void> snapshot_;
  std::string_view route_;
  std::string_view pool_;
  RequestKind kind_ = RequestKind::Service;
  Rank rank_ = Rank::Urgent;
  /** Whether the method of the query may be repeated on this route. */
  bool isIdempotent_ = false;
  /**
   * Whether the pool holds the model. False for a generation whose path
   * matches but whose model no matching route offers; true for services.
   */
  bool isModelKnown_ = true;
  /** Time from arrival to the first byte of the answer; 0 for no limit. */
  Duration deadline_{};
};

} // namespace azurecross
