#include "job_steps.h"
#include "job_world.h"

#include "sardinespoke/submission_rates.h"
#include "sardinespoke/tenant_shares.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ seconds(100) };

TenantPolicy
Tenant(const std::string& aName, double aWeight)
{
  TenantPolicy tenant;
  tenant.name_ = aName;
  tenant.apiKeys_ = { "k-" + aName };
  tenant.weight_ = aWeight;
  return tenant;
}

// A tenant must get its weight's part of the scarcest resource, whatever its tasks look like.
TEST(TenantShares, ComparesTheDominantResource)
{
  FleetConfig config;
  config.tenants_ = { Tenant("a", 1.0), Tenant("b", 3.0) };
  TenantUsage usage;
  usage.Apply(config);
  const TenantUsage::Id a = usage.IdOf("a");
  const TenantUsage::Id b = usage.IdOf("b");
  const Resources capacity{ 100, 1000, 0 };
  const std::string pool = "p";
  const TenantShares shares(usage, pool, capacity, { { a, 1 }, { b, 1 } });
  usage.Add(a, "p", { 10, 240, 0 });
  usage.Add(b, "p", { 74, 10, 0 });
  EXPECT_FALSE(shares.IsBeyondShare(a));
  EXPECT_FALSE(shares.IsBeyondShare(b));
  usage.Add(a, "p", { 0, 20, 0 });
  usage.Add(b, "p", { 2, 0, 0 });
  EXPECT_TRUE(shares.IsBeyondShare(a));
  EXPECT_TRUE(shares.IsBeyondShare(b));
  EXPECT_DOUBLE_EQ(shares.ShareOf(a), 0.25);
  EXPECT_FALSE(shares.IsBeyondShare(TenantUsage::kNoTenant));
}

// Tenants without work in a pool must not lower the shares of the others.
TEST(TenantShares, AreAmongTheTenantsThatWaitOrRun)
{
  FleetConfig config;
  config.tenants_ = { Tenant("a", 1.0), Tenant("b", 1.0), Tenant("c", 8.0) };
  TenantUsage usage;
  usage.Apply(config);
  const TenantUsage::Id a = usage.IdOf("a");
  usage.Add(usage.IdOf("c"), "other", { 50, 0, 0 });
  const std::string pool = "p";
  const TenantShares alone(usage, pool, { 100, 100, 0 }, { { a, 1 } });
  EXPECT_DOUBLE_EQ(alone.ShareOf(a), 1.0);
  usage.Add(usage.IdOf("b"), "p", { 50, 0, 0 });
  const TenantShares beside(usage, pool, { 100, 100, 0 }, { { a, 1 } });
  EXPECT_DOUBLE_EQ(beside.ShareOf(a), 0.5);
}

// A tenant may send its weight each second, after a pause no more than that of one second at once.
TEST(SubmissionRates, AllowTheWeightASecond)
{
  SubmissionRates rates;
  int within = 0;
  for (int job = 0; job < 50; ++job) {
    within += rates.Take(1, 10.0, kNow) ? 1 : 0;
  }
  EXPECT_EQ(within, 10);
  EXPECT_FALSE(rates.Take(1, 10.0, kNow + milliseconds(50)));
  EXPECT_TRUE(rates.Take(1, 10.0, kNow + milliseconds(150)));
  EXPECT_TRUE(rates.Take(2, 10.0, kNow)) << "another tenant has a rate of its own";
  EXPECT_TRUE(rates.Take(3, 0.001, kNow));
  EXPECT_FALSE(rates.Take(3, 0.001, kNow + seconds(1)));
  EXPECT_TRUE(rates.Take(TenantUsage::kNoTenant, 0.0, kNow));
}

/// One pool with 48 cores; a hot tenant has filled its queue before another one sends.
class HotTenantTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 3, kHost);
    world_.Config().queues_.front().stretch_ = 20.0;
    world_.Config().tenants_ = { Tenant("hot", 100.0), Tenant("calm", 100.0) };
    world_.Configure();
    world_.Run(seconds(1));
    ASSERT_EQ(world_.Leader(), 0U);
  }

  void SubmitAs(const std::string& aTenant, unsigned int aFrom, unsigned int aCount)
  {
    world_.UseKey("k-" + aTenant);
    for (unsigned int job = aFrom; job < aFrom + aCount; ++job) {
      world_.SendSubmit("births", JobId(job), { Tasks(4, seconds(1)) }, [](const JobResponse&) {});
    }
    world_.Run(milliseconds(100));
  }

  size_t Started(unsigned int aFrom, unsigned int aCount)
  {
    size_t started = 0;
    for (unsigned int job = aFrom; job < aFrom + aCount; ++job) {
      for (uint32_t index = 0; index < 4; ++index) {
        started += world_.Fleet().StartsOf(TaskId{ JobId(job), 0, 0, index }.Text());
      }
    }
    return started;
  }

  JobWorld world_;
};

// Hot tenant: 80 jobs that came first held up the jobs of another tenant until they were done.
TEST_F(HotTenantTest, AnotherTenantGetsItsShare)
{
  SubmitAs("hot", 1, 80);
  SubmitAs("calm", 101, 6);
  world_.Run(milliseconds(1300));
  EXPECT_EQ(Started(101, 6), 24U);
}

// Capacity that nobody else needs must not lie idle because a tenant is beyond its share.
TEST_F(HotTenantTest, ATenantAloneUsesThePool)
{
  SubmitAs("hot", 1, 80);
  world_.Run(milliseconds(100));
  EXPECT_EQ(Started(1, 80), 48U);
}

}
}
