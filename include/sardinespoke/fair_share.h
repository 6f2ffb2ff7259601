#pragma once

#include "sardinespoke/profile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Demand and limits of one profile in a pool.
struct ShareClaim
{
  std::string profile_;
  uint32_t demand_ = 0; ///< Requests queued and running, over all entry hosts.
  uint32_t entitledSlots_ = 0;
  uint32_t maxSlots_ = 0; ///< At least entitledSlots_; lower values are raised to it.
  Urgency urgency_ = Urgency::Standard;
};

/// Divides a pool's slots among profiles: first the entitlements, then the remaining slots by
/// urgency class, with max-min fairness weighted by entitlement within a class. No profile gets
/// more than its demand or maximum. If the slots don't cover the demanded entitlements, these are
/// reduced by weighted max-min fairness. The result doesn't depend on the order of the claims, so
/// all entry hosts compute the same shares from the same demand.
/// @param aSlots Slots of the pool's serving hosts.
/// @returns Slots per claim, in the order of aClaims.
std::vector<uint32_t>
FairShare(uint32_t aSlots, const std::vector<ShareClaim>& aClaims);

/// Divides an integer in proportion to weights by the largest remainder method. Ties go to the
/// lower index. The result adds up to aTotal unless all weights are 0.
std::vector<uint32_t>
ProportionalParts(uint32_t aTotal, const std::vector<uint64_t>& aWeights);

/// Divides an integer in proportion to weights by systematic rounding. The rounding offset depends
/// on aTurn (multiples of the golden ratio), so that over many turns no index is always rounded
/// down. A weight of 0 gives 0. The result adds up to aTotal unless all weights are 0.
std::vector<uint32_t>
SystematicParts(uint32_t aTotal, const std::vector<uint64_t>& aWeights, size_t aTurn);

}
