#include "job_steps.h"
#include "job_world.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kHosts = 5;

/// The first entry host is the leader; the store or backend servers are cut off from entry hosts.
class IsolatedLeaderTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", kHosts, kHost);
    world_.Configure();
    world_.Run(seconds(1));
    ASSERT_EQ(world_.Leader(), 0U);
  }

  void TearDown() override
  {
    EXPECT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
  }

  void Submit(unsigned int aJob, uint32_t aTasks, milliseconds aDuration)
  {
    const JobResponse response = world_.Submit("births", JobId(aJob), Tasks(aTasks, aDuration));
    ASSERT_EQ(response.kind_, JobResponseKind::Accepted);
  }

  void CutStore(size_t aEntry, bool aIsCut)
  {
    world_.StoreOf(aEntry).fault_ =
      aIsCut ? MemoryRecordStore::Fault::Unresponsive : MemoryRecordStore::Fault::None;
  }

  /// Cuts an entry host off from some hosts of the pool.
  void CutHosts(size_t aEntry, size_t aFirst, size_t aCount)
  {
    for (size_t index = aFirst; index < aFirst + aCount; ++index) {
      world_.FleetOf(aEntry).unreachableHosts_.insert(world_.Fleet().HostOf("births", index));
    }
  }

  /// Splits the deployment: the leader keeps the first hosts, the other entry host all else.
  void Split(size_t aHostsOfLeader)
  {
    CutStore(0, true);
    CutHosts(0, aHostsOfLeader, kHosts - aHostsOfLeader);
    CutHosts(1, 0, aHostsOfLeader);
  }

  void Heal()
  {
    CutStore(0, false);
    world_.FleetOf(0).unreachableHosts_.clear();
    world_.FleetOf(1).unreachableHosts_.clear();
  }

  void ExpectDone(unsigned int aJob)
  {
    EXPECT_TRUE(world_.RunUntil(
      [&] { return world_.StateOf("births", JobId(aJob)) == JobState::Done; }, seconds(30)))
      << aJob;
  }

  JobWorld world_;
};

// A leader that is cut off with some backend servers must not start what the others have ended, nor
// keep runs that its successor starts again. TWICE: on real machines two leaders ran tasks at once.
TEST_F(IsolatedLeaderTest, AMinorityDoesNotRunTasksTwice)
{
  for (size_t hosts = 1; hosts <= 2; ++hosts) {
    const auto job = static_cast<unsigned int>(hosts * 10);
    Submit(job, 60, milliseconds(1500));
    Submit(job + 1, 10, milliseconds(9000));
    world_.Run(milliseconds(500));
    const auto leader = world_.Leader();
    ASSERT_TRUE(leader.has_value());
    CutStore(*leader, true);
    CutHosts(*leader, hosts, kHosts - hosts);
    CutHosts(1 - *leader, 0, hosts);
    world_.Run(seconds(15));
    ASSERT_FALSE(world_.Fleet().Violations().Any()) << world_.Fleet().Violations().first_;
    CutStore(*leader, false);
    world_.FleetOf(0).unreachableHosts_.clear();
    world_.FleetOf(1).unreachableHosts_.clear();
    ExpectDone(job);
    ExpectDone(job + 1);
  }
}

// The same if the leader keeps most backend servers: then its successor has to wait.
TEST_F(IsolatedLeaderTest, AMajorityDoesNotRunTasksTwice)
{
  Submit(1, 60, milliseconds(1500));
  Submit(2, 10, milliseconds(9000));
  world_.Run(milliseconds(500));
  Split(3);
  world_.Run(seconds(15));
  Heal();
  ExpectDone(1);
  ExpectDone(2);
}

// The end of a run that another leader may have learned must not be guessed: its backend server is
// replaced while the leader is cut off.
TEST_F(IsolatedLeaderTest, RunsOfReplacedServersWaitForTheStore)
{
  Submit(1, 70, milliseconds(1200));
  world_.Run(milliseconds(700));
  Split(3);
  world_.Run(seconds(4));
  world_.Fleet().CrashForSeconds("births", 4);
  world_.Run(seconds(8));
  Heal();
  ExpectDone(1);
}

// Work must go on during an outage of the store for all: no other host can be the leader.
TEST_F(IsolatedLeaderTest, WorkGoesOnWhileTheStoreIsDownForAll)
{
  Submit(1, 1000, milliseconds(1000));
  world_.Run(milliseconds(500));
  CutStore(0, true);
  CutStore(1, true);
  const size_t before = world_.Starts();
  world_.Run(milliseconds(5500));
  // Tasks of 1 s on 16 cores a host, with the time between an end and the next start.
  EXPECT_GE(world_.Starts() - before, 4 * kHosts * 16);
  CutStore(0, false);
  CutStore(1, false);
  ExpectDone(1);
}

// The same with a backend server that does not respond, and without a second leader it must not
// be waited for longer than its lease once the store is back.
TEST_F(IsolatedLeaderTest, WorkGoesOnBesideASilentServer)
{
  Submit(1, 1000, milliseconds(1000));
  world_.Run(milliseconds(500));
  CutStore(0, true);
  CutStore(1, true);
  world_.Fleet().BehaviourOf("births", 2).unresponsive_ = true;
  const size_t before = world_.Starts();
  world_.Run(milliseconds(5500));
  EXPECT_GE(world_.Starts() - before, 4 * (kHosts - 1) * 16);
  CutStore(0, false);
  CutStore(1, false);
  ExpectDone(1);
}

// A leader without most of its backend servers must not hold their runs back for ever.
TEST_F(IsolatedLeaderTest, ASuccessorTakesOverWithoutMostServersInTheEnd)
{
  Submit(1, 40, milliseconds(4000));
  world_.Run(milliseconds(500));
  CutStore(0, true);
  CutHosts(1, 0, 3);
  world_.PauseHost(0);
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Starts() >= 60; }, seconds(40)));
  ExpectDone(1);
}

}
}
