#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLong{ 20000 };

/// The parameter tells whether all responses name the incarnation, not only lists of runs.
class RestartTest : public testing::TestWithParam<bool>
{
protected:
  /// @param aHosts Backend servers of the pool, which has one task slot each.
  void Begin(size_t aHosts)
  {
    world_.AddPool("births", aHosts, Resources{ 1000, 1000, 0 });
    world_.Configure();
    world_.Run(seconds(30)); // The clocks of the servers are far ahead of a new one.
    for (size_t host = 0; host < aHosts; ++host) {
      Server(host).alwaysNamesIncarnation_ = GetParam();
    }
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

  void Restart(size_t aHost, bool aPublishes)
  {
    world_.Fleet().RestartInPlace("births", aHost, aPublishes);
  }

  void Submit(unsigned int aJob, milliseconds aDuration = kLong)
  {
    EXPECT_EQ(world_.Submit("births", JobId(aJob), Tasks(1, aDuration)).kind_,
              JobResponseKind::Accepted);
  }

  bool HasRun(unsigned int aJob) { return world_.Fleet().RunsOf(JobId(aJob) + ".0.0.0") > 0; }

  /// Submits a job whose only server executes starts late, and waits until the start got no answer.
  void SubmitToLateServer(unsigned int aJob, milliseconds aDelay)
  {
    Server(0).delaysStarts_ = true;
    Server(0).startDelay_ = aDelay;
    Submit(aJob);
    world_.Run(milliseconds(50));
    Server(0).delaysStarts_ = false;
    world_.Run(milliseconds(400));
  }

  JobWorld world_;
};

// A run that the new incarnation has acknowledged must not be started elsewhere.
TEST_P(RestartTest, RunOfTheNewIncarnationIsNotStartedTwice)
{
  Begin(2);
  Restart(0, false);
  Restart(1, false);
  Submit(1);
  world_.Run(seconds(2));
  EXPECT_TRUE(HasRun(1));
  EXPECT_EQ(world_.Fleet().Starts(), 1U);
}

// The same if the registry tells of the new incarnation before a poll does.
TEST_P(RestartTest, RegistryDoesNotEndRunsOfTheNewIncarnation)
{
  Begin(2);
  Restart(0, false);
  Server(0).losesPolls_ = true;
  Submit(1);
  world_.RunUntil([this] { return HasRun(1); }, seconds(1));
  world_.Run(milliseconds(50));
  world_.Fleet().PublishEntry("births", 0);
  world_.Run(seconds(1));
  Server(0).losesPolls_ = false;
  world_.Run(seconds(2));
  EXPECT_TRUE(HasRun(1));
  EXPECT_EQ(world_.Fleet().Starts(), 1U);
}

// The end of a run of the new incarnation must not be acknowledged before it is known.
TEST_P(RestartTest, EndOfAnUnknownIncarnationIsNotAcknowledgedUnseen)
{
  Begin(1);
  Submit(1, milliseconds(300));
  Submit(2, milliseconds(300));
  world_.Run(seconds(2));
  ASSERT_EQ(world_.StateOf("births", JobId(2)), JobState::Done);
  Restart(0, false);
  Submit(3, milliseconds(1));
  world_.Run(seconds(2));
  EXPECT_EQ(world_.StateOf("births", JobId(3)), JobState::Done);
  EXPECT_EQ(world_.Fleet().Starts(), 3U);
}

// A task must not wait for a deadline on the earlier clock. Fault: its step had an availability
// budget, so that its lost start was not stopped.
TEST_P(RestartTest, LostStartOfATaskWithABudgetIsRepeated)
{
  Begin(1);
  Server(0).delaysStarts_ = true;
  Server(0).startDelay_ = seconds(60);
  StepSpec step = Tasks(1);
  step.continuous_ = true;
  step.maxUnavailable_ = 1;
  EXPECT_EQ(world_.Submit("births", JobId(1), step).kind_, JobResponseKind::Accepted);
  world_.Run(milliseconds(50));
  Restart(0, true);
  Server(0).delaysStarts_ = false;
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(1); }, seconds(5)));
}

// The next incarnation may be smaller: it gets no work before its entry is known.
TEST_P(RestartTest, NextIncarnationGetsNoWorkBeforeItsEntry)
{
  Begin(1);
  Restart(0, false);
  Submit(1, milliseconds(1));
  world_.Run(seconds(2));
  ASSERT_EQ(world_.StateOf("births", JobId(1)), JobState::Done);
  const size_t starts = world_.Starts();
  Submit(2);
  world_.Run(seconds(1));
  EXPECT_EQ(world_.Starts(), starts);
  world_.Fleet().PublishEntry("births", 0);
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(2); }, seconds(3)));
}

// A start whose stop the earlier incarnation acknowledged must not run on the next one.
TEST_P(RestartTest, LateStartDoesNotRunOnTheNextIncarnation)
{
  Begin(1);
  SubmitToLateServer(1, seconds(5));
  world_.Cancel("births", JobId(1));
  world_.Run(milliseconds(500));
  Restart(0, true);
  EXPECT_FALSE(world_.RunUntil([this] { return HasRun(1); }, seconds(8)));
}

// The same if the job was cancelled while the start was in flight.
TEST_P(RestartTest, StartCancelledInFlightDoesNotRunOnTheNextIncarnation)
{
  Begin(1);
  Server(0).delaysStarts_ = true;
  Server(0).startDelay_ = seconds(5);
  Submit(1);
  world_.Run(milliseconds(50));
  Server(0).delaysStarts_ = false;
  world_.Cancel("births", JobId(1));
  world_.Run(seconds(1));
  Restart(0, true);
  EXPECT_FALSE(world_.RunUntil([this] { return HasRun(1); }, seconds(8)));
}

// A late start must not run beside the run that replaced it.
TEST_P(RestartTest, LateStartDoesNotRunBesideItsReplacement)
{
  Begin(2);
  Server(1).unresponsive_ = true;
  world_.Run(milliseconds(300));
  SubmitToLateServer(1, seconds(5));
  Server(1).unresponsive_ = false;
  Restart(0, true);
  world_.Run(seconds(9));
  EXPECT_TRUE(HasRun(1));
}

// The same if a copy of the start was carried out before the restart.
TEST_P(RestartTest, CopyOfALateStartDoesNotRunBesideItsReplacement)
{
  Begin(2);
  Server(1).unresponsive_ = true;
  world_.Run(milliseconds(300));
  SubmitToLateServer(1, seconds(3));
  world_.Run(milliseconds(200));
  EXPECT_TRUE(HasRun(1));
  Server(1).unresponsive_ = false;
  world_.Run(milliseconds(2200));
  Restart(0, true);
  world_.Run(seconds(6));
  EXPECT_TRUE(HasRun(1));
}

// The same if the registry does not learn of the restart.
TEST_P(RestartTest, LateStartOnAnUnlistedIncarnationIsStopped)
{
  Begin(1);
  SubmitToLateServer(1, seconds(6));
  world_.Cancel("births", JobId(1));
  world_.Run(milliseconds(500));
  Restart(0, false);
  world_.Run(milliseconds(4500));
  EXPECT_FALSE(world_.RunUntil([this] { return HasRun(1); }, seconds(4)));
}

// A late start that the unlisted incarnation carried out before it was seen must be stopped.
TEST_P(RestartTest, RunOfACancelledJobOnAnUnlistedIncarnationIsStopped)
{
  Begin(1);
  SubmitToLateServer(1, seconds(6));
  world_.Cancel("births", JobId(1));
  world_.Run(milliseconds(5450));
  Restart(0, false);
  world_.RunUntil([this] { return HasRun(1); }, seconds(1));
  EXPECT_TRUE(world_.RunUntil([this] { return !HasRun(1); }, milliseconds(1500)));
}

// Tasks of an earlier leader must wait for the answer of the next incarnation, too.
TEST_P(RestartTest, NewLeaderWaitsForTheNextIncarnation)
{
  Begin(2);
  Server(1).unresponsive_ = true;
  world_.Run(milliseconds(300));
  Restart(0, false);
  Submit(1);
  world_.RunUntil([this] { return HasRun(1); }, seconds(1));
  ASSERT_TRUE(HasRun(1));
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  world_.PauseHost(*leader);
  Server(0).unresponsive_ = true;
  world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(5));
  world_.Fleet().PublishEntry("births", 0);
  Server(1).unresponsive_ = false;
  world_.Run(seconds(1));
  Server(0).unresponsive_ = false;
  world_.Run(seconds(8));
  EXPECT_TRUE(HasRun(1));
}

// The same if host control has shown the server as gone in between.
TEST_P(RestartTest, LateStartDoesNotRunAfterItsHostWasDown)
{
  Begin(1);
  SubmitToLateServer(1, seconds(6));
  world_.Cancel("births", JobId(1));
  Server(0).unresponsive_ = true;
  world_.Fleet().SetHostState("births", 0, HostState::Down);
  world_.Run(seconds(2));
  world_.Fleet().SetHostState("births", 0, HostState::Up);
  Restart(0, true);
  Server(0).unresponsive_ = false;
  EXPECT_FALSE(world_.RunUntil([this] { return HasRun(1); }, seconds(8)));
}

// A run that may still begin on the next incarnation must be stopped there, not only dropped.
TEST_P(RestartTest, UnansweredStopIsRepeatedOnTheNextIncarnation)
{
  Begin(1);
  Server(0).losesStops_ = true;
  SubmitToLateServer(1, seconds(3));
  world_.Cancel("births", JobId(1));
  Restart(0, true);
  world_.Run(milliseconds(300));
  Server(0).losesStops_ = false;
  EXPECT_FALSE(world_.RunUntil([this] { return HasRun(1); }, seconds(6)));
}

// A task whose start may still come must wait until the next incarnation has blocked it.
TEST_P(RestartTest, TaskWaitsUntilItsLateStartIsBlocked)
{
  Begin(2);
  Server(1).unresponsive_ = true;
  world_.Run(milliseconds(300));
  Server(0).losesStops_ = true;
  SubmitToLateServer(1, milliseconds(1200));
  Server(1).unresponsive_ = false;
  Restart(0, true);
  world_.Run(milliseconds(900));
  Server(0).losesStops_ = false;
  world_.Run(seconds(4));
  EXPECT_TRUE(HasRun(1));
}

// A restart while a start is in flight must not lose the run that it begins.
TEST_P(RestartTest, CancelledRunOfTheNewIncarnationEnds)
{
  Begin(1);
  Restart(0, false);
  Submit(1);
  world_.RunUntil([this] { return HasRun(1); }, seconds(1));
  world_.Cancel("births", JobId(1));
  EXPECT_TRUE(world_.RunUntil([this] { return !HasRun(1); }, seconds(1)));
  EXPECT_EQ(world_.Fleet().Starts(), 1U);
}

// Runs of the earlier incarnation have ended with it and must start again at once.
TEST_P(RestartTest, ConfirmedRunsStartAgainAfterARestart)
{
  Begin(1);
  Submit(1);
  world_.Run(milliseconds(500));
  ASSERT_TRUE(HasRun(1));
  Restart(0, true);
  EXPECT_TRUE(world_.RunUntil([this] { return HasRun(1); }, seconds(1)));
  EXPECT_EQ(world_.Fleet().Starts(), 2U);
}

INSTANTIATE_TEST_SUITE_P(, RestartTest, testing::Bool());

}
}
