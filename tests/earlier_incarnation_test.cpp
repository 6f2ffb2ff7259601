#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLong{ 20000 };
constexpr Resources kRoom{ 1000, 1000, 0 };

/// Commands to a backend server that reach its next incarnation, which has the same id. The pool
/// has two backend servers; the second one is unresponsive until a test frees it.
class EarlierIncarnationTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 2, kRoom);
    world_.Configure();
    world_.Run(seconds(30)); // The clocks of the servers are far ahead of a new one.
    Server(1).unresponsive_ = true;
    world_.Run(milliseconds(300));
  }

  void TearDown() override
  {
    const FleetViolations& violations = world_.Fleet().Violations();
    EXPECT_FALSE(violations.Any()) << violations.first_;
  }

  SimulatedFleet::Behaviour& Server(size_t aHost)
  {
    return world_.Fleet().BehaviourOf("births", aHost);
  }

  void Submit()
  {
    EXPECT_EQ(world_.Submit("births", job_, Tasks(1, kLong)).kind_, JobResponseKind::Accepted);
  }

  bool HasRun() { return world_.Fleet().RunsOf(job_ + ".0.0.0") > 0; }

  /// Submits the job and lets its server go down with the start in flight.
  /// @param aArrival When the start is carried out, from now on.
  void GoDownDuringStart(milliseconds aArrival)
  {
    Server(0).delaysStarts_ = true;
    Server(0).startDelay_ = aArrival;
    Submit();
    world_.Run(milliseconds(50));
    Server(0).delaysStarts_ = false;
    Server(0).unresponsive_ = true;
    world_.Fleet().SetHostState("births", 0, HostState::Down);
    Server(1).unresponsive_ = false;
  }

  void ComeBack()
  {
    world_.Fleet().SetHostState("births", 0, HostState::Up);
    world_.Fleet().RestartInPlace("births", 0, true);
    Server(0).unresponsive_ = false;
  }

  const std::string job_ = JobId(1);
  JobWorld world_;
};

// TWICE: host control listed the host as down, the task started elsewhere, and its first start
// reached the next incarnation.
TEST_F(EarlierIncarnationTest, StartDoesNotRunBesideItsReplacement)
{
  GoDownDuringStart(milliseconds(2060));
  world_.Run(seconds(2));
  ComeBack();
  world_.Run(seconds(3));
  EXPECT_TRUE(HasRun());
}

// The same if the next incarnation has carried out the start before the leader reaches it.
TEST_F(EarlierIncarnationTest, StartThatTheNextOneHasCarriedOutGoesOn)
{
  GoDownDuringStart(milliseconds(2500));
  world_.Run(milliseconds(2300));
  Server(0).losesPolls_ = true;
  ComeBack();
  world_.Run(milliseconds(300));
  Server(0).losesPolls_ = false;
  world_.Run(seconds(3));
  EXPECT_TRUE(HasRun());
  EXPECT_EQ(world_.Starts(), 1U);
}

// A task must not wait for an incarnation that never comes: LOST counts from 9 s.
TEST_F(EarlierIncarnationTest, TaskDoesNotWaitForeverForTheNextOne)
{
  GoDownDuringStart(seconds(60));
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(); }, seconds(9)));
}

// The host has another backend server, so that the earlier id does not come back.
TEST_F(EarlierIncarnationTest, TaskDoesNotWaitIfItsServerIsReplaced)
{
  Server(0).delaysStarts_ = true;
  Server(0).startDelay_ = seconds(60);
  Submit();
  world_.Run(milliseconds(50));
  world_.Fleet().CrashForSeconds("births", 0);
  Server(1).unresponsive_ = false;
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(); }, milliseconds(4000)));
}

// TWICE: a lease of the earlier incarnation, whose clock was far ahead, held a run of the next one
// for longer than the leader waited.
TEST_F(EarlierIncarnationTest, LeaseDoesNotOutlastTheLeadersWait)
{
  world_.Fleet().SetCapacity("births", 1, Resources{ 1, 1, 0 });
  Server(1).unresponsive_ = false;
  Submit();
  world_.Run(milliseconds(500));
  ASSERT_TRUE(HasRun());
  Server(0).pollDelay_ = milliseconds(3000);
  Server(0).pollsToDelay_ = 1;
  ASSERT_TRUE(world_.RunUntil([this] { return Server(0).pollsToDelay_ == 0; }, seconds(3)));
  world_.Run(milliseconds(600));
  world_.Fleet().RestartInPlace("births", 0, true);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Fleet().LatePolls() > 0; }, seconds(4)));
  ASSERT_TRUE(HasRun());
  Server(0).unresponsive_ = true;
  world_.Fleet().SetCapacity("births", 1, kRoom);
  world_.Run(seconds(8));
  EXPECT_TRUE(HasRun());
}

}
}
