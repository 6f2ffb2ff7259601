#include "job_steps.h"
#include "sardinespoke/job_record.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

class CrashRecordTest : public testing::Test
{
protected:
  static uint32_t AddJob(JobTable& aTable)
  {
    JobSpec spec;
    spec.id_ = JobId(1);
    spec.steps_ = { Tasks(2) };
    const uint32_t job = aTable.Add(spec, QueuePolicy(), TimePoint{}, milliseconds(0));
    aTable.OpenDueOccurrences(aTable.At(job), milliseconds(0));
    return job;
  }

  JobTable table_;
  const uint32_t job_ = AddJob(table_);
  const TaskRef task_{ job_, 0, 0, 1 };
};

// A later leader must know the crashes and the run whose outcome is not known yet.
TEST_F(CrashRecordTest, KeepsCrashesAndTrials)
{
  table_.SetCrashes(task_, 2);
  table_.Activate(task_, 7, BackendHandle{ 0 }, TimePoint{});
  JobTable next;
  const TaskRef copy{ AddJob(next), 0, 0, 1 };
  ASSERT_TRUE(DecodeProgress(EncodeProgress(table_.At(job_)), next, copy.job_));
  EXPECT_EQ(next.CrashesOf(copy), 2U);
  EXPECT_TRUE(next.IsInTrial(copy));
  EXPECT_EQ(next.CrashesOf(TaskRef{ copy.job_, 0, 0, 0 }), 0U);
}

// A trial that ended without a crash must not count later.
TEST_F(CrashRecordTest, ReleasedTaskIsInNoTrial)
{
  table_.SetCrashes(task_, 1);
  table_.Activate(task_, 7, BackendHandle{ 0 }, TimePoint{});
  table_.Release(task_, "");
  EXPECT_FALSE(table_.IsInTrial(task_));
}

// Records of earlier releases have no crashes.
TEST_F(CrashRecordTest, ReadsRecordsOfEarlierReleases)
{
  EXPECT_TRUE(DecodeProgress(R"({"id":"1","started":true,"cancelled":false,"failed":false,)"
                             R"("done":[],"failed_runs":[],"checkpoints":[]})",
                             table_,
                             job_));
  EXPECT_EQ(table_.CrashesOf(task_), 0U);
}

// A damaged count must be reported, and what precedes it applied.
TEST_F(CrashRecordTest, DamagedCountIsRefused)
{
  EXPECT_FALSE(DecodeProgress(R"({"id":"1","started":true,"cancelled":true,"failed":false,)"
                              R"("done":[],"failed_runs":[],"checkpoints":[],)"
                              R"("crashes":[[0,0,1,-3,false]]})",
                              table_,
                              job_));
  EXPECT_TRUE(table_.At(job_).cancelled_);
  EXPECT_EQ(table_.CrashesOf(task_), 0U);
}

}
}
