#include "job_steps.h"
#include "job_world.h"

#include "sardinespoke/tenant_usage.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TenantPolicy
Tenant(const std::string& aName, Resources aCap)
{
  TenantPolicy tenant;
  tenant.name_ = aName;
  tenant.apiKeys_ = { "k-" + aName };
  tenant.cap_ = aCap;
  return tenant;
}

// Each resource must bind by itself, and a cap of 0 must not.
TEST(TenantUsage, HeadroomIsThatOfTheScarcestResource)
{
  FleetConfig config;
  config.tenants_ = { Tenant("a", { 5000, 3000, 0 }) };
  TenantUsage usage;
  usage.Apply(config);
  const TenantUsage::Id a = usage.IdOf("a");
  EXPECT_EQ(usage.Headroom(a, { 1000, 1000, 1 }), 3U);
  usage.Add(a, "p", { 4000, 0, 0 });
  EXPECT_EQ(usage.Headroom(a, { 1000, 1000, 1 }), 1U);
  EXPECT_EQ(usage.Headroom(a, { 1000, 0, 0 }, { 1000, 0, 0 }), 0U);
  usage.Remove(a, "p", { 4000, 0, 0 });
  EXPECT_EQ(usage.Headroom(a, { 9000, 0, 0 }), 1U) << "a task above the cap runs alone";
  usage.SetUnseen({ { a, { 1, 0, 0 } } });
  EXPECT_EQ(usage.Headroom(a, { 9000, 0, 0 }), 0U);
  EXPECT_GT(usage.Headroom(TenantUsage::kNoTenant, { 9000, 0, 0 }), 1000U);
}

// A tenant that is removed keeps its cap, as its accepted jobs go on; a new cap holds at once.
TEST(TenantUsage, AppliesTheNewestLimits)
{
  FleetConfig config;
  config.tenants_ = { Tenant("a", { 2000, 0, 0 }) };
  TenantUsage usage;
  usage.Apply(config);
  config.tenants_ = std::vector<TenantPolicy>();
  usage.Apply(config);
  const TenantUsage::Id a = usage.IdOf("a");
  EXPECT_EQ(usage.Headroom(a, { 1000, 0, 0 }), 2U);
  config.tenants_ = { Tenant("a", { 3000, 0, 0 }) };
  usage.Apply(config);
  EXPECT_EQ(usage.Headroom(a, { 1000, 0, 0 }), 3U);
  config.tenants_.reset();
  usage.Apply(config);
  EXPECT_GT(usage.Headroom(a, { 1000, 0, 0 }), 1000U);
}

/// Two pools of three hosts with 16 cores each; tenant a may run 10 tasks of one core.
class TenantCapTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 3, kHost);
    world_.AddPool("market", 3, kHost);
    Configure({ Tenant("a", { 10000, 0, 0 }), Tenant("b", {}) });
    ASSERT_EQ(world_.Leader(), 0U);
  }

  void Configure(std::vector<TenantPolicy> aTenants)
  {
    world_.Config().tenants_ = std::move(aTenants);
    world_.Configure();
    world_.Run(seconds(1));
  }

  void SubmitAs(const std::string& aTenant,
                const std::string& aPool,
                unsigned int aNumber,
                const StepSpec& aStep)
  {
    world_.UseKey("k-" + aTenant);
    tasks_[aNumber] = aStep.taskCount_;
    ASSERT_EQ(world_.Submit(aPool, JobId(aNumber), aStep).kind_, JobResponseKind::Accepted);
  }

  /// @returns Number of tasks of a job that run.
  size_t Running(unsigned int aNumber)
  {
    size_t runs = 0;
    for (uint32_t index = 0; index < tasks_[aNumber]; ++index) {
      runs += world_.Fleet().RunsOf(TaskId{ JobId(aNumber), 0, 0, index }.Text());
    }
    return runs;
  }

  JobWorld world_;
  std::map<unsigned int, uint32_t> tasks_;
};

// QUOTA: the starts of two pools brought a tenant above its cap; its waiting tasks must hold up
// nobody else.
TEST_F(TenantCapTest, CountsAllPoolsAndBlocksNobodyElse)
{
  SubmitAs("a", "births", 1, Tasks(8, seconds(4)));
  SubmitAs("a", "market", 2, Tasks(8, seconds(4)));
  SubmitAs("b", "births", 3, Tasks(20, seconds(4)));
  world_.Run(seconds(1));
  EXPECT_EQ(Running(1) + Running(2), 10U);
  EXPECT_EQ(Running(3), 20U);
  world_.UseKey("k-a");
  EXPECT_TRUE(world_.RunUntil(
    [this] {
      return world_.StateOf("births", JobId(1)) == JobState::Done &&
             world_.StateOf("market", JobId(2)) == JobState::Done;
    },
    seconds(20)));
}

// QUOTA: a cap below what runs stops nothing, and nothing starts until enough has ended.
TEST_F(TenantCapTest, ALoweredCapStopsNothing)
{
  SubmitAs("a", "births", 1, Tasks(10, seconds(4)));
  world_.Run(seconds(1));
  ASSERT_EQ(Running(1), 10U);
  Configure({ Tenant("a", { 2000, 0, 0 }), Tenant("b", {}) });
  SubmitAs("a", "market", 2, Tasks(4, seconds(4)));
  world_.Run(seconds(1));
  EXPECT_EQ(Running(1), 10U);
  EXPECT_EQ(Running(2), 0U);
  world_.Run(seconds(3));
  EXPECT_EQ(Running(1), 0U);
  EXPECT_EQ(Running(2), 2U);
}

// LOST: a task larger than the cap of its tenant must run at some time.
TEST_F(TenantCapTest, ATaskAboveTheCapRunsAlone)
{
  StepSpec large = Tasks(2, seconds(2));
  large.cpuMilli_ = 12000;
  SubmitAs("a", "births", 1, large);
  world_.Run(seconds(1));
  EXPECT_EQ(Running(1), 1U);
  world_.UseKey("k-a");
  EXPECT_TRUE(world_.RunUntil(
    [this] { return world_.StateOf("births", JobId(1)) == JobState::Done; }, seconds(20)));
}

// QUOTA: a new leader started tasks beside those that a silent backend server went on running.
TEST_F(TenantCapTest, ANewLeaderCountsWhatItHasNotSeen)
{
  SubmitAs("a", "births", 1, Tasks(10, seconds(30)));
  SubmitAs("a", "market", 2, Tasks(10, seconds(30)));
  world_.Run(seconds(1));
  ASSERT_EQ(Running(1), 10U);
  for (size_t index = 0; index < 3; ++index) {
    world_.FleetOf(1).unreachableHosts_.insert(world_.Fleet().HostOf("births", index));
  }
  world_.PauseHost(0);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.IsLeader(1); }, seconds(10)));
  const TimePoint end = world_.Clock().Now() + seconds(3);
  while (world_.Clock().Now() < end) {
    world_.Run(milliseconds(50));
    ASSERT_LE(Running(1) + Running(2), 10U);
  }
}

// QUOTA: a new leader stopped the runs of a cancelled job, and started others before their end.
TEST_F(TenantCapTest, ANewLeaderCountsTheRunsThatItStops)
{
  SubmitAs("a", "births", 1, Tasks(10, seconds(30)));
  world_.Run(seconds(1));
  ASSERT_EQ(Running(1), 10U);
  for (size_t index = 0; index < 3; ++index) {
    world_.Fleet().BehaviourOf("births", index).losesStops_ = true;
  }
  ASSERT_EQ(world_.Cancel("births", JobId(1)).kind_, JobResponseKind::Cancelled);
  world_.PauseHost(0);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.IsLeader(1); }, seconds(10)));
  SubmitAs("a", "market", 2, Tasks(10, seconds(30)));
  const TimePoint end = world_.Clock().Now() + seconds(3);
  while (world_.Clock().Now() < end) {
    world_.Run(milliseconds(50));
    ASSERT_LE(Running(1) + Running(2), 10U);
  }
  for (size_t index = 0; index < 3; ++index) {
    world_.Fleet().BehaviourOf("births", index).losesStops_ = false;
  }
  EXPECT_TRUE(world_.RunUntil([this] { return Running(2) == 10U; }, seconds(10)));
  EXPECT_EQ(Running(1), 0U);
}

// QUOTA: a start without an answer may run; its task must count until the outcome is known.
TEST_F(TenantCapTest, CountsStartsWithoutAnAnswer)
{
  for (size_t index = 0; index < 3; ++index) {
    world_.Fleet().BehaviourOf("births", index).delaysStarts_ = true;
  }
  SubmitAs("a", "births", 1, Tasks(10, seconds(8)));
  SubmitAs("a", "market", 2, Tasks(10, seconds(8)));
  const TimePoint end = world_.Clock().Now() + seconds(6);
  while (world_.Clock().Now() < end) {
    world_.Run(milliseconds(20));
    ASSERT_LE(Running(1) + Running(2), 10U);
  }
}

// A gang starts whole within the cap or waits, and must not hold room that others could use.
TEST_F(TenantCapTest, AGangWaitsForRoomWithinTheCap)
{
  SubmitAs("a", "births", 1, Tasks(6, seconds(3)));
  world_.Run(seconds(1));
  StepSpec gang = Tasks(6, seconds(1));
  gang.gang_ = true;
  SubmitAs("a", "births", 2, gang);
  SubmitAs("b", "births", 3, Tasks(42, seconds(1)));
  world_.Run(milliseconds(500));
  EXPECT_EQ(Running(2), 0U);
  EXPECT_EQ(Running(3), 42U);
  world_.UseKey("k-a");
  EXPECT_TRUE(world_.RunUntil(
    [this] { return world_.StateOf("births", JobId(2)) == JobState::Done; }, seconds(20)));
}

// A gang that waits for its tenant's cap must not move hosts to its pool: it could not use them.
TEST(TenantDemand, AGangThatWaitsForItsCapIsNoDemand)
{
  JobWorld world;
  world.AddPool("births", 1, kHost);
  world.AddPool("rest", 2, kHost, 3, true);
  world.Config().tenants_ = { Tenant("a", { 10000, 0, 0 }), Tenant("b", {}) };
  world.Configure();
  world.Run(seconds(1));
  StepSpec step = Tasks(10, seconds(60));
  step.continuous_ = true;
  world.UseKey("k-b");
  ASSERT_EQ(world.Submit("births", JobId(1), step).kind_, JobResponseKind::Accepted);
  world.UseKey("k-a");
  step.taskCount_ = 6;
  ASSERT_EQ(world.Submit("births", JobId(2), step).kind_, JobResponseKind::Accepted);
  world.Run(seconds(1));
  ASSERT_EQ(world.Starts(), 16U);
  const size_t before = world.Fleet().CountHostsOutside("rest");
  step.gang_ = true;
  ASSERT_EQ(world.Submit("births", JobId(3), step).kind_, JobResponseKind::Accepted);
  world.Run(seconds(8));
  EXPECT_EQ(world.Fleet().CountHostsOutside("rest"), before);
  world.UseKey("k-b");
  step.taskCount_ = 20;
  ASSERT_EQ(world.Submit("births", JobId(4), step).kind_, JobResponseKind::Accepted);
  world.Run(seconds(8));
  EXPECT_GT(world.Fleet().CountHostsOutside("rest"), before) << "a gang within its cap is demand";
}

/// As TenantCapTest, with a leader that refuses hopeless submissions.
class TenantRefusalTest : public TenantCapTest
{
protected:
  TenantRefusalTest() { world_.Settings().refusesHopeless_ = true; }

  /// Submits jobs of one task, each with 3.9 core-seconds.
  void SendJobs(const std::string& aTenant, unsigned int aCount)
  {
    world_.UseKey("k-" + aTenant);
    for (unsigned int job = 1; job <= aCount; ++job) {
      const StepSpec step = Tasks(1, milliseconds(3900));
      world_.SendSubmit("births", JobId(job), { step }, [](const JobResponse&) {});
    }
    world_.Run(milliseconds(300));
  }

  /// @returns The answer to a job that needs little more work than one of SendJobs().
  JobResponseKind SubmitShort(const std::string& aTenant)
  {
    world_.UseKey("k-" + aTenant);
    return world_.Submit("births", JobId(1000), Tasks(4, seconds(1))).kind_;
  }
};

// The jobs of a tenant at its cap made others' submissions hopeless, although most servers idled.
TEST_F(TenantRefusalTest, WorkThatWaitsForACapRefusesNobodyElse)
{
  SendJobs("a", 150);
  EXPECT_EQ(SubmitShort("b"), JobResponseKind::Accepted);
  world_.Run(seconds(2));
  EXPECT_EQ(world_.StateOf("births", JobId(1000)), JobState::Done);
}

// Hot tenant: its backlog had submissions of another tenant refused that was within its share.
TEST_F(TenantRefusalTest, AHotTenantHasNobodyElseRefused)
{
  SendJobs("b", 300);
  EXPECT_EQ(SubmitShort("b"), JobResponseKind::Refused);
  EXPECT_EQ(SubmitShort("a"), JobResponseKind::Accepted);
}

}
}
