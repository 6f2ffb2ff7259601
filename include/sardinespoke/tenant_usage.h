#pragma once

#include "sardinespoke/backend_entry.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinespoke {

struct FleetConfig;

/// What each tenant runs, in all pools and in each, against its cap and its weighted share.
///
/// Load pattern: one tenant sends many times its usual load while the pools are full. Its cap
/// bounds what it has running over all pools; its share of a pool decides whose jobs come first
/// there.
///
/// A task counts from the command that starts it until it is certain that it does not run. The
/// state is derived from the tasks, so that a new leader has it once it knows what runs.
class TenantUsage
{
public:
  using Id = uint32_t;
  /// Jobs without a tenant: no cap, and a share without bound.
  static constexpr Id kNoTenant = 0;

  TenantUsage();

  /// Applies the limits of a configuration. A tenant that is not in it keeps its last ones, since
  /// its accepted jobs go on. Without tenants nobody has limits.
  void Apply(const FleetConfig& aConfig);

  /// @returns The id of a tenant, also of one that no configuration has named yet.
  Id IdOf(const std::string& aName);

  /// @returns Name of a tenant.
  const std::string& NameOf(Id aTenant) const { return tenants_[aTenant].name_; }
  double WeightOf(Id aTenant) const { return tenants_[aTenant].weight_; }
  const Resources& CapOf(Id aTenant) const { return tenants_[aTenant].cap_; }
  const Resources& RunningOf(Id aTenant) const { return tenants_[aTenant].running_; }

  /// @returns Number of known tenants, also those without limits.
  size_t Size() const { return tenants_.size(); }

  /// Counts a task that may run from now on.
  void Add(Id aTenant, const std::string& aPool, const Resources& aNeed);
  /// Counts a task that certainly does not run any more.
  void Remove(Id aTenant, const std::string& aPool, const Resources& aNeed);
  /// Forgets all tasks, so that they can be counted anew.
  void ClearRunning();

  /// Sets what tenants may run besides, because backend servers have not told a new leader yet.
  void SetUnseen(std::map<Id, Resources> aUnseen) { unseen_ = std::move(aUnseen); }

  /// @returns How many tasks of this size the tenant may start within its cap. A task above the cap
  /// may run if its tenant runs nothing else.
  /// @param aPlanned What the tenant uses besides.
  uint32_t Headroom(Id aTenant,
                    const Resources& aNeed,
                    const Resources& aPlanned = Resources()) const;

  /// @returns Largest part of a pool's capacity that a tenant uses in one resource, divided by its
  /// weight. The tenant with the least comes first.
  double ShareInUse(Id aTenant, const std::string& aPool, const Resources& aCapacity) const;

private:
  struct Tenant
  {
    std::string name_;
    double weight_ = 1.0;
    Resources cap_;
    Resources running_;
    std::map<std::string, Resources> byPool_;
  };

  std::vector<Tenant> tenants_; ///< By id.
  std::unordered_map<std::string, Id> ids_;
  std::map<Id, Resources> unseen_;
};

}
