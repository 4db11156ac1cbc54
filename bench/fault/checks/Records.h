#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurecross {

/** What a caller saw of one stream, over all its connections. */
struct StreamRecord
{
  std::string requestId_;
  std::string generation_;
  std::int64_t wanted_ = 0;
  std::int64_t received_ = 0;
  bool isComplete_ = false;
};

/** One try of an operation. */
struct AttemptRecord
{
  std::string requestId_;
  /** The verdict of a refusal; empty after an answer or a lost connection. */
  std::string verdict_;
  std::int64_t endedMilliseconds_ = 0;
};

/** What a caller knows of one operation; its body is unique. */
struct OperationRecord
{
  std::string body_;
  std::vector<AttemptRecord> attempts_;
  bool isAnswered_ = false;
};

/** One run of an operation at a backend server. */
struct BackendRun
{
  std::string requestId_;
  std::int64_t startedMilliseconds_ = 0;
};

/** What the backend servers ran. */
struct BackendRecord
{
  /** Runs of the plain services, by body. */
  std::map<std::string, std::vector<BackendRun>> runs_;
  /** The request of each generation. */
  std::map<std::string, std::string> requestsByGeneration_;
};

} // namespace azurecross
