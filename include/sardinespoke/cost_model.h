#pragma once

#include "sardinespoke/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
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

  /// Notes that a request has started.
  void OnStart(const std::string& aKind, TimePoint aNow);

  /// Notes that a request has ended.
  /// @param aCompleted False if it ended for another reason than that its work was done.
  void OnEnd(const std::string& aKind, bool aCompleted, TimePoint aNow);

  /// @returns The mean run time by Little's law: time that slots were held, running requests
  /// included, divided by completions. Unlike Mean(), it isn't misled by the shortest requests,
  /// which end first after a start. Nothing before the first completion.
  std::optional<Nanoseconds> OccupancyMean(const std::string& aKind, TimePoint aNow) const;

  /// Takes a measured run time into account.
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
    double slotSeconds_ = 0; ///< Slot-seconds, decaying.
    double completions_ = 0; ///< Decaying.
    TimePoint updated_;      ///< Of slotSeconds_ and completions_.
  };

  Estimate& FindOrAdd(const std::string& aKind);

  /// Brings slotSeconds_ and completions_ forward in time.
  static void Advance(Estimate& aEstimate, TimePoint aNow);
  const Estimate* Find(const std::string& aKind) const;

  std::unordered_map<std::string, Estimate> kinds_;
};

}
