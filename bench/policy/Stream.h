#pragma once

#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <vector>

namespace azurecross::bench {

enum class StreamState
{
  /** Its time has not come. */
  Pending,
  /** Waits in an entry. */
  Queued,
  Running,
  Completed,
  Refused,
  /** The caller left because no first token came before its deadline. */
  GaveUp,
  /** Its engine or entry died after the first token. */
  Lost,
};

/** One request as its caller sees it. */
struct Stream
{
  StreamState state_ = StreamState::Pending;
  bool wasAdmitted_ = false;
  std::size_t server_ = 0;
  std::uint32_t tokens_ = 0;
  Time firstToken_ = Time::max();
  Time lastToken_;
  std::vector<BackendServerId> excluded_;
};

} // namespace azurecross::bench
