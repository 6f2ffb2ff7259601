#include "synthetic.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr uint32_t kHostsPerRack = 4;
constexpr uint32_t kEntitledSlots = 24;
constexpr uint32_t kMaxSlots = 64;
constexpr uint32_t kSlotsPerHost = 8;
constexpr uint32_t kBasePort = 20000;

/// Fixed width, so that the length of a name does not depend on the index.
std::string
Numbered(const std::string& aPrefix, uint32_t aIndex)
{
  constexpr size_t kWidth = 4;
  const std::string number = std::to_string(aIndex);
  return aPrefix + std::string(kWidth - std::min(kWidth, number.size()), '0') + number;
}

std::string
PoolName(uint32_t aIndex)
{
  return Numbered("pool-", aIndex);
}

}

SyntheticSize
SyntheticSize::Part(uint32_t aPart, uint32_t aOf)
{
  SyntheticSize size;
  size.workers_ = std::max(1U, size.workers_ * aPart / aOf);
  size.profiles_ = std::max(1U, size.profiles_ * aPart / aOf);
  size.pools_ = std::max(1U, size.pools_ * aPart / aOf);
  return size;
}

std::vector<SyntheticSize>
SizeSteps()
{
  return { SyntheticSize::Part(1, 8),
           SyntheticSize::Part(1, 4),
           SyntheticSize::Part(1, 2),
           SyntheticSize::Part(3, 4),
           SyntheticSize::Part(1, 1) };
}

std::string
EntryName(uint32_t aIndex)
{
  return "entry-" + std::to_string(aIndex + 1);
}

std::string
ProfileName(uint32_t aIndex)
{
  return Numbered("profile-", aIndex);
}

FleetMap
MakeFleet(const SyntheticSize& aSize)
{
  FleetMap fleet;
  fleet.revision_ = 1000;
  fleet.writer_ = EntryName(0);
  fleet.changeId_ = "entry-1.0123456789abcdef.p1000";
  for (uint32_t index = 0; index < aSize.workers_; ++index) {
    const uint32_t rack = index / kHostsPerRack;
    FleetHost host;
    host.id_ = Numbered("host-", index);
    host.address_ = "127.0.0.1:" + std::to_string(kBasePort + index);
    host.rack_ = Numbered("rack-", rack);
    host.zone_ = "zone-" + std::to_string(rack % aSize.zones_);
    host.region_ = "region-" + std::to_string(rack % aSize.zones_ % aSize.regions_);
    // Neighbours in a rack belong to different pools.
    host.pool_ = PoolName(index % aSize.pools_);
    host.changedRevision_ = 900;
    fleet.hosts_.emplace(host.id_, host);
  }
  for (uint32_t index = 0; index < aSize.entryHosts_; ++index) {
    const std::string id = EntryName(index);
    fleet.members_[id] = { id, "0123456789abcdef-1", 900, 1000 };
  }
  return fleet;
}

ProfileSet
MakeProfiles(const SyntheticSize& aSize)
{
  ProfileSet set;
  set.revision_ = 1000;
  for (uint32_t index = 0; index < aSize.pools_; ++index) {
    const uint32_t inPool = (aSize.profiles_ + aSize.pools_ - 1 - index) / aSize.pools_;
    PoolRules pool;
    pool.name_ = PoolName(index);
    pool.floorHosts_ = std::max(1U, inPool * kEntitledSlots / kSlotsPerHost);
    pool.spare_ = index == 0;
    set.pools_.emplace(pool.name_, pool);
  }
  for (uint32_t index = 0; index < aSize.profiles_; ++index) {
    Profile profile;
    profile.name_ = ProfileName(index);
    profile.team_ = Numbered("team-", index);
    profile.entitledSlots_ = kEntitledSlots;
    profile.maxSlots_ = kMaxSlots;
    profile.urgency_ = static_cast<Urgency>(index % static_cast<uint32_t>(Urgency::Count));
    set.vouchers_[profile.team_] = kEntitledSlots;
    const std::string service = Numbered("service-", index);
    set.services_[service] = { service, PoolName(index % aSize.pools_), profile.name_ };
    set.profiles_.emplace(profile.name_, profile);
  }
  for (uint64_t index = 0; index < ProfileSet::kMaxHistory; ++index) {
    ChangeRecord record;
    record.revision_ = set.revision_ - ProfileSet::kMaxHistory + 1 + index;
    record.changeId_ = Numbered("change-0123456789abcdef-", static_cast<uint32_t>(index));
    record.author_ = "operator";
    record.summary_ = "profiles/profile-0001: max_slots 64 -> 60";
    record.acceptedAt_ = "2026-01-01T00:00:00Z";
    set.history_.push_back(record);
  }
  return set;
}

HostListSnapshot
MakeHostList(const FleetMap& aFleet)
{
  HostListSnapshot list;
  list.sequence_ = 1;
  for (const auto& [id, host] : aFleet.hosts_) {
    list.hosts_.push_back({ id, host.address_, host.rack_, host.zone_, host.region_, false });
  }
  return list;
}

ConfigView
MakeView(const SyntheticSize& aSize)
{
  return { std::make_shared<const ProfileSet>(MakeProfiles(aSize)),
           std::make_shared<const FleetMap>(MakeFleet(aSize)),
           std::make_shared<const std::set<std::string>>() };
}

DemandTable
MakeDemand(const SyntheticSize& aSize)
{
  constexpr uint32_t kDemandRange = 40;
  DemandTable table;
  for (uint32_t entry = 0; entry < aSize.entryHosts_; ++entry) {
    DemandReport& report = table.byEntryHost_[EntryName(entry)];
    report.entryHost_ = EntryName(entry);
    for (uint32_t index = 0; index < aSize.profiles_; ++index) {
      report.byProfile_[ProfileName(index)] = 1 + (index * 7 + entry * 11) % kDemandRange;
    }
  }
  return table;
}

}
