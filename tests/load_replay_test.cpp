#include "load_replay.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

struct ReplayCase
{
  uint64_t seed_ = 1;
  double load_ = 1.0; ///< Factor on the job rate of the plan.
};

class LoadReplayTest : public testing::TestWithParam<ReplayCase>
{
protected:
  static ReplayResult RunReplay(const ReplayCase& aCase, FleetViolations& aViolations)
  {
    ReplayPlan plan = SmallReplayPlan(aCase.seed_);
    for (ReplayQueue& queue : plan.queues_) {
      queue.jobsPerSecond_ *= aCase.load_;
    }
    LoadReplay replay(plan);
    ReplayResult result = replay.Run();
    aViolations = replay.World().Fleet().Violations();
    return result;
  }
};

// Bursts above the capacity of pools, which make hosts move between pools, must not overload hosts,
// run tasks twice or lose jobs.
TEST_P(LoadReplayTest, BurstsCauseNoViolations)
{
  FleetViolations violations;
  const ReplayResult result = RunReplay(GetParam(), violations);
  EXPECT_FALSE(violations.Any()) << violations.first_;
  EXPECT_GT(result.total_.offered_, 0U);
  if (GetParam().load_ <= 1.0) {
    EXPECT_EQ(result.total_.unfinished_, 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         LoadReplayTest,
                         testing::Values(ReplayCase{ 1, 1.0 },
                                         ReplayCase{ 2, 1.0 },
                                         ReplayCase{ 3, 2.0 },
                                         ReplayCase{ 4, 3.0 }));

}
}
