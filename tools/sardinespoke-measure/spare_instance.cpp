#include "spare_instance.h"

#include "sardinespoke/spare_planner.h"

#include <algorithm>
#include <functional>

namespace sardinespoke {

namespace {

constexpr const char* kSpare = "spare";

/// @returns Whether the spare hosts left after the loss of any rack cover what the pools lost.
bool
SurvivesAnyRack(const std::vector<ListedHost>& aHosts,
                const std::map<std::string, std::string>& aPools)
{
  std::map<std::string, uint32_t> lost; // Every pool is at its floor: each lost host is missing.
  std::map<std::string, uint32_t> spareInRack;
  uint32_t spare = 0;
  for (const ListedHost& host : aHosts) {
    const bool isSpare = aPools.at(host.id_) == kSpare;
    spare += isSpare ? 1 : 0;
    ++(isSpare ? spareInRack : lost)[host.rack_];
  }
  return std::all_of(lost.begin(), lost.end(), [&](const auto& aRack) {
    return spare - spareInRack[aRack.first] >= aRack.second;
  });
}

}

uint32_t
ProductSpare(const SpareInstance& aInstance)
{
  ProfileSet profiles;
  uint32_t hosts = 0;
  for (size_t i = 0; i < aInstance.floors_.size(); ++i) {
    const std::string name = "pool" + std::to_string(i);
    profiles.pools_[name] = PoolRules{ name, aInstance.floors_[i], 8, 64, false };
    hosts += aInstance.floors_[i];
  }
  const uint32_t places = aInstance.racks_ * aInstance.hostsPerRack_;
  for (uint32_t spare = 0; hosts + spare <= places; ++spare) {
    profiles.pools_[kSpare] = PoolRules{ kSpare, spare, 8, 64, true };
    std::vector<ListedHost> listed;
    listed.reserve(hosts + spare);
    for (uint32_t i = 0; i < hosts + spare; ++i) {
      const std::string rack = "r" + std::to_string(i % aInstance.racks_);
      listed.push_back({ "w" + std::to_string(i), "", rack, "z", "", false });
    }
    if (SurvivesAnyRack(listed, DistributeHosts(listed, profiles))) {
      return spare;
    }
  }
  return places;
}

uint32_t
ExactSpare(const SpareInstance& aInstance)
{
  const size_t racks = aInstance.racks_;
  uint32_t best = aInstance.racks_ * aInstance.hostsPerRack_;
  std::map<std::string, std::map<std::string, uint32_t>> placed;
  std::map<std::string, uint32_t> floors;
  std::map<std::string, uint32_t> room;
  for (size_t i = 0; i < aInstance.floors_.size(); ++i) {
    floors["pool" + std::to_string(i)] = aInstance.floors_[i];
  }
  for (size_t rack = 0; rack < racks; ++rack) {
    room["r" + std::to_string(rack)] = aInstance.hostsPerRack_;
  }
  const std::function<void(size_t, size_t, uint32_t)> place =
    [&](size_t aPool, size_t aRack, uint32_t aLeft) {
      if (aPool == aInstance.floors_.size()) {
        const SparePlan plan = PlanSpare(placed, floors, room);
        best = plan.feasible_ ? std::min(best, plan.hosts_) : best;
        return;
      }
      const std::string pool = "pool" + std::to_string(aPool);
      const std::string rack = "r" + std::to_string(aRack);
      if (aRack == racks) {
        if (aLeft == 0) {
          const bool last = aPool + 1 == aInstance.floors_.size();
          place(aPool + 1, 0, last ? 0 : aInstance.floors_[aPool + 1]);
        }
        return;
      }
      for (uint32_t count = 0; count <= std::min(aLeft, room[rack]); ++count) {
        placed[pool][rack] = count;
        room[rack] -= count;
        place(aPool, aRack + 1, aLeft - count);
        room[rack] += count;
      }
      placed[pool][rack] = 0;
    };
  place(0, 0, aInstance.floors_.front());
  return best;
}

}
