#include "LoadPoller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

constexpr HttpClientLimits kPollLimits{ .connectTimeout_ =
                                          std::chrono::seconds(1),
                                        .answerTimeout_ =
                                          std::chrono::seconds(1),
                                        .bodyLimitBytes_ = 65536 };

} // namespace

LoadPoller::State::State(const asio::any_io_executor& aExecutor,
                         Receiver aReceiver)
  : client_(aExecutor, kPollLimits)
  , receiver_(std::move(aReceiver))
{
}

LoadPoller::LoadPoller(asio::any_io_executor aExecutor, Receiver aReceiver)
  : executor_(aExecutor)
  , state_(std::make_shared<State>(aExecutor, std::move(aReceiver)))
{
}

void
LoadPoller::Poll(const std::vector<LoadTarget>& aTargets)
{
  for (const LoadTarget& target : aTargets) {
    if (state_->asked_.insert(target.id_).second) {
      asio::co_spawn(executor_, Ask(state_, target), asio::detached);
    }
  }
}

asio::awaitable<void>
LoadPoller::Ask(std::shared_ptr<State> aState, LoadTarget aTarget)
{
  HttpRequest request;
  request.target_ = "/load";
  const auto answer =
    co_await aState->client_.Send(aTarget.address_, std::move(request));
  aState->asked_.erase(aTarget.id_);
  if (!answer.has_value() || answer->status_ != 200) {
    co_return;
  }
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(
        report,
        ParseLoadReport(aTarget.id_, answer->body_, ReadMonotonicTime()));
      aState->receiver_(report);
      return {};
    },
    [](const Error& aError) {
      WriteLog(LogLevel::Warning,
               "load report refused",
               { { "error", aError.message_ } });
    },
    [] {});
}

} // namespace azurecross
