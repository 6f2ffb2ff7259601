#pragma once

#include <string>
#include <unordered_map>

namespace sardinespoke {

struct FleetConfig;

/// The API keys of a configuration and the tenants that they belong to.
class TenantKeys
{
public:
  /// Replaces all keys by those of a configuration. A key that several tenants have belongs to the
  /// first of them.
  void Apply(const FleetConfig& aConfig);

  /// @returns True if calls need a key, since the configuration has tenants.
  bool AreRequired() const { return areRequired_; }

  /// @returns Name of the tenant with this key; nullptr if there is none.
  const std::string* TenantOf(const std::string& aKey) const;

private:
  bool areRequired_ = false;
  std::unordered_map<std::string, std::string> tenants_; ///< By key.
};

}
