#include "sardinespoke/slot_shares.h"

#include "sardinespoke/fair_share.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace sardinespoke {

namespace {

uint32_t
DemandOf(const DemandReport& aReport, const std::string& aProfile)
{
  const auto found = aReport.byProfile_.find(aProfile);
  return found == aReport.byProfile_.end() ? 0 : found->second;
}

/// Divides a pool among all entry hosts; every entry host computes the same division.
class ShareCalculator
{
public:
  ShareCalculator(const PoolCapacity& aPool, const DemandTable& aTable, const std::string& aSelf)
    : pool_(aPool)
    , table_(aTable)
  {
    std::set<std::string> hosts{ aSelf };
    for (const auto& [host, report] : aTable.byEntryHost_) {
      hosts.insert(host);
    }
    demandKnown_ = hosts.size() > 1 || aPool.members_.size() <= 1;
    if (!demandKnown_) {
      hosts.insert(aPool.members_.begin(), aPool.members_.end());
    }
    entryHosts_.assign(hosts.begin(), hosts.end());
    const auto position = std::find(entryHosts_.begin(), entryHosts_.end(), aSelf);
    self_ = static_cast<size_t>(position - entryHosts_.begin());
    workers_ = aPool.workers_;
    std::sort(workers_.begin(), workers_.end());
  }

  SlotShares Compute()
  {
    const auto slots = static_cast<uint32_t>(workers_.size()) * pool_.slotsPerWorker_;
    entrySlots_.assign(entryHosts_.size(), 0);
    const uint32_t allocated = DivideProfiles(slots);
    AddUnallocatedSlots(slots - allocated);
    EnsureMinimumSlots();
    DivideWorkers();
    return std::move(result_);
  }

private:
  std::vector<uint64_t> DemandWeights(const std::string& aProfile) const
  {
    std::vector<uint64_t> weights;
    for (const std::string& host : entryHosts_) {
      const auto report = table_.byEntryHost_.find(host);
      const bool known = demandKnown_ && report != table_.byEntryHost_.end();
      weights.push_back(known ? DemandOf(report->second, aProfile) : 0);
    }
    return weights;
  }

  /// Divides each profile's allocation, entitlement and maximum among the entry hosts.
  /// @returns Slots allocated to all profiles.
  uint32_t DivideProfiles(uint32_t aSlots)
  {
    std::vector<ShareClaim> claims;
    std::vector<std::vector<uint64_t>> weights;
    for (const Profile& profile : pool_.profiles_) {
      weights.push_back(DemandWeights(profile.name_));
      const uint64_t demand =
        std::accumulate(weights.back().begin(), weights.back().end(), uint64_t{ 0 });
      const auto bounded = static_cast<uint32_t>(std::min<uint64_t>(demand, UINT32_MAX));
      claims.push_back(
        { profile.name_, bounded, profile.entitledSlots_, profile.maxSlots_, profile.urgency_ });
    }
    const std::vector<uint32_t> shares = FairShare(aSlots, claims);
    std::set<std::string> names;
    for (const ShareClaim& claim : claims) {
      names.insert(claim.profile_);
    }
    uint32_t allocated = 0;
    for (size_t i = 0; i < claims.size(); ++i) {
      const auto rank = std::distance(names.begin(), names.find(claims[i].profile_));
      const auto divide = [&](uint32_t aTotal) {
        return SystematicParts(aTotal, weights[i], static_cast<size_t>(rank));
      };
      const std::vector<uint32_t> parts = divide(shares[i]);
      for (size_t host = 0; host < parts.size(); ++host) {
        entrySlots_[host] += parts[host];
      }
      allocated += shares[i];
      const uint64_t others =
        std::accumulate(weights[i].begin(), weights[i].end(), uint64_t{ 0 }) - weights[i][self_];
      const uint64_t entitled = claims[i].entitledSlots_;
      // With 1 added to each weight, an entry host whose demand for this profile has just begun can
      // start some requests before the next exchange.
      for (uint64_t& weight : weights[i]) {
        ++weight;
      }
      ProfileShare& share = result_.profiles_[claims[i].profile_];
      share.allocated_ = parts[self_];
      share.entitled_ = divide(claims[i].entitledSlots_)[self_];
      share.unusedEntitled_ =
        std::max(share.entitled_, static_cast<uint32_t>(entitled > others ? entitled - others : 0));
      const uint32_t most = std::max(claims[i].maxSlots_, claims[i].entitledSlots_);
      share.max_ = divide(most)[self_];
    }
    return allocated;
  }

  /// Moves a slot to each entry host with demand but no slot, from the one with the most slots.
  void EnsureMinimumSlots()
  {
    for (size_t host = 0; host < entryHosts_.size(); ++host) {
      const auto report = table_.byEntryHost_.find(entryHosts_[host]);
      if (entrySlots_[host] > 0 || report == table_.byEntryHost_.end()) {
        continue;
      }
      const bool hasDemand =
        std::any_of(pool_.profiles_.begin(), pool_.profiles_.end(), [&](const Profile& aProfile) {
          return DemandOf(report->second, aProfile.name_) > 0;
        });
      const auto most = std::max_element(entrySlots_.begin(), entrySlots_.end());
      if (!hasDemand || *most <= 1) {
        continue;
      }
      --*most;
      ++entrySlots_[host];
    }
  }

  /// Divides slots not needed by reported demand equally, for demand that isn't reported yet.
  void AddUnallocatedSlots(uint32_t aSlots)
  {
    const std::vector<uint64_t> equal(entryHosts_.size(), 1);
    const std::vector<uint32_t> parts = ProportionalParts(aSlots, equal);
    for (size_t host = 0; host < parts.size(); ++host) {
      entrySlots_[host] += parts[host];
    }
  }

  /// Divides each worker's capacity into consecutive ranges, one per entry host. The boundaries of
  /// worker w are shifted by w / workers before rounding, so that rounding differs between workers
  /// and the ranges add up to exactly entrySlots_ over the pool (Hermite's identity).
  uint32_t ShareOfWorker(uint64_t aCapacity, size_t aWorker) const
  {
    const uint64_t total = workers_.size() * pool_.slotsPerWorker_;
    uint64_t before = 0;
    for (size_t host = 0; host < self_; ++host) {
      before += entrySlots_[host];
    }
    const uint64_t after = before + entrySlots_[self_];
    const uint64_t count = workers_.size();
    const auto boundary = [&](uint64_t aSum) {
      return (aSum * aCapacity * count + aWorker * total) / (total * count);
    };
    return static_cast<uint32_t>(boundary(after) - boundary(before));
  }

  void DivideWorkers()
  {
    for (size_t worker = 0; worker < workers_.size(); ++worker) {
      WorkerShare& share = result_.workers_[workers_[worker]];
      share.slots_ = ShareOfWorker(pool_.slotsPerWorker_, worker);
      share.connections_ = ShareOfWorker(pool_.connectionsPerWorker_, worker);
      result_.totalSlots_ += share.slots_;
    }
  }

  const PoolCapacity& pool_;
  const DemandTable& table_;
  std::vector<std::string> entryHosts_;
  std::vector<std::string> workers_;
  std::vector<uint32_t> entrySlots_; ///< Slots of the pool per entry host.
  size_t self_ = 0;
  bool demandKnown_ = false;
  SlotShares result_;
};

}

SlotShares
ComputeSlotShares(const PoolCapacity& aPool, const DemandTable& aTable, const std::string& aSelf)
{
  return ShareCalculator(aPool, aTable, aSelf).Compute();
}

}
