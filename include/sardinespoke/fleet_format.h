#pragma once

#include "sardinespoke/backend_entry.h"
#include "sardinespoke/job.h"
#include "sardinespoke/record_store.h"

#include <string>

namespace sardinespoke {

/// Reads the records of operators and backend servers in the platform's store.
class FleetFormatI
{
public:
  virtual ~FleetFormatI() = default;

  /// @returns Key prefix of the records of backend servers.
  virtual std::string RegistryPrefix() const = 0;

  /// @returns Key prefix of the records that operators write.
  virtual std::string OperatorPrefix() const = 0;

  /// Each returns false if the record is of another kind or cannot be parsed.
  virtual bool ReadBackend(const Record& aRecord, BackendEntry& aEntry) const = 0;
  virtual bool ReadConfig(const Record& aRecord, FleetConfig& aConfig) const = 0;
  virtual bool ReadRollout(const Record& aRecord, RolloutRequest& aRequest) const = 0;

  /// @returns The record that reports the state of a roll-out to operators.
  virtual RecordWrite RolloutStatus(int64_t aNumber, bool aDone) const = 0;
};

}
