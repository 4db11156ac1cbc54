#include "TestWireProtocol.h"

#include <sstream>

namespace azurecross {

namespace {

template<typename Fields>
std::string
FindHeader(const Fields& aFields, const char* aName)
{
  return std::string(aFields[aName]);
}

} // namespace

AsyncResult<RequestMetadata>
TestWireProtocol::ParseRequest(const Request& aRequest) const
{
  RequestMetadata metadata;
  metadata.attemptId_ = FindHeader(aRequest, "X-Request-Id");
  if (metadata.attemptId_.empty()) {
    return Error{
      ErrorCode::InvalidRequest, Verdict::NotRun, "no request id", {}
    };
  }
  metadata.apiKey_ = FindHeader(aRequest, "X-Key");
  const std::string remainingTime = FindHeader(aRequest, "X-Time-Ms");
  if (!remainingTime.empty()) {
    metadata.remainingTime_ =
      std::chrono::milliseconds(std::stoi(remainingTime));
  }
  metadata.generation_.promptTokens_ = 100;
  const std::string outputLimit = FindHeader(aRequest, "X-Output");
  metadata.generation_.outputLimit_ =
    outputLimit.empty() ? 1000 : std::stoul(outputLimit);
  std::istringstream parts(FindHeader(aRequest, "X-Parts"));
  for (std::string part; std::getline(parts, part, ',');) {
    metadata.generation_.sharedParts_.push_back(*ParsePromptPartId(part));
  }
  return metadata;
}

std::string
TestWireProtocol::BuildRequestHead(const Request& aRequest,
                                   const SendOptions& aOptions) const
{
  std::string head = std::string(aRequest.method_string()) + " " +
                     std::string(aRequest.target()) + " HTTP/1.1\r\n";
  head += "X-Request-Id: " + FindHeader(aRequest, "X-Request-Id") + "\r\n";
  head += "X-Server: " + aOptions.server_.GetValue() + "\r\n";
  head +=
    "X-Customer: " + aOptions.customer_.value_or(CustomerId()).GetValue() +
    "\r\n";
  head += "X-Priority: " + std::to_string(aOptions.priority_) + "\r\n";
  if (aOptions.copy_) {
    head += "X-Copy: " + aOptions.copy_->handle_ + "\r\n";
    head += "Last-Event-Id: " + aOptions.lastEventId_ + "\r\n";
  }
  head += "Content-Length: " + std::to_string(aRequest.body().size());
  return head + "\r\n\r\n";
}

ResponseInfo
TestWireProtocol::ParseResponseHead(const BackendConnection::Head& aHead,
                                    std::string_view aAttemptId) const
{
  ResponseInfo info;
  const std::string id = FindHeader(aHead, "X-Request-Id");
  info.isIdentified_ = id == aAttemptId;
  info.isForOtherRequest_ = !id.empty() && !info.isIdentified_;
  info.isNotExecuted_ = !FindHeader(aHead, "X-Not-Run").empty();
  info.isFromOtherServer_ = aHead.result_int() == 421;
  info.isVerified_ = info.isIdentified_;
  const std::string pause = FindHeader(aHead, "X-Pause-Ms");
  if (!pause.empty()) {
    info.pause_ = std::chrono::milliseconds(std::stoi(pause));
  }
  info.isServerLeaving_ = !FindHeader(aHead, "X-Leaving").empty();
  const std::string limit = FindHeader(aHead, "X-Limit");
  if (!limit.empty()) {
    info.requestLimit_ = std::stod(limit);
  }
  info.isEventStream_ =
    FindHeader(aHead, "Content-Type") == "text/event-stream";
  return info;
}

HttpRequest
TestWireProtocol::BuildStatusRequest() const
{
  return { "GET", "/status", {}, "" };
}

std::optional<EngineStatus>
TestWireProtocol::ParseStatusResponse(const HttpResponse& aResponse) const
{
  EngineStatus status;
  status.isDraining_ = aResponse.body_ == "leaving";
  return status;
}

HttpRequest
TestWireProtocol::BuildMoveRequest(const MoveRequest& aMoveRequest) const
{
  return { "POST", aMoveRequest.isFinal_ ? "/move/last" : "/move", {}, "" };
}

MoveResponse
TestWireProtocol::ParseMoveResponse(const HttpResponse& aResponse) const
{
  MoveResponse response;
  if (aResponse.status_ == 200) {
    response.result_ = MoveResult::Copied;
  } else if (aResponse.status_ == 503) {
    response.result_ = MoveResult::NoRoom;
  } else if (aResponse.status_ == 404) {
    response.result_ = MoveResult::NoSuchRun;
  }
  response.handle_ = aResponse.body_;
  return response;
}

HttpRequest
TestWireProtocol::BuildReleaseRequest(const std::string& aHandle) const
{
  return { "DELETE", "/copy/" + aHandle, {}, "" };
}

} // namespace azurecross
