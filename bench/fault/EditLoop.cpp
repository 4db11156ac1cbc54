#include "FaultDriver.h"
#include "checks/RecordChecks.h"

#include <azurecross_store/azurecross_store.h>

#include <boost/json/value.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kEditLimit = seconds(20);

/** @returns the revision in a status page, or -1. */
std::int64_t
ReadRevision(const json::value& aStatus)
{
  if (!aStatus.is_object() || !aStatus.as_object().contains("tables")) {
    return -1;
  }
  return aStatus.at("tables").at("revision").to_number<std::int64_t>();
}

/** Reads the revision in force at an entry and notes if it went back. */
asio::awaitable<std::int64_t>
ObserveRevision(RunState& aState, std::size_t aEntry)
{
  const int starts = aState.deployment_.GetEntries()[aEntry].starts_;
  const SocketAddress address =
    aState.deployment_.GetEntries()[aEntry].operations_;
  const json::value status =
    co_await aState.deployment_.Call(address, "GET", "/status", "");
  const std::int64_t revision = ReadRevision(status);
  EntryProcess& entry = aState.deployment_.GetEntries()[aEntry];
  if (entry.starts_ != starts || revision < 0) {
    co_return -1;
  }
  CheckRevision(entry.id_, revision, entry.revision_, aState.figures_);
  co_return revision;
}

/** @returns the seconds until all entries have it, or -1 if disturbed. */
asio::awaitable<double>
FollowEdit(RunState& aState, std::int64_t aRevision, Time aStart)
{
  while (ReadMonotonicTime() - aStart < kEditLimit) {
    bool isEverywhere = true;
    bool isDisturbed = aState.isStoreDisturbed_;
    const std::size_t count = aState.deployment_.GetEntries().size();
    for (std::size_t entry = 0; entry < count; ++entry) {
      isDisturbed =
        isDisturbed || aState.deployment_.GetEntries()[entry].isDisturbed_;
      if (co_await ObserveRevision(aState, entry) < aRevision) {
        isEverywhere = false;
      }
    }
    if (isEverywhere) {
      co_return ToSeconds(ReadMonotonicTime() - aStart);
    }
    if (isDisturbed) {
      co_return -1;
    }
    co_await Sleep(milliseconds(50));
  }
  co_return ToSeconds(kEditLimit);
}

} // namespace

asio::awaitable<void>
RunEditLoop(RunState& aState)
{
  ++aState.active_;
  EtcdClientSettings settings;
  settings.addresses_ = { aState.deployment_.GetPlatform() };
  EtcdClient store(co_await asio::this_coro::executor, settings);
  std::int64_t limit = 64;
  while (!aState.IsOver()) {
    co_await Sleep(milliseconds(1500));
    ++limit;
    std::vector<std::string> edit = {
      "edit", "pools/booking", "max_concurrent=" + std::to_string(limit)
    };
    const int status = co_await aState.deployment_.RunTool(std::move(edit));
    if (status != 0) {
      continue;
    }
    ++aState.figures_.edits_;
    // One editor, and each accepted edit is one revision.
    const Time start = ReadMonotonicTime();
    const auto head = co_await ReadTableSnapshot(store, 0);
    if (head.has_error()) {
      continue;
    }
    const std::int64_t revision = head->revision_.number_;
    CheckRevision(
      "the store", revision, aState.acceptedRevision_, aState.figures_);
    const double duration = co_await FollowEdit(aState, revision, start);
    if (duration >= 0) {
      aState.figures_.editSeconds_.push_back(duration);
    }
  }
  --aState.active_;
}

} // namespace azurecross
