#include "ServiceAdapter.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace azurecross {

namespace http = boost::beast::http;

namespace {

/** @returns whether the entry sets this header itself. */
bool
IsOwnHeader(const http::fields::value_type& aField)
{
  return aField.name() == http::field::host ||
         aField.name() == http::field::content_length ||
         aField.name() == http::field::expect ||
         boost::beast::iequals(aField.name_string(), "X-Request-Id") ||
         boost::beast::iequals(aField.name_string(), "X-Azurecross-Customer");
}

void
AppendHeader(std::string& aHead,
             std::string_view aName,
             std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace

OutgoingRequest
ServiceAdapter::BuildRequest(const RequestContext& aContext,
                             const SocketAddress& aAddress)
{
  const RequestContext::Request& source = aContext.request_;
  http::token_list connection(source[http::field::connection]);
  OutgoingRequest request;
  std::string& head = request.head_;
  head.append(std::string_view(source.method_string())).append(" ");
  head.append(std::string_view(source.target())).append(" HTTP/1.1\r\n");
  AppendHeader(head, "Host", aAddress.Format());
  for (const auto& field : source) {
    if (IsHopByHop(field.name()) || IsOwnHeader(field) ||
        connection.exists(field.name_string())) {
      continue;
    }
    AppendHeader(head, field.name_string(), field.value());
  }
  AppendHeader(head, "X-Request-Id", aContext.requestId_.GetValue());
  AppendHeader(head, "X-Azurecross-Customer", aContext.customer_.GetValue());
  request.body_ = source.body();
  if (!request.body_.empty() || source.method() == http::verb::post ||
      source.method() == http::verb::put) {
    AppendHeader(head, "Content-Length", std::to_string(request.body_.size()));
  }
  head.append("\r\n");
  return request;
}

std::optional<Error>
ServiceAdapter::CheckHead(const RequestContext& aContext,
                          const BackendConnection::Head& aHead)
{
  const auto id = aHead["X-Request-Id"];
  if (id.empty() || id == aContext.requestId_.GetValue()) {
    return std::nullopt;
  }
  return Error{ ErrorCode::AnswerMismatched,
                Verdict::MayHaveRun,
                "the service's answer belongs to another request",
                {} };
}

bool
ServiceAdapter::IsHopByHop(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return true;
    default:
      return false;
  }
}

} // namespace azurecross
