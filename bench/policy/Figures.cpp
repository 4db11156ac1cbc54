#include "Figures.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace azurecross::bench {
namespace {

constexpr double kGapStepSeconds = 0.0001;
constexpr double kTargetGapSeconds = 0.037;
/** Billing weight of a prompt token relative to an output token; the same as
 * the arbiter's default. */
constexpr double kPromptWeight = 0.1;
constexpr double kLesserFloor = 0.1;
/** Between caller and entry, entry and home entry, entry and engine. */
constexpr double kNetworkSeconds = 0.002;

double
ComputeQuantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::size_t>(
    std::ceil(aQuantile * static_cast<double>(aValues.size())) - 1.0);
  const auto position = aValues.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

std::size_t
GetMinute(Time aTime)
{
  return static_cast<std::size_t>(
    std::chrono::floor<std::chrono::minutes>(aTime.time_since_epoch()).count());
}

} // namespace

Recorder::Recorder(const Scenario& aScenario,
                   const std::vector<Arrival>& aArrivals)
  : scenario_(aScenario)
  , arrivals_(aArrivals)
  , measureFrom_(FromSeconds(aScenario.measureFromSeconds_))
  , gaps_(kGapSteps + 1, 0)
  , minutes_(static_cast<std::size_t>(aScenario.durationSeconds_ / 60.0) + 2)
{
}

void
Recorder::RecordGap(Rank aRank, Duration aGap, Time aNow)
{
  if (!IsMeasured(aNow)) {
    return;
  }
  const double seconds = ToSeconds(aGap);
  stallSeconds_ += std::max(0.0, seconds - kTargetGapSeconds);
  if (aRank == Rank::Urgent) {
    const auto step = static_cast<std::size_t>(seconds / kGapStepSeconds);
    ++gaps_[std::min(step, kGapSteps)];
  }
}

void
Recorder::RecordToken(Rank aRank, Time aNow)
{
  minutes_[GetMinute(aNow)] += 1.0;
  if (IsMeasured(aNow)) {
    ++tokens_[static_cast<std::size_t>(aRank)];
  }
}

void
Recorder::RecordPrompt(std::uint32_t aTokens, Time aNow)
{
  minutes_[GetMinute(aNow)] += kPromptWeight * aTokens;
}

void
Recorder::RecordQueueEmpty(std::size_t aZone, Rank aRank, Time aNow)
{
  emptied_[{ aZone, aRank }].push_back(aNow);
}

void
Recorder::ComputeService(const std::vector<Stream>& aStreams,
                         Figures& aFigures) const
{
  std::vector<double> urgentTtfts;
  std::vector<double> smallTtfts;
  double admitted = 0.0;
  double completed = 0.0;
  double offered = 0.0;
  const Time end(FromSeconds(scenario_.durationSeconds_));
  for (std::size_t index = 0; index < aStreams.size(); ++index) {
    const Stream& stream = aStreams[index];
    const Arrival& arrival = arrivals_[index];
    if (!IsMeasured(arrival.time_) || stream.state_ == StreamState::Pending) {
      continue;
    }
    if (stream.state_ == StreamState::Refused) {
      ++aFigures.refused_;
    }
    if (arrival.rank_ != Rank::Urgent) {
      continue;
    }
    ++offered;
    const bool isServed = stream.firstToken_ != Time::max();
    // A caller that gave up waited for its whole deadline.
    const double ttft =
      kNetworkSeconds + ToSeconds(isServed ? stream.firstToken_ - arrival.time_
                                           : arrival.deadline_);
    const bool isOpen = !isServed && arrival.time_ + arrival.deadline_ > end;
    if (stream.state_ != StreamState::Refused && !isOpen) {
      urgentTtfts.push_back(ttft);
    }
    if (arrival.customer_ < scenario_.workload_.customers_ && !isOpen) {
      // A refusal is the worst service of all.
      smallTtfts.push_back(ttft);
    }
    aFigures.urgentServed_ += isServed ? 1.0 : 0.0;
    const bool isDone = stream.state_ == StreamState::Completed;
    const bool isMissing = stream.state_ == StreamState::GaveUp;
    if (stream.wasAdmitted_ && (isDone || isMissing)) {
      ++admitted;
      completed += isDone ? 1.0 : 0.0;
    }
  }
  aFigures.urgentServed_ /= std::max(offered, 1.0);
  aFigures.urgentTtftP95_ = ComputeQuantile(urgentTtfts, 0.95);
  aFigures.smallTtftP95_ = ComputeQuantile(smallTtfts, 0.95);
  aFigures.urgentCompleted_ = admitted > 0.0 ? completed / admitted : 1.0;
}

double
Recorder::ComputeJain(const std::vector<Stream>& aStreams) const
{
  // Service relative to the max-min fair share of what the policy served.
  std::map<std::uint32_t, std::pair<double, double>> customers;
  double left = 0.0;
  for (std::size_t index = 0; index < aStreams.size(); ++index) {
    const Arrival& arrival = arrivals_[index];
    if (IsMeasured(arrival.time_) && arrival.rank_ == Rank::Urgent) {
      auto& [demand, served] = customers[arrival.customer_];
      demand += arrival.output_;
      served += aStreams[index].tokens_;
      left += aStreams[index].tokens_;
    }
  }
  std::vector<std::pair<double, double>> byDemand;
  byDemand.reserve(customers.size());
  for (const auto& [customer, use] : customers) {
    byDemand.push_back(use);
  }
  std::sort(byDemand.begin(), byDemand.end());
  double sum = 0.0;
  double sumOfSquares = 0.0;
  double remaining = static_cast<double>(byDemand.size());
  for (const auto& [demand, served] : byDemand) {
    const double fair = std::min(demand, left / remaining);
    left -= fair;
    remaining -= 1.0;
    const double share = fair > 0.0 ? served / fair : 1.0;
    sum += share;
    sumOfSquares += share * share;
  }
  const auto count = static_cast<double>(byDemand.size());
  return sumOfSquares > 0.0 ? sum * sum / (count * sumOfSquares) : 1.0;
}

std::uint64_t
Recorder::CountWronglyRefused(const std::vector<Stream>& aStreams) const
{
  std::uint64_t count = 0;
  for (std::size_t index = 0; index < aStreams.size(); ++index) {
    const Arrival& arrival = arrivals_[index];
    const auto emptied = emptied_.find({ arrival.zone_, arrival.rank_ });
    if (aStreams[index].state_ != StreamState::Refused ||
        !IsMeasured(arrival.time_) || emptied == emptied_.end()) {
      continue;
    }
    const std::vector<Time>& times = emptied->second;
    const auto next =
      std::upper_bound(times.begin(), times.end(), arrival.time_);
    if (next != times.end() && *next <= arrival.time_ + arrival.deadline_) {
      ++count;
    }
  }
  return count;
}

double
Recorder::ComputeLeastMinute() const
{
  const WorkloadOptions& workload = scenario_.workload_;
  std::vector<double> minutes(minutes_.size(), 0.0);
  for (const Arrival& arrival : arrivals_) {
    if (arrival.rank_ == Rank::Urgent) {
      minutes[GetMinute(arrival.time_)] +=
        arrival.output_ + kPromptWeight * arrival.prompt_;
    }
  }
  const ProfileMeans means = MeasureProfile(workload.lesser_);
  const double floor = kLesserFloor * 60.0 *
                       ComputeCapacity(workload.engines_, workload.lesser_) *
                       (means.output_ + kPromptWeight * means.prompt_);
  const std::size_t first = GetMinute(measureFrom_);
  const auto last = static_cast<std::size_t>(scenario_.durationSeconds_ / 60.0);
  double least = 0.0;
  for (std::size_t minute = first; minute < last; ++minute) {
    least = std::max(least, minutes[minute] + floor);
  }
  return least;
}

Figures
Recorder::Compute(const std::vector<Stream>& aStreams) const
{
  Figures figures;
  ComputeService(aStreams, figures);
  std::uint64_t total = 0;
  for (std::uint64_t count : gaps_) {
    total += count;
  }
  std::uint64_t below = 0;
  std::size_t step = 0;
  while (step < kGapSteps && static_cast<double>(below + gaps_[step]) <
                               0.95 * static_cast<double>(total)) {
    below += gaps_[step++];
  }
  constexpr double kMillisecondsPerStep = kGapStepSeconds * 1000.0;
  figures.urgentItlP95Milliseconds_ =
    static_cast<double>(step + 1) * kMillisecondsPerStep;
  const double allTokens = static_cast<double>(tokens_[0] + tokens_[1]);
  figures.lesserShare_ =
    static_cast<double>(tokens_[1]) / std::max(allTokens, 1.0);
  figures.outputTokensPerSecond_ =
    allTokens / (scenario_.durationSeconds_ - scenario_.measureFromSeconds_);
  figures.stallSeconds_ = stallSeconds_;
  figures.jain_ = ComputeJain(aStreams);
  figures.wronglyRefused_ = CountWronglyRefused(aStreams);
  const auto first =
    minutes_.begin() + static_cast<std::ptrdiff_t>(GetMinute(measureFrom_));
  figures.busiestMinute_ = *std::max_element(first, minutes_.end());
  if (scenario_.isPaced_) {
    figures.busiestMinuteLeast_ = ComputeLeastMinute();
  }
  return figures;
}

} // namespace azurecross::bench
