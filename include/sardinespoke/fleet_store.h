#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/key_value_store.h"

#include <string>

namespace sardinespoke {

/// Result of reading the fleet document from the store.
struct FleetRead
{
  uint64_t version_ = 0; ///< Version for the next compare-and-swap; 0 if there is no document.
  FleetMap fleet_;
  std::string malformed_; ///< Why the document could not be parsed; empty if it could.
};

/// Reads and writes the fleet document. Not thread-safe.
class FleetStore
{
public:
  /// @param aStore Must outlive the object.
  /// @param aKey Key of the document.
  FleetStore(KeyValueStoreI& aStore, std::string aKey);

  /// Errors: PlannerError (StoreDown).
  leaf::result<FleetRead> Read();

  /// Writes by one compare-and-swap. If the response is lost, reads the document back to find out
  /// whether the write took effect.
  /// Errors: PlannerError (Conflict, StoreDown, OutcomeUnknown).
  leaf::result<void> Write(const FleetMap& aFleet, uint64_t aIfVersion);

private:
  leaf::result<void> ReadBack(const FleetMap& aFleet);

  KeyValueStoreI& store_;
  const std::string key_;
  std::string lastText_; ///< Text of lastFleet_; an unchanged document is not parsed again.
  FleetMap lastFleet_;
};

}
