#include "GrantMessages.h"

#include <algorithm>

namespace azurecross {

namespace {

using std::chrono::milliseconds;

/** Stands for a request without a deadline. */
constexpr std::uint64_t kNoDeadline = 0;

std::uint64_t
ToRemaining(Time aDeadline, Time aNow)
{
  if (aDeadline == Time::max()) {
    return kNoDeadline;
  }
  const auto remaining =
    std::chrono::duration_cast<milliseconds>(aDeadline - aNow).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(1, remaining));
}

Time
FromRemaining(std::uint64_t aRemaining, Time aNow)
{
  if (aRemaining == kNoDeadline) {
    return Time::max();
  }
  return aNow + milliseconds(aRemaining);
}

wire::Rank
ToWireRank(Rank aRank)
{
  return aRank == Rank::Urgent ? wire::URGENT : wire::LESSER;
}

Rank
FromWireRank(wire::Rank aRank)
{
  return aRank == wire::URGENT ? Rank::Urgent : Rank::Lesser;
}

} // namespace

wire::GrantRequest
ToWire(const GrantRequest& aRequest, const GroupId& aGroup, Time aNow)
{
  wire::GrantRequest message;
  message.set_request(aRequest.request_.GetValue());
  message.set_entry(aRequest.entry_.GetValue());
  message.set_customer(aRequest.customer_.GetValue());
  message.set_rank(ToWireRank(aRequest.rank_));
  message.set_route(aRequest.route_.GetValue());
  message.set_pool(aGroup.pool_.GetValue());
  message.set_shard(aGroup.shard_);
  message.set_model(aRequest.model_.GetValue());
  message.set_prompt_tokens(aRequest.promptTokens_);
  message.set_output_limit(aRequest.outputLimit_);
  for (std::uint64_t hash : aRequest.prefixHashes_) {
    message.add_prefix_hashes(hash);
  }
  message.set_deadline_ms(ToRemaining(aRequest.deadline_, aNow));
  for (const BackendServerId& server : aRequest.excluded_) {
    message.add_excluded(server.GetValue());
  }
  return message;
}

GrantRequest
FromWire(const wire::GrantRequest& aMessage, Time aNow)
{
  GrantRequest request;
  request.request_ = RequestId(aMessage.request());
  request.entry_ = EntryId(aMessage.entry());
  request.customer_ = CustomerId(aMessage.customer());
  request.rank_ = FromWireRank(aMessage.rank());
  request.route_ = RouteName(aMessage.route());
  request.model_ = ModelName(aMessage.model());
  request.promptTokens_ = static_cast<std::uint32_t>(aMessage.prompt_tokens());
  request.outputLimit_ = static_cast<std::uint32_t>(aMessage.output_limit());
  request.prefixHashes_.assign(aMessage.prefix_hashes().begin(),
                               aMessage.prefix_hashes().end());
  request.deadline_ = FromRemaining(aMessage.deadline_ms(), aNow);
  for (const std::string& server : aMessage.excluded()) {
    request.excluded_.emplace_back(server);
  }
  return request;
}

GroupId
GetGroup(const wire::GrantRequest& aMessage, const AvailabilityZone& aZone)
{
  return { PoolName(aMessage.pool()), aZone, aMessage.shard() };
}

wire::InFlightReport::Item
ToWire(GrantId aGrant, const HeldGrant& aHeld)
{
  wire::InFlightReport::Item item;
  item.set_grant(aGrant.GetValue());
  item.set_request(aHeld.request_.request_.GetValue());
  item.set_backend_server(aHeld.backendServer_.GetValue());
  item.set_customer(aHeld.request_.customer_.GetValue());
  item.set_rank(ToWireRank(aHeld.request_.rank_));
  item.set_prompt_tokens(aHeld.request_.promptTokens_);
  item.set_tokens(aHeld.tokens_);
  item.set_output_limit(aHeld.request_.outputLimit_);
  item.set_route(aHeld.request_.route_.GetValue());
  item.set_model(aHeld.request_.model_.GetValue());
  return item;
}

InFlightGrant
FromWire(const wire::InFlightReport::Item& aItem, const EntryId& aSender)
{
  InFlightGrant grant;
  grant.grant_ = GrantId(aItem.grant());
  grant.request_.request_ = RequestId(aItem.request());
  grant.request_.entry_ = aSender;
  grant.request_.customer_ = CustomerId(aItem.customer());
  grant.request_.rank_ = FromWireRank(aItem.rank());
  grant.request_.route_ = RouteName(aItem.route());
  grant.request_.model_ = ModelName(aItem.model());
  grant.request_.promptTokens_ =
    static_cast<std::uint32_t>(aItem.prompt_tokens());
  grant.request_.outputLimit_ =
    static_cast<std::uint32_t>(aItem.output_limit());
  grant.backendServer_ = BackendServerId(aItem.backend_server());
  grant.tokens_ = static_cast<std::uint32_t>(aItem.tokens());
  return grant;
}

} // namespace azurecross
