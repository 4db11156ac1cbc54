#include "Member.h"

#include <cmath>

namespace azurecross {

namespace {

constexpr double kSizeScale = 100.0;

} // namespace

wire::MemberRecord
ToWire(const Member& aMember)
{
  wire::MemberRecord record;
  record.set_member(aMember.entry_.GetValue());
  record.set_incarnation(aMember.incarnation_.GetValue());
  record.set_state(static_cast<wire::MemberState>(aMember.state_));
  record.set_zone(aMember.zone_.GetValue());
  record.set_host(aMember.address_.host_);
  record.set_port(aMember.address_.port_);
  record.set_refuted(aMember.incarnation_.GetValue() -
                     aMember.start_.GetValue());
  record.set_size(
    static_cast<std::uint32_t>(std::lround(aMember.size_ * kSizeScale)));
  return record;
}

Member
FromWire(const wire::MemberRecord& aRecord)
{
  Member member;
  member.entry_ = EntryId(aRecord.member());
  member.incarnation_ = Incarnation(aRecord.incarnation());
  member.start_ = Incarnation(aRecord.incarnation() - aRecord.refuted());
  // An unknown state of a later version counts as dead.
  member.state_ = aRecord.state() >= wire::LIVE && aRecord.state() < wire::DEAD
                    ? static_cast<MemberState>(aRecord.state())
                    : MemberState::Dead;
  member.zone_ = AvailabilityZone(aRecord.zone());
  member.address_ = { aRecord.host(),
                      static_cast<std::uint16_t>(aRecord.port()) };
  member.size_ = aRecord.size() == 0
                   ? 1.0
                   : static_cast<double>(aRecord.size()) / kSizeScale;
  return member;
}

} // namespace azurecross
