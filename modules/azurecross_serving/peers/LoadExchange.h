#pragma once

#include "../log/DecisionLog.h"
#include "../state/ServingState.h"
#include "LoadReport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/**
 * Tells the other daemons over UDP what this one uses of each backend server,
 * and takes the same from them. A lost report is made up for by the next one.
 */
class LoadExchange
{
public:
  /** Binds the address; throws `boost::system::system_error` if it can't. */
  LoadExchange(boost::asio::io_context& aContext,
               const SocketAddress& aAddress,
               ServingState& aState,
               DecisionLog& aLog);

  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  void Start();
  /** Takes the daemons that exist, this one included. */
  void SetMembers(const std::vector<MemberRecord>& aMembers);

  /** Sends a report now, beside the regular ones. */
  void Report();

  /** @returns whether a daemon heard of lately hears from the store. */
  bool HasPeerWithStore(Time aNow) const;

  /** @returns this daemon's name in the reports. */
  const std::string& GetName() const { return name_; }
  SocketAddress GetAddress() const;

private:
  void ScheduleReport();
  void Receive();
  void TakeReport(LoadReport aReport);
  /** @returns the pause between reports: longer among many daemons, so that
   * the cost for one daemon stays bounded. */
  Duration FindInterval() const;

  /** A report of a daemon that uses 200 servers fits. */
  static constexpr std::size_t kLargestReport = 16384;

  ServingState& state_;
  DecisionLog& log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string name_;
  /** When a daemon with a reachable store was last heard of. */
  Time peerWithStoreAt_;
  std::set<SocketAddress> members_;
  std::array<char, kLargestReport> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

} // namespace azurecross
