#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maintenance of hosts whose backend servers run on but are gone from the registry, because they
/// do not reach the store.
class UnlistedServerTest : public testing::Test
{
protected:
  void Begin(size_t aHosts)
  {
    hosts_ = aHosts;
    world_.AddPool("births", aHosts, kHost);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void RemoveEntries()
  {
    for (size_t index = 0; index < hosts_; ++index) {
      world_.Fleet().RemoveEntry("births", index);
    }
    world_.Run(milliseconds(300));
  }

  /// Requests the maintenance of all hosts, one at a time.
  void RequestRollout()
  {
    RolloutRequest request;
    request.number_ = 1;
    request.maxDown_ = 1;
    request.duration_ = seconds(60);
    for (size_t index = 0; index < hosts_; ++index) {
      request.hosts_.push_back(world_.Fleet().HostOf("births", index));
    }
    world_.RequestRollout(request);
  }

  size_t Running()
  {
    size_t running = 0;
    for (size_t index = 0; index < hosts_; ++index) {
      running += world_.Fleet().RunsOn("births", index);
    }
    return running;
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  JobWorld world_;
  size_t hosts_ = 0;
};

// Fault: a host whose backend server was not registered counted as empty, and its maintenance ended
// the work there.
TEST_F(UnlistedServerTest, MaintenanceWaitsForItsTasks)
{
  Begin(1);
  ASSERT_EQ(world_.Submit("births", JobId(1), Tasks(2, seconds(3))).kind_,
            JobResponseKind::Accepted);
  ASSERT_TRUE(world_.RunUntil([&] { return Running() == 2; }, seconds(2)));
  RemoveEntries();
  RequestRollout();
  world_.Run(seconds(8));
  EXPECT_EQ(world_.StateOf("births", JobId(1)), JobState::Done);
  EXPECT_EQ(world_.Fleet().Maintained(), 1U);
  EXPECT_EQ(world_.Starts(), 2U);
}

// AVAIL: the budget of a step that lasts holds for unregistered backend servers as well.
TEST_F(UnlistedServerTest, MaintenanceKeepsTheBudgetOfTasksThatLast)
{
  Begin(4);
  StepSpec step = Tasks(4);
  step.cpuMilli_ = 10000;
  step.continuous_ = true;
  step.maxUnavailable_ = 1;
  ASSERT_EQ(world_.Submit("births", JobId(1), step).kind_, JobResponseKind::Accepted);
  ASSERT_TRUE(world_.RunUntil([&] { return Running() == 4; }, seconds(3)));
  world_.Run(seconds(1));
  RemoveEntries();
  RequestRollout();
  size_t fewest = Running();
  world_.RunUntil(
    [&] {
      fewest = std::min(fewest, Running());
      return false;
    },
    seconds(6));
  EXPECT_GE(fewest, 3U);
}

}
}
