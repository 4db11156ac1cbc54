#pragma once

#include "FakeController.h"
#include "test_support/FakeBackendServer.h"
#include "test_support/TestCaller.h"

#include <memory>

namespace azurecross {

/** @returns whether the condition comes true within 3 s. */
template<typename Condition>
bool
WaitUntil(Condition aCondition)
{
  for (int wait = 0; wait < 300 && !aCondition(); ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aCondition();
}

/** An entry server with two workers and short time limits. */
struct GatewayFixture
{
  GatewayFixture() { Start(MakeLimits()); }

  static GatewayLimits MakeLimits()
  {
    GatewayLimits limits;
    limits.headerTimeout_ = std::chrono::milliseconds(500);
    limits.bodyTimeout_ = std::chrono::milliseconds(500);
    limits.writeTimeout_ = std::chrono::milliseconds(500);
    limits.silenceTimeout_ = std::chrono::seconds(3);
    return limits;
  }

  void Start(const GatewayLimits& aLimits)
  {
    server_.reset();
    EntryServerOptions options;
    options.address_ = { "127.0.0.1", 0 };
    options.limits_ = aLimits;
    server_ = std::make_unique<EntryServer<FakeController>>(
      controller_, metrics_, options);
    server_->Start();
  }

  TestCaller Connect() const { return TestCaller(server_->GetAddress()); }

  /** Sends one request on a connection of its own. */
  CallerAnswer Call(const std::string& aRequest) const
  {
    TestCaller caller(server_->GetAddress());
    caller.Send(aRequest);
    return caller.ReadAnswer();
  }

  Metrics metrics_;
  FakeController controller_;
  std::unique_ptr<EntryServer<FakeController>> server_;
};

} // namespace azurecross
