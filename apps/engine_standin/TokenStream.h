#pragma once

#include "EngineModel.h"

#include <azurecross_http/azurecross_http.h>
#include <standin_common/Signal.h>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace azurecross {

/** How an answer is damaged on purpose. */
struct AnswerFaults
{
  bool isCrossed_ = false;
  bool isTruncated_ = false;
};

/** Writes one generation's tokens to one connection. */
class TokenStream
{
public:
  TokenStream(EngineModel& aModel,
              EngineModel::GenerationPointer aGeneration,
              std::shared_ptr<Signal> aSignal,
              AnswerFaults aFaults);

  /** Writes server-sent events from the token `aOffset` to the end. */
  boost::asio::awaitable<void> WriteEvents(HttpExchange& aExchange,
                                           std::int64_t aOffset);
  /** Waits for the end and writes one JSON answer. */
  boost::asio::awaitable<void> WriteAnswer(HttpExchange& aExchange);

private:
  /** @returns whether there is something to write; false if the peer went. */
  boost::asio::awaitable<bool> WaitForToken(HttpExchange& aExchange,
                                            std::int64_t aOffset);
  HttpResponse MakeHeader(std::string_view aContentType) const;
  std::string GetShownId() const;
  std::string MakeEvent(std::int64_t aOffset) const;
  std::string MakeAnswer() const;

  EngineModel& model_;
  EngineModel::GenerationPointer generation_;
  std::shared_ptr<Signal> signal_;
  AnswerFaults faults_;
};

} // namespace azurecross
