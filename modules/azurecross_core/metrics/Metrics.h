#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace azurecross {

using MetricLabels = std::map<std::string, std::string>;

/**
 * The metrics of one process. Look a metric up once and keep the reference;
 * the look-up takes a lock, an update does not.
 */
class Metrics
{
public:
  Metrics();

  /** @returns the counter with this name and labels. */
  prometheus::Counter& GetCounter(const std::string& aName,
                                  const std::string& aHelp,
                                  const MetricLabels& aLabels = {});

  /** @returns the gauge with this name and labels. */
  prometheus::Gauge& GetGauge(const std::string& aName,
                              const std::string& aHelp,
                              const MetricLabels& aLabels = {});

  /** @returns the histogram with this name, labels and bucket bounds. */
  prometheus::Histogram& GetHistogram(
    const std::string& aName,
    const std::string& aHelp,
    const prometheus::Histogram::BucketBoundaries& aBounds,
    const MetricLabels& aLabels = {});

  /** @returns all metrics in the Prometheus text format. */
  std::string Serialize() const;

private:
  std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace azurecross
