#include "sardinespoke/tenant_usage.h"

#include "sardinespoke/job.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr uint32_t kNoBound = std::numeric_limits<uint32_t>::max();

void
AdjustBy(Resources& aSum, const Resources& aChange, int64_t aSign)
{
  aSum.cpuMilli_ += aSign * aChange.cpuMilli_;
  aSum.memoryMb_ += aSign * aChange.memoryMb_;
  aSum.accelerators_ += aSign * aChange.accelerators_;
}

/// @returns How often the need fits between the usage and the cap; a cap of 0 has no bound.
uint32_t
FitsUpTo(int64_t aCap, int64_t aUsed, int64_t aNeed)
{
  if (aCap <= 0 || aNeed <= 0) {
    return kNoBound;
  }
  const int64_t count = std::max<int64_t>(aCap - aUsed, 0) / aNeed;
  return static_cast<uint32_t>(std::min<int64_t>(count, kNoBound));
}

double
Part(int64_t aUsed, int64_t aCapacity)
{
  return static_cast<double>(aUsed) / static_cast<double>(std::max<int64_t>(aCapacity, 1));
}

}

TenantUsage::TenantUsage()
{
  tenants_.emplace_back();
}

void
TenantUsage::Apply(const FleetConfig& aConfig)
{
  if (!aConfig.tenants_) {
    for (Tenant& tenant : tenants_) {
      tenant.weight_ = 1.0;
      tenant.cap_ = Resources();
    }
    return;
  }
  for (const TenantPolicy& policy : *aConfig.tenants_) {
    Tenant& tenant = tenants_[IdOf(policy.name_)];
    tenant.weight_ = policy.weight_;
    tenant.cap_ = policy.cap_;
  }
}

TenantUsage::Id
TenantUsage::IdOf(const std::string& aName)
{
  if (aName.empty()) {
    return kNoTenant;
  }
  const auto [known, isNew] = ids_.emplace(aName, static_cast<Id>(tenants_.size()));
  if (isNew) {
    tenants_.emplace_back();
    tenants_.back().name_ = aName;
  }
  return known->second;
}

void
TenantUsage::Add(Id aTenant, const std::string& aPool, const Resources& aNeed)
{
  if (aTenant == kNoTenant) {
    return;
  }
  AdjustBy(tenants_[aTenant].running_, aNeed, 1);
  AdjustBy(tenants_[aTenant].byPool_[aPool], aNeed, 1);
}

void
TenantUsage::Remove(Id aTenant, const std::string& aPool, const Resources& aNeed)
{
  if (aTenant == kNoTenant) {
    return;
  }
  AdjustBy(tenants_[aTenant].running_, aNeed, -1);
  AdjustBy(tenants_[aTenant].byPool_[aPool], aNeed, -1);
}

void
TenantUsage::ClearRunning()
{
  for (Tenant& tenant : tenants_) {
    tenant.running_ = Resources();
    tenant.byPool_.clear();
  }
}

uint32_t
TenantUsage::Headroom(Id aTenant, const Resources& aNeed, const Resources& aPlanned) const
{
  const Tenant& tenant = tenants_[aTenant];
  Resources used = tenant.running_;
  AdjustBy(used, aPlanned, 1);
  const auto unseen = unseen_.find(aTenant);
  if (unseen != unseen_.end()) {
    AdjustBy(used, unseen->second, 1);
  }
  const uint32_t fits =
    std::min({ FitsUpTo(tenant.cap_.cpuMilli_, used.cpuMilli_, aNeed.cpuMilli_),
               FitsUpTo(tenant.cap_.memoryMb_, used.memoryMb_, aNeed.memoryMb_),
               FitsUpTo(tenant.cap_.accelerators_, used.accelerators_, aNeed.accelerators_) });
  const bool isIdle = used.cpuMilli_ == 0 && used.memoryMb_ == 0 && used.accelerators_ == 0;
  return isIdle ? std::max<uint32_t>(fits, 1) : fits;
}

double
TenantUsage::ShareInUse(Id aTenant, const std::string& aPool, const Resources& aCapacity) const
{
  const Tenant& tenant = tenants_[aTenant];
  const auto found = tenant.byPool_.find(aPool);
  if (found == tenant.byPool_.end()) {
    return 0.0;
  }
  const Resources& used = found->second;
  const double largest = std::max({ Part(used.cpuMilli_, aCapacity.cpuMilli_),
                                    Part(used.memoryMb_, aCapacity.memoryMb_),
                                    Part(used.accelerators_, aCapacity.accelerators_) });
  return largest / tenant.weight_;
}

}
