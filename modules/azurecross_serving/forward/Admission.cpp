#include "Admission.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** How long a request waits for the proof that its key is still valid. A
 * reachable store answers in a few milliseconds. */
constexpr Duration kProofWait = std::chrono::milliseconds(300);
/** Pause for callers that are turned away while the tables are old: other
 * daemons may reach the store. */
constexpr std::chrono::milliseconds kStaleRetryAfter{ 300 };
/** Pause while no way to the store is known: its outages last seconds. */
constexpr std::chrono::milliseconds kLostStoreRetryAfter{ 2000 };
/** Tables read this recently decide that a route or key does not exist. */
constexpr Duration kRecentTables = std::chrono::milliseconds(2000);
/** Time of one output token on a busy engine of the usual speed. */
constexpr double kTokenSeconds = 0.012;
/** Plain calls that need longer than this are rare. */
constexpr Duration kLongestCall = std::chrono::seconds(1);
/** Priorities that engines know. */
constexpr int kLowestPriority = 9;

Error
MakeStaleError(ErrorCode aCode, std::string aMessage)
{
  return Error{ aCode, Verdict::NotRun, std::move(aMessage), kStaleRetryAfter };
}

/** @returns the host without its port. */
std::string_view
FindHost(const WireTranslator::Request& aRequest)
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
  return age && *age <= kRecentTables;
}

asio::awaitable<std::optional<Error>>
Admission::Run()
{
  context_.tables_ = services_.state_.GetTables();
  if (!context_.tables_) {
    co_return MakeStaleError(ErrorCode::NotReady, "no tables are known yet");
  }
  if (auto error = FindRoute()) {
    co_return error;
  }
  const Duration timeout =
    std::min(context_.demand_.timeLeft_.value_or(context_.route_->timeout_),
             context_.route_->timeout_);
  context_.end_ = context_.arrival_ + timeout;
  context_.priority_ = context_.route_->priority_;
  std::optional<Error> refusal = co_await CheckKey();
  if (!refusal) {
    refusal = CheckStop();
  }
  co_return refusal;
}

std::optional<Error>
Admission::FindRoute()
{
  context_.route_ = context_.tables_->FindRoute(FindHost(context_.request_),
                                                context_.GetPath());
  if (context_.route_ == nullptr) {
    if (!AreTablesRecent()) {
      return MakeStaleError(ErrorCode::NotReady,
                            "no route in tables that may be old");
    }
    return Error{
      ErrorCode::RouteNotFound, Verdict::NotRun, "no route matches", {}
    };
  }
  if (context_.route_->pools_.empty()) {
    return MakeStaleError(ErrorCode::NoBackendServer, "the route has no pool");
  }
  const PoolName& pool =
    ChoosePool(*context_.route_, services_.random_.DrawUnit());
  context_.pool_ = context_.tables_->FindPool(pool);
  if (context_.pool_ == nullptr) {
    return MakeStaleError(ErrorCode::NoBackendServer, "the pool is unknown");
  }
  return std::nullopt;
}

asio::awaitable<std::optional<Error>>
Admission::CheckKey()
{
  if (!context_.tables_->HasCustomers() || context_.route_->isPublic_) {
    co_return std::nullopt;
  }
  if (!services_.state_.GetKeyFreshness().IsFresh(context_.bootArrival_)) {
    // While the store is known not to answer, waiting would be in vain.
    const bool isStoreReachable = services_.state_.IsStoreReachable();
    if (isStoreReachable) {
      co_await services_.awaitProof_(kProofWait);
    }
    if (!services_.state_.GetKeyFreshness().IsFresh(context_.bootArrival_)) {
      Error error =
        MakeStaleError(ErrorCode::StoreUnavailable,
                       "keys can't be checked against fresh tables");
      if (!isStoreReachable) {
        error.retryAfter_ = kLostStoreRetryAfter;
      }
      co_return error;
    }
    // The proving read may have brought newer tables.
    context_.tables_ = services_.state_.GetTables();
    if (auto error = FindRoute()) {
      co_return error;
    }
  }
  const ServingCustomer* customer =
    context_.tables_->FindCustomer(context_.demand_.apiKey_);
  if (customer == nullptr) {
    if (!AreTablesRecent()) {
      co_return MakeStaleError(ErrorCode::NotReady,
                               "the key is not in tables that may be old");
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
Admission::CheckStop() const
{
  if (!services_.stopsAt_) {
    return std::nullopt;
  }
  // What outlasts the planned stop would be cut off; another daemon can serve
  // it whole.
  const double left = ToSeconds(*services_.stopsAt_ - ReadMonotonicTime());
  const double needed =
    context_.IsGeneration()
      ? ToSeconds(context_.route_->latencyTarget_) +
          kTokenSeconds * context_.demand_.generation_.outputLimit_
      : ToSeconds(std::min(context_.route_->timeout_, kLongestCall));
  if (left > 0.0 && needed < left) {
    return std::nullopt;
  }
  return MakeStaleError(ErrorCode::Draining, "the daemon is about to stop");
}

} // namespace azurecross
