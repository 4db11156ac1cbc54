#pragma once

#include <azurecross_store/azurecross_store.h>
#include <platform_standin/PlatformStandin.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace azurecross {

/** A stand-in of the platform on its own thread, and clients of it. */
class PlatformFixture
{
public:
  PlatformFixture();
  ~PlatformFixture();

  /** Runs a coroutine on the test's thread. */
  template<typename Value>
  Value Run(boost::asio::awaitable<Value> aCall)
  {
    auto future = boost::asio::co_spawn(
      context_, std::move(aCall), boost::asio::use_future);
    context_.restart();
    while (future.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      context_.run_one();
    }
    return future.get();
  }

  /** Runs whatever is due for a while. */
  void RunFor(std::chrono::milliseconds aTime);

  EtcdClient MakeClient();
  /** Sends a request to the stand-in; @returns the body. */
  std::string Call(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody = "{}");
  void SetFaults(const std::string& aFaults);
  /** @returns one of the numbers of `/test/counts`. */
  std::int64_t ReadCount(const std::string& aName);

  /** Applies an edit; fails the test if it is refused. */
  EditOutcome Edit(const std::string& aEditId, std::vector<RowChange> aChanges);
  AsyncResult<EditOutcome> TryEdit(EditRequest aRequest);
  /** Writes keys past the tool. */
  void Put(const std::vector<PutRequest>& aPuts);
  TableSnapshot Read();

  boost::asio::io_context context_{ 1 };
  boost::asio::io_context standinContext_{ 1 };
  PlatformStandin standin_;
  std::thread thread_;
  EtcdClientSettings clientSettings_;
  EtcdClient client_;
};

EditRequest
MakeEdit(const std::string& aEditId, std::vector<RowChange> aChanges);

/** @returns a change that sets a pool with a group of its own. */
RowChange
SetPool(const std::string& aName, std::int64_t aMaxConcurrent = 64);

} // namespace azurecross
