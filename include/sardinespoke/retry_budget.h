#pragma once

#include <atomic>
#include <cstdint>

namespace sardinespoke {

/// Token bucket that limits retries to a percentage of the first tries. Thread-safe.
///
/// The bucket starts empty, so that retries never exceed the percentage, even right after a start.
class RetryBudget
{
public:
  static constexpr uint32_t kDefaultPercent = 10;
  static constexpr uint32_t kDefaultMaxTokens = 100;

  /// @param aPercent Retries allowed per 100 first tries.
  /// @param aMaxTokens Capacity of the bucket, in retries.
  explicit RetryBudget(uint32_t aPercent = kDefaultPercent,
                       uint32_t aMaxTokens = kDefaultMaxTokens);

  /// Counts a first try; call it once for each request.
  void OnFirstTry();

  /// Takes one retry from the budget.
  /// @returns Whether the retry is allowed.
  bool TrySpend();

private:
  // In hundredths of a retry, because a first try earns only a fraction of one.
  const int64_t earned_;
  const int64_t max_;
  std::atomic<int64_t> balance_{ 0 };
};

}
