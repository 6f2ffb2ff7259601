#pragma once

#include "sardinespoke/config_source.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// The fields of an entry record `entry/<id>` that the planner uses (docs/design.md, section 5.2).
struct EntryReport
{
  std::string id_;
  std::string incarnation_;
  uint64_t fleetRevision_ = 0;
  std::set<std::string> busy_;     ///< Draining hosts that still run requests of this entry host.
  std::set<std::string> suspects_; ///< Hosts whose circuit breaker is not closed.
};

/// Inputs of the planner from the rest of the daemon. Thread-safe.
class PlannerInputsI
{
public:
  virtual ~PlannerInputsI() = default;

  /// Reads all entry records from the store. A record may be missing in the result only if it was
  /// absent from the store at that time. Errors: StoreError.
  virtual leaf::result<std::vector<EntryReport>> EntryReports() = 0;

  /// @returns Requests queued and running per pool over all entry hosts, in slots.
  virtual std::map<std::string, double> DemandSlots() = 0;

  /// @returns The documents in force at this entry host; the pointers may be null.
  virtual ConfigView Documents() = 0;
};

}
