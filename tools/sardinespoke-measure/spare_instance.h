#pragma once

#include <cstdint>
#include <vector>

namespace sardinespoke {

/// Pools with floors on racks of equal size; the pools hold exactly their floors.
struct SpareInstance
{
  std::vector<uint32_t> floors_;
  uint32_t racks_ = 4;
  uint32_t hostsPerRack_ = 4;
};

/// @returns Spare hosts that the product's distribution needs to survive the loss of any rack.
uint32_t
ProductSpare(const SpareInstance& aInstance);

/// @returns The fewest spare hosts over all placements of the pools' hosts and the spare hosts.
uint32_t
ExactSpare(const SpareInstance& aInstance);

}
