#include "sardinespoke/retry_budget.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr int64_t kOneRetry = 100;

}

RetryBudget::RetryBudget(uint32_t aPercent, uint32_t aMaxTokens)
  : earned_(aPercent)
  , max_(aMaxTokens * kOneRetry)
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
  while (balance >= kOneRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kOneRetry)) {
      return true;
    }
  }
  return false;
}

}
