#pragma once

#include <cstdint>
#include <string>

namespace azurecross {

/** A key of the platform's store. */
struct KeyValue
{
  std::string key_;
  std::string value_;
  /** The store revision of the last write of this key. */
  std::int64_t modRevision_ = 0;
  std::int64_t createRevision_ = 0;
  /** The lease that the key ends with; 0 for none. */
  std::int64_t lease_ = 0;

  friend bool operator==(const KeyValue&, const KeyValue&) = default;
};

/** A change of a key, as a watch reports it. */
struct KeyEvent
{
  bool isDelete_ = false;
  /** The value is empty if the key was deleted. */
  KeyValue keyValue_;

  friend bool operator==(const KeyEvent&, const KeyEvent&) = default;
};

} // namespace azurecross
