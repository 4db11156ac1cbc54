#pragma once

#include <azurecross_http/azurecross_http.h>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace azurecross {

/**
 * The operations port: `/metrics`, `/healthz`, `/readyz` and pages whose text
 * the daemon provides, such as `/status` and `/explain`.
 *
 * @code
 * OperationsServer server(executor, address, metrics, [&] { return ready; });
 * server.AddPage("/status", [&](const HttpRequest&) { return "{}"; });
 * server.Start();
 * @endcode
 */
class OperationsServer
{
public:
  /** @returns whether the daemon takes requests. Called on the executor. */
  using ReadyFunction = std::function<bool()>;
  /** @returns the JSON text of a page. Called on the executor. */
  using PageFunction = std::function<std::string(const HttpRequest&)>;

  /** Binds the address; throws `boost::system::system_error` if it can't. */
  OperationsServer(boost::asio::any_io_executor aExecutor,
                   const SocketAddress& aAddress,
                   const Metrics& aMetrics,
                   ReadyFunction aIsReady);

  /** Adds a page; call this before `Start`. */
  void AddPage(const std::string& aPath, PageFunction aPage);

  /** Also answers the readiness check under this path, for load balancers
   * that ask for one of their own; call this before `Start`. */
  void AddReadyPath(const std::string& aPath);

  SocketAddress GetAddress() const { return server_.GetAddress(); }
  void Start() { server_.Start(); }
  void Stop() { server_.Stop(); }

private:
  /** Shared with requests that outlive the server. */
  struct Pages
  {
    const Metrics& metrics_;
    ReadyFunction isReady_;
    std::map<std::string, PageFunction, std::less<>> pages_;
    std::set<std::string, std::less<>> readyPaths_;

    HttpResponse Answer(const HttpRequest& aRequest) const;
  };

  static boost::asio::awaitable<void> Serve(std::shared_ptr<const Pages> aPages,
                                            HttpExchange& aExchange);

  std::shared_ptr<Pages> pages_;
  HttpServer server_;
};

} // namespace azurecross
