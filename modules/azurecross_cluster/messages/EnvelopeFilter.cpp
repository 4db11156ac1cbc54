#include "EnvelopeFilter.h"

namespace azurecross {

EnvelopeDecision
EnvelopeFilter::Check(const wire::PeerMessage& aMessage)
{
  Peer& peer = peers_[aMessage.sender()];
  if (aMessage.incarnation() < peer.incarnation_) {
    return EnvelopeDecision::StaleIncarnation;
  }
  if (aMessage.incarnation() > peer.incarnation_) {
    peer = { aMessage.incarnation(), 0, 0 };
  }
  const std::uint64_t sequence = aMessage.sequence();
  if (peer.seen_ == 0 || sequence > peer.highest_) {
    const std::uint64_t step = sequence - peer.highest_;
    peer.seen_ = peer.seen_ == 0 || step >= kWindow ? 0 : peer.seen_ << step;
    peer.seen_ |= 1;
    peer.highest_ = sequence;
    return EnvelopeDecision::Accepted;
  }
  const std::uint64_t age = peer.highest_ - sequence;
  if (age >= kWindow) {
    return EnvelopeDecision::TooOld;
  }
  const std::uint64_t bit = std::uint64_t{ 1 } << age;
  if ((peer.seen_ & bit) != 0) {
    return EnvelopeDecision::Duplicate;
  }
  peer.seen_ |= bit;
  return EnvelopeDecision::Accepted;
}

} // namespace azurecross
