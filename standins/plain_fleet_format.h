#pragma once

#include "sardinespoke/fleet_format.h"

namespace sardinespoke {

/// A format of our own for what operators and backend servers write, used by tests.
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
