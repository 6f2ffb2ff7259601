#include "slope.h"
#include "slope_groups.h"
#include "synthetic.h"

#include "fake_peer_network.h"
#include "memory_platform.h"
#include "sardinespoke/config_sync.h"
#include "sardinespoke/event_log_ring.h"
#include "sardinespoke/manual_clock.h"

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kStep{ 100 };
constexpr std::chrono::seconds kJoining{ 20 };
constexpr std::chrono::seconds kMeasured{ 60 };

/// Config syncs of several entry hosts on a platform in memory, without a planner.
class SyncRig
{
public:
  explicit SyncRig(const SyntheticSize& aSize)
    : platform_(clock_, MemoryPlatformOptions{ .blockingWatches_ = false })
  {
    FleetMap fleet = MakeFleet(aSize);
    for (const ListedHost& host : MakeHostList(fleet).hosts_) {
      platform_.AddHost(host);
    }
    fleet.members_.clear();
    Put("config/fleet", fleet.Serialize());
    Put("config/profiles", MakeProfiles(aSize).Serialize());
    for (uint32_t index = 0; index < aSize.entryHosts_; ++index) {
      ConfigSyncSettings settings;
      settings.id_ = EntryName(index);
      settings.process_ = "p" + std::to_string(index);
      settings.peer_ = settings.id_;
      settings.watchWait_ = std::chrono::milliseconds(0);
      nodes_.push_back(std::make_unique<Node>(*this, settings));
    }
    Run(kJoining);
  }

  void Run(std::chrono::seconds aTime)
  {
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      for (const auto& node : nodes_) {
        const auto view = node->sync_.Current();
        node->sync_.Acknowledge(view->fleet_ ? view->fleet_->revision_ : 0, {});
        node->sync_.Step();
      }
    }
  }

  bool AllMayDispatch() const
  {
    for (const auto& node : nodes_) {
      if (!node->sync_.MayDispatch()) {
        return false;
      }
    }
    return true;
  }

  uint64_t Calls() const { return platform_.Calls().Served(); }
  uint64_t BytesSent() const { return network_.BytesSent(EntryName(0)); }

private:
  struct Node
  {
    Node(SyncRig& aRig, const ConfigSyncSettings& aSettings)
      : link_(aRig.network_.Connect(aSettings.peer_))
      , events_(aSettings.id_, []() { return uint64_t{ 1 }; })
      , sync_(aSettings, aRig.platform_, aRig.platform_, *link_, aRig.clock_, events_)
    {
    }
    std::unique_ptr<PeerLinkI> link_;
    EventLogRing events_;
    ConfigSync sync_;
  };

  void Put(const std::string& aKey, const std::string& aText)
  {
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(platform_.Put("sardinespoke/" + aKey, aText, 0, std::nullopt));
        return {};
      },
      [&]() { throw std::runtime_error("the platform refused " + aKey); });
  }

  ManualClock clock_;
  MemoryPlatform platform_;
  FakePeerNetwork network_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

void
MeasureSizes(std::ostream& aOut,
             const std::string& aSize,
             const std::vector<std::pair<double, SyntheticSize>>& aSizes)
{
  SlopeSeries calls{ "config_sync.platform_calls", aSize, "calls/s", {} };
  SlopeSeries bytes{ "config_sync.observer_bytes_sent", aSize, "bytes/s", {} };
  for (const auto& [count, size] : aSizes) {
    SyncRig rig(size);
    if (!rig.AllMayDispatch()) {
      throw std::runtime_error("an entry host has not joined");
    }
    const uint64_t callsBefore = rig.Calls();
    const uint64_t bytesBefore = rig.BytesSent();
    rig.Run(kMeasured);
    const double seconds = kMeasured.count();
    calls.points_.emplace_back(count, static_cast<double>(rig.Calls() - callsBefore) / seconds);
    bytes.points_.emplace_back(count, static_cast<double>(rig.BytesSent() - bytesBefore) / seconds);
  }
  WriteSlope(aOut, calls);
  WriteSlope(aOut, bytes);
}

}

void
MeasureStoreCalls(std::ostream& aOut)
{
  std::vector<std::pair<double, SyntheticSize>> byEntryHosts;
  for (const uint32_t count : { 2U, 3U, 5U, 7U, 10U, 14U }) {
    SyntheticSize size = SyntheticSize::Part(1, 8);
    size.entryHosts_ = count;
    byEntryHosts.emplace_back(count, size);
  }
  MeasureSizes(aOut, "entry hosts", byEntryHosts);
  std::vector<std::pair<double, SyntheticSize>> byWorkers;
  std::vector<std::pair<double, SyntheticSize>> byProfiles;
  for (const SyntheticSize& step : SizeSteps()) {
    SyntheticSize workers = SyntheticSize::Part(1, 8);
    workers.workers_ = step.workers_;
    byWorkers.emplace_back(step.workers_, workers);
    SyntheticSize profiles = SyntheticSize::Part(1, 8);
    profiles.profiles_ = step.profiles_;
    byProfiles.emplace_back(step.profiles_, profiles);
  }
  MeasureSizes(aOut, "workers", byWorkers);
  MeasureSizes(aOut, "profiles", byProfiles);
}

}
