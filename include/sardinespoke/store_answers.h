#pragma once

#include "sardinespoke/clock.h"

#include <chrono>
#include <cstddef>

namespace sardinespoke {

/// Judges by the latest calls to the store when an answer is overdue and whether the store as a
/// whole does not answer.
class StoreAnswers
{
public:
  /// Records that a transaction was sent whose outcome is awaited.
  void Sent(TimePoint aNow);

  /// Records an answer of the store to any transaction.
  /// @param aTook Time from sending that copy to its answer.
  void Answered(TimePoint aNow, std::chrono::nanoseconds aTook);

  /// Records that no outcome is awaited.
  void Settled() { waiting_ = false; }

  bool IsWaiting() const { return waiting_; }

  /// @returns Time from a copy of a transaction to the next one; it grows with the copies.
  /// @param aCopies Copies that were sent, at least 1.
  std::chrono::nanoseconds RepeatDelay(size_t aCopies) const;

  /// @returns True if an outcome is awaited and no transaction was answered for too long.
  bool IsStalled(TimePoint aNow) const { return waiting_ && aNow > StallsAt(); }

  /// @returns When IsStalled() becomes true if no answer comes.
  TimePoint StallsAt() const;

private:
  bool waiting_ = false;
  TimePoint quietSince_{}; ///< The last answer, or the first transaction sent after it.
  std::chrono::nanoseconds usual_{ 0 };
  std::chrono::nanoseconds deviation_{ 0 };
};

}
