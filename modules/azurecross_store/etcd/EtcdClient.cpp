#include "EtcdClient.h"

#include "EtcdCodec.h"
#include "WatchStream.h"

namespace azurecross {

namespace {

namespace asio = boost::asio;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kFirstServerFault = 500;

HttpRequest
MakeEtcdRequest(std::string aPath, std::string aBody)
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = std::move(aPath);
  request.headers_["Content-Type"] = "application/json";
  request.body_ = std::move(aBody);
  return request;
}

/** @returns a transport error as the failure of a store call. */
Error
ToStoreError(Error aError)
{
  aError.code_ = ErrorCode::StoreUnavailable;
  return aError;
}

/** Parses the body of a successful call. */
template<typename Parser>
auto
ParseBody(const AsyncResult<std::string>& aBody, Parser aParser)
{
  using Answer = decltype(CaptureResult([&] { return aParser(*aBody); }));
  if (aBody.has_error()) {
    return Answer(aBody.error());
  }
  return CaptureResult([&] { return aParser(*aBody); });
}

} // namespace

EtcdClient::EtcdClient(asio::any_io_executor aExecutor,
                       EtcdClientSettings aSettings)
  : settings_(std::move(aSettings))
  , client_(aExecutor,
            { settings_.connectTimeout_,
              settings_.answerTimeout_,
              settings_.bodyLimitBytes_ })
  , watchClient_(aExecutor,
                 { settings_.connectTimeout_,
                   settings_.watchIdleTime_,
                   settings_.bodyLimitBytes_ })
{
}

SocketAddress
EtcdClient::GetAddress() const
{
  return settings_.addresses_.at(addressIndex_);
}

void
EtcdClient::UseNextAddress()
{
  addressIndex_ = (addressIndex_ + 1) % settings_.addresses_.size();
}

StoreCall<std::string>
EtcdClient::Call(std::string aPath, std::string aBody)
{
  ++calls_;
  HttpRequest request = MakeEtcdRequest(std::move(aPath), std::move(aBody));
  auto response = co_await client_.Send(GetAddress(), std::move(request));
  if (response.has_error()) {
    UseNextAddress();
    co_return ToStoreError(response.error());
  }
  if (response->status_ != kStatusOk) {
    if (response->status_ >= kFirstServerFault) {
      UseNextAddress();
    }
    co_return ParseEtcdError(response->status_, response->body_);
  }
  co_return std::move(response->body_);
}

StoreCall<RangeAnswer>
EtcdClient::Range(RangeRequest aRequest)
{
  const auto body = co_await Call("/v3/kv/range", SerializeRange(aRequest));
  co_return ParseBody(body, ParseRangeAnswer);
}

StoreCall<TransactionAnswer>
EtcdClient::Commit(Transaction aTransaction)
{
  const auto body =
    co_await Call("/v3/kv/txn", SerializeTransaction(aTransaction));
  co_return ParseBody(body, ParseTransactionAnswer);
}

StoreCall<LeaseAnswer>
EtcdClient::GrantLease(std::chrono::seconds aTimeToLive)
{
  const auto body =
    co_await Call("/v3/lease/grant", SerializeLeaseGrant(aTimeToLive));
  co_return ParseBody(body, ParseLeaseGrantAnswer);
}

StoreCall<LeaseAnswer>
EtcdClient::KeepLease(LeaseId aLease)
{
  const auto body =
    co_await Call("/v3/lease/keepalive", SerializeLease(aLease));
  co_return ParseBody(body, ParseLeaseKeepaliveAnswer);
}

StoreCall<LeaseAnswer>
EtcdClient::RevokeLease(LeaseId aLease)
{
  const auto body = co_await Call("/v3/lease/revoke", SerializeLease(aLease));
  if (body.has_error()) {
    co_return body.error();
  }
  co_return LeaseAnswer{ aLease, std::chrono::seconds(0) };
}

StoreCall<WatchEnd>
EtcdClient::Watch(WatchRequest aRequest, WatchHandler aHandler)
{
  ++calls_;
  WatchStream stream(std::move(aHandler));
  Time lastPart = ReadMonotonicTime();
  HttpRequest request = MakeEtcdRequest("/v3/watch", SerializeWatch(aRequest));
  HttpClient::PartHandler handlePart = [&](std::string_view aPart) {
    lastPart = ReadMonotonicTime();
    return stream.Feed(aPart);
  };
  const auto response = co_await watchClient_.Stream(
    GetAddress(), std::move(request), std::move(handlePart));
  if (stream.GetEnd()) {
    co_return *stream.GetEnd();
  }
  if (response.has_error()) {
    const bool wasSilent =
      ReadMonotonicTime() - lastPart >= settings_.watchIdleTime_;
    if (stream.IsCreated() && wasSilent) {
      co_return WatchEnd::Idle;
    }
    UseNextAddress();
    co_return ToStoreError(response.error());
  }
  if (response->status_ != kStatusOk) {
    if (response->status_ >= kFirstServerFault) {
      UseNextAddress();
    }
    co_return ParseEtcdError(response->status_, stream.GetRest());
  }
  co_return WatchEnd::Cancelled;
}

} // namespace azurecross
