#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPool[] = "births";
constexpr milliseconds kLong{ 60000 };
// Time in which work that may start has started.
constexpr seconds kSettled{ 2 };
// Four tasks of Tasks().
constexpr Resources kWhole{ 4000, 4000, 0 };
constexpr Resources kHalfCpu{ 2000, 4000, 0 };

/// Backend servers whose capacity changes while they run; a start beyond the present one is a
/// violation.
class CapacityChangeTest : public testing::Test
{
protected:
  void Begin(size_t aHosts)
  {
    world_.AddPool(kPool, aHosts, kWhole);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void TearDown() override
  {
    const FleetViolations& violations = world_.Fleet().Violations();
    EXPECT_FALSE(violations.Any()) << violations.first_;
  }

  /// Changes the capacity of a server and waits until the leader has read it.
  void SetCapacity(size_t aServer, Resources aCapacity)
  {
    world_.Fleet().SetCapacity(kPool, aServer, aCapacity);
    world_.Run(seconds(1));
  }

  void Submit(unsigned int aJob, const StepSpec& aStep)
  {
    EXPECT_EQ(world_.Submit(kPool, JobId(aJob), aStep).kind_, JobResponseKind::Accepted);
  }

  size_t RunsOn(size_t aServer) { return world_.Fleet().RunsOn(kPool, aServer); }

  bool Reaches(size_t aServer, size_t aRuns, milliseconds aLimit = seconds(1))
  {
    return world_.RunUntil([&] { return RunsOn(aServer) == aRuns; }, aLimit);
  }

  bool IsDone(unsigned int aJob, milliseconds aLimit)
  {
    return world_.RunUntil([&] { return world_.StateOf(kPool, JobId(aJob)) == JobState::Done; },
                           aLimit);
  }

  void ChangeLeader()
  {
    const auto leader = world_.Leader();
    ASSERT_TRUE(leader.has_value());
    world_.PauseHost(*leader);
    ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(5)));
  }

  JobWorld world_;
};

StepSpec
Gang(uint32_t aCount)
{
  StepSpec step = Tasks(aCount, kLong);
  step.gang_ = true;
  return step;
}

// Tasks must not start beyond a room that has shrunk, and use all of it once it has grown again.
TEST_F(CapacityChangeTest, TasksFollowTheRoom)
{
  Begin(1);
  SetCapacity(0, kHalfCpu);
  Submit(1, Tasks(6, kLong));
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 2U);
  SetCapacity(0, Resources{ 4000, 3000, 0 });
  EXPECT_EQ(RunsOn(0), 3U);
  SetCapacity(0, kWhole);
  EXPECT_EQ(RunsOn(0), 4U);
}

// The memory of best-effort tasks must fit into the shrunk room; their processor time need not.
TEST_F(CapacityChangeTest, BestEffortTasksFollowTheMemoryOnly)
{
  Begin(1);
  SetCapacity(0, Resources{ 0, 2000, 0 });
  StepSpec step = Tasks(4, kLong);
  step.bestEffort_ = true;
  Submit(1, step);
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 2U);
  SetCapacity(0, kWhole);
  EXPECT_EQ(RunsOn(0), 4U);
}

// A group must not start while a member would be beyond the room, and start once it fits.
TEST_F(CapacityChangeTest, GroupsFollowTheRoom)
{
  Begin(2);
  SetCapacity(0, Resources{ 1000, 4000, 0 });
  Submit(1, Gang(6));
  world_.Run(kSettled);
  EXPECT_EQ(world_.Starts(), 0U);
  SetCapacity(0, kHalfCpu);
  EXPECT_EQ(world_.Starts(), 6U);
}

// A room without memory, processors or accelerators must take no task that needs them.
TEST_F(CapacityChangeTest, RoomWithoutOneResourceTakesNoTask)
{
  Begin(3);
  SetCapacity(0, Resources{ 0, 4000, 1 });
  SetCapacity(1, Resources{ 4000, 0, 1 });
  SetCapacity(2, Resources{ 4000, 4000, 0 });
  StepSpec step = Tasks(1, kLong);
  step.accelerators_ = 1;
  Submit(1, step);
  world_.Run(kSettled);
  EXPECT_EQ(world_.Starts(), 0U);
  SetCapacity(2, Resources{ 4000, 4000, 1 });
  EXPECT_EQ(RunsOn(2), 1U);
}

// What runs beyond a shrunk room must neither be stopped nor joined by a start.
TEST_F(CapacityChangeTest, ShrinkingBelowWhatRunsStopsAndStartsNothing)
{
  Begin(1);
  Submit(1, Tasks(4, seconds(6)));
  ASSERT_TRUE(Reaches(0, 4));
  SetCapacity(0, kHalfCpu);
  Submit(2, Tasks(4, milliseconds(300)));
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 4U);
  EXPECT_EQ(world_.Starts(), 4U);
  EXPECT_TRUE(IsDone(2, seconds(8))) << "after the others have ended, two at a time";
}

// What is being stopped must count against the shrunk room until its end is listed.
TEST_F(CapacityChangeTest, StoppedTasksCountUntilTheirEnd)
{
  Begin(1);
  Submit(1, Tasks(4, kLong));
  ASSERT_TRUE(Reaches(0, 4));
  SetCapacity(0, kHalfCpu);
  Submit(2, Tasks(2, kLong));
  world_.Fleet().BehaviourOf(kPool, 0).losesStops_ = true;
  world_.Cancel(kPool, JobId(1));
  world_.Run(kSettled);
  EXPECT_EQ(world_.Starts(), 4U);
  world_.Fleet().BehaviourOf(kPool, 0).losesStops_ = false;
  EXPECT_TRUE(Reaches(0, 2, seconds(3)));
  world_.Run(kSettled);
  EXPECT_EQ(world_.Starts(), 6U);
}

// The amount beyond a shrunk room must not count as room of another server.
TEST_F(CapacityChangeTest, GroupsGetNoRoomFromAServerBelowZero)
{
  Begin(2);
  Submit(1, Tasks(4, kLong));
  ASSERT_TRUE(world_.RunUntil([this] { return RunsOn(0) + RunsOn(1) == 4; }, seconds(1)));
  const size_t full = RunsOn(0) == 4 ? 0 : 1;
  ASSERT_EQ(RunsOn(full), 4U);
  SetCapacity(full, Resources{ 0, 0, 0 });
  Submit(2, Gang(5));
  world_.Run(kSettled);
  EXPECT_EQ(world_.Starts(), 4U);
  Submit(3, Gang(4));
  EXPECT_TRUE(Reaches(1 - full, 4));
}

// A group was spread over racks though one had room for it: the amount beyond a shrunk room was
// taken off the free processors of the other servers there.
TEST_F(CapacityChangeTest, ServerBelowZeroDoesNotSpreadAGroup)
{
  Begin(8); // Four on each rack.
  StepSpec first = Tasks(4, kLong);
  first.dataRack_ = "rack-0";
  Submit(1, first);
  StepSpec second = Tasks(6, kLong);
  second.dataRack_ = "rack-1";
  Submit(2, second);
  world_.Run(kSettled);
  size_t full = 0;
  while (full < 4 && RunsOn(full) != 4) {
    ++full;
  }
  ASSERT_LT(full, 4U);
  SetCapacity(full, Resources{ 0, 0, 0 });
  Submit(3, Gang(12)); // What is free on rack 0.
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0) + RunsOn(1) + RunsOn(2) + RunsOn(3), 16U);
}

// A start without an answer may still come: it must count against the shrunk room.
TEST_F(CapacityChangeTest, StartsWithoutAnAnswerCount)
{
  Begin(1);
  SimulatedFleet::Behaviour& server = world_.Fleet().BehaviourOf(kPool, 0);
  server.delaysStarts_ = true;
  server.startDelay_ = milliseconds(1400);
  server.losesStops_ = true;
  Submit(1, Tasks(2, kLong));
  world_.Run(milliseconds(50));
  server.delaysStarts_ = false;
  world_.Fleet().SetCapacity(kPool, 0, kHalfCpu);
  Submit(2, Tasks(2, milliseconds(300)));
  world_.Run(seconds(4));
  EXPECT_EQ(RunsOn(0), 2U);
  world_.Fleet().BehaviourOf(kPool, 0).losesStops_ = false;
  SetCapacity(0, kWhole);
  EXPECT_TRUE(IsDone(2, seconds(4)));
}

// The next leader must not use the larger room that the store's record of the server names.
TEST_F(CapacityChangeTest, NextLeaderDoesNotUseTheRecordedRoom)
{
  Begin(1);
  Submit(1, Tasks(1, kLong));
  ASSERT_TRUE(Reaches(0, 1)); // The record is written before the first run.
  SetCapacity(0, kHalfCpu);
  ChangeLeader();
  Submit(2, Tasks(4, kLong));
  world_.Run(seconds(8)); // Beyond any lease.
  EXPECT_EQ(RunsOn(0), 2U);
  SetCapacity(0, kWhole);
  EXPECT_EQ(RunsOn(0), 4U);
}

// The same if the room shrinks while there is no leader, with the runs that a leader adopts.
TEST_F(CapacityChangeTest, RoomShrunkWithoutALeaderIsNotExceeded)
{
  Begin(1);
  Submit(1, Tasks(3, kLong));
  ASSERT_TRUE(Reaches(0, 3));
  const auto leader = world_.Leader();
  ASSERT_TRUE(leader.has_value());
  world_.PauseHost(*leader);
  world_.Fleet().SetCapacity(kPool, 0, kHalfCpu);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Leader().has_value(); }, seconds(5)));
  Submit(2, Tasks(2, kLong));
  world_.Run(seconds(8));
  EXPECT_EQ(RunsOn(0), 3U);
  SetCapacity(0, kWhole);
  EXPECT_EQ(RunsOn(0), 4U);
}

// Room that grew beside a run of unknown size counted as free, though that run may hold it.
TEST_F(CapacityChangeTest, GrownRoomMayBeHeldByARunOfUnknownSize)
{
  Begin(1);
  StepSpec large = Tasks(1, kLong);
  large.cpuMilli_ = 4000;
  Submit(1, large);
  ASSERT_TRUE(Reaches(0, 1));
  world_.Fleet().BehaviourOf(kPool, 0).losesStops_ = true;
  world_.Fleet().SetCapacity(kPool, 0, Resources{ 1000, 1000, 0 });
  world_.Store().Remove("sardinespoke/job/" + JobId(1));
  ChangeLeader();
  world_.Run(kSettled);
  SetCapacity(0, kWhole);
  Submit(2, Tasks(1, kLong));
  world_.Run(kSettled);
  EXPECT_EQ(world_.Starts(), 1U);
  world_.Fleet().BehaviourOf(kPool, 0).losesStops_ = false;
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Starts() == 2; }, seconds(3)));
}

// A server that restarts under its id with less room must not be filled as before.
TEST_F(CapacityChangeTest, SmallerNextIncarnationIsNotOverfilled)
{
  Begin(1);
  Submit(1, Tasks(4, kLong));
  ASSERT_TRUE(Reaches(0, 4));
  world_.Fleet().SetCapacity(kPool, 0, kHalfCpu, false);
  world_.Fleet().RestartInPlace(kPool, 0, true);
  world_.Run(seconds(4));
  EXPECT_EQ(RunsOn(0), 2U);
}

// The same if a late answer of the earlier incarnation arrives once the registry lists the next.
TEST_F(CapacityChangeTest, LateAnswerDoesNotBringTheEarlierRoomBack)
{
  Begin(1);
  SimulatedFleet::Behaviour& server = world_.Fleet().BehaviourOf(kPool, 0);
  server.waitedPollDelay_ = milliseconds(500);
  Submit(1, Tasks(1, kLong));
  ASSERT_TRUE(Reaches(0, 1));
  world_.Run(milliseconds(2750)); // The poll has waited and its answer is on its way.
  world_.Fleet().SetCapacity(kPool, 0, Resources{ 1000, 1000, 0 }, false);
  world_.Fleet().BehaviourOf(kPool, 0).losesPolls_ = true;
  world_.Fleet().RestartInPlace(kPool, 0, true);
  world_.Run(milliseconds(200)); // The leader reads the entry.
  Submit(2, Tasks(3, kLong));
  world_.Run(milliseconds(800));
  world_.Fleet().BehaviourOf(kPool, 0).losesPolls_ = false;
  EXPECT_TRUE(Reaches(0, 1, seconds(4)));
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 1U);
}

// The same if its entry comes late, and the one of the earlier incarnation is written once more.
TEST_F(CapacityChangeTest, EarlierEntryDoesNotBringItsRoomBack)
{
  Begin(1);
  const std::string key = "registry/backend-1";
  const std::string earlier = world_.Store().Records().at(key).value_;
  Submit(1, Tasks(4, kLong));
  ASSERT_TRUE(Reaches(0, 4));
  world_.Fleet().SetCapacity(kPool, 0, kHalfCpu, false);
  world_.Fleet().RestartInPlace(kPool, 0, false);
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 0U) << "it may be smaller than the earlier entry says";
  world_.Fleet().PublishEntry(kPool, 0);
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 2U);
  world_.Store().Put(key, earlier);
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 2U);
  SetCapacity(0, kWhole);
  EXPECT_EQ(RunsOn(0), 4U);
}

// An entry that names no start must not change the room of a server that has named its own.
TEST_F(CapacityChangeTest, EntryWithoutAStartDoesNotChangeTheRoom)
{
  Begin(1);
  SetCapacity(0, kHalfCpu);
  BackendEntry entry;
  const std::string key = "registry/backend-1";
  ASSERT_TRUE(PlainFleetFormat().ReadBackend(world_.Store().Records().at(key), entry));
  entry.capacity_ = kWhole;
  entry.startTimeMs_ = 0;
  world_.Store().Put(key, PlainFleetFormat::EncodeEntry(entry));
  Submit(1, Tasks(4, kLong));
  world_.Run(kSettled);
  EXPECT_LE(RunsOn(0), 2U);
  SetCapacity(0, kWhole);
  EXPECT_EQ(RunsOn(0), 4U);
}

// A shrunk room must be read again if the store has dropped the change that shows it.
TEST_F(CapacityChangeTest, HistoryLossDoesNotHideAShrunkRoom)
{
  Begin(1);
  world_.Store().DropHistory();
  SetCapacity(0, kHalfCpu);
  Submit(1, Tasks(4, kLong));
  world_.Run(kSettled);
  EXPECT_EQ(RunsOn(0), 2U);
}

// A pool whose servers have shrunk must get hosts for a task that fits nowhere. Fault: pool sizes
// counted the room of the hosts, so that the pool seemed to have enough.
TEST_F(CapacityChangeTest, PoolOfShrunkServersGetsAHost)
{
  Begin(2);
  world_.AddPool("spare", 2, kWhole, 1, true);
  world_.Configure();
  for (size_t server = 0; server < 2; ++server) {
    SetCapacity(server, Resources{ 500, 4000, 0 });
  }
  StepSpec step = Tasks(1);
  step.cpuMilli_ = 3000;
  Submit(1, step);
  EXPECT_TRUE(IsDone(1, seconds(15)));
}

}
}
