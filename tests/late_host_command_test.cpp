#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 4;
constexpr char kPool[] = "births";

/// The leader gets no responses of host control, and is then cut off from all else; another entry
/// host takes over.
class LateHostCommandTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool(kPool, kHosts, kHost);
    world_.AddPool("spare", 2, kHost, 1, true);
    world_.Configure();
    world_.Run(seconds(3));
    ASSERT_EQ(world_.Leader(), 0U);
    world_.FleetOf(0).losesHostCommands_ = true;
    before_ = world_.FleetOf(0).hostCommands_;
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  void RequestRollout()
  {
    RolloutRequest request;
    request.number_ = 1;
    request.maxDown_ = 1;
    request.duration_ = seconds(30);
    for (size_t index = 0; index < kHosts; ++index) {
      request.hosts_.push_back(world_.Fleet().HostOf(kPool, index));
    }
    world_.RequestRollout(request);
  }

  bool HasSentHostCommand()
  {
    return world_.RunUntil([this] { return world_.FleetOf(0).hostCommands_ > before_; },
                           seconds(20));
  }

  void CutOffLeader()
  {
    world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::Unresponsive;
    world_.FleetOf(0).disconnected_ = true;
    ASSERT_TRUE(world_.RunUntil([this] { return world_.IsLeader(1); }, seconds(20)));
  }

  /// The leader does not learn for some time that its lease is renewed.
  void LoseLeaseForAWhile()
  {
    world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::RenewalsLost;
    world_.Run(seconds(12));
    world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::None;
    world_.FleetOf(0).losesHostCommands_ = false;
    ASSERT_EQ(world_.Leader(), 0U);
  }

  JobWorld world_;
  size_t before_ = 0;
};

// LIMIT: an earlier leader repeated a maintenance command long after its lease, and took a host
// down beside that of its successor.
TEST_F(LateHostCommandTest, MaintenanceIsNotRepeatedAfterTheLease)
{
  RequestRollout();
  ASSERT_TRUE(HasSentHostCommand());
  CutOffLeader();
  // Its successor takes these hosts last.
  const JobResponse accepted = world_.SubmitAt(1, kPool, JobId(1), { Tasks(24, seconds(60)) });
  ASSERT_EQ(accepted.kind_, JobResponseKind::Accepted);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.FleetOf(1).hostCommands_ > 0; }, seconds(10)));
  const size_t sent = world_.FleetOf(0).hostCommands_;
  world_.FleetOf(0).losesHostCommands_ = false;
  world_.Run(seconds(4));
  EXPECT_EQ(world_.FleetOf(0).hostCommands_, sent);
}

// A maintenance command without a response must be sent again once the lease is certain again.
TEST_F(LateHostCommandTest, MaintenanceGoesOnWithTheLease)
{
  RequestRollout();
  ASSERT_TRUE(HasSentHostCommand());
  LoseLeaseForAWhile();
  EXPECT_TRUE(
    world_.RunUntil([this] { return world_.Fleet().Maintained() == kHosts; }, seconds(40)));
}

// A move that an earlier leader repeated long after its lease could end a backend server that its
// successor has filled.
TEST_F(LateHostCommandTest, MovesAreNotRepeatedAfterTheLease)
{
  for (unsigned int job = 1; job <= 3; ++job) {
    world_.Submit(kPool, JobId(job), Tasks(100, seconds(20)));
  }
  ASSERT_TRUE(HasSentHostCommand());
  CutOffLeader();
  world_.Run(seconds(2));
  const size_t sent = world_.FleetOf(0).hostCommands_;
  world_.FleetOf(0).losesHostCommands_ = false;
  world_.Run(seconds(4));
  EXPECT_EQ(world_.FleetOf(0).hostCommands_, sent);
}

// A move without a response must be sent again once the lease is certain again.
TEST_F(LateHostCommandTest, MovesGoOnWithTheLease)
{
  for (unsigned int job = 1; job <= 3; ++job) {
    world_.Submit(kPool, JobId(job), Tasks(100, seconds(20)));
  }
  ASSERT_TRUE(HasSentHostCommand());
  const size_t outside = world_.Fleet().CountHostsOutside(kPool);
  LoseLeaseForAWhile();
  EXPECT_TRUE(world_.RunUntil([&] { return world_.Fleet().CountHostsOutside(kPool) < outside; },
                              seconds(20)));
}

}
}
