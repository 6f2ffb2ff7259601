#include "sardinespoke/tenant_keys.h"

#include "sardinespoke/job.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

void
TenantKeys::Apply(const FleetConfig& aConfig)
{
  areRequired_ = aConfig.tenants_.has_value();
  tenants_.clear();
  if (!areRequired_) {
    return;
  }
  for (const TenantPolicy& tenant : *aConfig.tenants_) {
    for (const std::string& key : tenant.apiKeys_) {
      const auto [known, isNew] = tenants_.emplace(key, tenant.name_);
      if (!isNew && known->second != tenant.name_) {
        Log(LogLevel::Warn,
            "tenant.key_taken",
            { { "tenant", tenant.name_ },
              { "owner", known->second },
              { "config_version", aConfig.version_ } });
      }
    }
  }
}

const std::string*
TenantKeys::TenantOf(const std::string& aKey) const
{
  const auto found = tenants_.find(aKey);
  return found == tenants_.end() ? nullptr : &found->second;
}

}
