#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPool[] = "births";
constexpr char kJob[] = "00000000000000b1";
constexpr uint32_t kTasks = 4;

/// A continuous job whose availability budget allows one unavailable task.
class UnansweredStartTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool(kPool, kHosts, Resources{ 16000, 65536, 0 });
    world_.Configure();
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  void SetEach(bool SimulatedFleet::Behaviour::*aFault, bool aOn)
  {
    for (size_t host = 0; host < kHosts; ++host) {
      world_.Fleet().BehaviourOf(kPool, host).*aFault = aOn;
    }
  }

  void SendJob(const JobResponseCallback& aAnswer)
  {
    StepSpec step;
    step.taskCount_ = kTasks;
    step.cpuMilli_ = 1000;
    step.memoryMb_ = 1000;
    step.continuous_ = true;
    step.maxPerServer_ = 1;
    step.maxUnavailable_ = 1;
    world_.SendSubmit(kPool, kJob, { step }, aAnswer);
  }

  size_t Running()
  {
    size_t running = 0;
    for (uint32_t index = 0; index < kTasks; ++index) {
      running += world_.Fleet().RunsOf(TaskId{ kJob, 0, 0, index }.Text());
    }
    return running;
  }

  static constexpr size_t kHosts = 6;
  JobWorld world_;
};

// Tasks that serve must not be ended beyond their budget. Fault: a start without an answer was
// followed by a stop, which ended all tasks of a step whose leader was short of processor time.
TEST_F(UnansweredStartTest, StartedTasksAreNotStopped)
{
  SetEach(&SimulatedFleet::Behaviour::losesAnswers_, true);
  SendJob([](const JobResponse&) {});
  EXPECT_TRUE(world_.RunUntil([this] { return Running() == kTasks; }, seconds(1)));
  size_t fewest = kTasks;
  const auto observe = [&] {
    fewest = std::min(fewest, Running());
    return false;
  };
  world_.RunUntil(observe, milliseconds(600));
  SetEach(&SimulatedFleet::Behaviour::losesAnswers_, false);
  world_.RunUntil(observe, seconds(8));
  EXPECT_EQ(fewest, kTasks);
  EXPECT_EQ(world_.Fleet().Starts(), kTasks);
}

// A task whose start was lost must be started again soon.
TEST_F(UnansweredStartTest, LostStartsAreRepeated)
{
  bool accepted = false;
  SendJob([&](const JobResponse&) {
    accepted = true;
    SetEach(&SimulatedFleet::Behaviour::unresponsive_, true);
  });
  EXPECT_TRUE(world_.RunUntil([&] { return accepted; }, seconds(1)));
  world_.Run(milliseconds(450));
  EXPECT_EQ(Running(), 0U);
  SetEach(&SimulatedFleet::Behaviour::unresponsive_, false);
  EXPECT_TRUE(world_.RunUntil([this] { return Running() == kTasks; }, seconds(4)));
}

// A job that is cancelled while the answer to a start is awaited must not run on.
TEST_F(UnansweredStartTest, CancelledTasksAreStopped)
{
  SetEach(&SimulatedFleet::Behaviour::losesAnswers_, true);
  SendJob([](const JobResponse&) {});
  EXPECT_TRUE(world_.RunUntil([this] { return Running() > 0; }, seconds(1)));
  EXPECT_EQ(world_.Cancel(kPool, kJob).kind_, JobResponseKind::Cancelled);
  world_.Run(seconds(1));
  EXPECT_EQ(Running(), 0U);
}

}
}
