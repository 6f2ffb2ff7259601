#pragma once

#include "sardinespoke/demand_table.h"
#include "sardinespoke/profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// The facts about a pool that every entry host reads from the same documents.
struct PoolCapacity
{
  std::vector<std::string> workers_; ///< Serving hosts; any order.
  uint32_t slotsPerWorker_ = 8;
  uint32_t connectionsPerWorker_ = 64;
  std::vector<Profile> profiles_;    ///< Profiles whose services run in this pool.
  std::vector<std::string> members_; ///< Entry hosts of the member list.
};

/// One entry host's part of what a profile may hold in a pool.
struct ProfileShare
{
  uint32_t entitled_ = 0; ///< Part of the entitlement.
  /// Entitlement that the other entry hosts' reports leave unused; at least entitled_. Unlike
  /// entitled_, it may add up to more than the entitlement while reports are under way.
  uint32_t unusedEntitled_ = 0;
  uint32_t allocated_ = 0; ///< Part of the fair share of the demand reported.
  uint32_t max_ = 0;       ///< Part of the maximum.
};

/// One entry host's part of a worker.
struct WorkerShare
{
  uint32_t slots_ = 0;
  uint32_t connections_ = 0;
};

/// One entry host's part of a pool.
struct SlotShares
{
  std::map<std::string, ProfileShare> profiles_;
  std::map<std::string, WorkerShare> workers_;
  uint32_t totalSlots_ = 0; ///< Sum over workers_.
};

/// Computes one entry host's part of a pool from the demand table. Pure: with the same capacity and
/// table, the parts of all entry hosts add up to at most each worker's slots, each profile's
/// allocation, entitlement and maximum.
/// If the table holds no other entry host but the member list does, their demand is unknown and the
/// entry host takes an equal share among the members.
/// @param aSelf Entry host whose part is computed.
SlotShares
ComputeSlotShares(const PoolCapacity& aPool, const DemandTable& aTable, const std::string& aSelf);

}
