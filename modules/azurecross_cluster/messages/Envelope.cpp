#include "Envelope.h"

namespace azurecross {

namespace {

boost::leaf::error_id
RefuseMessage(std::string aReason)
{
  return MakeFailure(
    ErrorCode::InvalidRequest, Verdict::NotRun, std::move(aReason));
}

} // namespace

EnvelopeStamper::EnvelopeStamper(EntryId aSelf, Incarnation aIncarnation)
  : self_(std::move(aSelf))
  , incarnation_(aIncarnation)
{
}

void
EnvelopeStamper::Stamp(const SocketAddress& aReceiver,
                       wire::PeerMessage& aMessage)
{
  aMessage.set_version(kPeerMessageVersion);
  aMessage.set_sender(self_.GetValue());
  aMessage.set_incarnation(incarnation_.GetValue());
  aMessage.set_sequence(++sequences_[aReceiver]);
}

std::string
EncodePeerMessage(const wire::PeerMessage& aMessage)
{
  return aMessage.SerializeAsString();
}

Result<wire::PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  if (aBytes.size() > kLongestPeerMessage) {
    return RefuseMessage("peer message too long");
  }
  wire::PeerMessage message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return RefuseMessage("peer message is not valid protobuf");
  }
  if (message.version() != kPeerMessageVersion) {
    return RefuseMessage("peer message has version " +
                         std::to_string(message.version()));
  }
  if (message.sender().empty()) {
    return RefuseMessage("peer message has no sender");
  }
  if (message.body_case() == wire::PeerMessage::BODY_NOT_SET) {
    return RefuseMessage("peer message has no known body");
  }
  return message;
}

} // namespace azurecross
