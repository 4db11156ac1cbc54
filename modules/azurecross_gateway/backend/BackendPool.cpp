#include "BackendPool.h"

#include <algorithm>
#include <array>

namespace azurecross {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kIdlePerAddress = 16;

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
BackendPool::Take(const SocketAddress& aAddress, std::string_view aRequestId)
{
  const auto found = idle_.find(aAddress);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<Idle>& list = found->second;
  const Time now = ReadMonotonicTime();
  for (std::size_t index = list.size(); index-- > 0;) {
    if (list[index].connection_->HasCarried(aRequestId)) {
      continue;
    }
    const bool isUsable = now < list[index].until_;
    auto connection = std::move(list[index].connection_);
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(index));
    if (isUsable && IsQuiet(connection->GetSocket())) {
      connection->Reset();
      return connection;
    }
  }
  return nullptr;
}

void
BackendPool::Give(std::unique_ptr<BackendConnection> aConnection,
                  Duration aIdleTime)
{
  if (!aConnection->IsReusable()) {
    return;
  }
  auto& list = idle_[aConnection->GetAddress()];
  if (list.size() < kIdlePerAddress) {
    list.push_back({ std::move(aConnection), ReadMonotonicTime() + aIdleTime });
  }
}

void
BackendPool::Tick(Time aNow)
{
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::erase_if(at->second,
                  [&](const Idle& aIdle) { return aNow >= aIdle.until_; });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
}

} // namespace azurecross
