#pragma once

#include "../src/planner_inputs_p.h"
#include "scenario_world.h"

namespace sardinespoke {

/// Store of a planner, with the faults that the scenario injects.
class ScenarioWorld::MutantStore final : public KeyValueStoreI
{
public:
  MutantStore(KeyValueStoreI& aStore, const ScenarioConfig& aShape)
    : store_(aStore)
    , config_(aShape)
  {
  }

  leaf::result<KeyValueItem> Get(const std::string& aKey) override
  {
    if (IsForcedLeaderKey(aKey)) {
      return leaf::new_error(
        StoreError{ StoreError::Code::NotFound, "scenario: every planner is the leader" });
    }
    return store_.Get(aKey);
  }

  leaf::result<uint64_t> Put(const std::string& aKey,
                             const std::string& aValue,
                             uint64_t aIfVersion,
                             const std::optional<std::string>& aLease) override
  {
    if (IsForcedLeaderKey(aKey)) {
      return 1;
    }
    if (beforeFleetWrite_ && aKey.ends_with("config/fleet")) {
      beforeFleetWrite_();
    }
    uint64_t version = aIfVersion;
    if (config_.mutant_ == ScenarioMutant::UncheckedWrites) {
      const auto current = store_.Get(aKey);
      version = current ? current->version_ : aIfVersion;
    }
    return store_.Put(aKey, aValue, version, aLease);
  }

  leaf::result<void> Delete(const std::string& aKey, uint64_t aIfVersion) override
  {
    return store_.Delete(aKey, aIfVersion);
  }
  leaf::result<KeyValueRange> Range(const std::string& aPrefix) override
  {
    return store_.Range(aPrefix);
  }
  leaf::result<KeyValueChanges> Watch(const std::string& aPrefix,
                                      uint64_t aAfter,
                                      milliseconds aWait) override
  {
    return store_.Watch(aPrefix, aAfter, aWait);
  }
  leaf::result<std::string> GrantLease(milliseconds aTtl) override
  {
    return store_.GrantLease(aTtl);
  }
  leaf::result<void> RenewLease(const std::string& aLease) override
  {
    return store_.RenewLease(aLease);
  }
  leaf::result<void> RevokeLease(const std::string& aLease) override
  {
    return store_.RevokeLease(aLease);
  }

  std::function<void()> beforeFleetWrite_;

private:
  bool IsForcedLeaderKey(const std::string& aKey) const
  {
    return config_.allPlannersLead_ && aKey.ends_with("duty/planner");
  }

  KeyValueStoreI& store_;
  const ScenarioConfig& config_;
};

/// Inputs of a planner, with the faults that the scenario injects.
class ScenarioWorld::MutantInputs final : public PlannerInputsI
{
public:
  MutantInputs(PlannerInputsI& aInputs, const ScenarioWorld& aWorld)
    : inputs_(aInputs)
    , world_(aWorld)
  {
  }

  leaf::result<std::vector<EntryReport>> EntryReports() override
  {
    BOOST_LEAF_AUTO(reports, inputs_.EntryReports());
    if (world_.config_.mutant_ == ScenarioMutant::AssumeAcks) {
      for (EntryReport& report : reports) {
        report.fleetRevision_ = world_.acceptedFleet_.revision_;
        report.busy_.clear();
      }
    }
    return reports;
  }
  std::map<std::string, double> DemandSlots() override { return inputs_.DemandSlots(); }
  ConfigView Documents() override { return inputs_.Documents(); }

private:
  PlannerInputsI& inputs_;
  const ScenarioWorld& world_;
};

/// One daemon: its decision modules and its connections to the platform and to its peers.
struct ScenarioWorld::EntryHost
{
  EntryHost(ScenarioWorld& aWorld, const ConfigSyncSettings& aSettings, uint64_t aSeed)
    : id_(aSettings.id_)
    , process_(aSettings.process_)
    , zone_(aSettings.zone_)
    , platform_(aWorld.platform_, id_)
    , link_(aWorld.network_.Connect(aSettings.peer_))
    , events_(id_, [] { return uint64_t{ 1 }; })
    , sync_(aSettings, platform_, platform_, *link_, aWorld.clock_, events_)
    , exchange_({ .id_ = id_, .process_ = process_ },
                *link_,
                aWorld.clock_,
                { [&aWorld, this] { return aWorld.Peers(id_); },
                  [this](const std::string& aId) { return sync_.KnowsPeer(aId); },
                  [&aWorld, aSettings] { return aWorld.network_.BytesSent(aSettings.peer_); } })
    , plannerStore_(platform_, aWorld.config_)
    , inputs_(platform_, aSettings.keyPrefix_, sync_, exchange_)
    , plannerInputs_(inputs_, aWorld)
    , planner_(PlannerIdentity(id_, process_),
               plannerStore_,
               platform_,
               platform_,
               plannerInputs_,
               aWorld.clock_,
               &events_)
    , core_({ id_, zone_, aSeed })
  {
  }

  static PlannerSettings PlannerIdentity(const std::string& aId, const std::string& aProcess)
  {
    PlannerSettings settings;
    settings.entryHost_ = aId;
    settings.incarnation_ = aProcess;
    return settings;
  }

  const std::string id_;
  const std::string process_;
  const std::string zone_;
  PlatformView platform_;
  std::unique_ptr<PeerLinkI> link_;
  EventLogRing events_;
  ConfigSync sync_;
  DemandExchange exchange_;
  MutantStore plannerStore_;
  PlannerInputs inputs_;
  MutantInputs plannerInputs_;
  PlannerController planner_;
  SchedulerCore core_;
  bool paused_ = false;
  bool plannerPaused_ = false;
  bool mayDispatch_ = false;
  TimePoint mayDispatchSince_;
  std::shared_ptr<const ConfigView> syncedView_;    ///< Latest view of config sync.
  std::shared_ptr<const ConfigView> schedulerView_; ///< Latest view applied to the scheduler.
  std::shared_ptr<const DemandTable> demandTable_;
  std::vector<std::pair<TimePoint, std::shared_ptr<const ConfigView>>> delayedViews_;
  TimePoint nextExchange_;
  uint64_t fleetRevision_ = 0; ///< Latest revision applied to the scheduler.
  uint64_t profilesRevision_ = 0;
};

}
