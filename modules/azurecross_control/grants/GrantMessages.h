#pragma once

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>

#include <vector>

namespace azurecross {

/** A grant that this entry holds. */
struct HeldGrant
{
  GroupId group_;
  GrantRequest request_;
  BackendServerId backendServer_;
  std::uint32_t tokens_ = 0;
  /** Tokens that the home entry has been told. */
  std::uint32_t reportedTokens_ = 0;
};

/** Converts a request to its message; the deadline becomes remaining time. */
wire::GrantRequest
ToWire(const GrantRequest& aRequest, const GroupId& aGroup, Time aNow);

GrantRequest
FromWire(const wire::GrantRequest& aMessage, Time aNow);

GroupId
GetGroup(const wire::GrantRequest& aMessage, const AvailabilityZone& aZone);

wire::InFlightReport::Item
ToWire(GrantId aGrant, const HeldGrant& aHeld);

InFlightGrant
FromWire(const wire::InFlightReport::Item& aItem, const EntryId& aSender);

} // namespace azurecross
