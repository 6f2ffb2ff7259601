#include "sardinespoke/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <sstream>

namespace sardinespoke {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.99, 0.999 };

using Distribution = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

/// @returns The metric name without its labels.
std::string
BaseName(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

/// Adds a label to a metric name that may already have labels.
std::string
WithLabel(const std::string& aName, const std::string& aLabel)
{
  const auto brace = aName.find('{');
  if (brace == std::string::npos) {
    return aName + "{" + aLabel + "}";
  }
  return aName.substr(0, brace) + "{" + aLabel + "," + aName.substr(brace + 1);
}

/// Inserts a suffix between a metric name and its labels.
std::string
WithSuffix(const std::string& aName, const std::string& aSuffix)
{
  const auto base = BaseName(aName);
  return base + aSuffix + aName.substr(base.size());
}

/// Writes the "# TYPE" line of each metric once.
class TypeLineWriter
{
public:
  explicit TypeLineWriter(std::ostream& aOut)
    : out_(aOut)
  {
  }

  void Write(const std::string& aName, const char* aType)
  {
    const auto base = BaseName(aName);
    if (written_.insert(base).second) {
      out_ << "# TYPE sardinespoke_" << base << ' ' << aType << '\n';
    }
  }

private:
  std::ostream& out_;
  std::set<std::string> written_;
};

}

struct Metrics::State
{
  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, Distribution> distributions_;
};

Metrics::Metrics()
  : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName, uint64_t aStep)
{
  const std::lock_guard lock(state_->mutex_);
  state_->counters_[aName] += aStep;
}

void
Metrics::Set(const std::string& aName, double aValue)
{
  const std::lock_guard lock(state_->mutex_);
  state_->gauges_[aName] = aValue;
}

void
Metrics::Observe(const std::string& aName, std::chrono::nanoseconds aSample)
{
  const std::lock_guard lock(state_->mutex_);
  auto found = state_->distributions_.find(aName);
  if (found == state_->distributions_.end()) {
    found = state_->distributions_
              .emplace(aName, Distribution(acc::extended_p_square_probabilities = kQuantiles))
              .first;
  }
  found->second(std::chrono::duration<double>(aSample).count());
}

std::string
Metrics::Exposition() const
{
  const std::lock_guard lock(state_->mutex_);
  std::ostringstream out;
  TypeLineWriter types(out);
  for (const auto& [name, value] : state_->counters_) {
    types.Write(name, "counter");
    out << "sardinespoke_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : state_->gauges_) {
    types.Write(name, "gauge");
    out << "sardinespoke_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, samples] : state_->distributions_) {
    types.Write(name, "summary");
    for (const double quantile : kQuantiles) {
      std::ostringstream label;
      label << "quantile=\"" << quantile << '"';
      out << "sardinespoke_" << WithLabel(name, label.str()) << ' '
          << acc::quantile(samples, acc::quantile_probability = quantile) << '\n';
    }
    out << "sardinespoke_" << WithSuffix(name, "_sum") << ' ' << acc::sum(samples) << '\n';
    out << "sardinespoke_" << WithSuffix(name, "_count") << ' ' << acc::count(samples) << '\n';
  }
  return out.str();
}

}
