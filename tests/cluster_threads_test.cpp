#include "platform_view.h"
#include "sardinespoke/config_sync.h"
#include "sardinespoke/event_log_ring.h"
#include "sardinespoke/nng_peer_link.h"
#include "sardinespoke/steady_clock.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

/// A daemon's config sync with its threads and a peer link over TCP.
struct ThreadedNode
{
  ThreadedNode(MemoryPlatform& aPlatform, const ClockI& aClock, const std::string& aId)
    : platform_(aPlatform, aId)
    , events_(aId)
  {
    // Finds a free port: the settings need the address before the link is started.
    NngPeerLink probe(PeerLinkSettings{ .listen_ = "127.0.0.1:0" });
    EXPECT_TRUE(probe.Init());
    settings_.id_ = aId;
    settings_.process_ = "p1";
    settings_.peer_ = probe.Address();
    probe.Shutdown();
    link_ = std::make_unique<NngPeerLink>(PeerLinkSettings{ .listen_ = settings_.peer_ });
    sync_ = std::make_unique<ConfigSync>(settings_, platform_, platform_, *link_, aClock, events_);
    EXPECT_TRUE(link_->Init());
    sync_->Init();
  }

  ~ThreadedNode()
  {
    sync_->Shutdown();
    link_->Shutdown();
  }

  PlatformView platform_;
  std::unique_ptr<NngPeerLink> link_;
  EventLogRing events_;
  ConfigSyncSettings settings_;
  std::unique_ptr<ConfigSync> sync_;
};

class ClusterThreadsTest : public ::testing::Test
{
protected:
  ClusterThreadsTest()
    : platform_(clock_)
  {
    PutProfiles(1);
    for (const char* id : { "e1", "e2", "e3", "e4" }) {
      nodes_.push_back(std::make_unique<ThreadedNode>(platform_, clock_, id));
    }
  }

  void PutProfiles(uint64_t aRevision)
  {
    ProfileSet set;
    set.revision_ = aRevision;
    EXPECT_TRUE(
      platform_.Put("sardinespoke/config/profiles", set.Serialize(), version_, std::nullopt));
    version_ = leaf::try_handle_all(
      [&]() -> leaf::result<uint64_t> {
        BOOST_LEAF_AUTO(item, platform_.Get("sardinespoke/config/profiles"));
        return item.version_;
      },
      []() { return uint64_t{ 0 }; });
  }

  static bool WaitFor(milliseconds aLimit, const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
  }

  bool All(const std::function<bool(const ConfigSync&)>& aCondition) const
  {
    return std::all_of(
      nodes_.begin(), nodes_.end(), [&](const auto& aNode) { return aCondition(*aNode->sync_); });
  }

  bool AllMayDispatch() const
  {
    return All([](const ConfigSync& aSync) { return aSync.MayDispatch(); });
  }

  SteadyClock clock_;
  MemoryPlatform platform_;
  uint64_t version_ = 0;
  std::vector<std::unique_ptr<ThreadedNode>> nodes_;
};

// Guards against threads that block each other, and against a profile change that is not in force
// on every entry host within 2 s.
TEST_F(ClusterThreadsTest, ChangeIsInForceEverywhere)
{
  ASSERT_TRUE(WaitFor(milliseconds(10000), [&]() { return AllMayDispatch(); }));
  const auto start = std::chrono::steady_clock::now();
  PutProfiles(2);
  EXPECT_TRUE(WaitFor(milliseconds(2000), [&]() {
    return All([](const ConfigSync& aSync) { return aSync.Current()->profiles_->revision_ == 2; });
  }));
  RecordProperty("in_force_us",
                 std::to_string((std::chrono::steady_clock::now() - start).count() / 1000));
  nodes_.pop_back();
  EXPECT_TRUE(WaitFor(milliseconds(5000), [&]() {
    return All(
      [](const ConfigSync& aSync) { return !aSync.Current()->fleet_->members_.contains("e4"); });
  }));
}

// Guards against views that expire because every call to the store is slow.
TEST_F(ClusterThreadsTest, SlowStoreDoesNotStopDispatching)
{
  ASSERT_TRUE(WaitFor(milliseconds(10000), [&]() { return AllMayDispatch(); }));
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.callDelay_ = milliseconds(600); });
  EXPECT_FALSE(WaitFor(milliseconds(6000), [&]() { return !AllMayDispatch(); }));
  platform_.SetFaults({});
}

}
}
