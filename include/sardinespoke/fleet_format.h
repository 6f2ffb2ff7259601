#pragma once

#include "sardinespoke/backend_entry.h"
#include "sardinespoke/job.h"
#include "sardinespoke/record_store.h"

#include <string>

namespace sardinespoke {

/// Reads what operators and backend servers keep in the platform's store, in the platform's format.
class FleetFormatI
{
public:
  virtual ~FleetFormatI() = default;

  /// @returns Prefix of the entries of backend servers.
  virtual std::string RegistryPrefix() const = 0;

  /// @returns Prefix of what operators write.
  virtual std::string OperatorPrefix() const = 0;

  /// Each returns False if the record is something else or unreadable.
  virtual bool ReadBackend(const Record& aRecord, BackendEntry& aEntry) const = 0;
  virtual bool ReadConfig(const Record& aRecord, FleetConfig& aConfig) const = 0;
  virtual bool ReadRollout(const Record& aRecord, RolloutRequest& aRequest) const = 0;

  /// @returns The record that tells operators how far a roll-out is.
  virtual RecordWrite RolloutStatus(int64_t aNumber, bool aDone) const = 0;
};

}
