#pragma once

#include "../plane/ControlSettings.h"
#include "../plane/PeerBridge.h"
#include "ClaimStore.h"

#include <azurecross_gateway/azurecross_gateway.h>
#include <azurecross_operations/azurecross_operations.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace azurecross {

/** A decision and how long it may be acted on. */
struct TimedDecision
{
  OperationDecision decision_;
  /** The run must start before this. */
  Time runBefore_ = Time::max();
};

/**
 * Carries out the actions of `OperationCoordinator`: claims in the store,
 * messages to other entries, and answers to workers. Runs on the control
 * thread.
 */
class OperationShell
{
public:
  using DecisionCallback = std::function<void(AsyncResult<TimedDecision>)>;

  /** Longest wait of a call for its decision. */
  static constexpr Duration kDecisionTimeout = std::chrono::seconds(10);

  OperationShell(boost::asio::io_context& aContext,
                 const ControlSettings& aSettings,
                 PeerBridge& aPeers,
                 EtcdClient& aStore);

  /** Call once the peers have started, which sets the incarnation. */
  void Start();

  /** Decides about a call; the callback is called exactly once. */
  void Begin(std::uint64_t aToken,
             OperationRequest aRequest,
             DecisionCallback aCallback);
  void Cancel(std::uint64_t aToken);
  void Finish(const std::string& aAttempt, OperationAnswer aAnswer);
  AsyncResult<std::string> IssueKey();

  /** Takes a message about operations; @returns false for other messages. */
  bool Receive(const wire::PeerMessage& aMessage);
  void Tick(Time aNow);

  /** Hands all records to a live member of the zone, if there is one. */
  void StartHandover();
  /** @returns whether nothing is left to hand over. */
  bool IsHandedOver() const;

  std::size_t CountRecords() const;

private:
  void Process(OperationActions aActions);
  void Do(const RunOperation& aAction);
  void Do(const ReplayAnswer& aAction);
  void Do(const RefuseOperation& aAction);
  void Do(const WriteClaims& aAction);
  void Do(const ReadClaim& aAction);
  void Do(const ForwardToOwner& aAction);
  void Do(const ReplyToEntry& aAction);
  void Do(const HandOver& aAction);
  void Do(const AcknowledgeHandover& aAction);
  void Do(const AnnounceOwner& aAction);
  void Answer(std::uint64_t aToken, AsyncResult<TimedDecision> aDecision);

  boost::asio::awaitable<void> WriteBatch(ClaimBatch aBatch);
  boost::asio::awaitable<void> ReadOne(ReadClaim aAction);

  struct Call
  {
    DecisionCallback callback_;
    std::string key_;
    CustomerId customer_;
  };

  boost::asio::io_context& context_;
  const ControlSettings& settings_;
  PeerBridge& peers_;
  ClaimStore claims_;
  std::unique_ptr<OperationCoordinator> coordinator_;
  std::unordered_map<std::uint64_t, Call> calls_;
  bool hasSuccessor_ = false;
};

} // namespace azurecross
