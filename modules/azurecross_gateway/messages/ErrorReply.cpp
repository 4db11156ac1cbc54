#include "ErrorReply.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace azurecross {

namespace {

std::string_view
FindErrorType(unsigned aStatus)
{
  if (aStatus == 429) {
    return "rate_limit_error";
  }
  return aStatus < 500 ? "invalid_request_error" : "server_error";
}

std::string_view
FindErrorParameter(ErrorCode aCode)
{
  return aCode == ErrorCode::ModelNotFound ? "model" : "";
}

} // namespace

unsigned
FindErrorStatus(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidRequest:
      return 400;
    case ErrorCode::KeyUnknown:
      return 401;
    case ErrorCode::RouteNotFound:
    case ErrorCode::ModelNotFound:
      return 404;
    case ErrorCode::RequestTimeout:
      return 408;
    case ErrorCode::OperationConflict:
    case ErrorCode::OperationUnknown:
    case ErrorCode::EditConflict:
      return 409;
    case ErrorCode::GenerationLost:
      return 410;
    case ErrorCode::BodyTooLarge:
      return 413;
    case ErrorCode::QueueFull:
    case ErrorCode::DeadlineUnreachable:
      return 429;
    case ErrorCode::HeaderTooLarge:
      return 431;
    case ErrorCode::Cancelled:
      return 499;
    case ErrorCode::BackendServerFailed:
    case ErrorCode::AnswerMismatched:
    case ErrorCode::AnswerTruncated:
      return 502;
    case ErrorCode::BodyMemoryExhausted:
    case ErrorCode::NoBackendServer:
    case ErrorCode::PromptQuarantined:
    case ErrorCode::RequestQuarantined:
    case ErrorCode::OwnerUnreachable:
    case ErrorCode::StoreUnavailable:
    case ErrorCode::Draining:
    case ErrorCode::NotReady:
      return 503;
    case ErrorCode::DeadlineExceeded:
      return 504;
    case ErrorCode::InvalidTables:
    case ErrorCode::Internal:
      break;
  }
  return 500;
}

std::string
FormatErrorBody(const Error& aError)
{
  const unsigned status = FindErrorStatus(aError.code_);
  const std::string_view parameter = FindErrorParameter(aError.code_);
  boost::json::object error;
  error["message"] = aError.message_;
  error["type"] = FindErrorType(status);
  error["code"] = kErrorCodeNames.FindName(aError.code_);
  error["param"] = nullptr;
  if (!parameter.empty()) {
    error["param"] = parameter;
  }
  error["verdict"] = kVerdictNames.FindName(aError.verdict_);
  boost::json::object body;
  body["error"] = std::move(error);
  return boost::json::serialize(body);
}

std::string
FormatRetryAfter(const Error& aError)
{
  const auto delay =
    aError.retryAfter_.value_or(std::chrono::milliseconds(1000));
  return std::to_string(
    std::max<std::int64_t>(1, (delay.count() + 999) / 1000));
}

std::string
FormatErrorEvent(const Error& aError)
{
  return "event: error\ndata: " + FormatErrorBody(aError) + "\n\n";
}

} // namespace azurecross
