#include "Metrics.h"

#include <prometheus/text_serializer.h>

namespace azurecross {

Metrics::Metrics()
  : registry_(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter&
Metrics::GetCounter(const std::string& aName,
                    const std::string& aHelp,
                    const MetricLabels& aLabels)
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels);
}

prometheus::Gauge&
Metrics::GetGauge(const std::string& aName,
                  const std::string& aHelp,
                  const MetricLabels& aLabels)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels);
}

prometheus::Histogram&
Metrics::GetHistogram(const std::string& aName,
                      const std::string& aHelp,
                      const prometheus::Histogram::BucketBoundaries& aBounds,
                      const MetricLabels& aLabels)
{
  return prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels, aBounds);
}

std::string
Metrics::Serialize() const
{
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace azurecross
