#include "job_steps.h"

#include "sardinespoke/manual_clock.h"
#include "sardinespoke/wait_index.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kAnyCpu = std::numeric_limits<int32_t>::max();

class WaitIndexTest : public testing::Test
{
protected:
  uint32_t Add(const std::string& aPool,
               std::vector<StepSpec> aSteps,
               uint32_t aPriority = 0,
               const std::string& aTenant = "")
  {
    JobSpec spec;
    spec.id_ = JobId(++number_);
    spec.queue_ = aPool;
    spec.tenant_ = aTenant;
    spec.steps_ = std::move(aSteps);
    QueuePolicy policy;
    policy.service_ = aPool;
    policy.priority_ = aPriority;
    policy.stretch_ = 1.6;
    policy.latencyTarget_ = milliseconds(600);
    const uint32_t job = jobs_.Add(spec, policy, clock_.Now(), milliseconds(0));
    jobs_.OpenDueOccurrences(jobs_.At(job), milliseconds(0));
    jobs_.At(job).stored_ = true;
    jobs_.MarkChanged(job);
    return job;
  }

  static StepSpec Step(uint32_t aTasks, int64_t aCpuMilli, milliseconds aEstimate = seconds(1))
  {
    StepSpec step = Tasks(aTasks, aEstimate);
    step.cpuMilli_ = aCpuMilli;
    return step;
  }

  /// @returns The jobs of a pool that a cursor visits.
  std::vector<uint32_t> Visit(const std::string& aPool, int64_t aFreeCpuMilli = kAnyCpu)
  {
    index_.Update(clock_.Now());
    std::vector<uint32_t> jobs;
    const auto pool = index_.Pools().find(aPool);
    if (pool == index_.Pools().end()) {
      return jobs;
    }
    WaitIndex::Cursor cursor(pool->second, aFreeCpuMilli);
    while (const WaitRank* rank = cursor.Next()) {
      jobs.push_back(rank->job_);
    }
    return jobs;
  }

  void StartAll(uint32_t aJob, uint32_t aStep)
  {
    const auto tasks = static_cast<uint32_t>(jobs_.At(aJob).spec_.steps_[aStep].taskCount_);
    for (uint32_t index = 0; index < tasks; ++index) {
      jobs_.Activate(TaskRef{ aJob, 0, aStep, index }, 1, BackendHandle{ 0 }, clock_.Now());
    }
  }

  ManualClock clock_;
  JobTable jobs_;
  DurationModel durations_;
  WaitOrder order_{ durations_ };
  WaitIndex index_{ jobs_, order_ };
  unsigned int number_ = 0;
};

// A job must be found again when its next step is ready or a run of it is lost, and not before.
TEST_F(WaitIndexTest, HoldsJobsWithTasksThatAreReadyAndWait)
{
  StepSpec second = Step(1, 1000);
  second.after_ = { 0 };
  const uint32_t job = Add("p", { Step(2, 1000), second });
  EXPECT_EQ(Visit("p"), std::vector<uint32_t>{ job });
  StartAll(job, 0);
  EXPECT_TRUE(Visit("p").empty());
  jobs_.Release(TaskRef{ job, 0, 0, 1 }, "");
  EXPECT_EQ(Visit("p"), std::vector<uint32_t>{ job });
  jobs_.Activate(TaskRef{ job, 0, 0, 1 }, 2, BackendHandle{ 0 }, clock_.Now());
  jobs_.Finish(TaskRef{ job, 0, 0, 0 }, clock_.Now());
  EXPECT_TRUE(Visit("p").empty());
  jobs_.Finish(TaskRef{ job, 0, 0, 1 }, clock_.Now());
  EXPECT_EQ(Visit("p"), std::vector<uint32_t>{ job });
  jobs_.At(job).cancelled_ = true;
  jobs_.MarkChanged(job);
  EXPECT_TRUE(Visit("p").empty());
}

// Jobs that do not fit must not be walked over in each round.
TEST_F(WaitIndexTest, LeavesOutJobsWhoseTasksAreLargerThanWhatIsFree)
{
  const uint32_t large = Add("p", { Step(1, 8000) });
  const uint32_t small = Add("p", { Step(4, 3000) });
  EXPECT_EQ(Visit("p"), (std::vector<uint32_t>{ large, small }));
  EXPECT_EQ(Visit("p", 4000), std::vector<uint32_t>{ small });
  EXPECT_TRUE(Visit("p", 0).empty());
}

// Places for suspects are reserved, and the advice service is asked, while a pool is full.
TEST_F(WaitIndexTest, AlwaysVisitsSuspects)
{
  const uint32_t job = Add("p", { Step(1, 8000) });
  jobs_.SetCrashes(TaskRef{ job, 0, 0, 0 }, 1);
  EXPECT_EQ(Visit("p", 0), std::vector<uint32_t>{ job });
}

// A job that becomes late while nothing else happens must lose its place.
TEST_F(WaitIndexTest, FollowsTheTime)
{
  const uint32_t old = Add("p", { Step(1, 1000) });
  clock_.Advance(seconds(1));
  const uint32_t large = Add("p", { Step(8, 1000) });
  EXPECT_EQ(Visit("p"), (std::vector<uint32_t>{ old, large }));
  clock_.Advance(milliseconds(300)); // The objective of the first is 1.6 x 1 s + 0.6 s.
  EXPECT_EQ(Visit("p"), (std::vector<uint32_t>{ large, old }));
}

// A queue that moves to another pool takes its waiting jobs with it.
TEST_F(WaitIndexTest, FollowsThePolicy)
{
  const uint32_t job = Add("p", { Step(1, 1000) });
  ASSERT_EQ(Visit("p").size(), 1U);
  QueuePolicy policy = jobs_.At(job).policy_;
  policy.service_ = "q";
  jobs_.SetPolicy(jobs_.At(job), policy);
  EXPECT_TRUE(Visit("p").empty());
  EXPECT_EQ(Visit("q"), std::vector<uint32_t>{ job });
}

// Removed jobs must leave nothing behind that a later round reads.
TEST_F(WaitIndexTest, ForgetsRemovedJobs)
{
  const uint32_t job = Add("p", { Step(1, 1000) }, 0, "t");
  ASSERT_EQ(Visit("p").size(), 1U);
  EXPECT_EQ(index_.Pools().at("p").Tenants().size(), 1U);
  jobs_.Remove(job);
  EXPECT_TRUE(Visit("p").empty());
  EXPECT_TRUE(index_.Pools().at("p").Tenants().empty());
}

// The refusal of a submission must count what comes before it, and no more.
TEST_F(WaitIndexTest, SumsUpTheWorkBeforeAJob)
{
  Add("p", { Step(2, 1000) }, 0);
  clock_.Advance(seconds(3)); // Late from now on.
  Add("p", { Step(3, 1000) }, 0);
  Add("p", { Step(9, 1000) }, 0);
  Add("p", { Step(1, 1000) }, 1);
  const uint32_t job = Add("p", { Step(4, 1000) }, 0);
  const WaitRank rank = order_.RankOf(jobs_, job, clock_.Now());
  index_.Update(clock_.Now());
  const WaitIndex::Backlog backlog = index_.BacklogBefore("p", rank);
  EXPECT_DOUBLE_EQ(backlog.ahead_, 3.0);
  EXPECT_DOUBLE_EQ(backlog.lateAhead_, 2.0);
}

// The work of late jobs must not count twice before a job that is late from the start.
TEST_F(WaitIndexTest, SumsUpTheWorkBeforeALateJobOnce)
{
  Add("p", { Step(2, 1000) });
  const uint32_t job = Add("p", { Step(4, 1000) });
  clock_.Advance(seconds(3));
  const WaitRank rank = order_.RankOf(jobs_, job, clock_.Now());
  ASSERT_EQ(rank.tier_, WaitTier::Late);
  index_.Update(clock_.Now());
  const WaitIndex::Backlog backlog = index_.BacklogBefore("p", rank);
  EXPECT_DOUBLE_EQ(backlog.ahead_ + backlog.lateAhead_, 2.0);
}

// Whatever happens to jobs, the index must show them as if it had been made anew.
TEST_F(WaitIndexTest, EqualsAnOrderMadeAnew)
{
  std::mt19937 random(20261207);
  std::vector<uint32_t> added;
  const auto pick = [&](size_t aBound) { return static_cast<uint32_t>(random() % aBound); };
  for (int step = 0; step < 2000; ++step) {
    clock_.Advance(milliseconds(pick(20)));
    if (added.empty() || pick(3) == 0) {
      StepSpec next = Step(1 + pick(3), 500 + pick(4000), milliseconds(100 + pick(2000)));
      next.after_ = { 0 };
      added.push_back(Add("p", { Step(1 + pick(6), 500 + pick(4000)), next }, pick(2)));
    }
    const uint32_t job = added[pick(added.size())];
    const TaskRef task{ job, 0, pick(2), 0 };
    if (!jobs_.Jobs()[job] || jobs_.At(job).HasEnded()) {
      continue;
    }
    switch (pick(4)) {
      case 0:
        if (jobs_.At(task).phase_ == TaskPhase::Waiting &&
            jobs_.IsReady(jobs_.At(job), 0, task.step_)) {
          jobs_.Activate(task, step, BackendHandle{ 0 }, clock_.Now());
        }
        break;
      case 1:
        jobs_.Release(task, "");
        break;
      case 2:
        if (jobs_.IsReady(jobs_.At(job), 0, task.step_)) {
          jobs_.Finish(task, clock_.Now());
        }
        break;
      default:
        if (pick(10) == 0) {
          jobs_.At(job).cancelled_ = true;
          jobs_.MarkChanged(job);
        }
        break;
    }
    std::vector<uint32_t> visited = Visit("p");
    JobTable& jobs = jobs_;
    WaitIndex anew(jobs, order_);
    for (const uint32_t other : added) {
      jobs_.MarkChanged(other);
    }
    anew.Update(clock_.Now());
    std::vector<uint32_t> expected;
    if (anew.Pools().count("p") > 0) {
      WaitIndex::Cursor cursor(anew.Pools().at("p"), kAnyCpu);
      while (const WaitRank* rank = cursor.Next()) {
        expected.push_back(rank->job_);
      }
    }
    ASSERT_EQ(visited, expected) << "after step " << step;
  }
}

}
}
