#include "bearer_token_p.h"
#include "job_steps.h"
#include "job_world.h"

#include "sardinespoke/job_record.h"
#include "sardinespoke/tenant_keys.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TenantPolicy
Tenant(const std::string& aName, std::vector<std::string> aKeys)
{
  TenantPolicy tenant;
  tenant.name_ = aName;
  tenant.apiKeys_ = std::move(aKeys);
  return tenant;
}

// The scheme must not become part of the key, nor another scheme's credentials pass as one.
TEST(BearerToken, IsTheTextAfterTheScheme)
{
  EXPECT_EQ(BearerToken("Bearer k-1"), "k-1");
  EXPECT_EQ(BearerToken("bearer  k-1 "), "k-1");
  EXPECT_EQ(BearerToken("Basic k-1"), "");
  EXPECT_EQ(BearerToken("Bearer"), "");
  EXPECT_EQ(BearerToken("Bearer   "), "");
  EXPECT_EQ(BearerToken(""), "");
}

// A key of two tenants must not change its owner with the order in which keys are looked up.
TEST(TenantKeys, GiveASharedKeyToTheFirstTenant)
{
  FleetConfig config;
  config.tenants_ = { Tenant("a", { "shared", "k-a" }), Tenant("b", { "shared", "k-b" }) };
  TenantKeys keys;
  keys.Apply(config);
  ASSERT_NE(keys.TenantOf("shared"), nullptr);
  EXPECT_EQ(*keys.TenantOf("shared"), "a");
  EXPECT_EQ(*keys.TenantOf("k-b"), "b");
  EXPECT_EQ(keys.TenantOf(""), nullptr);
  config.tenants_.reset();
  keys.Apply(config);
  EXPECT_FALSE(keys.AreRequired());
  EXPECT_EQ(keys.TenantOf("k-a"), nullptr);
}

class TenantTest : public testing::Test
{
protected:
  void SetUp() override
  {
    world_.AddPool("births", 3, kHost);
    world_.AddPool("market", 3, kHost);
    world_.Config().queues_.back().isPublic_ = true;
    Configure({ Tenant("a", { "k-a" }), Tenant("b", { "k-b" }) });
    ASSERT_EQ(world_.Leader(), 0U);
  }

  void Configure(std::vector<TenantPolicy> aTenants)
  {
    world_.Config().tenants_ = std::move(aTenants);
    world_.Configure();
    world_.Run(seconds(1));
  }

  JobResponseKind SubmitAs(const std::string& aKey,
                           unsigned int aNumber,
                           const std::string& aPool = "births")
  {
    world_.UseKey(aKey);
    return world_.Submit(aPool, JobId(aNumber), Tasks(1, seconds(20))).kind_;
  }

  JobResponseKind StateAs(const std::string& aKey,
                          unsigned int aNumber,
                          const std::string& aPool = "births")
  {
    JobRequest request;
    request.host_ = "callers";
    request.path_ = "/" + aPool + "/" + JobId(aNumber);
    request.apiKey_ = aKey;
    return world_.Call(request).kind_;
  }

  JobWorld world_;
};

// ROUTE: requests ran whose key no configuration had.
TEST_F(TenantTest, ACallWithoutAKnownKeyIsRefused)
{
  EXPECT_EQ(SubmitAs("k-x", 1), JobResponseKind::UnknownKey);
  EXPECT_EQ(SubmitAs("", 2), JobResponseKind::UnknownKey);
  EXPECT_EQ(StateAs("", 3), JobResponseKind::UnknownKey);
  world_.Run(seconds(1));
  EXPECT_EQ(world_.Starts(), 0U);
  EXPECT_EQ(SubmitAs("k-a", 4), JobResponseKind::Accepted);
}

// A caller without a key must reach public queues, and get 404 and not 401 for unknown ones.
TEST_F(TenantTest, PublicAndUnknownQueuesNeedNoKey)
{
  EXPECT_EQ(SubmitAs("", 1, "market"), JobResponseKind::Accepted);
  EXPECT_EQ(SubmitAs("k-x", 2, "market"), JobResponseKind::Accepted);
  EXPECT_EQ(SubmitAs("", 3, "nothing"), JobResponseKind::NoQueue);
}

// A tenant must neither read nor cancel the jobs of another.
TEST_F(TenantTest, AJobIsOfItsTenantOnly)
{
  ASSERT_EQ(SubmitAs("k-a", 1), JobResponseKind::Accepted);
  EXPECT_EQ(StateAs("k-a", 1), JobResponseKind::State);
  EXPECT_EQ(StateAs("k-b", 1), JobResponseKind::OtherTenant);
  EXPECT_EQ(SubmitAs("k-b", 1), JobResponseKind::OtherTenant);
  world_.UseKey("k-b");
  EXPECT_EQ(world_.Cancel("births", JobId(1)).kind_, JobResponseKind::OtherTenant);
  world_.UseKey("k-a");
  EXPECT_EQ(world_.Cancel("births", JobId(1)).kind_, JobResponseKind::Cancelled);
}

// The path of a public queue must not open the jobs of other queues to callers without their key.
TEST_F(TenantTest, APublicQueueOpensOnlyItsOwnJobs)
{
  ASSERT_EQ(SubmitAs("k-a", 1), JobResponseKind::Accepted);
  ASSERT_EQ(SubmitAs("k-a", 2, "market"), JobResponseKind::Accepted);
  EXPECT_EQ(StateAs("", 1, "market"), JobResponseKind::UnknownKey);
  EXPECT_EQ(StateAs("k-b", 1, "market"), JobResponseKind::OtherTenant);
  EXPECT_EQ(StateAs("k-a", 1, "market"), JobResponseKind::State);
  EXPECT_EQ(SubmitAs("", 1, "market"), JobResponseKind::UnknownKey);
  world_.UseKey("");
  EXPECT_EQ(world_.Cancel("market", JobId(1)).kind_, JobResponseKind::UnknownKey);
  EXPECT_EQ(StateAs("", 2, "market"), JobResponseKind::State);
  EXPECT_EQ(StateAs("", 2), JobResponseKind::UnknownKey);
}

// CONFIG: a key that was taken away went on working, and one that was added did not.
TEST_F(TenantTest, FollowsTheKeysOfTheNewestVersion)
{
  ASSERT_EQ(SubmitAs("k-a", 1), JobResponseKind::Accepted);
  Configure({ Tenant("a", { "k-a2" }), Tenant("b", {}) });
  EXPECT_EQ(SubmitAs("k-a", 2), JobResponseKind::UnknownKey);
  EXPECT_EQ(SubmitAs("k-b", 3), JobResponseKind::UnknownKey);
  EXPECT_EQ(StateAs("k-a2", 1), JobResponseKind::State);
}

// LOST: a job must not stop because its tenant is removed, nor be kept from one with a new key.
TEST_F(TenantTest, AJobOfARemovedTenantGoesOn)
{
  ASSERT_EQ(SubmitAs("k-a", 1), JobResponseKind::Accepted);
  Configure({ Tenant("b", { "k-b" }) });
  EXPECT_EQ(StateAs("k-a", 1), JobResponseKind::UnknownKey);
  world_.Run(seconds(22));
  Configure({ Tenant("a", { "k-a" }) });
  EXPECT_EQ(world_.StateOf("births", JobId(1)), JobState::Done);
}

// A next leader must know whom a job belongs to.
TEST_F(TenantTest, TheNextLeaderKnowsTheTenant)
{
  ASSERT_EQ(SubmitAs("k-a", 1), JobResponseKind::Accepted);
  world_.PauseHost(0);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.IsLeader(1); }, seconds(10)));
  EXPECT_EQ(StateAs("k-b", 1), JobResponseKind::OtherTenant);
  EXPECT_EQ(StateAs("k-a", 1), JobResponseKind::State);
}

// CONFIG: a leader that the store refuses denied a key that the operator had added.
TEST_F(TenantTest, ALeaderWithoutTheStoreDoesNotDenyANewKey)
{
  world_.PauseHost(1);
  world_.StoreOf(0).fault_ = MemoryRecordStore::Fault::Refusing;
  world_.Run(seconds(1));
  world_.Config().tenants_->push_back(Tenant("c", { "k-c" }));
  world_.Configure();
  world_.Run(seconds(3));
  ASSERT_TRUE(world_.IsLeader(0));
  JobRequest request;
  request.host_ = "callers";
  request.path_ = "/births/";
  request.apiKey_ = "k-c";
  EXPECT_EQ(world_.CallAt(0, request).kind_, JobResponseKind::Refused);
}

// Upgrade: a record of an earlier release has no tenant, and that of a later one must be readable.
TEST(TenantRecord, IsOptional)
{
  Job job;
  job.spec_.id_ = JobId(1);
  job.spec_.tenant_ = "a";
  const std::string text = EncodeJob(job);
  JobSpec spec;
  QueuePolicy policy;
  int64_t accepted = 0;
  ASSERT_TRUE(DecodeJob(text, spec, policy, accepted));
  EXPECT_EQ(spec.tenant_, "a");
  std::string earlier = text;
  const std::string field = R"(,"tenant":"a")";
  ASSERT_NE(earlier.find(field), std::string::npos);
  earlier.erase(earlier.find(field), field.size());
  spec = JobSpec();
  ASSERT_TRUE(DecodeJob(earlier, spec, policy, accepted));
  EXPECT_EQ(spec.tenant_, "");
}

}
}
