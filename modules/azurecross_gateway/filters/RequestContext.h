#pragma once

#include "../controller/RouteMatch.h"
#include "../events/EventId.h"
#include "../messages/GenerationBody.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** What the filters know of one request. Lives on one worker thread. */
struct RequestContext
{
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  Request request_;
  Time arrival_;
  RequestId requestId_;
  CustomerId customer_;
  /** The target up to the query; borrows from `request_`. */
  std::string_view path_;
  bool isCompletion_ = false;
  std::optional<GenerationBody> generation_;
  /** Set when the caller asks to resume a generation. */
  std::optional<EventId> lastEvent_;
  RouteMatch route_;
  std::optional<Time> deadline_;

  /** Stops what currently runs for the request; set by that step. */
  std::function<void()> cancel_;
  bool callerHasLeft_ = false;
  /** The highest verdict of the attempts so far. */
  Verdict verdict_ = Verdict::NotRun;
  /** Status of the answer that the caller was given. */
  unsigned status_ = 0;
};

} // namespace azurecross
