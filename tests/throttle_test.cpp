#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A best-effort task beside one with a latency target, which it disturbs.
class ThrottleTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("market", 1, kHost);
    world_.Configure();
    world_.Run(seconds(1));
    StepSpec withTarget = Tasks(1);
    withTarget.continuous_ = true;
    withTarget.latencyTarget_ = milliseconds(40);
    StepSpec bestEffort = Tasks(1);
    bestEffort.continuous_ = true;
    bestEffort.bestEffort_ = true;
    world_.Submit("market", JobId(1), { withTarget, bestEffort });
  }

  uint32_t Percent() { return world_.Fleet().ThrottleOf(task_); }

  bool IsPaused() { return world_.Fleet().RunsOf(task_) == 1 && Percent() == 0; }

  const std::string task_ = JobId(1) + ".0.1.0";
  JobWorld world_;
};

// The task worked no more after a change of the leader: the successor took it for one that has all
// of its processor time.
TEST_F(ThrottleTest, LimitOfAnEarlierLeaderIsLifted)
{
  ASSERT_TRUE(world_.RunUntil([this] { return IsPaused(); }, seconds(4)));
  world_.Fleet().bestEffortDisturbs_ = false;
  world_.Stop(*world_.Leader());
  EXPECT_TRUE(world_.RunUntil([this] { return Percent() == 100; }, seconds(20)));
}

}
}
