#include "ReportTopology.h"

#include "MemberOrder.h"

#include <map>
#include <utility>

namespace azurecross {

namespace {

/** Up to this number of daemons, each one reports to all others. */
constexpr std::size_t kMaxDaemonsWithoutSummaries = 32;
/** Summarizers of a zone, so that the loss of one hides no zone. */
constexpr std::size_t kSummarizersPerZone = 2;

} // namespace

ReportTopology::ReportTopology(SocketAddress aSelf, AvailabilityZone aZone)
  : self_(std::move(aSelf))
  , zone_(std::move(aZone))
{
}

void
ReportTopology::SetMembers(const std::vector<MemberRecord>& aMembers)
{
  std::vector<MemberRecord> members = aMembers;
  SortByCapacity(members);
  usesSummaries_ = members.size() > kMaxDaemonsWithoutSummaries;
  isSummarizer_ = false;
  ownZone_.clear();
  otherZones_.clear();
  std::map<AvailabilityZone, std::size_t> summarizerCounts;
  for (const MemberRecord& member : members) {
    const bool isSummarizer =
      summarizerCounts[member.zone_]++ < kSummarizersPerZone;
    if (member.peerAddress_ == self_) {
      isSummarizer_ = usesSummaries_ && isSummarizer;
    } else if (member.zone_ == zone_) {
      ownZone_.push_back(member.peerAddress_);
    } else if (!usesSummaries_ || isSummarizer) {
      otherZones_.push_back(member.peerAddress_);
    }
  }
}

} // namespace azurecross
