#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 3;
constexpr unsigned int kJobs = 6;
constexpr uint32_t kTasks = 30;

/// Backend servers whose lists of ends are cut off after a few.
class CutOffEndsTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", kHosts, kHost);
    world_.Configure();
    world_.Run(seconds(1));
    world_.Fleet().maxListedEnds_ = 10;
    for (unsigned int job = 1; job <= kJobs; ++job) {
      const JobResponse response = world_.Submit("births", JobId(job), Tasks(kTasks, kDuration));
      ASSERT_EQ(response.kind_, JobResponseKind::Accepted);
    }
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  void SetStoreFault(MemoryRecordStore::Fault aFault)
  {
    world_.StoreOf(0).fault_ = aFault;
    world_.StoreOf(1).fault_ = aFault;
  }

  void ExpectAllDoneOnce()
  {
    for (unsigned int job = 1; job <= kJobs; ++job) {
      EXPECT_TRUE(world_.RunUntil(
        [&] { return world_.StateOf("births", JobId(job)) == JobState::Done; }, seconds(20)))
        << job;
    }
    EXPECT_EQ(world_.Fleet().Starts(), kJobs * kTasks);
  }

  static constexpr milliseconds kDuration{ 400 };
  JobWorld world_;
};

// A run whose end is beyond a list that was cut off must not be started again. TWICE: while the
// store was down, some 3,500 tasks that had ended as done were started again.
TEST_F(CutOffEndsTest, RunsOfUnlistedEndsAreNotStartedAgain)
{
  SetStoreFault(MemoryRecordStore::Fault::Unresponsive);
  world_.Run(milliseconds(4500));
  SetStoreFault(MemoryRecordStore::Fault::None);
  ExpectAllDoneOnce();
}

// The same after a change of leader: the new one knows no run, and its first list is cut off.
TEST_F(CutOffEndsTest, NewLeaderWaitsForTheWholeList)
{
  SetStoreFault(MemoryRecordStore::Fault::Unresponsive);
  world_.Run(milliseconds(2000));
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  world_.Restart(*leader);
  SetStoreFault(MemoryRecordStore::Fault::None);
  ExpectAllDoneOnce();
}

}
}
