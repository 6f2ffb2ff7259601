#pragma once

#include "sardinespoke/demand_table.h"
#include "sardinespoke/profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// Capacity and profiles of a pool, the same on every entry host under the same documents.
struct PoolCapacity
{
  std::vector<std::string> workers_; ///< Serving hosts; any order.
  uint32_t slotsPerWorker_ = 8;
  uint32_t connectionsPerWorker_ = 64;
  std::vector<Profile> profiles_;    ///< Profiles whose services run in this pool.
  std::vector<std::string> members_; ///< Entry hosts of the member list.
};

/// One entry host's share of a profile's limits in a pool.
struct ProfileShare
{
  uint32_t entitled_ = 0; ///< Share of the entitlement.
  /// Entitlement not used by the demand of the other entry hosts; at least entitled_. Unlike
  /// entitled_, the sum over all entry hosts may exceed the entitlement while reports are in
  /// transit.
  uint32_t unusedEntitled_ = 0;
  uint32_t allocated_ = 0; ///< Share of the slots that FairShare() gives to the reported demand.
  uint32_t max_ = 0;       ///< Share of the maximum.
};

/// One entry host's share of a worker.
struct WorkerShare
{
  uint32_t slots_ = 0;
  uint32_t connections_ = 0;
};

/// One entry host's share of a pool.
struct SlotShares
{
  std::map<std::string, ProfileShare> profiles_;
  std::map<std::string, WorkerShare> workers_;
  uint32_t totalSlots_ = 0; ///< Sum over workers_.
};

/// Computes one entry host's share of a pool from the demand table. With the same capacity and
/// table, the shares of all entry hosts never add up to more than a worker's slots or a profile's
/// allocation, entitlement or maximum.
/// If the table has no other entry host but the member list does, their demand is unknown and the
/// entry host takes an equal share among the members.
/// @param aSelf Entry host whose share is computed.
SlotShares
ComputeSlotShares(const PoolCapacity& aPool, const DemandTable& aTable, const std::string& aSelf);

}
