#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three starts, under which three backend servers may crash, and two more.
constexpr size_t kMostStarts = 5;

std::string
TaskOf(unsigned int aJob, uint32_t aIndex = 0)
{
  return TaskId{ JobId(aJob), 0, 0, aIndex }.Text();
}

class CrashingTaskTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 4, kHost);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    const FleetViolations& violations = world_.Fleet().Violations();
    EXPECT_FALSE(violations.Any()) << violations.first_;
  }

  void Submit(unsigned int aJob, const StepSpec& aStep)
  {
    EXPECT_EQ(world_.Submit("births", JobId(aJob), aStep).kind_, JobResponseKind::Accepted);
  }

  bool Ends(unsigned int aJob, JobState aState, milliseconds aLimit)
  {
    return world_.RunUntil([&] { return world_.StateOf("births", JobId(aJob)) == aState; }, aLimit);
  }

  size_t Starts(unsigned int aJob) { return world_.Fleet().StartsOf(TaskOf(aJob)); }

  /// Restarts the leader, which loses its state in memory.
  void ChangeLeader()
  {
    const auto leader = world_.Leader();
    ASSERT_TRUE(leader.has_value());
    world_.Restart(*leader);
    ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(5)));
  }

  JobWorld world_;
};

// A task that crashes each backend server must not crash one after the other for ever.
TEST_F(CrashingTaskTest, IsGivenUpAndItsJobFails)
{
  world_.SetDeadly(TaskOf(1));
  Submit(1, Tasks(1));
  EXPECT_TRUE(Ends(1, JobState::Failed, seconds(20)));
  world_.Run(seconds(10));
  EXPECT_GE(Starts(1), 2U);
  EXPECT_LE(Starts(1), kMostStarts);
}

// The same if it crashes its backend server before the start has been answered.
TEST_F(CrashingTaskTest, IsGivenUpWithoutAnAnswerToItsStart)
{
  world_.SetDeadly(TaskOf(1), milliseconds(1));
  for (size_t host = 0; host < 4; ++host) {
    world_.Fleet().BehaviourOf("births", host).losesAnswers_ = true;
  }
  Submit(1, Tasks(1));
  EXPECT_TRUE(Ends(1, JobState::Failed, seconds(40)));
  world_.Run(seconds(10));
  EXPECT_LE(Starts(1), kMostStarts);
}

// What it has done must outlast the leader.
TEST_F(CrashingTaskTest, IsGivenUpAcrossChangesOfTheLeader)
{
  world_.SetDeadly(TaskOf(1));
  Submit(1, Tasks(1));
  for (size_t change = 0; change < 3; ++change) {
    const size_t starts = Starts(1);
    world_.RunUntil([&] { return Starts(1) > starts; }, seconds(20));
    world_.Run(milliseconds(1500));
    ChangeLeader();
  }
  EXPECT_TRUE(Ends(1, JobState::Failed, seconds(30)));
  world_.Run(seconds(10));
  EXPECT_LE(Starts(1), kMostStarts);
}

// Tasks that were on backend servers that others crashed must end, and their jobs not fail.
TEST_F(CrashingTaskTest, DoesNotFailTheJobsBesideIt)
{
  constexpr unsigned int kDeadly = 3;
  constexpr unsigned int kJobs = 15;
  for (unsigned int job = 1; job <= kJobs; ++job) {
    if (job <= kDeadly) {
      world_.SetDeadly(TaskOf(job));
    }
    Submit(job, Tasks(job <= kDeadly ? 1 : 4));
  }
  for (unsigned int job = 1; job <= kJobs; ++job) {
    EXPECT_TRUE(Ends(job, job <= kDeadly ? JobState::Failed : JobState::Done, seconds(60))) << job;
  }
  for (unsigned int job = 1; job <= kDeadly; ++job) {
    EXPECT_LE(Starts(job), kMostStarts) << job;
  }
}

// Work that arrives while tasks are in question must run meanwhile.
TEST_F(CrashingTaskTest, DoesNotHoldUpNewWork)
{
  world_.SetDeadly(TaskOf(1));
  Submit(1, Tasks(1));
  world_.RunUntil([this] { return Starts(1) > 0; }, seconds(2));
  world_.Run(milliseconds(300));
  for (unsigned int job = 2; job <= 6; ++job) {
    Submit(job, Tasks(4, milliseconds(500)));
    EXPECT_TRUE(Ends(job, JobState::Done, seconds(3))) << job;
  }
}

// Backend servers that end for another reason must not fail the jobs that they run.
TEST_F(CrashingTaskTest, RackThatLosesPowerTwiceFailsNoJob)
{
  for (unsigned int job = 1; job <= 8; ++job) {
    Submit(job, Tasks(4, milliseconds(3000)));
  }
  for (size_t loss = 0; loss < 2; ++loss) {
    for (size_t host = 0; host < 4; ++host) {
      world_.Fleet().CrashForSeconds("births", host);
    }
    const size_t starts = world_.Starts();
    EXPECT_TRUE(world_.RunUntil([&] { return world_.Starts() > starts; }, seconds(10)));
    world_.Run(milliseconds(20));
  }
  for (unsigned int job = 1; job <= 8; ++job) {
    EXPECT_TRUE(Ends(job, JobState::Done, seconds(60))) << job;
  }
}

// A continuous task whose backend servers are lost under it, as in a release, must run again, and
// the others of its step must run on. AVAIL and LOST: its job failed, which ended them all.
TEST_F(CrashingTaskTest, ContinuousTaskRunsAgainAfterItsBackendServersAreLost)
{
  StepSpec continuous = Tasks(2);
  continuous.continuous_ = true;
  continuous.maxPerServer_ = 1;
  continuous.maxUnavailable_ = 1;
  world_.SetDeadly(TaskOf(1, 1));
  Submit(1, continuous);
  const bool isLostTwice =
    world_.RunUntil([this] { return world_.Fleet().StartsOf(TaskOf(1, 1)) > 2; }, seconds(20));
  EXPECT_TRUE(isLostTwice);
  world_.SetDeadly(TaskOf(1, 1), milliseconds(0));
  EXPECT_TRUE(
    world_.RunUntil([this] { return world_.Fleet().RunsOf(TaskOf(1, 1)) == 1; }, seconds(20)));
  EXPECT_EQ(world_.StateOf("births", JobId(1)), JobState::Running);
  EXPECT_TRUE(
    world_.RunUntil([this] { return world_.Fleet().RunsOf(TaskOf(1, 0)) == 1; }, seconds(20)));
}

// A continuous task has no part in the crash of its backend server long after its start.
TEST_F(CrashingTaskTest, DoesNotEndContinuousTasksBesideIt)
{
  StepSpec continuous = Tasks(4);
  continuous.continuous_ = true;
  continuous.maxPerServer_ = 1;
  Submit(1, continuous);
  world_.Run(seconds(5));
  for (unsigned int job = 2; job <= 4; ++job) {
    world_.SetDeadly(TaskOf(job));
    Submit(job, Tasks(1));
    EXPECT_TRUE(Ends(job, JobState::Failed, seconds(30))) << job;
  }
  EXPECT_EQ(world_.StateOf("births", JobId(1)), JobState::Running);
  EXPECT_TRUE(world_.RunUntil(
    [this] {
      size_t runs = 0;
      for (uint32_t index = 0; index < 4; ++index) {
        runs += world_.Fleet().RunsOf(TaskOf(1, index));
      }
      return runs == 4;
    },
    seconds(20)));
}

}
}
