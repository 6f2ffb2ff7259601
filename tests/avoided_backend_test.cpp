#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 5;
constexpr size_t kOtherRack = 4; // The only host outside the first rack.

/// One run of a task fails on a backend server that works again at once.
class AvoidedBackendTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", kHosts, kHost);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  /// Fills hosts up to some free cores with tasks that last.
  void Occupy(uint32_t aHosts, int64_t aCpuMilli)
  {
    StepSpec step = Tasks(aHosts);
    step.cpuMilli_ = aCpuMilli;
    step.continuous_ = true;
    step.maxPerServer_ = 1;
    ASSERT_EQ(world_.Submit("births", JobId(1), step).kind_, JobResponseKind::Accepted);
    ASSERT_TRUE(world_.RunUntil([&] { return world_.Starts() == aHosts; }, seconds(3)));
  }

  /// Submits a task and lets its first run fail.
  void FailOnce(const StepSpec& aStep)
  {
    const size_t before = world_.Starts();
    SetFailing(true);
    ASSERT_EQ(world_.Submit("births", JobId(2), aStep).kind_, JobResponseKind::Accepted);
    ASSERT_TRUE(world_.RunUntil([&] { return world_.Starts() == before + 1; }, seconds(3)));
    ASSERT_TRUE(world_.RunUntil([&] { return world_.Fleet().RunsOf(task_) == 0; }, seconds(3)));
    SetFailing(false);
  }

  void SetFailing(bool aFails)
  {
    for (size_t index = 0; index < kHosts; ++index) {
      world_.Fleet().BehaviourOf("births", index).failsAll_ = aFails;
    }
  }

  bool IsDoneWithin(milliseconds aLimit)
  {
    return world_.RunUntil([&] { return world_.StateOf("births", JobId(2)) == JobState::Done; },
                           aLimit);
  }

  const std::string task_ = TaskId{ JobId(2), 0, 0, 0 }.Text();
  JobWorld world_;
};

// A task must return to the backend server where it failed if no other one has room. LOST: beside
// an empty backend server a task was never started again.
TEST_F(AvoidedBackendTest, ATaskReturnsIfNoOtherHasRoom)
{
  Occupy(kHosts - 1, 10000);
  StepSpec step = Tasks(1);
  step.cpuMilli_ = 8000;
  FailOnce(step);
  EXPECT_TRUE(IsDoneWithin(seconds(4)));
}

// The same if no other one may run it.
TEST_F(AvoidedBackendTest, ATaskReturnsIfNoOtherHasItsLabel)
{
  StepSpec step = Tasks(1);
  step.requiredLabel_ = "rack-1";
  FailOnce(step);
  EXPECT_TRUE(IsDoneWithin(seconds(4)));
}

// The same after a run that got stuck.
TEST_F(AvoidedBackendTest, AStuckTaskReturnsIfNoOtherHasItsLabel)
{
  StepSpec step = Tasks(1);
  step.requiredLabel_ = "rack-1";
  world_.Fleet().BehaviourOf("births", kOtherRack).hangs_ = true;
  ASSERT_EQ(world_.Submit("births", JobId(2), step).kind_, JobResponseKind::Accepted);
  ASSERT_TRUE(world_.RunUntil([&] { return world_.Starts() == 1; }, seconds(3)));
  ASSERT_TRUE(world_.RunUntil([&] { return world_.Fleet().RunsOf(task_) == 0; }, seconds(5)));
  world_.Fleet().BehaviourOf("births", kOtherRack).hangs_ = false;
  EXPECT_TRUE(IsDoneWithin(seconds(7)));
}

// With room elsewhere, the task must start there at once.
TEST_F(AvoidedBackendTest, ATaskMovesOnIfAnotherHasRoom)
{
  FailOnce(Tasks(1));
  EXPECT_TRUE(IsDoneWithin(milliseconds(1600)));
  EXPECT_EQ(world_.Fleet().StartsOf(task_), 2U);
}

// Room that is expected soon elsewhere is better than a second attempt at a bad backend server.
TEST_F(AvoidedBackendTest, ATaskWaitsForRoomElsewhere)
{
  Occupy(kHosts - 1, 10000);
  StepSpec step = Tasks(1);
  step.cpuMilli_ = 8000;
  FailOnce(step);
  for (size_t index = 0; index < kHosts; ++index) {
    world_.Fleet().BehaviourOf("births", index).failsAll_ =
      world_.Fleet().RunsOn("births", index) == 0;
  }
  world_.Run(milliseconds(500));
  ASSERT_EQ(world_.Cancel("births", JobId(1)).kind_, JobResponseKind::Cancelled);
  EXPECT_TRUE(IsDoneWithin(seconds(3)));
  EXPECT_EQ(world_.Fleet().StartsOf(task_), 2U);
}

}
}
