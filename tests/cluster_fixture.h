#pragma once

#include "fake_peer_network.h"
#include "platform_view.h"
#include "sardinespoke/config_sync.h"
#include "sardinespoke/event_log_ring.h"
#include "sardinespoke/manual_clock.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace sardinespoke {

using std::chrono::milliseconds;

/// One daemon's config sync, connected to the in-memory platform and the other daemons.
struct ClusterNode
{
  ClusterNode(MemoryPlatform& aPlatform,
              FakePeerNetwork& aNetwork,
              const ClockI& aClock,
              const ConfigSyncSettings& aSettings)
    : settings_(aSettings)
    , platform_(aPlatform, aSettings.id_)
    , link_(aNetwork.Connect(aSettings.peer_))
    , events_(aSettings.id_, []() { return uint64_t{ 1 }; })
    , sync_(aSettings, platform_, platform_, *link_, aClock, events_)
  {
  }

  uint64_t FleetRevision() const
  {
    auto view = sync_.Current();
    return view->fleet_ ? view->fleet_->revision_ : 0;
  }

  uint64_t ProfilesRevision() const
  {
    auto view = sync_.Current();
    return view->profiles_ ? view->profiles_->revision_ : 0;
  }

  bool Leaving(const std::string& aHost) const
  {
    auto view = sync_.Current();
    return view->leaving_ && view->leaving_->contains(aHost);
  }

  /// @returns Number of recorded events of the given type.
  size_t Count(const std::string& aType) const
  {
    const std::vector<Event> events = events_.After(0);
    return std::count_if(
      events.begin(), events.end(), [&](const Event& aEvent) { return aEvent.type_ == aType; });
  }

  ConfigSyncSettings settings_;
  PlatformView platform_;
  std::unique_ptr<PeerLinkI> link_;
  EventLogRing events_;
  ConfigSync sync_;
  bool paused_ = false;
};

/// Several daemons on one in-memory platform, stepped in one thread with a manual clock.
class ClusterTest : public ::testing::Test
{
protected:
  static constexpr milliseconds kStep{ 100 };
  static constexpr const char* kFleet = "sardinespoke/config/fleet";
  static constexpr const char* kProfiles = "sardinespoke/config/profiles";

  ClusterTest()
    : platform_(clock_, MemoryPlatformOptions{ .blockingWatches_ = false })
  {
    PutProfiles(1);
  }

  static std::string Address(const std::string& aId) { return "peer:" + aId; }

  ConfigSyncSettings Settings(const std::string& aId)
  {
    ConfigSyncSettings settings;
    settings.id_ = aId;
    settings.process_ = "p" + std::to_string(++processes_);
    settings.peer_ = Address(aId);
    settings.watchWait_ = milliseconds(0);
    return settings;
  }

  ClusterNode& Add(const ConfigSyncSettings& aSettings)
  {
    nodes_.erase(aSettings.id_);
    auto node = std::make_unique<ClusterNode>(platform_, network_, clock_, aSettings);
    return *nodes_.emplace(aSettings.id_, std::move(node)).first->second;
  }

  /// Adds daemons and waits until all of them may dispatch.
  void Start(const std::vector<std::string>& aIds)
  {
    for (const std::string& id : aIds) {
      Add(Settings(id));
    }
    ASSERT_TRUE(RunUntil(milliseconds(10000), [&]() { return AllMayDispatch(); }));
    Run(milliseconds(1000));
  }

  ClusterNode& Node(const std::string& aId) { return *nodes_.at(aId); }

  /// Advances the clock and steps every daemon that is not paused.
  void Run(milliseconds aTime)
  {
    RunUntil(aTime, []() { return false; });
  }

  /// @returns Whether the condition became true within the time; calls observe_ after each step.
  bool RunUntil(milliseconds aTime, const std::function<bool()>& aCondition)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      for (auto& [id, node] : nodes_) {
        if (node->paused_) {
          continue;
        }
        node->sync_.Acknowledge(node->FleetRevision(), {});
        node->sync_.Step();
      }
      if (observe_) {
        observe_();
      }
      if (aCondition()) {
        return true;
      }
    }
    return false;
  }

  bool AllMayDispatch() const
  {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& aNode) {
      return aNode.second->sync_.MayDispatch();
    });
  }

  void PutProfiles(uint64_t aRevision, const std::string& aAuthor = "a")
  {
    ProfileSet set;
    set.revision_ = aRevision;
    ChangeRecord record;
    record.revision_ = aRevision;
    record.author_ = aAuthor;
    record.changeId_ = "c" + std::to_string(aRevision);
    record.acceptedAt_ = "2026-01-01T00:00:00Z";
    set.history_ = { record };
    Put(kProfiles, set.Serialize());
  }

  /// Writes the key, whether or not it exists.
  void Put(const std::string& aKey, const std::string& aText)
  {
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(range, platform_.Range(aKey));
        const uint64_t version = range.items_.empty() ? 0 : range.items_[0].version_;
        BOOST_LEAF_CHECK(platform_.Put(aKey, aText, version, std::nullopt));
        return {};
      },
      []() { FAIL() << "the in-memory platform rejected a write by the test"; });
  }

  FleetMap StoredFleetMap()
  {
    return leaf::try_handle_all(
      [&]() -> leaf::result<FleetMap> {
        BOOST_LEAF_AUTO(item, platform_.Get(kFleet));
        return FleetMap::Parse(item.value_);
      },
      []() { return FleetMap{}; });
  }

  /// Writes the next fleet revision, as the planner would.
  void EditFleet(const std::function<void(FleetMap&)>& aEdit)
  {
    FleetMap fleet = StoredFleetMap();
    ++fleet.revision_;
    fleet.changeId_ = "test-" + std::to_string(fleet.revision_);
    aEdit(fleet);
    Put(kFleet, fleet.Serialize());
  }

  void CutFromStore(const std::string& aId, bool aCut = true)
  {
    platform_.ChangeFaults([&](PlatformFaults& aFaults) {
      if (aCut) {
        aFaults.cutOffClients_.insert(aId);
      } else {
        aFaults.cutOffClients_.erase(aId);
      }
    });
  }

  void SetStoreDown(bool aDown)
  {
    platform_.ChangeFaults([&](PlatformFaults& aFaults) { aFaults.storeDown_ = aDown; });
  }

  ManualClock clock_;
  MemoryPlatform platform_;
  FakePeerNetwork network_;
  std::map<std::string, std::unique_ptr<ClusterNode>> nodes_;
  std::function<void()> observe_;
  int processes_ = 0;
};

}
