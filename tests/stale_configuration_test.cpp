#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The first entry host is the leader; the operator changes the configuration without its
/// knowledge.
class StaleConfigurationTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 3, kHost);
    world_.AddPool("market", 3, kHost);
    world_.Configure();
    world_.Run(seconds(1));
    ASSERT_EQ(world_.Leader(), 0U);
  }

  /// Lets the store refuse the leader, while no other entry host can take over.
  void IsolateLeader()
  {
    world_.PauseHost(1);
    world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::Refusing;
    world_.Run(seconds(1)); // Until its watch of the configuration has ended.
  }

  void AddQueue(const std::string& aName)
  {
    QueuePolicy queue = world_.Config().queues_.front();
    queue.name_ = aName;
    queue.prefix_ = "/" + aName + "/";
    world_.Config().queues_.push_back(queue);
    world_.Configure();
  }

  /// Asks the first entry host how many jobs of a queue are pending.
  JobResponseKind AskPending(const std::string& aQueue)
  {
    JobRequest request;
    request.host_ = "callers";
    request.path_ = "/" + aQueue + "/";
    return world_.CallAt(0, request).kind_;
  }

  JobWorld world_;
};

// CONFIG: a leader that the store refused denied a queue that the operator had added.
TEST_F(StaleConfigurationTest, ALeaderWithoutTheStoreDoesNotDenyANewQueue)
{
  IsolateLeader();
  AddQueue("added");
  world_.Run(seconds(3));
  ASSERT_TRUE(world_.IsLeader(0));
  EXPECT_EQ(AskPending("added"), JobResponseKind::Refused);
}

// CONFIG: one that also lost most backend servers answered for a queue that the operator had
// dropped.
TEST_F(StaleConfigurationTest, ALeaderWithoutTheStoreStopsAnsweringForADroppedQueue)
{
  IsolateLeader();
  for (size_t index = 0; index < 2; ++index) {
    world_.FleetOf(0).unreachableHosts_.insert(world_.Fleet().HostOf("births", index));
    world_.FleetOf(0).unreachableHosts_.insert(world_.Fleet().HostOf("market", index));
  }
  world_.Config().queues_.pop_back();
  world_.Configure();
  world_.Run(seconds(9));
  ASSERT_TRUE(world_.IsLeader(0));
  EXPECT_EQ(AskPending("market"), JobResponseKind::Refused);
}

// CONFIG: a configuration that came back older. A leader whose lease may be over must not apply a
// version that its successor, which has read the configuration earlier, may not have.
TEST_F(StaleConfigurationTest, ALeaderWithoutALeaseAppliesNoNewerConfiguration)
{
  world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::RenewalsLost;
  world_.Run(seconds(3));
  AddQueue("added");
  world_.Run(seconds(1));
  ASSERT_TRUE(world_.IsLeader(0));
  EXPECT_NE(AskPending("added"), JobResponseKind::Pending);
  world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::None;
  world_.Run(seconds(1));
  EXPECT_EQ(AskPending("added"), JobResponseKind::Pending);
}

// The answer that a queue is unknown must come back once the store answers again.
TEST_F(StaleConfigurationTest, UnknownQueuesAreDeniedAgainAfterAnOutage)
{
  EXPECT_EQ(AskPending("never"), JobResponseKind::NoQueue);
  IsolateLeader();
  world_.Run(seconds(10));
  EXPECT_EQ(AskPending("never"), JobResponseKind::Refused);
  world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::None;
  world_.ResumeHost(1);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(5)));
  world_.Run(seconds(1));
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  JobRequest request;
  request.host_ = "callers";
  request.path_ = "/never/";
  EXPECT_EQ(world_.CallAt(*leader, request).kind_, JobResponseKind::NoQueue);
}

}
}
