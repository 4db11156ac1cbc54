#pragma once

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_operations/azurecross_operations.h>

#include <optional>

namespace azurecross {

/** Conversions between the operations core and the peer messages. A message
 * with an unknown name gives nothing and is dropped. */
wire::OperationForward
ToWire(const OperationForward& aForward);
std::optional<OperationForward>
FromWire(const wire::OperationForward& aMessage);

wire::OperationReply
ToWire(const OperationReply& aReply);
std::optional<OperationReply>
FromWire(const wire::OperationReply& aMessage);

wire::OperationHandover
ToWire(const OperationHandover& aHandover);
std::optional<OperationHandover>
FromWire(const wire::OperationHandover& aMessage);

wire::OwnerMove
ToWire(const OwnerMove& aMove);
OwnerMove
FromWire(const wire::OwnerMove& aMessage);

} // namespace azurecross
