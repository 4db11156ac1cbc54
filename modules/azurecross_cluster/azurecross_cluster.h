#pragma once

/**
 * What entries know about each other: peer messages and their transport,
 * the members of the zone, home entries of groups, and gossiped records.
 *
 * `Membership`, `Gossip` and `HomeSelector` do no I/O: they take events, a time
 * and a seed and append messages to send to a vector. One thread owns them.
 * `PeerTransport` moves the messages; Asio stays out of the public header.
 */

#include "messages/Envelope.h"
#include "messages/EnvelopeFilter.h"

#include "membership/Member.h"
// The table and the update queue hold member records.
#include "membership/MemberTable.h"
#include "membership/Membership.h"
#include "membership/UpdateQueue.h"

#include "gossip/Gossip.h"
#include "gossip/RecordStore.h"
#include "gossip/SummaryBoard.h"
#include "selection/HomeSelector.h"
#include "transport/LinkFilter.h"
#include "transport/PeerFrame.h"
#include "transport/PeerTransport.h"
#include "view/ClusterView.h"
