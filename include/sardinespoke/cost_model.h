#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace sardinespoke {

/// Learned run time per kind of work: exponentially weighted mean and deviation. Both are bounded,
/// so that one wrong or extreme value can neither starve a team nor give it free slots.
class CostModel
{
public:
  using Nanoseconds = std::chrono::nanoseconds;

  static constexpr Nanoseconds kMinCost = std::chrono::milliseconds(1);
  static constexpr Nanoseconds kMaxCost = std::chrono::seconds(60);
  /// Assumed until the first run of a kind has ended.
  static constexpr Nanoseconds kInitialCost = std::chrono::milliseconds(100);
  /// Kinds come from caller-supplied paths, so their number must be bounded; further kinds share
  /// one record.
  static constexpr size_t kMaxKinds = 4096;

  /// Takes a measured run time into account.
  void Learn(const std::string& aKind, Nanoseconds aRunTime);

  /// @returns The expected run time of one request.
  Nanoseconds Mean(const std::string& aKind) const;

  /// @returns An estimate of the 95th percentile of the run time.
  Nanoseconds P95(const std::string& aKind) const;

private:
  struct Estimate
  {
    double mean_ = 0;     ///< Nanoseconds.
    double variance_ = 0; ///< Square nanoseconds.
  };

  const Estimate* Find(const std::string& aKind) const;

  std::unordered_map<std::string, Estimate> kinds_;
};

}
