#pragma once

#include "sardinespoke/fleet_format.h"

namespace sardinespoke {

/// Plain JSON format of the records that operators and backend servers write, for tests.
class PlainFleetFormat final : public FleetFormatI
{
public:
  static std::string EncodeEntry(const BackendEntry& aEntry);
  static std::string EncodeConfig(const FleetConfig& aConfig);
  static std::string EncodeRollout(const RolloutRequest& aRequest);

  std::string RegistryPrefix() const override { return "registry/"; }
  std::string OperatorPrefix() const override { return "operator/"; }
  bool ReadBackend(const Record& aRecord, BackendEntry& aEntry) const override;
  bool ReadConfig(const Record& aRecord, FleetConfig& aConfig) const override;
  bool ReadRollout(const Record& aRecord, RolloutRequest& aRequest) const override;
  RecordWrite RolloutStatus(int64_t aNumber, bool aDone) const override;
};

}
