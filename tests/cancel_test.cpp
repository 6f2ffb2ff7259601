#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPool[] = "births";
constexpr char kJob[] = "00000000000000a1";
const std::string kLeaderKey = std::string(JobJournal::kPrefix) + "leader";

class CancelTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool(kPool, 4, kHost);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  /// Ends a leader whose connection to the store fails first, so that nothing that it sends from
  /// now on takes effect.
  void Kill(size_t aHost)
  {
    world_.Restart(aHost);
    world_.StoreOf(aHost).fault_ = MemoryRecordStore::Fault::None;
  }

  JobWorld world_;
};

class CancelAtLeaderLossTest
  : public CancelTest
  , public testing::WithParamInterface<int>
{};

// A cancel that was acknowledged must outlive the leader. Fault: it was acknowledged by a
// transaction that had been sent before it arrived and did not contain it.
TEST_P(CancelAtLeaderLossTest, AcknowledgedCancelIsNotLost)
{
  // Steps of short tasks, so that the job's progress is written again and again.
  std::vector<StepSpec> steps;
  for (uint32_t step = 0; step < 12; ++step) {
    steps.push_back(Tasks(4, milliseconds(60)));
    steps.back().after_ = step == 0 ? std::vector<uint32_t>{} : std::vector<uint32_t>{ step - 1 };
  }
  steps.push_back(Tasks(4, seconds(30)));
  ASSERT_EQ(world_.Submit(kPool, kJob, steps).kind_, JobResponseKind::Accepted);
  world_.Run(milliseconds(GetParam()));
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  bool acknowledged = false;
  world_.SendCancel(kPool, kJob, [&](const JobResponse& aResponse) {
    acknowledged = aResponse.kind_ == JobResponseKind::Cancelled;
    world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::Unresponsive;
  });
  ASSERT_TRUE(world_.RunUntil([&] { return acknowledged; }, seconds(2)));
  Kill(*leader);
  EXPECT_EQ(world_.StateOf(kPool, kJob), JobState::Cancelled);
  const size_t starts = world_.Starts();
  world_.Run(seconds(2));
  EXPECT_EQ(world_.Starts(), starts);
}

INSTANTIATE_TEST_SUITE_P(Moments, CancelAtLeaderLossTest, testing::Range(0, 800, 10));

// A caller must not be told that a job does not exist while another host runs it. Fault: a leader
// whose record was taken away without notice trusted its own clock and denied the jobs that its
// successor had accepted.
TEST_F(CancelTest, ReplacedLeaderDoesNotDenyJobsOfItsSuccessor)
{
  const auto first = world_.Leader();
  ASSERT_TRUE(first.has_value());
  const size_t second = 1 - *first;
  // The store falls silent for the leader and drops its record at once. The backend servers would
  // tell it of its successor.
  world_.StoreOf(*first).fault_ = MemoryRecordStore::Fault::Unresponsive;
  world_.FleetOf(*first).disconnected_ = true;
  world_.Store().Remove(kLeaderKey);
  ASSERT_TRUE(world_.RunUntil([&] { return world_.IsLeader(second); }, seconds(1)));
  ASSERT_TRUE(world_.IsLeader(*first)) << "it has not noticed yet";
  ASSERT_EQ(world_.SubmitAt(second, kPool, kJob, { Tasks(2, seconds(20)) }).kind_,
            JobResponseKind::Accepted);
  EXPECT_EQ(world_.CancelAt(*first, kPool, kJob).kind_, JobResponseKind::Refused);
  // The store answers it again, which does not tell it that its record is gone.
  world_.StoreOf(*first).fault_ = MemoryRecordStore::Fault::None;
  ASSERT_TRUE(world_.IsLeader(*first));
  EXPECT_EQ(world_.CancelAt(*first, kPool, kJob).kind_, JobResponseKind::Refused);
  EXPECT_EQ(world_.CancelAt(second, kPool, kJob).kind_, JobResponseKind::Cancelled);
}

// The store has the last word on jobs that the leader does not know.
TEST_F(CancelTest, UnknownJobsAreDeniedOnlyByTheStore)
{
  EXPECT_EQ(world_.Cancel(kPool, kJob).kind_, JobResponseKind::NoJob);
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  world_.StoreOf(*leader).fault_ = MemoryRecordStore::Fault::Unresponsive;
  EXPECT_EQ(world_.Cancel(kPool, "00000000000000a2").kind_, JobResponseKind::Refused);
}

// A flood of requests about unknown jobs must not fill the connections to the store.
TEST_F(CancelTest, FloodOfUnknownJobsIsRefused)
{
  const size_t before = world_.StoreCalls();
  size_t denied = 0;
  size_t refused = 0;
  for (int request = 0; request < 200; ++request) {
    world_.SendCancel(kPool, kJob, [&](const JobResponse& aResponse) {
      denied += aResponse.kind_ == JobResponseKind::NoJob ? 1 : 0;
      refused += aResponse.kind_ == JobResponseKind::Refused ? 1 : 0;
    });
  }
  ASSERT_TRUE(world_.RunUntil([&] { return denied + refused == 200; }, seconds(1)));
  EXPECT_GT(denied, 0U);
  EXPECT_LT(world_.StoreCalls() - before, 50U);
  EXPECT_EQ(world_.Cancel(kPool, kJob).kind_, JobResponseKind::NoJob);
}

}
}
