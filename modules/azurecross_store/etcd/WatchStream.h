#pragma once

#include "EtcdCodec.h"

#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** Splits the body of a watch into messages and passes their batches on. */
class WatchStream
{
public:
  explicit WatchStream(WatchHandler aHandler);

  /** Takes a part of the body; @returns whether to go on reading. */
  bool Feed(std::string_view aPart);

  /** @returns how the watch ended, if a message or the handler ended it. */
  const std::optional<AsyncResult<WatchEnd>>& GetEnd() const { return end_; }
  /** @returns whether the store has accepted the watch. */
  bool IsCreated() const { return isCreated_; }
  /** @returns the rest of the body, which is no whole message. */
  const std::string& GetRest() const { return buffer_; }

private:
  void HandleLine(std::string_view aLine);

  WatchHandler handler_;
  std::string buffer_;
  std::optional<AsyncResult<WatchEnd>> end_;
  bool isCreated_ = false;
};

} // namespace azurecross
