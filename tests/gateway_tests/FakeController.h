#pragma once

#include <azurecross_gateway/azurecross_gateway.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace azurecross {

/** A controller with one engine pool and one service pool. */
class FakeController
{
public:
  using AnswerMap = std::map<std::string, OperationAnswer>;

  AsyncResult<RouteMatch> MatchRoute(const RouteQuery& aQuery)
  {
    RouteMatch match;
    match.deadline_ = deadline_;
    if (aQuery.path_.starts_with("/v1/")) {
      match.route_ = "paint";
      match.pool_ = "engines";
      match.kind_ = RequestKind::Generation;
      match.isModelKnown_ = aQuery.model_ == "m";
      match.rank_ = aQuery.customer_ == "lesser" ? Rank::Lesser : Rank::Urgent;
      return match;
    }
    if (aQuery.path_.starts_with("/bookings")) {
      match.route_ = "booking";
      match.pool_ = "desks";
      match.isIdempotent_ = aQuery.method_ == "GET" || aQuery.method_ == "HEAD";
      return match;
    }
    return Error{ ErrorCode::RouteNotFound, Verdict::NotRun, "no route", {} };
  }

  boost::asio::awaitable<AsyncResult<Assignment>> Acquire(
    DispatchRequest aRequest)
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back(aRequest);
    if (refusal_) {
      co_return *refusal_;
    }
    for (const auto& [id, address] : backendServers_) {
      const BackendServerId name(id);
      const auto& excluded = aRequest.excluded_;
      if (std::find(excluded.begin(), excluded.end(), name) != excluded.end()) {
        continue;
      }
      Assignment assignment;
      assignment.grant_ = GrantId(++lastGrant_);
      assignment.backendServer_ = name;
      assignment.address_ = address;
      co_return assignment;
    }
    co_return Error{
      ErrorCode::NoBackendServer, Verdict::NotRun, "none is left", {}
    };
  }

  void ReportProgress(GrantId, std::uint64_t) {}

  void Release(GrantId aGrant, const ReleaseOutcome& aOutcome)
  {
    const std::lock_guard lock(mutex_);
    released_[aGrant.GetValue()].push_back(aOutcome);
  }

  boost::asio::awaitable<AsyncResult<OperationDecision>> BeginOperation(
    OperationRequest aRequest)
  {
    const std::lock_guard lock(mutex_);
    OperationDecision decision;
    const auto known = answers_.find(aRequest.key_);
    if (known != answers_.end() &&
        known->second.verdict_ == Verdict::MayHaveRun) {
      co_return Error{ ErrorCode::OperationUnknown,
                       Verdict::MayHaveRun,
                       "the outcome is unknown",
                       {} };
    }
    if (known != answers_.end() && known->second.verdict_ == Verdict::Ran) {
      decision.action_ = OperationDecision::Action::Replay;
      decision.answer_ = known->second;
    }
    decision.attempt_.key_ = aRequest.key_;
    co_return decision;
  }

  void FinishOperation(const OperationAttempt& aAttempt,
                       OperationAnswer aAnswer)
  {
    const std::lock_guard lock(mutex_);
    answers_[aAttempt.key_] = std::move(aAnswer);
  }

  boost::asio::awaitable<AsyncResult<std::string>> IssueOperationKey()
  {
    co_return std::string("key-1");
  }

  std::optional<SocketAddress> FindBackendServer(
    const BackendServerId& aBackendServer)
  {
    const std::lock_guard lock(mutex_);
    const auto found = backendServers_.find(aBackendServer.GetValue());
    if (found == backendServers_.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  bool IsReady() { return true; }
  bool IsDraining() { return false; }

  void AddBackendServer(const std::string& aId, const SocketAddress& aAddress)
  {
    const std::lock_guard lock(mutex_);
    backendServers_[aId] = aAddress;
  }

  void RemoveBackendServer(const std::string& aId)
  {
    const std::lock_guard lock(mutex_);
    backendServers_.erase(aId);
  }

  void Refuse(Error aError)
  {
    const std::lock_guard lock(mutex_);
    refusal_ = std::move(aError);
  }

  /** @returns whether each grant is released exactly once, within 3 s. */
  bool WaitForReleases()
  {
    for (int wait = 0; wait < 300; ++wait) {
      {
        const std::lock_guard lock(mutex_);
        if (released_.size() == lastGrant_) {
          return std::all_of(
            released_.begin(), released_.end(), [](const auto& aEntry) {
              return aEntry.second.size() == 1;
            });
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  ReleaseOutcome GetRelease(std::uint64_t aGrant)
  {
    const std::lock_guard lock(mutex_);
    return released_.at(aGrant).front();
  }

  std::size_t CountAcquires()
  {
    const std::lock_guard lock(mutex_);
    return requests_.size();
  }

  DispatchRequest GetRequest(std::size_t aIndex)
  {
    const std::lock_guard lock(mutex_);
    return requests_.at(aIndex);
  }

  AnswerMap GetAnswers()
  {
    const std::lock_guard lock(mutex_);
    return answers_;
  }

  /** Set before the server starts. */
  Duration deadline_{};

private:
  std::mutex mutex_;
  std::map<std::string, SocketAddress> backendServers_;
  std::vector<DispatchRequest> requests_;
  std::optional<Error> refusal_;
  std::uint64_t lastGrant_ = 0;
  std::map<std::uint64_t, std::vector<ReleaseOutcome>> released_;
  AnswerMap answers_;
};

} // namespace azurecross
