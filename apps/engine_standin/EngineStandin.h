#pragma once

#include "EngineModel.h"
#include "OrderBook.h"
#include "TokenStream.h"

#include <azurecross_http/azurecross_http.h>
#include <standin_common/Signal.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <memory>

namespace azurecross {

/** The HTTP interface of the engine stand-in. */
class EngineStandin
{
public:
  EngineStandin(boost::asio::any_io_executor aExecutor,
                EngineSettings aSettings,
                OrderBook aOrders);

  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);
  /** Advances the engine until cancelled. */
  boost::asio::awaitable<void> Run();

private:
  /** Faults of later answers; a count applies to that many. */
  struct Faults
  {
    std::int64_t crossNext_ = 0;
    std::int64_t truncateNext_ = 0;
    Duration downTime_ = std::chrono::seconds(1);
  };

  boost::asio::awaitable<void> HandleCompletion(HttpExchange& aExchange,
                                                bool aIsChat);
  boost::asio::awaitable<void> HandleGeneration(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleOrder(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleFaults(HttpExchange& aExchange);
  Generation ReadGeneration(const HttpRequest& aRequest,
                            const boost::json::object& aBody,
                            bool aIsChat) const;
  TokenStream MakeStream(const EngineModel::GenerationPointer& aGeneration,
                         AnswerFaults aFaults);
  AnswerFaults TakeAnswerFaults();
  void ApplyModelFaults(const boost::json::object& aBody);
  std::string DescribeLoad();
  std::string DescribeLog() const;

  boost::asio::any_io_executor executor_;
  EngineModel model_;
  OrderBook orders_;
  Faults faults_;
  /** Wake-ups of the readers, by generation. */
  std::map<std::string, std::weak_ptr<Signal>> signals_;
};

} // namespace azurecross
