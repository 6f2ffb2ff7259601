#include "memory_platform.h"
#include "platform_view.h"
#include "sardinespoke/manual_clock.h"
#include "store_code.h"

#include <gtest/gtest.h>

#include <thread>

namespace sardinespoke {
namespace {

using namespace std::chrono_literals;
using Code = StoreError::Code;

class MemoryPlatformTest : public ::testing::Test
{
protected:
  ManualClock clock_;
  MemoryPlatform platform_{ clock_, { false, 5s } };
};

// Guards against two writers whose compare-and-swap on the same version succeeds.
TEST_F(MemoryPlatformTest, PutRequiresTheExpectedVersion)
{
  const uint64_t version = platform_.Put("a", "1", 0, {}).value();
  EXPECT_EQ(CodeOf([&] { return platform_.Put("a", "2", 0, {}); }), Code::Conflict);
  EXPECT_TRUE(platform_.Put("a", "2", version, {}));
  EXPECT_EQ(CodeOf([&] { return platform_.Put("a", "3", version, {}); }), Code::Conflict);
  EXPECT_EQ(CodeOf([&] { return platform_.Delete("a", version); }), Code::Conflict);
  EXPECT_EQ(platform_.Get("a").value().value_, "2");
  EXPECT_EQ(CodeOf([&] { return platform_.Get("b"); }), Code::NotFound);
  const std::string large(MemoryPlatform::kMaxValueBytes + 1, 'x');
  EXPECT_EQ(CodeOf([&] { return platform_.Put("b", large, 0, {}); }), Code::TooLarge);
}

// Guards against a lost response that also discards the write, or more lost responses than set.
TEST_F(MemoryPlatformTest, WriteTakesEffectWhenItsResponseIsLost)
{
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.loseWriteResponses_ = 1; });
  EXPECT_EQ(CodeOf([&] { return platform_.Put("a", "1", 0, {}); }), Code::OutcomeUnknown);
  EXPECT_EQ(platform_.Get("a").value().value_, "1");
  EXPECT_TRUE(platform_.Put("b", "1", 0, {}));
}

// Guards against an unavailable store that accepts writes, and refused calls counted as served.
TEST_F(MemoryPlatformTest, UnavailableStoreRejectsWithoutEffect)
{
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.storeDown_ = true; });
  EXPECT_EQ(CodeOf([&] { return platform_.Put("a", "1", 0, {}); }), Code::Unreachable);
  EXPECT_TRUE(platform_.Fetch());
  platform_.SetFaults({});
  EXPECT_EQ(CodeOf([&] { return platform_.Get("a"); }), Code::NotFound);
  EXPECT_EQ(platform_.Calls().refused_, 1U);
  EXPECT_EQ(platform_.Calls().Served(), 2U);
}

// Guards against keys that outlive their lease and a watch that does not report their deletion.
TEST_F(MemoryPlatformTest, LeasedKeysAreDeletedAtExpiry)
{
  const std::string lease = platform_.GrantLease(4s).value();
  ASSERT_TRUE(platform_.Put("entry/a", "1", 0, lease));
  const uint64_t position = platform_.Range("entry/").value().sequence_;
  clock_.Advance(3s);
  ASSERT_TRUE(platform_.RenewLease(lease));
  clock_.Advance(3s);
  EXPECT_TRUE(platform_.Get("entry/a"));
  clock_.Advance(1s);
  const KeyValueChanges changes = platform_.Watch("entry/", position, 0ms).value();
  EXPECT_EQ(changes.deleted_, std::vector<std::string>{ "entry/a" });
  EXPECT_EQ(CodeOf([&] { return platform_.RenewLease(lease); }), Code::LeaseLapsed);
  EXPECT_EQ(CodeOf([&] { return platform_.Put("entry/a", "1", 0, lease); }), Code::LeaseLapsed);
}

// Guards against keys and leases that remain valid after the platform expired all leases early.
TEST_F(MemoryPlatformTest, AllLeasesCanExpireAtOnce)
{
  const std::string lease = platform_.GrantLease(4s).value();
  ASSERT_TRUE(platform_.Put("duty/planner", "1", 0, lease));
  platform_.ExpireAllLeases();
  EXPECT_EQ(CodeOf([&] { return platform_.Get("duty/planner"); }), Code::NotFound);
  EXPECT_EQ(CodeOf([&] { return platform_.RenewLease(lease); }), Code::LeaseLapsed);
}

// Guards against a restore that keeps newer values, versions or watch positions.
TEST_F(MemoryPlatformTest, RestartRestoresSnapshotAndResetsVersions)
{
  const uint64_t first = platform_.Put("a", "old", 0, {}).value();
  const PlatformSnapshot backup = platform_.TakeSnapshot();
  ASSERT_TRUE(platform_.Put("a", "new", first, {}));
  const uint64_t position = platform_.Range("").value().sequence_;
  platform_.RestartWith(backup);
  EXPECT_EQ(platform_.Get("a").value().value_, "old");
  EXPECT_EQ(platform_.Get("a").value().version_, 1U);
  EXPECT_EQ(CodeOf([&] { return platform_.Watch("", position, 0ms); }), Code::SequenceLost);
}

// Guards against a blocking watch that misses a change or counts as several calls.
TEST_F(MemoryPlatformTest, WaitingWatchIsOneCall)
{
  MemoryPlatform platform(clock_);
  std::thread writer([&] { EXPECT_TRUE(platform.Put("a", "1", 0, {})); });
  const KeyValueChanges changes = platform.Watch("a", 0, 60s).value();
  writer.join();
  ASSERT_EQ(changes.items_.size(), 1U);
  EXPECT_EQ(changes.items_[0].value_, "1");
  EXPECT_EQ(platform.Calls().watches_, 1U);
}

// Guards against a host list that shows a change before the lag has passed.
TEST_F(MemoryPlatformTest, HostListShowsChangesAfterTheLag)
{
  platform_.AddHost({ "h1", "127.0.0.1:1", "r1", "z1", "g1", false });
  clock_.Advance(10s);
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.hostListLag_ = 2s; });
  ASSERT_TRUE(platform_.MarkLeaving("h1"));
  clock_.Advance(1999ms);
  EXPECT_FALSE(platform_.Fetch().value().hosts_.at(0).leaving_);
  clock_.Advance(1ms);
  EXPECT_TRUE(platform_.Fetch().value().hosts_.at(0).leaving_);
  EXPECT_FALSE(platform_.MarkLeaving("h2"));
}

// Guards against a second reboot by a repeated call and against a stuck host that comes up.
TEST_F(MemoryPlatformTest, RebootsOnceAndCanGetStuck)
{
  platform_.AddHost({ "h1", "127.0.0.1:1", "r1", "z1", "g1", false });
  ASSERT_TRUE(platform_.Reboot("h1"));
  clock_.Advance(4s);
  ASSERT_TRUE(platform_.Reboot("h1"));
  EXPECT_EQ(platform_.Power("h1").value().state_, HostPower::State::Rebooting);
  clock_.Advance(1s);
  EXPECT_EQ(platform_.Power("h1").value().boot_, 2U);
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.stuckHosts_.insert("h1"); });
  ASSERT_TRUE(platform_.Reboot("h1"));
  clock_.Advance(24h);
  EXPECT_EQ(platform_.Power("h1").value().state_, HostPower::State::Rebooting);
  EXPECT_EQ(platform_.Power("h1").value().boot_, 2U);
}

// Guards against a cut-off that affects other clients or lets calls of the client through.
TEST_F(MemoryPlatformTest, OneClientCanBeCutOff)
{
  PlatformView first(platform_, "first");
  PlatformView second(platform_, "second");
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.cutOffClients_ = { "first" }; });
  EXPECT_EQ(CodeOf([&] { return first.Put("a", "1", 0, {}); }), Code::Unreachable);
  EXPECT_TRUE(second.Put("a", "2", 0, {}));
  EXPECT_EQ(CodeOf([&] { return first.Fetch(); }), Code::Unreachable);
  EXPECT_TRUE(second.Fetch());
}

}
}
