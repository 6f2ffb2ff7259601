#include "job_steps.h"
#include "job_world.h"
#include "sardinespoke/job_record.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StepSpec
CheckpointingGang(uint32_t aCount)
{
  StepSpec step = Tasks(aCount, milliseconds(4000));
  step.gang_ = true;
  step.checkpointing_ = true;
  return step;
}

class GangCheckpointTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 4, Resources{ 1000, 1000, 0 });
    world_.Configure();
    world_.Run(seconds(1));
    world_.Submit("births", JobId(1), CheckpointingGang(3));
    world_.Run(milliseconds(1700));
  }

  void ExpectDoneOnCheckpoints()
  {
    EXPECT_TRUE(world_.RunUntil(
      [this] { return world_.StateOf("births", JobId(1)) == JobState::Done; }, seconds(10)));
    const FleetViolations& violations = world_.Fleet().Violations();
    EXPECT_FALSE(violations.Any()) << violations.first_;
  }

  size_t RunningMembers()
  {
    size_t count = 0;
    for (uint32_t index = 0; index < 3; ++index) {
      count += world_.Fleet().RunsOf(TaskId{ JobId(1), 0, 0, index }.Text());
    }
    return count;
  }

  /// Ends the run of the gang by the loss of a server.
  void BreakGang()
  {
    for (size_t host = 0; host < 3; ++host) {
      if (RunningMembers() == 3) {
        world_.Fleet().RestartInPlace("births", host, true);
      }
    }
  }

  JobWorld world_;
};

// All members of a gang run must carry the same checkpoint.
TEST_F(GangCheckpointTest, MembersOfABrokenGangResumeFromOneCheckpoint)
{
  BreakGang();
  EXPECT_TRUE(world_.RunUntil([this] { return RunningMembers() == 3; }, seconds(3)));
  const TimePoint resumed = world_.Clock().Now();
  ExpectDoneOnCheckpoints();
  EXPECT_LT(world_.Clock().Now() - resumed, milliseconds(3500)); // A part was saved.
}

// The same after a change of leader, which reads the checkpoint from the store.
TEST_F(GangCheckpointTest, NewLeaderResumesAGangFromOneCheckpoint)
{
  BreakGang();
  world_.Run(milliseconds(400));
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  world_.PauseHost(*leader);
  world_.Run(seconds(2));
  BreakGang();
  ExpectDoneOnCheckpoints();
}

uint32_t
AddGangJob(JobTable& aTable)
{
  JobSpec spec;
  spec.id_ = JobId(1);
  spec.steps_ = { CheckpointingGang(3) };
  const uint32_t job = aTable.Add(spec, QueuePolicy{}, TimePoint{}, milliseconds(0));
  aTable.OpenDueOccurrences(aTable.At(job), milliseconds(0));
  return job;
}

// A record of an earlier release has a checkpoint for each member; one of them must serve all.
TEST(GangRecordTest, RecordWithACheckpointForEachMemberGivesOne)
{
  JobTable table;
  const uint32_t job = AddGangJob(table);
  const std::string record = R"({"id":")" + JobId(1) +
                             R"(","started":true,"cancelled":false,"failed":false,"done":[],)"
                             R"("failed_runs":[],"checkpoints":[[0,0,1,"b"],[0,0,2,"c"]]})";
  ASSERT_TRUE(DecodeProgress(record, table, job));
  EXPECT_EQ(table.CheckpointOf(TaskRef{ job, 0, 0, 0 }), "b");
  EXPECT_EQ(table.CheckpointOf(TaskRef{ job, 0, 0, 2 }), "b");
  JobTable next;
  const uint32_t copy = AddGangJob(next);
  ASSERT_TRUE(DecodeProgress(EncodeProgress(table.At(job)), next, copy));
  EXPECT_EQ(next.CheckpointOf(TaskRef{ copy, 0, 0, 1 }), "b");
}

// The end of a gang must leave no checkpoint behind.
TEST(GangRecordTest, FinishedGangHasNoCheckpoint)
{
  JobTable table;
  const uint32_t job = AddGangJob(table);
  const TaskRef member{ job, 0, 0, 2 };
  table.Activate(member, 1, BackendHandle{ 0 }, TimePoint{});
  table.Release(member, "c");
  EXPECT_EQ(table.CheckpointOf(TaskRef{ job, 0, 0, 1 }), "c");
  table.Finish(member, TimePoint{});
  EXPECT_EQ(table.CheckpointOf(TaskRef{ job, 0, 0, 1 }), "");
}

}
}
