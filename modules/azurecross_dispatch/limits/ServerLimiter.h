#pragma once

#include "IssuerSelector.h"
#include "PermitIssuer.h"
#include "PermitMessage.h"
#include "ServerLimitTable.h"
#include "WarmUpTable.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

enum class PermitState
{
  /** The server has no limit. */
  NotNeeded,
  /** This daemon holds a permit that may be used now. */
  Held,
  /** A permit can be requested, is requested or may be used later. */
  Obtainable,
  /** The permits are used up, or the reply is overdue. */
  Unavailable,
};

struct PermitStatus
{
  PermitState state_ = PermitState::NotNeeded;
  /** Time until the permit may be used, as far as it is known. */
  Duration wait_{};
  /** Whether a request or a permit is already outstanding. */
  bool isRequested_ = false;
};

/** Counts of what became of the requests for permits. */
struct PermitCounts
{
  std::uint64_t granted_ = 0;
  std::uint64_t denied_ = 0;
  std::uint64_t unanswered_ = 0;
  std::uint64_t returned_ = 0;
  /** Requests that were sent without a permit. */
  std::uint64_t charged_ = 0;
};

/**
 * Keeps the requests of all daemons to a backend server within the rate that
 * the server states in its answers, or that a cold server can take.
 *
 * One daemon issues the permits of a server, so their sum never exceeds the
 * limit, whoever has the demand; a request to a limited server needs a permit
 * when it is sent. A permit is for one request, is valid for a short time, and
 * is returned if it is not needed. Messages between the daemons can be lost.
 *
 * This covers services whose servers take less than one request a second in a
 * fleet of hundreds of daemons, in which equal shares would starve most of
 * them, and zones whose servers come back cold while all daemons have waiting
 * requests.
 */
class ServerLimiter
{
public:
  /** @param aSeed distinguishes the requests of two lives of a daemon. */
  explicit ServerLimiter(std::uint64_t aSeed)
    : nextId_(aSeed)
  {
  }

  /** Sets this daemon and the live daemons, which may lack this one. */
  void SetMembers(PermitPeer aSelf, std::vector<PermitPeer> aMembers, Time aNow)
  {
    selector_.SetMembers(std::move(aSelf), std::move(aMembers), aNow);
  }
  ServerLimitTable& GetTable() { return table_; }
  const ServerLimitTable& GetTable() const { return table_; }

  /** Limits a cold server until it is warm.
   * @param aRequestsPerSecond the rate that it tolerates.
   * @param aMaxInSecond the largest number of requests in any second.
   * @returns whether the server was not known to be cold. */
  bool SetWarmUp(const BackendServerId& aServer,
                 double aRequestsPerSecond,
                 double aMaxInSecond,
                 Duration aRemaining,
                 Time aNow);
  /** Adds what a peer knows about a cold server, unless it is known. */
  void MergeWarmUp(const BackendServerId& aServer,
                   const WarmUp& aWarmUp,
                   Time aNow);
  const WarmUpTable& GetWarmUps() const { return warmUps_; }
  /** Replaces the paces at which engines get prompts. */
  void SetPaces(std::map<BackendServerId, double> aPaces)
  {
    paces_ = std::move(aPaces);
  }
  /** Forgets the limits of a server that has ended or started again. */
  void Forget(const BackendServerId& aServer, Time aNow);
  std::size_t CountCold() const { return warmUps_.CountCold(); }

  /** @param aMaxWait the longest usable wait for a permit. */
  PermitStatus FindStatus(const BackendServerId& aServer,
                          Duration aMaxWait,
                          Time aNow) const;
  /** Requests a permit, unless one is outstanding. A permit that this daemon
   * issues itself is available at once.
   * @param aRank the rank of the waiting request among those of all daemons;
   * the lowest is served first. It counts at engines that only have a pace. */
  void Request(const BackendServerId& aServer,
               const AvailabilityZone& aServerZone,
               Duration aMaxWait,
               Time aNow,
               int aRank = 0);
  /** Uses a permit for a request that is sent now. Without a permit, the issuer
   * counts the request against the following permits. */
  void Use(const BackendServerId& aServer,
           const AvailabilityZone& aServerZone,
           Time aNow);

  /** Handles a message of another daemon. */
  void Handle(const PermitMessage& aMessage, Time aNow);
  /** Repeats requests without a reply, and returns permits that have expired or
   * exceed what this daemon needs.
   * @param aNeeded the number of requests that wait to be sent. */
  void Tick(std::size_t aNeeded, Time aNow);

  /** @returns the number of permits that are held or requested. */
  std::size_t CountOutstanding(Time aNow) const;
  /** @returns the messages to be sent since the last call. */
  std::vector<PermitMessage> TakeMessages();
  const PermitCounts& GetCounts() const { return counts_; }

private:
  struct Permit
  {
    Time usableAt_;
    std::string issuer_;
  };

  struct PendingRequest
  {
    std::uint64_t id_ = 0;
    std::string issuer_;
    Time requestedAt_;
    Time sentAt_;
    unsigned sends_ = 1;
    Duration maxWait_{};
    int rank_ = 0;
  };

  /** The denial of a permit. */
  struct Denial
  {
    /** When a slot is expected to be free. */
    Time slotAt_;
    /** Until when the expectation counts: others may return permits. */
    Time until_;
  };

  /** The permits of one server. */
  struct Holding
  {
    AvailabilityZone serverZone_;
    std::vector<Permit> permits_;
    std::optional<PendingRequest> pending_;
    std::optional<Denial> denial_;
  };

  /** @returns the lowest of the limits of a server, if it has one. */
  std::optional<double> FindRate(const BackendServerId& aServer,
                                 Time aNow) const;
  /** @returns whether the server is an engine without other limits than its
   * pace. A request never waits for a permit of such an engine: another one is
   * used meanwhile. */
  bool HasPaceOnly(const BackendServerId& aServer, Time aNow) const;
  /** @returns the daemon to ask, which may be this one. */
  const std::string& FindReachableIssuer(const BackendServerId& aServer,
                                         const AvailabilityZone& aServerZone,
                                         Time aNow) const;
  /** @returns the rate at which this daemon issues permits, if the server has a
   * limit. */
  std::optional<double> GetIssueRate(const BackendServerId& aServer,
                                     const AvailabilityZone& aServerZone,
                                     Time aNow) const;
  PermitDecision Issue(const BackendServerId& aServer,
                       const AvailabilityZone& aServerZone,
                       Duration aMaxWait,
                       int aRank,
                       Time aNow);
  void Apply(Holding& aHolding,
             const std::string& aIssuer,
             const PermitDecision& aDecision,
             Time aNow);
  void SendRequest(const BackendServerId& aServer,
                   const Holding& aHolding,
                   Time aNow);
  /** Tells the issuer about permits that were not used or used without grant,
   * or accounts for them if this daemon is the issuer. */
  void Report(PermitMessageKind aKind,
              const BackendServerId& aServer,
              const AvailabilityZone& aServerZone,
              const std::string& aIssuer,
              std::uint32_t aCount,
              Time aNow);
  void Account(PermitMessageKind aKind,
               const BackendServerId& aServer,
               const AvailabilityZone& aServerZone,
               std::uint32_t aCount,
               Time aNow);
  void HandleRequest(const PermitMessage& aMessage, Time aNow);
  void HandleReply(const PermitMessage& aMessage, Time aNow);
  void CheckPending(const BackendServerId& aServer,
                    Holding& aHolding,
                    Time aNow);
  void ReturnExpired(const BackendServerId& aServer,
                     Holding& aHolding,
                     Time aNow);
  void ReturnSurplus(std::size_t aNeeded, Time aNow);
  PermitMessage MakeMessage(PermitMessageKind aKind,
                            const BackendServerId& aServer,
                            const AvailabilityZone& aServerZone,
                            std::string aReceiver,
                            Time aNow) const;

  ServerLimitTable table_;
  WarmUpTable warmUps_;
  std::map<BackendServerId, double> paces_;
  IssuerSelector selector_;
  PermitIssuer issuer_;
  std::map<BackendServerId, Holding> holdings_;
  /** Issuers that don't reply, and when to try them again. */
  std::map<std::string, Time> silentUntil_;
  std::uint64_t nextId_;
  std::vector<PermitMessage> messages_;
  PermitCounts counts_;
};

} // namespace azurecross
