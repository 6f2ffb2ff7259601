#include "sardinespoke/tenant_shares.h"

#include <algorithm>

namespace sardinespoke {

TenantShares::TenantShares(const TenantUsage& aTenants,
                           const std::string& aPool,
                           const Resources& aCapacity,
                           const std::map<TenantUsage::Id, uint32_t>& aWaiting)
  : tenants_(aTenants)
  , pool_(aPool)
  , capacity_(aCapacity)
{
  double weights = 0.0;
  for (TenantUsage::Id tenant = TenantUsage::kNoTenant + 1; tenant < aTenants.Size(); ++tenant) {
    if (aWaiting.count(tenant) > 0 || aTenants.ShareInUse(tenant, aPool, aCapacity) > 0.0) {
      weights += aTenants.WeightOf(tenant);
    }
  }
  sharePerWeight_ = weights > 0.0 ? 1.0 / weights : 0.0;
}

double
TenantShares::ShareOf(TenantUsage::Id aTenant) const
{
  const double share = sharePerWeight_ * tenants_.WeightOf(aTenant);
  return share > 0.0 ? std::min(share, 1.0) : 1.0;
}

bool
TenantShares::IsBeyondShare(TenantUsage::Id aTenant) const
{
  return aTenant != TenantUsage::kNoTenant &&
         tenants_.ShareInUse(aTenant, pool_, capacity_) >= sharePerWeight_;
}

}
