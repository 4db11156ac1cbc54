#include "Admission.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

/**
 * How long a request waits for a read of the store that confirms its tables. A
 * reachable store answers within a few milliseconds.
 */
constexpr Duration kFreshTablesTimeout = std::chrono::milliseconds(300);
/**
 * Retry delay for callers rejected because of stale tables. Short, because
 * another daemon may still reach the store.
 */
constexpr std::chrono::milliseconds kStaleTablesRetryAfter{ 300 };
/** Retry delay while the store is unreachable; its outages last seconds. */
constexpr std::chrono::milliseconds kStoreUnreachableRetryAfter{ 2000 };
/** A missing route or key is final only if the tables are at most this old. */
constexpr Duration kMaxTableAge = std::chrono::milliseconds(2000);
/** Lowest priority that engines accept (the highest is 0). */
constexpr int kLowestPriority = 9;

Error
MakeRetryableError(ErrorCode aCode, std::string aMessage)
{
  return Error{
    aCode, Verdict::NotRun, std::move(aMessage), kStaleTablesRetryAfter
  };
}

/** @returns the value of the Host header without the port. */
std::string_view
GetHostName(const WireProtocol::Request& aRequest)
{
  const auto field = aRequest[boost::beast::http::field::host];
  const std::string_view host(field.data(), field.size());
  return host.substr(0, host.find(':'));
}

} // namespace

bool
Admission::AreTablesRecent() const
{
  const auto age = services_.state_.GetKeyFreshness().GetAge(ReadBootTime());
  return age && *age <= kMaxTableAge;
}

asio::awaitable<std::optional<Error>>
Admission::Run()
{
  context_.tables_ = services_.state_.GetTables();
  if (!context_.tables_) {
    co_return MakeRetryableError(ErrorCode::NotReady,
                                 "the routing tables are not loaded yet");
  }
  if (auto error = FindRoute()) {
    co_return error;
  }
  std::optional<Error> refusal = co_await CheckApiKey();
  if (!refusal) {
    refusal = CheckShutdown();
  }
  co_return refusal;
}

std::optional<Error>
Admission::FindRoute()
{
  context_.route_ = context_.tables_->FindRoute(GetHostName(context_.request_),
                                                context_.GetPath());
  if (context_.route_ == nullptr) {
    if (!AreTablesRecent()) {
      return MakeRetryableError(
        ErrorCode::NotReady,
        "no route matches, but the routing tables may be out of date");
    }
    return Error{ ErrorCode::RouteNotFound,
                  Verdict::NotRun,
                  "no route matches the request",
                  {} };
  }
  if (context_.route_->pools_.empty()) {
    return MakeRetryableError(ErrorCode::NoBackendServer,
                              "the route has no pool");
  }
  const PoolName& poolName =
    ChoosePool(*context_.route_, services_.random_.DrawUnit());
  context_.pool_ = context_.tables_->FindPool(poolName);
  if (context_.pool_ == nullptr) {
    return MakeRetryableError(ErrorCode::NoBackendServer,
                              "the pool of the route does not exist");
  }
  const Duration timeout = std::min(
    context_.metadata_.remainingTime_.value_or(context_.route_->timeout_),
    context_.route_->timeout_);
  context_.deadline_ = context_.arrival_ + timeout;
  context_.priority_ = context_.route_->priority_;
  return std::nullopt;
}

bool
Admission::NeedsApiKey() const
{
  return context_.tables_->NeedApiKeys() && !context_.route_->isPublic_;
}

asio::awaitable<std::optional<Error>>
Admission::CheckApiKey()
{
  if (!NeedsApiKey()) {
    co_return std::nullopt;
  }
  if (!services_.state_.GetKeyFreshness().IsFresh(context_.arrivalBootTime_)) {
    // Waiting is useless while the store is unreachable.
    const bool isStoreReachable = services_.state_.IsStoreReachable();
    if (isStoreReachable) {
      co_await services_.awaitFreshTables_(kFreshTablesTimeout);
    }
    if (!services_.state_.GetKeyFreshness().IsFresh(
          context_.arrivalBootTime_)) {
      Error error =
        MakeRetryableError(ErrorCode::StoreUnavailable,
                           "keys can't be checked against fresh tables");
      if (!isStoreReachable) {
        error.retryAfter_ = kStoreUnreachableRetryAfter;
      }
      co_return error;
    }
    // The read that confirmed the tables may have replaced them.
    context_.tables_ = services_.state_.GetTables();
    if (auto error = FindRoute()) {
      co_return error;
    }
    if (!NeedsApiKey()) {
      co_return std::nullopt;
    }
  }
  const ServingCustomer* customer =
    context_.tables_->FindCustomer(context_.metadata_.apiKey_);
  if (customer == nullptr) {
    if (!AreTablesRecent()) {
      co_return MakeRetryableError(
        ErrorCode::NotReady,
        "the API key was not found, but the tables may be out of date");
    }
    co_return Error{
      ErrorCode::KeyUnknown, Verdict::NotRun, "the API key is unknown", {}
    };
  }
  context_.customer_ = customer->name_;
  context_.priority_ =
    std::min(customer->priority_.value_or(context_.priority_), kLowestPriority);
  co_return std::nullopt;
}

std::optional<Error>
Admission::CheckShutdown() const
{
  if (!services_.shutdown_ ||
      services_.shutdown_->Allows(context_.MakeShutdownCandidate(),
                                  ReadMonotonicTime())) {
    return std::nullopt;
  }
  return MakeRetryableError(ErrorCode::Draining, "the daemon is shutting down");
}

} // namespace azurecross
