#pragma once

#include "sardinespoke/tenant_usage.h"

#include <string>

namespace sardinespoke {

/// Weighted shares of one pool among the tenants that wait or run there.
///
/// Load pattern: one tenant sends many times its usual load to a pool that is full. A tenant is
/// beyond its share while its dominant resource there is its weight's part of all their weights or
/// more, so that a further task would exceed it. Since usage is measured by what runs, work that
/// has ended counts no more, and a tenant that used idle capacity owes nothing.
class TenantShares
{
public:
  /// @param aWaiting Tenants with jobs that wait for the pool.
  TenantShares(const TenantUsage& aTenants,
               const std::string& aPool,
               const Resources& aCapacity,
               const std::map<TenantUsage::Id, uint32_t>& aWaiting);

  /// @returns Part of the pool that the tenant is entitled to, above 0 and up to 1.
  double ShareOf(TenantUsage::Id aTenant) const;

  /// @returns True if the tenant uses its share or more now.
  bool IsBeyondShare(TenantUsage::Id aTenant) const;

private:
  const TenantUsage& tenants_;
  const std::string& pool_;
  const Resources capacity_;
  double sharePerWeight_ = 0.0;
};

}
