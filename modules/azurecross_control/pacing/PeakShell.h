#pragma once

#include "../grants/GrantCoordinator.h"
#include "PeakKeeper.h"

#include <azurecross_core/azurecross_core.h>
#include <azurecross_store/azurecross_store.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace azurecross {

/**
 * Carries out what a `PeakKeeper` wants: calls of the store, and peaks for the
 * arbiters of the home groups. Runs on the control thread.
 */
class PeakShell
{
public:
  PeakShell(boost::asio::io_context& aContext,
            EtcdClient& aStore,
            GrantCoordinator& aGrants,
            Metrics& aMetrics);

  /** Looks for growth this often. */
  static constexpr Duration kTickInterval = std::chrono::seconds(1);

  void Tick(Time aNow);
  /** Writes the peaks that have grown, on a planned stop. */
  void Flush();

private:
  std::map<GroupId, double> ListPeaks() const;
  void Process(const PeakActions& aActions);
  boost::asio::awaitable<void> Read(ReadPeak aRead);
  boost::asio::awaitable<void> Write(WritePeak aWrite);
  void TakeWriteAnswer(const WritePeak& aWrite,
                       const TransactionAnswer& aAnswer);
  void TakeFailure(const GroupId& aGroup,
                   const std::string& aKey,
                   std::string_view aError);

  boost::asio::io_context& context_;
  EtcdClient& store_;
  GrantCoordinator& grants_;
  PeakKeeper keeper_;
  Time nextTick_;
  prometheus::Gauge& peakGauge_;
  prometheus::Counter& writes_;
  prometheus::Counter& failures_;
};

} // namespace azurecross
