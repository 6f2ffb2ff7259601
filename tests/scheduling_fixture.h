#pragma once

#include "sardinespoke/config_source.h"
#include "sardinespoke/demand_table.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace sardinespoke {

/// Builds small configurations for scheduling tests.
class ViewBuilder
{
public:
  ViewBuilder& Pool(const std::string& aName, int aWorkers)
  {
    profiles_.pools_[aName].name_ = aName;
    for (int i = 0; i < aWorkers; ++i) {
      FleetHost host;
      host.id_ = aName + "-" + std::to_string(100 + i);
      host.address_ = "127.0.0.1:" + std::to_string(20000 + fleet_.hosts_.size());
      host.zone_ = "zone-" + std::to_string(i % 3);
      host.pool_ = aName;
      fleet_.hosts_[host.id_] = host;
    }
    return *this;
  }

  /// Adds a service and a profile of the same name.
  ViewBuilder& Team(const std::string& aName,
                    const std::string& aPool,
                    uint32_t aEntitled,
                    uint32_t aMax,
                    Urgency aUrgency)
  {
    class Profile profile;
    profile.name_ = aName;
    profile.team_ = aName;
    profile.entitledSlots_ = aEntitled;
    profile.maxSlots_ = aMax;
    profile.urgency_ = aUrgency;
    profiles_.profiles_[aName] = profile;
    profiles_.services_[aName] = { aName, aPool, aName };
    return *this;
  }

  ViewBuilder& Member(const std::string& aId)
  {
    fleet_.members_[aId].id_ = aId;
    return *this;
  }

  class Profile& Profile(const std::string& aName) { return profiles_.profiles_[aName]; }
  FleetHost& Host(const std::string& aId) { return fleet_.hosts_[aId]; }

  std::shared_ptr<const ConfigView> Build() const
  {
    auto view = std::make_shared<ConfigView>();
    view->profiles_ = std::make_shared<ProfileSet>(profiles_);
    view->fleet_ = std::make_shared<FleetMap>(fleet_);
    view->leaving_ = std::make_shared<std::set<std::string>>();
    return view;
  }

private:
  ProfileSet profiles_;
  FleetMap fleet_;
};

/// A configuration source that is set by the test.
class FakeConfig final : public ConfigSourceI
{
public:
  std::shared_ptr<const ConfigView> Current() const override { return std::atomic_load(&view_); }
  bool MayDispatch() const override { return mayDispatch_; }

  void Set(std::shared_ptr<const ConfigView> aView) { std::atomic_store(&view_, std::move(aView)); }
  std::atomic<bool> mayDispatch_{ true };

private:
  std::shared_ptr<const ConfigView> view_;
};

/// A demand exchange without peers.
class FakeExchange final : public DemandExchangeI
{
public:
  void Publish(DemandReport aReport) override
  {
    auto table = std::make_shared<DemandTable>();
    table->byEntryHost_[aReport.entryHost_] = std::move(aReport);
    std::atomic_store(&table_, std::shared_ptr<const DemandTable>(table));
  }
  std::shared_ptr<const DemandTable> Table() const override { return std::atomic_load(&table_); }

private:
  std::shared_ptr<const DemandTable> table_;
};

}
