#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A job whose first occurrence is due in 20 s.
class TimedJobTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 3, kHost);
    world_.Configure();
    world_.Run(seconds(1));
    due_ = world_.Wall() + seconds(20);
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  void Send(JobRequestKind aKind, std::vector<JobResponseKind>& aResponses)
  {
    JobRequest request;
    request.kind_ = aKind;
    request.host_ = "callers";
    request.path_ = "/births/" + JobId(1);
    request.spec_.payload_ = "payload";
    request.spec_.steps_ = { Tasks(2, seconds(10)) };
    request.spec_.repeats_ = 2;
    request.spec_.firstDue_ = due_;
    request.spec_.interval_ = seconds(5);
    world_.Send(request, [&aResponses](const JobResponse& aResponse) {
      aResponses.push_back(aResponse.kind_);
    });
  }

  JobWorld world_;
  milliseconds due_{ 0 };
};

// A repeated request must not make work due. ORDER: a timed job that was handed in again while it
// was being stored started 17 s early.
TEST_F(TimedJobTest, RepeatedSubmissionDoesNotStartItEarly)
{
  std::vector<JobResponseKind> responses;
  world_.StoreOf(*world_.Leader()).fault_ = MemoryRecordStore::Fault::Unresponsive;
  Send(JobRequestKind::Submit, responses);
  world_.Run(milliseconds(300));
  Send(JobRequestKind::Submit, responses);
  world_.Run(milliseconds(300));
  world_.StoreOf(*world_.Leader()).fault_ = MemoryRecordStore::Fault::None;
  world_.Run(seconds(2));
  EXPECT_EQ(responses, std::vector<JobResponseKind>(2, JobResponseKind::Accepted));
  world_.Run(seconds(16));
  EXPECT_EQ(world_.Starts(), 0U);
  world_.Run(seconds(2));
  EXPECT_EQ(world_.Starts(), 2U);
}

// The same for a cancellation, and for a leader that learns of a run from a backend server while
// its clock says that the occurrence is not due.
TEST_F(TimedJobTest, LookingUpATaskDoesNotMakeItDue)
{
  JobTable jobs;
  JobSpec spec;
  spec.id_ = JobId(1);
  spec.steps_ = { Tasks(2) };
  spec.repeats_ = 3;
  spec.firstDue_ = due_;
  spec.interval_ = seconds(5);
  const uint32_t job = jobs.Add(spec, QueuePolicy(), world_.Clock().Now(), milliseconds(0));
  EXPECT_EQ(jobs.IndexOf(JobId(1)), job);
  EXPECT_TRUE(jobs.At(job).occurrences_.empty());
  TaskRef task;
  ASSERT_TRUE(jobs.Locate(TaskId{ JobId(1), 1, 0, 0 }, task));
  EXPECT_EQ(jobs.At(job).dueOccurrences_, 0U);
  jobs.OpenDueOccurrences(jobs.At(job), due_);
  EXPECT_EQ(jobs.At(job).dueOccurrences_, 1U);
  EXPECT_EQ(jobs.At(job).occurrences_.size(), 2U);
}

}
}
