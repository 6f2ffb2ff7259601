#pragma once

#include "sardinespoke/clock.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace sardinespoke {

/// Parts of the work of a leader's control thread.
enum class LoopPhase
{
  Housekeeping, ///< Occurrences, stuck runs, hosts, roll-outs, pool sizes.
  Schedule,     ///< Placement of waiting tasks.
  Runs,         ///< Polls and stops that are due.
  Journal,      ///< Transactions to the store.
  Total,        ///< A whole tick, with all of the above.
  Count
};

/// Adds up the time that the control thread spends in each phase.
class PhaseTimes
{
public:
  using Times = std::array<std::chrono::nanoseconds, static_cast<size_t>(LoopPhase::Count)>;

  explicit PhaseTimes(const ClockI& aClock)
    : clock_(aClock)
  {
  }

  /// Runs a function and adds its duration.
  template<typename Function>
  void Measure(LoopPhase aPhase, Function aFunction)
  {
    const TimePoint begin = clock_.Now();
    aFunction();
    times_[static_cast<size_t>(aPhase)] += clock_.Now() - begin;
  }

  std::chrono::microseconds At(LoopPhase aPhase) const
  {
    return std::chrono::duration_cast<std::chrono::microseconds>(
      times_[static_cast<size_t>(aPhase)]);
  }

  void Clear() { times_ = Times{}; }

private:
  const ClockI& clock_;
  Times times_{};
};

}
