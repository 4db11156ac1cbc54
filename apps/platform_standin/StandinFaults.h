#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace azurecross {

/** Faults that tests switch on, under `/test/faults`. */
struct StandinFaults
{
  /** Connections to the store are dropped without an answer, and watches end.
   */
  bool isStoreDown_ = false;
  /** The same for the VM list. */
  bool isVmListDown_ = false;
  /** Added before each answer and each watch message. */
  std::chrono::milliseconds delay_{ 0 };
  /** So many next writes take effect, but their answers are dropped. */
  std::int64_t loseAnswers_ = 0;
};

/** Reads the faults; those that are left out are switched off. */
Result<StandinFaults>
ParseFaults(std::string_view aText);

std::string
SerializeFaults(const StandinFaults& aFaults);

/** Calls that have arrived, by kind; a waiting watch counts once. */
struct StandinCounts
{
  std::uint64_t range_ = 0;
  std::uint64_t txn_ = 0;
  std::uint64_t lease_ = 0;
  std::uint64_t watch_ = 0;
  std::uint64_t vms_ = 0;
  /** Of these, calls that arrived while the service was down. */
  std::uint64_t refused_ = 0;

  std::uint64_t GetTotal() const
  {
    return range_ + txn_ + lease_ + watch_ + vms_;
  }
};

std::string
SerializeCounts(const StandinCounts& aCounts);

} // namespace azurecross
