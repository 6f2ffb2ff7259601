#include "sardinespoke/retry_budget.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <rapidcheck/gtest.h>

namespace sardinespoke {
namespace {

// Guards against retries above 10 % of the first tries, in any order of calls.
RC_GTEST_PROP(RetryBudget, NeverExceedsItsShare, (const std::vector<bool>& aFirstTries))
{
  RetryBudget budget;
  uint32_t firstTries = 0;
  uint32_t retries = 0;
  for (const bool firstTry : aFirstTries) {
    if (firstTry) {
      budget.OnFirstTry();
      ++firstTries;
      continue;
    }
    retries += budget.TrySpend() ? 1 : 0;
    RC_ASSERT(retries * 10 <= firstTries);
  }
}

// Guards against a retry storm after many requests without retries.
TEST(RetryBudget, SavedRetriesAreLimited)
{
  RetryBudget budget(50, 2);
  for (int i = 0; i < 100; ++i) {
    budget.OnFirstTry();
  }
  EXPECT_TRUE(budget.TrySpend());
  EXPECT_TRUE(budget.TrySpend());
  EXPECT_FALSE(budget.TrySpend());
}

}
}
