#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sardinespoke {

/// Counters, gauges and duration summaries of one process. Thread-safe.
/// Summaries use Boost.Accumulators (extended P-square quantiles).
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Increments a counter.
  /// @param aName Metric name with optional labels, such as `requests_total{outcome="ok"}`.
  void Count(const std::string& aName, uint64_t aStep = 1);

  /// Sets a gauge.
  void Set(const std::string& aName, double aValue);

  /// Adds a sample to a summary, which is exported in seconds.
  void Observe(const std::string& aName, std::chrono::nanoseconds aSample);

  /// @returns All metrics in the Prometheus text format, names prefixed by "sardinespoke_".
  std::string Exposition() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

}
