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

PoolState
MakePool(const std::string& aName, size_t aIdle, size_t aBusy)
{
  PoolState pool;
  pool.name_ = aName;
  for (size_t index = 0; index < aIdle + aBusy; ++index) {
    const bool idle = index < aIdle;
    pool.hosts_.push_back(
      PoolHost{ aName + std::to_string(index), kHostCpu, idle, milliseconds(idle ? 5000 : 0) });
    pool.capacityCpuMilli_ += kHostCpu;
    pool.usedCpuMilli_ += idle ? 0 : kHostCpu;
    ++pool.hostsInUse_;
  }
  return pool;
}

// Hosts must not stay idle in one pool while work is queued in another.
TEST(PoolSizing, IdleHostsMoveToThePoolWithWaitingWork)
{
  PoolState births = MakePool("births", 0, 4);
  births.arrivalCpuMilli_ = 6 * kHostCpu;
  births.waitingCoreMs_ = 4 * kHostCpu;
  std::vector<PoolState> pools{ births, MakePool("permits", 6, 0) };
  const auto moves = PoolSizing(MoveCosts()).Decide(pools);
  ASSERT_FALSE(moves.empty());
  for (const HostMove& move : moves) {
    EXPECT_EQ(move.from_, "permits");
    EXPECT_EQ(move.to_, "births");
  }
  EXPECT_LE(moves.size(), 4U) << "a pool keeps at least two hosts";
}

// No host must move for a backlog that is worked off before the host would accept tasks.
TEST(PoolSizing, ShortBacklogsMoveNoHost)
{
  PoolState births = MakePool("births", 0, 10);
  births.arrivalCpuMilli_ = 4 * kHostCpu;
  births.waitingCoreMs_ = kHostCpu;
  std::vector<PoolState> pools{ births, MakePool("permits", 2, 0) };
  EXPECT_TRUE(PoolSizing(MoveCosts()).Decide(pools).empty());
}

// Idle hosts must not stay on at a cost, but a pool keeps its minimum of hosts.
TEST(PoolSizing, IdleHostsAreSwitchedOffDownToMinHosts)
{
  PoolState spare;
  spare.name_ = "spare";
  spare.spare_ = true;
  PoolState births = MakePool("births", 6, 0);
  births.minHosts_ = 3;
  std::vector<PoolState> pools{ births, spare };
  EXPECT_EQ(PoolSizing(MoveCosts()).Decide(pools).size(), 3U);
}

// A short gap in the load must not switch hosts off and on again.
TEST(PoolSizing, RecentlyIdleHostsStay)
{
  PoolState spare;
  spare.name_ = "spare";
  spare.spare_ = true;
  PoolState births = MakePool("births", 6, 0);
  for (PoolHost& host : births.hosts_) {
    host.idleFor_ = milliseconds(500);
  }
  std::vector<PoolState> pools{ births, spare };
  EXPECT_TRUE(PoolSizing(MoveCosts()).Decide(pools).empty());
}

// A single large job must not be taken for a burst.
TEST(ArrivalRate, OneJobGivesNoRate)
{
  ManualClock clock;
  ArrivalRate rate;
  rate.Add("births", 50000, clock.Now());
  EXPECT_EQ(rate.CpuMilli("births", clock.Now()), 0);
  rate.Add("births", 50000, clock.Now());
  EXPECT_EQ(rate.CpuMilli("births", clock.Now()), 50000);
  clock.Advance(milliseconds(1500));
  EXPECT_EQ(rate.CpuMilli("births", clock.Now()), 0);
}

/// Two pools with alternating bursts of about three times the capacity of one pool.
class AlternatingBurstsTest : public testing::Test
{
protected:
  static constexpr unsigned int kJobsPerBurst = 60;

  void SetUp() override
  {
    world_.AddPool("births", 3, Resources{ kHostCpu, 65536, 0 });
    world_.AddPool("permits", 3, Resources{ kHostCpu, 65536, 0 });
    world_.AddPool("spare", 4, Resources{ kHostCpu, 65536, 0 }, 3, true);
    world_.Configure();
    world_.Run(seconds(3));
  }

  /// Submits 60 jobs of 6 core-seconds each, one each 50 ms for 3 s: 120 cores against 48.
  void SubmitBurst(const std::string& aPool, unsigned int aFirst)
  {
    StepSpec step;
    step.taskCount_ = 6;
    step.cpuMilli_ = 1000;
    step.memoryMb_ = 1000;
    step.estimate_ = milliseconds(1000);
    for (unsigned int job = 0; job < kJobsPerBurst; ++job) {
      std::string digits = std::to_string(aFirst + job);
      world_.Submit(aPool, std::string(16 - digits.size(), '0') + digits, step);
      world_.Run(milliseconds(40));
    }
  }

  JobWorld world_;
};

// A pool must grow while the load of its queue exceeds its capacity.
TEST_F(AlternatingBurstsTest, HostsMoveToTheBurstingPool)
{
  SubmitBurst("births", 1);
  const TimePoint end = world_.Clock().Now();
  EXPECT_TRUE(world_.RunUntil(
    [this] {
      for (unsigned int job = 1; job <= kJobsPerBurst; ++job) {
        std::string digits = std::to_string(job);
        if (world_.StateOf("births", std::string(16 - digits.size(), '0') + digits) !=
            JobState::Done) {
          return false;
        }
      }
      return true;
    },
    seconds(6)));
  // 360 core-seconds on three hosts alone would take 7.5 s, 4.5 s longer than the burst.
  EXPECT_LT(world_.Clock().Now() - end, seconds(3));
  EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
}

// Hosts must not move while tasks run on them, and must not get lost during a move.
TEST_F(AlternatingBurstsTest, NoTaskIsLostOverManyBursts)
{
  SubmitBurst("births", 1000);
  SubmitBurst("permits", 2000);
  SubmitBurst("births", 3000);
  SubmitBurst("permits", 4000);
  world_.Run(seconds(8));
  EXPECT_EQ(world_.Fleet().Starts(), 4 * kJobsPerBurst * 6);
  EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
}

// A continuous task must not wait forever if the hosts of its pool have free CPU but too little
// memory.
TEST(PoolSizing, UnplacedContinuousTaskGetsAHost)
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
  step.memoryMb_ = 40000; // One fits on a host.
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
