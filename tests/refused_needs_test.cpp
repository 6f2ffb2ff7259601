#include "sardinespoke/refused_needs.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

// A full pool must not be searched again for a need at least as large.
TEST(RefusedNeedsTest, IncludesLargerNeeds)
{
  RefusedNeeds refused;
  EXPECT_FALSE(refused.Includes(Resources{ 1000, 1000, 0 }));
  refused.Add(Resources{ 1000, 1000, 0 });
  EXPECT_TRUE(refused.Includes(Resources{ 1000, 1000, 0 }));
  EXPECT_TRUE(refused.Includes(Resources{ 2000, 1000, 1 }));
}

// Whatever needs less of one thing may still fit.
TEST(RefusedNeedsTest, DoesNotIncludeWhatNeedsLessOfOneThing)
{
  RefusedNeeds refused;
  refused.Add(Resources{ 1000, 1000, 0 });
  EXPECT_FALSE(refused.Includes(Resources{ 900, 9000, 0 }));
  EXPECT_FALSE(refused.Includes(Resources{ 9000, 900, 0 }));
}

// A smaller refusal replaces larger ones.
TEST(RefusedNeedsTest, SmallerNeedsReplaceLargerOnes)
{
  RefusedNeeds refused;
  refused.Add(Resources{ 2000, 1000, 0 });
  refused.Add(Resources{ 1000, 2000, 0 });
  refused.Add(Resources{ 500, 500, 0 });
  EXPECT_TRUE(refused.Includes(Resources{ 500, 500, 0 }));
  EXPECT_FALSE(refused.Includes(Resources{ 400, 500, 0 }));
}

}
}
