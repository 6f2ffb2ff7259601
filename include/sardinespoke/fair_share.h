#pragma once

#include "sardinespoke/profile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// What one profile asks for and may have in a pool.
struct ShareClaim
{
  std::string profile_;
  uint32_t demand_ = 0; ///< Requests queued and running, over all entry hosts.
  uint32_t entitledSlots_ = 0;
  uint32_t maxSlots_ = 0; ///< Values below entitledSlots_ count as entitledSlots_.
  Urgency urgency_ = Urgency::Standard;
};

/// Divides a pool's slots over profiles: entitlements first, then the remainder by urgency class,
/// max-min weighted by entitlement inside a class, never above a profile's demand or maximum.
/// If the pool holds less than the entitlements in demand, they shrink by weighted max-min.
/// The result depends only on the set of claims, not on their order, so that all entry hosts
/// compute the same from the same demand.
/// @param aSlots Slots of the pool's serving hosts.
/// @returns Slots per claim, in the order of aClaims.
std::vector<uint32_t>
FairShare(uint32_t aSlots, const std::vector<ShareClaim>& aClaims);

/// Divides a whole number over parts in proportion to weights by largest remainder.
/// Ties go to the lower index. The result adds up to aTotal unless all weights are 0.
std::vector<uint32_t>
ProportionalParts(uint32_t aTotal, const std::vector<uint64_t>& aWeights);

/// Divides a whole number over parts in proportion to weights by systematic rounding, with an
/// offset that differs from turn to turn (multiples of the golden ratio), so that over many turns
/// no part loses every rounding. A weight of 0 gives 0. The result adds up to aTotal unless all
/// weights are 0.
std::vector<uint32_t>
SystematicParts(uint32_t aTotal, const std::vector<uint64_t>& aWeights, size_t aTurn);

}
