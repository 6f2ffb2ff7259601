#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Starts without a response when their leader resigns. The pool has two backend servers; the host
/// of the first one goes down with a start in flight, and the second one responds from then on.
class InheritedStartTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 2, Resources{ 1000, 1000, 0 });
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

  bool HasRun() { return world_.Fleet().RunsOf(job_ + ".0.0.0") > 0; }

  /// @param aArrival When the start is carried out, from now on.
  void GoDownDuringStart(milliseconds aArrival)
  {
    Server(0).delaysStarts_ = true;
    Server(0).startDelay_ = aArrival;
    EXPECT_EQ(world_.Submit("births", job_, Tasks(1, seconds(20))).kind_,
              JobResponseKind::Accepted);
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

  /// The same, but no poll reaches the next incarnation for 0.5 s.
  void ComeBackUnseen()
  {
    Server(0).losesPolls_ = true;
    ComeBack();
    world_.Run(milliseconds(500));
    Server(0).losesPolls_ = false;
  }

  void ChangeLeader()
  {
    const auto leader = world_.Leader();
    ASSERT_TRUE(leader.has_value());
    world_.Stop(*leader);
    ASSERT_FALSE(world_.Leader().has_value());
    ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(3)));
  }

  const std::string job_ = JobId(1);
  JobWorld world_;
};

// TWICE: the leader held the task and resigned; its successor started it elsewhere at once, and the
// next incarnation carried out the first start before the successor had reached it.
TEST_F(InheritedStartTest, HeldTaskDoesNotStartAtTheSuccessor)
{
  GoDownDuringStart(milliseconds(3000));
  world_.Run(milliseconds(1500));
  ChangeLeader();
  world_.Run(milliseconds(1300));
  ComeBackUnseen();
  world_.Run(seconds(4));
  EXPECT_TRUE(HasRun());
  EXPECT_EQ(world_.Starts(), 1U);
}

// The same if the leader resigned before it knew that the host was down.
TEST_F(InheritedStartTest, StartInFlightDoesNotRunBesideItsReplacement)
{
  GoDownDuringStart(milliseconds(3000));
  ChangeLeader();
  world_.Run(milliseconds(2800));
  ComeBackUnseen();
  world_.Run(seconds(4));
  EXPECT_TRUE(HasRun());
  EXPECT_EQ(world_.Starts(), 1U);
}

// A task must not wait for a start that the next incarnation refuses.
TEST_F(InheritedStartTest, TaskStartsOnceTheNextOneHasAnswered)
{
  GoDownDuringStart(milliseconds(3000));
  world_.Run(milliseconds(1500));
  ChangeLeader();
  ComeBack();
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(); }, seconds(1)));
  world_.Run(seconds(4));
  EXPECT_EQ(world_.Starts(), 1U);
}

// LOST counts from 9 s: successors must not each wait anew for an incarnation that never comes.
TEST_F(InheritedStartTest, WaitIsNotCountedAnewByEachLeader)
{
  GoDownDuringStart(seconds(60));
  for (int restart = 0; restart < 3; ++restart) {
    world_.Run(milliseconds(1500));
    ChangeLeader();
  }
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(); }, seconds(4)));
}

// The host has another backend server, so that the earlier id does not come back.
TEST_F(InheritedStartTest, TaskDoesNotWaitIfItsServerIsReplaced)
{
  GoDownDuringStart(seconds(60));
  world_.Run(milliseconds(1500));
  ChangeLeader();
  world_.Fleet().CrashForSeconds("births", 0);
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(); }, milliseconds(3500)));
}

// A job that is cancelled while its task is held must not start again.
TEST_F(InheritedStartTest, CancelledTaskStaysCancelled)
{
  GoDownDuringStart(milliseconds(3000));
  world_.Run(milliseconds(1500));
  world_.Cancel("births", job_);
  ChangeLeader();
  world_.Run(milliseconds(500));
  ComeBack();
  world_.Run(seconds(4));
  EXPECT_FALSE(HasRun());
}

}
}
