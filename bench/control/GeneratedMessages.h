#pragma once

#include <azurecross_cluster/azurecross_cluster.h>

#include <string>

namespace azurecross {

/** @returns the id of a peer of the own zone or of another zone's entry. */
EntryId
MakeEntryId(const std::string& aZone, int aIndex);

std::string
MakeZoneName(int aZone);

/** @returns the group with this number; groups are dealt out to the pools. */
GroupId
MakeGroupId(const std::string& aZone, int aGroup);

wire::GroupSummary
MakeSummary(const GroupId& aGroup, std::uint32_t aSaturation);

/** @returns a grant request with the field sizes of a chat request. */
wire::PeerMessage
MakeGrantRequest(const EntryId& aEntry, std::uint64_t aNumber);

wire::PeerMessage
MakeGrantReply(const wire::GrantRequest& aRequest, std::uint64_t aGrant);

wire::PeerMessage
MakeGrantRelease(std::uint64_t aGrant);

/** @returns one batch of progress for grants numbered from `aFirst`. */
wire::PeerMessage
MakeProgress(std::uint64_t aFirst, int aCount);

/** @returns a table change of one row of about 1 KB. */
wire::PeerMessage
MakeTableDelta(std::uint64_t aRevision);

/** @returns the summaries of all pools of another zone, as one delta. */
wire::PeerMessage
MakeZoneSummaries(int aZone, std::uint64_t aRound);

/** @returns member records of another zone in a heartbeat of this kind. */
wire::PeerMessage
MakeZoneMembers(wire::Heartbeat::Kind aKind,
                int aZone,
                int aFirst,
                int aCount,
                std::uint64_t aIncarnation);

} // namespace azurecross
