#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tasks that last, on backend servers that leave.
class EvacuationTest : public testing::Test
{
protected:
  void Begin(size_t aHosts, uint32_t aTasks, uint32_t aBudget)
  {
    hosts_ = aHosts;
    tasks_ = aTasks;
    world_.AddPool("births", aHosts, kHost);
    world_.Configure();
    world_.Run(seconds(1));
    StepSpec step = Tasks(aTasks);
    step.cpuMilli_ = 10000;
    step.continuous_ = true;
    step.maxUnavailable_ = aBudget;
    ASSERT_EQ(world_.Submit("births", JobId(1), step).kind_, JobResponseKind::Accepted);
    ASSERT_TRUE(world_.RunUntil([&] { return Running() == aTasks; }, seconds(3)));
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  size_t Running()
  {
    size_t running = 0;
    for (size_t index = 0; index < hosts_; ++index) {
      running += world_.Fleet().RunsOn("births", index);
    }
    return running;
  }

  JobWorld world_;
  size_t hosts_ = 0;
  size_t tasks_ = 0;
};

// A task that lasts must move before its backend server is gone. LOST: it was waited for until its
// lease was over, while others had room.
TEST_F(EvacuationTest, TasksMoveOffAServerThatLeaves)
{
  Begin(4, 2, 1);
  const size_t busy = world_.Fleet().RunsOn("births", 0) > 0 ? 0 : 1;
  world_.Fleet().SetDraining("births", busy);
  EXPECT_TRUE(world_.RunUntil(
    [&] { return world_.Fleet().RunsOn("births", busy) == 0 && Running() == 2; }, seconds(2)));
}

// The budget of a step holds for tasks that move as well.
TEST_F(EvacuationTest, TasksMoveWithinTheirBudget)
{
  Begin(8, 4, 1);
  for (size_t index = 0; index < 4; ++index) {
    world_.Fleet().SetDraining("births", index);
  }
  size_t fewest = tasks_;
  const auto haveMoved = [&] {
    fewest = std::min(fewest, Running());
    size_t left = 0;
    for (size_t index = 0; index < 4; ++index) {
      left += world_.Fleet().RunsOn("births", index);
    }
    return left == 0 && Running() == tasks_;
  };
  EXPECT_TRUE(world_.RunUntil(haveMoved, seconds(10)));
  EXPECT_EQ(fewest, tasks_ - 1);
}

// Without room elsewhere a task is better off where it is.
TEST_F(EvacuationTest, TasksStayWithoutRoomElsewhere)
{
  Begin(2, 2, 1);
  world_.Fleet().SetDraining("births", 0);
  world_.Run(seconds(3));
  EXPECT_EQ(world_.Starts(), 2U);
  EXPECT_EQ(Running(), 2U);
}

}
}
