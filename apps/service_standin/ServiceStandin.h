#pragma once

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>

#include <cstdint>

namespace azurecross {

/**
 * A plain service that records what it ran.
 *
 * Each call other than GET and HEAD counts as a run at the moment at which it
 * is recorded, before the answer. A simulated death closes connections and
 * makes the service drop calls for a while, but keeps the record.
 */
class ServiceStandin
{
public:
  explicit ServiceStandin(Duration aAnswerDelay);

  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

private:
  /** Faults that `POST /test/faults` sets; a count applies to later calls. */
  struct Faults
  {
    std::int64_t dieBeforeRunning_ = 0;
    std::int64_t dieBeforeAnswer_ = 0;
    std::int64_t crossNext_ = 0;
    std::int64_t truncateNext_ = 0;
    Duration delay_{};
    Duration downTime_ = std::chrono::seconds(1);
  };

  boost::asio::awaitable<void> HandleTest(HttpExchange& aExchange);
  boost::asio::awaitable<void> RunCall(HttpExchange& aExchange);
  boost::asio::awaitable<void> Answer(HttpExchange& aExchange,
                                      HttpResponse aResponse);
  bool SetFaults(std::string_view aBody);
  std::size_t Record(const HttpRequest& aRequest);
  void StartDownTime();
  bool IsDown() const;

  Duration answerDelay_;
  Faults faults_;
  Time downUntil_{};
  /** Counts simulated deaths; a call from before one is dropped. */
  std::uint64_t life_ = 0;
  std::uint64_t readCount_ = 0;
  std::int64_t leavingSince_ = 0;
  std::string lastRequestId_ = "none";
  boost::json::array runs_;
};

} // namespace azurecross
