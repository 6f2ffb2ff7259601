#include "sardinespoke/arrival_rate.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/pool_sizing.h"

#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kHostCpu = 16000;

SizedPool
Pool(const std::string& aName, size_t aIdle, size_t aBusy)
{
  SizedPool pool;
  pool.name_ = aName;
  for (size_t index = 0; index < aIdle + aBusy; ++index) {
    const bool idle = index < aIdle;
    pool.hosts_.push_back(
      SizedHost{ aName + std::to_string(index), kHostCpu, idle, milliseconds(idle ? 5000 : 0) });
    pool.capacityCpu_ += kHostCpu;
    pool.usedCpu_ += idle ? 0 : kHostCpu;
    ++pool.hostsInUse_;
  }
  return pool;
}

// Guards against hosts that stay idle in one pool while work waits in another.
TEST(PoolSizing, IdleHostsGoWhereWorkWaits)
{
  SizedPool births = Pool("births", 0, 4);
  births.arrivalCpu_ = 6 * kHostCpu;
  births.waitingWork_ = 4 * kHostCpu;
  std::vector<SizedPool> pools{ births, Pool("permits", 6, 0) };
  const auto moves = PoolSizing(MoveCosts()).Decide(pools);
  ASSERT_FALSE(moves.empty());
  for (const HostMove& move : moves) {
    EXPECT_EQ(move.from_, "permits");
    EXPECT_EQ(move.to_, "births");
  }
  EXPECT_LE(moves.size(), 4U) << "a pool keeps two hosts";
}

// Guards against moves for a backlog that is gone before a host arrives.
TEST(PoolSizing, ShortBacklogsMoveNothing)
{
  SizedPool births = Pool("births", 0, 10);
  births.arrivalCpu_ = 4 * kHostCpu;
  births.waitingWork_ = kHostCpu;
  std::vector<SizedPool> pools{ births, Pool("permits", 2, 0) };
  EXPECT_TRUE(PoolSizing(MoveCosts()).Decide(pools).empty());
}

// Guards against idle hosts that are paid for, and against a pool without a host.
TEST(PoolSizing, IdleHostsAreSwitchedOffDownToTheSmallestPool)
{
  SizedPool spare;
  spare.name_ = "spare";
  spare.spare_ = true;
  SizedPool births = Pool("births", 6, 0);
  births.minHosts_ = 3;
  std::vector<SizedPool> pools{ births, spare };
  EXPECT_EQ(PoolSizing(MoveCosts()).Decide(pools).size(), 3U);
}

// Guards against a host that is switched off and back on by a short pause.
TEST(PoolSizing, HostsThatJustBecameIdleStay)
{
  SizedPool spare;
  spare.name_ = "spare";
  spare.spare_ = true;
  SizedPool births = Pool("births", 6, 0);
  for (SizedHost& host : births.hosts_) {
    host.idleFor_ = milliseconds(500);
  }
  std::vector<SizedPool> pools{ births, spare };
  EXPECT_TRUE(PoolSizing(MoveCosts()).Decide(pools).empty());
}

// Guards against a single large job that looks like a burst.
TEST(ArrivalRate, OneJobIsNoRate)
{
  ManualClock clock;
  ArrivalRate rate;
  rate.Add("births", 50000, clock.Now());
  EXPECT_EQ(rate.Cpu("births", clock.Now()), 0);
  rate.Add("births", 50000, clock.Now());
  EXPECT_EQ(rate.Cpu("births", clock.Now()), 50000);
  clock.Advance(milliseconds(1500));
  EXPECT_EQ(rate.Cpu("births", clock.Now()), 0);
}

/// Two pools that are in turn asked for about three times what one holds.
class TurnsOfTwoQueues : public testing::Test
{
protected:
  static constexpr unsigned int kJobsPerTurn = 60;

  void SetUp() override
  {
    world_.AddPool("births", 3, Resources{ kHostCpu, 65536, 0 });
    world_.AddPool("permits", 3, Resources{ kHostCpu, 65536, 0 });
    world_.AddPool("spare", 4, Resources{ kHostCpu, 65536, 0 }, 3, true);
    world_.Configure();
    world_.Run(seconds(3));
  }

  /// Hands in a job of 6 core-seconds each 50 ms for 3 s: 120 cores against 48.
  void Turn(const std::string& aPool, unsigned int aFirst)
  {
    StepSpec step;
    step.taskCount_ = 6;
    step.cpuMilli_ = 1000;
    step.memoryMb_ = 1000;
    step.estimate_ = milliseconds(1000);
    for (unsigned int job = 0; job < kJobsPerTurn; ++job) {
      std::string digits = std::to_string(aFirst + job);
      world_.Submit(aPool, std::string(16 - digits.size(), '0') + digits, step);
      world_.Run(milliseconds(40));
    }
  }

  JobWorld world_;
};

// Guards against pools that keep their size while their queue asks for more than they hold.
TEST_F(TurnsOfTwoQueues, HostsFollowTheTurn)
{
  Turn("births", 1);
  const TimePoint end = world_.Clock().Now();
  EXPECT_TRUE(world_.RunUntil(
    [this] {
      for (unsigned int job = 1; job <= kJobsPerTurn; ++job) {
        std::string digits = std::to_string(job);
        if (world_.StateOf("births", std::string(16 - digits.size(), '0') + digits) !=
            JobState::Done) {
          return false;
        }
      }
      return true;
    },
    seconds(6)));
  // 360 core-seconds on three hosts alone would last 7.5 s, 4.5 s beyond the turn.
  EXPECT_LT(world_.Clock().Now() - end, seconds(3));
  EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
}

// Guards against hosts that move while something runs on them, or that are lost on their way.
TEST_F(TurnsOfTwoQueues, NothingIsLostOverManyTurns)
{
  Turn("births", 1000);
  Turn("permits", 2000);
  Turn("births", 3000);
  Turn("permits", 4000);
  world_.Run(seconds(8));
  EXPECT_EQ(world_.Fleet().Starts(), 4 * kJobsPerTurn * 6);
  EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
}

// Guards against a lasting task that waits for ever because the hosts of its pool have processors
// left, but no memory.
TEST(PoolSizing, ALastingTaskWithoutAPlaceGetsAHost)
{
  constexpr Resources kHost{ 16000, 65536, 0 };
  JobWorld world;
  world.AddPool("births", 2, kHost);
  world.AddPool("spare", 4, kHost, 1, true);
  world.Configure();
  world.Run(seconds(1));
  StepSpec step;
  step.taskCount_ = 4;
  step.cpuMilli_ = 1000;
  step.memoryMb_ = 40000; // One on a host.
  step.continuous_ = true;
  const std::string job = "00000000000000aa";
  world.Submit("births", job, step);
  const auto atWork = [&] {
    size_t runs = 0;
    for (const char* index : { "0", "1", "2", "3" }) {
      runs += world.Fleet().RunsOf(job + ".0.0." + index);
    }
    return runs == 4;
  };
  ASSERT_TRUE(world.RunUntil(atWork, seconds(15)));
  world.Run(seconds(5));
  world.Fleet().RemoveHost("births", 0);
  EXPECT_FALSE(atWork());
  EXPECT_TRUE(world.RunUntil(atWork, seconds(15)));
  EXPECT_FALSE(world.Fleet().Violations().Any()) << world.Fleet().Violations().first_;
}

}
}
