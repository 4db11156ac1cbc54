#include "BackendPool.h"

#include <algorithm>
#include <array>

namespace azurecross {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kIdlePerAddress = 16;
/** Shorter than the keep-alive time of the usual servers. */
constexpr Duration kIdleTime = std::chrono::seconds(4);

/** @returns whether the peer has neither closed nor sent anything. */
bool
IsQuiet(WorkerSocket& aSocket)
{
  std::array<char, 1> byte{};
  boost::system::error_code code;
  aSocket.receive(asio::buffer(byte), asio::socket_base::message_peek, code);
  return code == asio::error::would_block;
}

} // namespace

std::unique_ptr<BackendConnection>
BackendPool::Take(const SocketAddress& aAddress)
{
  const auto found = idle_.find(aAddress);
  if (found == idle_.end()) {
    return nullptr;
  }
  while (!found->second.empty()) {
    auto connection = std::move(found->second.back().connection_);
    found->second.pop_back();
    if (IsQuiet(connection->GetSocket())) {
      connection->Reset();
      return connection;
    }
  }
  return nullptr;
}

void
BackendPool::Give(std::unique_ptr<BackendConnection> aConnection)
{
  if (!aConnection->IsReusable()) {
    return;
  }
  auto& list = idle_[aConnection->GetAddress()];
  if (list.size() < kIdlePerAddress) {
    list.push_back({ std::move(aConnection), ReadMonotonicTime() });
  }
}

void
BackendPool::Tick(Time aNow)
{
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::erase_if(at->second, [&](const Idle& aIdle) {
      return aNow - aIdle.since_ > kIdleTime;
    });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
}

} // namespace azurecross
