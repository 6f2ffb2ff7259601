#pragma once

#include "sardinespoke/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace sardinespoke {

/// Run time estimates per kind of work: exponentially weighted mean and variance. Estimates are
/// clamped, so that one wrong or extreme value can neither starve a team nor give it free slots.
class CostModel
{
public:
  using Nanoseconds = std::chrono::nanoseconds;

  static constexpr Nanoseconds kMinCost = std::chrono::milliseconds(1);
  static constexpr Nanoseconds kMaxCost = std::chrono::seconds(60);
  /// Estimate for a kind without a completed run.
  static constexpr Nanoseconds kInitialCost = std::chrono::milliseconds(100);
  /// Bounds the memory, because kinds come from caller-supplied paths; further kinds share one
  /// record.
  static constexpr size_t kMaxKinds = 4096;

  /// Records that a request has started.
  void OnStart(const std::string& aKind, TimePoint aNow);

  /// Records that a request has ended.
  /// @param aCompleted False if it ended for another reason than completion, such as cancellation.
  void OnEnd(const std::string& aKind, bool aCompleted, TimePoint aNow);

  /// @returns The mean run time by Little's law: slot-seconds used, running requests included,
  /// divided by completions. Unlike Mean(), it isn't biased by the shortest requests, which end
  /// first after a start. Nullopt before the first completion.
  std::optional<Nanoseconds> OccupancyMean(const std::string& aKind, TimePoint aNow) const;

  /// Updates the mean and variance with a measured run time.
  void RecordRunTime(const std::string& aKind, Nanoseconds aRunTime);

  /// @returns The expected run time of one request.
  Nanoseconds Mean(const std::string& aKind) const;

  /// @returns An estimate of the 95th percentile of the run time.
  Nanoseconds P95(const std::string& aKind) const;

private:
  struct Estimate
  {
    double mean_ = 0;     ///< Nanoseconds.
    double variance_ = 0; ///< Square nanoseconds.
    bool learned_ = false;
    uint32_t running_ = 0;
    double slotSeconds_ = 0; ///< Slot usage, exponentially decayed.
    double completions_ = 0; ///< Exponentially decayed.
    TimePoint updated_;      ///< Time of the last decay of slotSeconds_ and completions_.
  };

  Estimate& FindOrAdd(const std::string& aKind);

  /// Decays slotSeconds_ and completions_ to aNow and adds the slots in use since the last update.
  static void Advance(Estimate& aEstimate, TimePoint aNow);
  const Estimate* Find(const std::string& aKind) const;

  std::unordered_map<std::string, Estimate> kinds_;
};

}
