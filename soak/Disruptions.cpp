#include "Disruptions.h"

#include <array>
#include <csignal>
#include <iomanip>

namespace azurecross::soak {

namespace {

using review::Milliseconds;

/** Series of disruptions that run at the same time. */
constexpr unsigned kSeries = 3;
constexpr Milliseconds kWaitStep{ 50 };
constexpr unsigned kMaxPauseMs = 2500;
constexpr unsigned kMaxGapMs = 3000;
/** Latest time after a start at which a successor gets SIGHUP. */
constexpr unsigned kMaxEarlyReloadMs = 12;
/** Zones of the servers. */
constexpr std::array kZones = { "worcester", "robertson" };
/** A zone stays evacuated for this time and up to some seconds more, which is
 * longer than the daemons have to notice it. */
constexpr Milliseconds kEvacuationTime{ 6000 };
/** A server that leaves is gone after this time. */
constexpr Milliseconds kServerLeaveTime{ 4000 };

constexpr std::array kPlannedWork = {
  Disruption::StopEntry,          Disruption::StopEntry,
  Disruption::StopSeveralEntries, Disruption::ReloadEntry,
  Disruption::RewriteSettings,    Disruption::ChangeConfiguration,
  Disruption::ReplaceServer,      Disruption::EvacuateZone
};

/** What replaces the list of customers. */
constexpr std::array kCustomerForms = { ",\"tenants\":[]",
                                        ",\"tenants\":null",
                                        "" };
/** Times without customers: mostly short, some longer than the bound for
 * removed keys. */
constexpr unsigned kMaxShortGapMs = 1000;
constexpr Milliseconds kLongGap{ 7000 };

Milliseconds
DrawTime(Random& aRandom, unsigned aMaxMs)
{
  return Milliseconds(aRandom.DrawBits() % (aMaxMs + 1));
}

LinkFault
DrawFault(Random& aRandom)
{
  constexpr std::array kFaults = { LinkFault::Delay,
                                   LinkFault::Reset,
                                   LinkFault::Silence,
                                   LinkFault::LoseResponses };
  return kFaults.at(aRandom.DrawBits() % kFaults.size());
}

} // namespace

Disruptions::Disruptions(Fleet& aFleet,
                         Backends& aBackends,
                         std::uint64_t aSeed,
                         bool aIsPlannedOnly,
                         const std::string& aPath)
  : fleet_(aFleet)
  , backends_(aBackends)
  , isPlannedOnly_(aIsPlannedOnly)
  , file_(aPath)
{
  Random random(aSeed);
  for (unsigned series = 0; series < kSeries; ++series) {
    threads_.emplace_back([this, seed = random.DrawBits()] { Run(seed); });
  }
}

Disruptions::~Disruptions()
{
  Finish();
}

void
Disruptions::Finish()
{
  isFinished_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

std::vector<DisturbedTime>
Disruptions::GetServerFaults() const
{
  const std::lock_guard lock(mutex_);
  return serverFaults_;
}

std::vector<DisturbedTime>
Disruptions::GetCustomerGaps() const
{
  const std::lock_guard lock(mutex_);
  return customerGaps_;
}

void
Disruptions::Wait(Milliseconds aTime) const
{
  const Clock::time_point end = Clock::now() + aTime;
  while (!isFinished_ && Clock::now() < end) {
    std::this_thread::sleep_for(
      std::min<Clock::duration>(kWaitStep, end - Clock::now()));
  }
}

void
Disruptions::Write(const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> since = Clock::now() - start_;
  file_ << std::fixed << std::setprecision(3) << since.count() << " " << aText
        << std::endl;
}

void
Disruptions::Run(std::uint64_t aSeed)
{
  Random random(aSeed);
  while (!isFinished_) {
    Wait(DrawTime(random, kMaxGapMs));
    if (!isFinished_) {
      Execute(Draw(random), random);
    }
  }
}

Disruption
Disruptions::Draw(Random& aRandom) const
{
  const auto& all = kDisruptionNames.GetEntries();
  return isPlannedOnly_
           ? kPlannedWork.at(aRandom.DrawBits() % kPlannedWork.size())
           : all.at(aRandom.DrawBits() % all.size()).first;
}

void
Disruptions::Execute(Disruption aDisruption, Random& aRandom)
{
  const std::size_t index = aRandom.DrawBits() % fleet_.GetSize();
  FleetEntry& entry = fleet_.GetEntry(index);
  Write(std::string(kDisruptionNames.FindName(aDisruption)) + ", entry " +
        std::to_string(index + 1));
  switch (aDisruption) {
    case Disruption::StopEntry:
      StopEntry(entry, aRandom);
      break;
    case Disruption::StopSeveralEntries:
      StopSeveralEntries(aRandom);
      break;
    case Disruption::KillEntry:
      entry.Signal(SIGKILL, EntryEvent::Killed);
      break;
    case Disruption::PauseEntry:
      entry.Signal(SIGSTOP, EntryEvent::Paused);
      Wait(DrawTime(aRandom, kMaxPauseMs));
      entry.Signal(SIGCONT, EntryEvent::Continued);
      break;
    case Disruption::ReloadEntry:
      entry.Signal(SIGHUP, EntryEvent::Reloaded);
      break;
    case Disruption::RewriteSettings:
      entry.RewriteSettings(DrawTime(aRandom, 30));
      entry.Signal(SIGHUP, EntryEvent::Reloaded);
      break;
    case Disruption::ChangeConfiguration:
      backends_.ChangeConfiguration(aRandom.DrawBits() % 2 == 0);
      break;
    case Disruption::DisturbStore:
      DisturbStore(aRandom);
      break;
    case Disruption::DisturbServer:
      DisturbServer(aRandom);
      break;
    case Disruption::ReplaceServer:
      backends_.ReplaceServer(aRandom.DrawBits());
      Wait(kServerLeaveTime);
      backends_.RemoveLeavingServers();
      break;
    case Disruption::ConfuseServer:
      ConfuseServer(aRandom);
      break;
    case Disruption::RemoveCustomers:
      RemoveCustomers(aRandom);
      break;
    case Disruption::EvacuateZone:
      EvacuateZone(aRandom);
      break;
  }
}

std::vector<DisturbedTime>
Disruptions::GetEvacuations() const
{
  const std::lock_guard lock(mutex_);
  return evacuations_;
}

void
Disruptions::EvacuateZone(Random& aRandom)
{
  const std::lock_guard evacuationLock(evacuationMutex_);
  DisturbedTime time;
  time.server_ = kZones.at(aRandom.DrawBits() % kZones.size());
  backends_.SetEvacuated(time.server_, true);
  time.begin_ = Clock::now();
  Wait(kEvacuationTime + DrawTime(aRandom, kMaxGapMs));
  time.end_ = Clock::now();
  backends_.SetEvacuated(time.server_, false);
  const std::lock_guard lock(mutex_);
  evacuations_.push_back(std::move(time));
}

void
Disruptions::StopEntry(FleetEntry& aEntry, Random& aRandom)
{
  // For the successor.
  aEntry.SetEarlyReload(DrawTime(aRandom, kMaxEarlyReloadMs));
  if (aRandom.DrawBits() % 2 == 0) {
    aEntry.Signal(SIGHUP, EntryEvent::Reloaded);
  }
  aEntry.Signal(SIGTERM, EntryEvent::Stopped);
  while (aRandom.DrawBits() % 3 != 0) {
    Wait(DrawTime(aRandom, 2000));
    // The process may be a successor by now, which a SIGTERM would stop.
    aEntry.Signal(SIGHUP, EntryEvent::Reloaded);
  }
  if (aRandom.DrawBits() % 3 == 0) {
    Wait(DrawTime(aRandom, 500));
    aEntry.Signal(SIGTERM, EntryEvent::Stopped);
  }
}

void
Disruptions::StopSeveralEntries(Random& aRandom)
{
  // Entries are spread over two zones in turn.
  const bool isOneZone = aRandom.DrawBits() % 2 == 0;
  const std::size_t zone = aRandom.DrawBits() % 2;
  for (std::size_t index = 0; index < fleet_.GetSize(); ++index) {
    if (!isOneZone || index % 2 == zone) {
      fleet_.GetEntry(index).Signal(SIGTERM, EntryEvent::Stopped);
      Wait(DrawTime(aRandom, 100));
    }
  }
}

void
Disruptions::DisturbStore(Random& aRandom)
{
  const LinkFault fault = DrawFault(aRandom);
  const bool isForAll = aRandom.DrawBits() % 2 == 0;
  const std::size_t single = aRandom.DrawBits() % fleet_.GetSize();
  const auto setFault = [&](LinkFault aFault) {
    for (std::size_t index = 0; index < fleet_.GetSize(); ++index) {
      if (isForAll || index == single) {
        fleet_.GetEntry(index).SetStoreFault(aFault);
      }
    }
  };
  Write("store " + std::string(kLinkFaultNames.FindName(fault)));
  setFault(fault);
  Wait(DrawTime(aRandom, 4000));
  setFault(LinkFault::None);
}

void
Disruptions::DisturbServer(Random& aRandom)
{
  const std::string server = backends_.ChooseServer(aRandom.DrawBits());
  const LinkFault fault = DrawFault(aRandom);
  Write(server + " " + std::string(kLinkFaultNames.FindName(fault)));
  const Clock::time_point begin = Clock::now();
  std::size_t index = 0;
  {
    const std::lock_guard lock(mutex_);
    index = serverFaults_.size();
    serverFaults_.push_back({ server, begin, Clock::time_point::max() });
  }
  backends_.SetServerFault(server, fault);
  Wait(DrawTime(aRandom, 2000));
  backends_.SetServerFault(server, LinkFault::None);
  const std::lock_guard lock(mutex_);
  serverFaults_[index].end_ = Clock::now();
}

void
Disruptions::ConfuseServer(Random& aRandom)
{
  const std::string server = backends_.ChooseServer(aRandom.DrawBits());
  Write(server + " has undefined statuses");
  backends_.SetHasUndefinedStatus(server, true);
  Wait(DrawTime(aRandom, 2000));
  backends_.SetHasUndefinedStatus(server, false);
}

void
Disruptions::RemoveCustomers(Random& aRandom)
{
  const std::string form =
    kCustomerForms.at(aRandom.DrawBits() % kCustomerForms.size());
  const bool isLong = aRandom.DrawBits() % 4 == 0;
  const Milliseconds time =
    isLong ? kLongGap : DrawTime(aRandom, kMaxShortGapMs);
  const std::lock_guard customersLock(customersMutex_);
  Write("customers replaced by '" + form + "'");
  const Clock::time_point begin = Clock::now();
  backends_.SetCustomers(form);
  Wait(time);
  // Keys are valid again from here on at the earliest.
  const Clock::time_point end = Clock::now();
  backends_.SetCustomers(std::nullopt);
  const std::lock_guard lock(mutex_);
  customerGaps_.push_back({ "", begin, end });
}

} // namespace azurecross::soak
