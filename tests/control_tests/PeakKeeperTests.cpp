#include <boost/test/unit_test.hpp>

#include <azurecross_control/azurecross_control.h>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

const GroupId kGroup{ PoolName("engines"), AvailabilityZone("a"), 0 };
constexpr BillingMonth kNovember = 2026y / std::chrono::November;
constexpr BillingMonth kDecember = 2026y / std::chrono::December;

/** A keeper of one group and the store that it calls. */
class Home
{
public:
  explicit Home(std::map<std::string, StoredPeak>& aStore)
    : store_(aStore)
    , keeper_(1)
  {
  }

  /** Runs a second, and the calls that it asks for. */
  void Step(double aPeak)
  {
    peak_ = std::max(peak_, aPeak);
    PeakActions actions;
    keeper_.Tick({ { kGroup, peak_ } }, month_, now_, actions);
    now_ += 1s;
    Run(actions);
  }

  void Stop()
  {
    PeakActions actions;
    keeper_.Flush({ { kGroup, peak_ } }, actions);
    Run(actions);
  }

  double GetPeak() const { return peak_; }

  bool isStoreAway_ = false;
  /** The store applies writes, but the answers are lost. */
  bool areAnswersLost_ = false;
  BillingMonth month_ = kNovember;
  int calls_ = 0;
  int writes_ = 0;

private:
  void Run(const PeakActions& aActions)
  {
    for (const StartGroupMonth& month : aActions.months_) {
      BOOST_TEST(month.group_.pool_.GetValue() == "engines");
      peak_ = 0.0;
    }
    TakeLoads(aActions);
    for (const ReadPeak& read : aActions.reads_) {
      ++calls_;
      if (isStoreAway_) {
        keeper_.TakeFailure(read.group_, read.key_, now_);
        continue;
      }
      PeakActions actions;
      keeper_.TakeRead(read, store_[read.key_], now_, actions);
      TakeLoads(actions);
    }
    for (const WritePeak& write : aActions.writes_) {
      ++calls_;
      RunWrite(write);
    }
  }

  void RunWrite(const WritePeak& aWrite)
  {
    if (isStoreAway_) {
      keeper_.TakeFailure(aWrite.group_, aWrite.key_, now_);
      return;
    }
    StoredPeak& stored = store_[aWrite.key_];
    if (stored.revision_ != aWrite.expectedRevision_) {
      PeakActions actions;
      keeper_.TakeConflict(aWrite, stored, actions);
      TakeLoads(actions);
      return;
    }
    BOOST_TEST(aWrite.peak_ > stored.peak_);
    stored = { aWrite.peak_, stored.revision_ + 1 };
    ++writes_;
    if (areAnswersLost_) {
      keeper_.TakeFailure(aWrite.group_, aWrite.key_, now_);
    } else {
      keeper_.TakeWritten(aWrite, stored.revision_);
    }
  }

  void TakeLoads(const PeakActions& aActions)
  {
    for (const LoadGroupPeak& load : aActions.loads_) {
      peak_ = std::max(peak_, load.peak_);
    }
  }

  std::map<std::string, StoredPeak>& store_;
  PeakKeeper keeper_;
  Time now_{ 1h };
  double peak_ = 0.0;
};

} // namespace

// Guards against a write for every change: the store takes a few hundred
// writes a second for all groups and all other uses.
BOOST_AUTO_TEST_CASE(RisingPeakIsWrittenOnceAMinute)
{
  std::map<std::string, StoredPeak> store;
  Home home(store);
  constexpr int kSeconds = 3600;
  for (int second = 1; second <= kSeconds; ++second) {
    home.Step(1000.0 * second);
  }
  BOOST_TEST(home.writes_ <= kSeconds / 60 + 1);
  const double stored = store.begin()->second.peak_;
  BOOST_TEST(stored * PeakKeeper::kLeastGrowth >= 1000.0 * (kSeconds - 2 * 60));
  home.Stop();
  BOOST_TEST(store.begin()->second.peak_ == 1000.0 * kSeconds);
}

// Guards against a busiest minute that a new home entry has to pay for again.
BOOST_AUTO_TEST_CASE(NextHomeLearnsThePeak)
{
  std::map<std::string, StoredPeak> store;
  Home first(store);
  first.Step(0.0);
  first.Step(5000.0);
  Home second(store);
  second.Step(10.0);
  BOOST_TEST(second.GetPeak() == 5000.0);
}

// Guards against two homes, as views differ, of which one lowers the peak of
// the other.
BOOST_AUTO_TEST_CASE(RacingHomesKeepTheHigherPeak)
{
  std::map<std::string, StoredPeak> store;
  Home first(store);
  Home second(store);
  first.Step(0.0);
  second.Step(0.0);
  first.Step(7000.0);
  second.Step(3000.0);
  BOOST_TEST(store.begin()->second.peak_ == 7000.0);
  BOOST_TEST(second.GetPeak() == 7000.0);
  for (int step = 0; step < 120; ++step) {
    second.Step(9000.0);
  }
  BOOST_TEST(store.begin()->second.peak_ == 9000.0);
}

// Guards against a lost peak, and against more calls, while the store is away.
BOOST_AUTO_TEST_CASE(OutageKeepsThePeakAndSpacesCalls)
{
  std::map<std::string, StoredPeak> store;
  Home home(store);
  home.Step(0.0);
  home.Step(4000.0);
  home.isStoreAway_ = true;
  home.calls_ = 0;
  constexpr int kSeconds = 3600;
  for (int second = 0; second < kSeconds; ++second) {
    home.Step(8000.0);
  }
  BOOST_TEST(home.GetPeak() == 8000.0);
  BOOST_TEST(home.calls_ <= kSeconds / 20);
  home.isStoreAway_ = false;
  for (int second = 0; second < 150; ++second) {
    home.Step(0.0);
  }
  BOOST_TEST(store.begin()->second.peak_ == 8000.0);
}

// Guards against a write that is repeated, or a revision that stays unknown,
// after an answer was lost.
BOOST_AUTO_TEST_CASE(LostAnswerIsSettledByReading)
{
  std::map<std::string, StoredPeak> store;
  Home home(store);
  home.Step(0.0);
  home.areAnswersLost_ = true;
  home.Step(4000.0);
  home.areAnswersLost_ = false;
  for (int second = 0; second < 150; ++second) {
    home.Step(0.0);
  }
  BOOST_TEST(home.writes_ == 1);
  for (int second = 0; second < 150; ++second) {
    home.Step(6000.0);
  }
  BOOST_TEST(home.writes_ == 2);
  BOOST_TEST(store.begin()->second.peak_ == 6000.0);
}

// Guards against a month that begins with the peak of the one before.
BOOST_AUTO_TEST_CASE(NewMonthStartsWithoutAPeak)
{
  std::map<std::string, StoredPeak> store;
  Home home(store);
  home.Step(0.0);
  home.Step(4000.0);
  home.month_ = kDecember;
  home.Step(0.0);
  BOOST_TEST(home.GetPeak() == 0.0);
  home.Step(0.0);
  home.Step(100.0);
  BOOST_TEST(store.at(MakePeakKey(kGroup, kNovember)).peak_ == 4000.0);
  BOOST_TEST(store.at(MakePeakKey(kGroup, kDecember)).peak_ == 100.0);
}

// Guards against a damaged value that is taken for a peak, and against keys
// that are out of order or in local time.
BOOST_AUTO_TEST_CASE(KeysAndValuesAreChecked)
{
  BOOST_TEST((MakePeakKey(kGroup, 2027y / std::chrono::March) ==
              "azurecross/peaks/2027-03/engines/a/0"));
  constexpr std::int64_t kLastMillisecondOfNovember = 1'796'083'199'999;
  BOOST_TEST((FindBillingMonth(kLastMillisecondOfNovember) == kNovember));
  BOOST_TEST((FindBillingMonth(kLastMillisecondOfNovember + 1) == kDecember));
  BOOST_TEST(ParsePeak(FormatPeak(1'234'567.4)).value() == 1'234'567.0);
  for (const char* text : { "", "12x", "-1", "1e9", " 1" }) {
    BOOST_TEST(!ParsePeak(text));
  }
}

} // namespace azurecross
