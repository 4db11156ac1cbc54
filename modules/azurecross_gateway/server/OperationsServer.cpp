#include "OperationsServer.h"

namespace azurecross {

namespace asio = boost::asio;

OperationsServer::OperationsServer(asio::any_io_executor aExecutor,
                                   const SocketAddress& aAddress,
                                   const Metrics& aMetrics,
                                   ReadyFunction aIsReady)
  : pages_(
      std::make_shared<Pages>(Pages{ aMetrics, std::move(aIsReady), {}, {} }))
  , server_(std::move(aExecutor),
            aAddress,
            [pages = pages_](HttpExchange& aExchange) {
              return Serve(pages, aExchange);
            })
{
}

void
OperationsServer::AddPage(const std::string& aPath, PageFunction aPage)
{
  pages_->pages_[aPath] = std::move(aPage);
}

void
OperationsServer::AddReadyPath(const std::string& aPath)
{
  pages_->readyPaths_.insert(aPath);
}

asio::awaitable<void>
OperationsServer::Serve(std::shared_ptr<const Pages> aPages,
                        HttpExchange& aExchange)
{
  HttpResponse response = aPages->Answer(aExchange.GetRequest());
  co_await aExchange.Respond(std::move(response));
}

HttpResponse
OperationsServer::Pages::Answer(const HttpRequest& aRequest) const
{
  const std::string_view path = aRequest.GetPath();
  if (aRequest.method_ != "GET" && aRequest.method_ != "HEAD") {
    return MakeJsonResponse(405, R"({"error":{"message":"use GET"}})");
  }
  if (path == "/metrics") {
    HttpResponse response;
    response.headers_["Content-Type"] = "text/plain; version=0.0.4";
    response.body_ = metrics_.Serialize();
    return response;
  }
  if (path == "/healthz") {
    return MakeJsonResponse(200, R"({"status":"alive"})");
  }
  if (path == "/readyz" || readyPaths_.contains(path)) {
    return isReady_() ? MakeJsonResponse(200, R"({"status":"ready"})")
                      : MakeJsonResponse(503, R"({"status":"not ready"})");
  }
  const auto found = pages_.find(path);
  if (found == pages_.end()) {
    return MakeJsonResponse(404, R"({"error":{"message":"no such page"}})");
  }
  return MakeJsonResponse(200, found->second(aRequest));
}

} // namespace azurecross
