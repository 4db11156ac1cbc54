#include "VmListClient.h"

namespace azurecross {

namespace {

namespace asio = boost::asio;

Error
MakeVmListError(std::string aMessage)
{
  return Error{ ErrorCode::StoreUnavailable,
                Verdict::NotRun,
                "VM list: " + std::move(aMessage),
                {} };
}

} // namespace

VmListClient::VmListClient(asio::any_io_executor aExecutor,
                           SocketAddress aAddress,
                           HttpClientLimits aLimits)
  : address_(std::move(aAddress))
  , client_(aExecutor, aLimits)
{
}

asio::awaitable<AsyncResult<VmList>>
VmListClient::Fetch()
{
  HttpRequest request;
  request.target_ = "/v1/vms";
  const auto response = co_await client_.Send(address_, std::move(request));
  if (response.has_error()) {
    co_return MakeVmListError(response.error().message_);
  }
  if (response->status_ != 200) {
    co_return MakeVmListError("status " + std::to_string(response->status_));
  }
  auto list = CaptureResult([&] { return ParseVmList(response->body_); });
  if (list.has_error()) {
    co_return MakeVmListError(list.error().message_);
  }
  co_return std::move(*list);
}

} // namespace azurecross
