#pragma once

#include "sardinespoke/config_source.h"
#include "sardinespoke/demand_table.h"
#include "sardinespoke/host_list.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Size of a generated deployment. The defaults are the two-year size of docs/design.md, 1.2.
struct SyntheticSize
{
  uint32_t workers_ = 2900;
  uint32_t profiles_ = 710; ///< Each with its own team and service.
  uint32_t pools_ = 27;
  uint32_t entryHosts_ = 7;
  uint32_t zones_ = 8;
  uint32_t regions_ = 2;

  /// @returns The size with workers, profiles and pools reduced together; at least one of each.
  static SyntheticSize Part(uint32_t aPart, uint32_t aOf);
};

/// The sizes that a slope is measured at: eighth, quarter, half, three quarters and whole.
std::vector<SyntheticSize>
SizeSteps();

std::string
EntryName(uint32_t aIndex);
std::string
ProfileName(uint32_t aIndex);

FleetMap
MakeFleet(const SyntheticSize& aSize);
ProfileSet
MakeProfiles(const SyntheticSize& aSize);
HostListSnapshot
MakeHostList(const FleetMap& aFleet);
ConfigView
MakeView(const SyntheticSize& aSize);

/// Demand of every profile at every entry host.
DemandTable
MakeDemand(const SyntheticSize& aSize);

}
