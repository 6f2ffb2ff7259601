#include "sardinespoke/retry_budget.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr int64_t kUnitsPerRetry = 100;

}

RetryBudget::RetryBudget(uint32_t aPercent, uint32_t aMaxTokens)
  : earned_(aPercent)
  , max_(aMaxTokens * kUnitsPerRetry)
{
}

void
RetryBudget::OnFirstTry()
{
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (!balance_.compare_exchange_weak(balance, std::min(balance + earned_, max_))) {
  }
}

bool
RetryBudget::TrySpend()
{
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kUnitsPerRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kUnitsPerRetry)) {
      return true;
    }
  }
  return false;
}

}
