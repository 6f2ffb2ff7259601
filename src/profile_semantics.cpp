#include "profile_json_p.h"

namespace sardinespoke {

namespace {

using Rule = leaf::result<void> (*)(const ProfileSet&, uint64_t);

auto
Refuse(const std::string& aPath, const std::string& aFound, const std::string& aExpected)
{
  return leaf::new_error(ConfigError{
    ConfigError::Code::Semantic, aPath, "found " + aFound + "; expected " + aExpected });
}

std::string
ProfilePath(const Profile& aProfile, const std::string& aField)
{
  return "/profiles/" + aProfile.name_ + "/" + aField;
}

std::string
Milliseconds(std::chrono::milliseconds aDuration)
{
  return std::to_string(aDuration.count());
}

/// @returns Sum of the entitled slots per pool, over the profiles of the pool's services.
std::map<std::string, uint64_t>
PoolEntitlements(const ProfileSet& aSet)
{
  std::map<std::string, std::string> poolOfProfile;
  for (const auto& [name, service] : aSet.services_) {
    poolOfProfile[service.profile_] = service.pool_;
  }
  std::map<std::string, uint64_t> entitled;
  for (const auto& [profile, pool] : poolOfProfile) {
    entitled[pool] += aSet.profiles_.at(profile).entitledSlots_;
  }
  return entitled;
}

leaf::result<void>
CheckServices(const ProfileSet& aSet, uint64_t)
{
  std::map<std::string, const Service*> firstOfProfile;
  for (const auto& [name, service] : aSet.services_) {
    const std::string path = "/services/" + name;
    if (aSet.pools_.count(service.pool_) == 0) {
      return Refuse(path + "/pool", "\"" + service.pool_ + "\"", "the name of an existing pool");
    }
    if (aSet.profiles_.count(service.profile_) == 0) {
      return Refuse(
        path + "/profile", "\"" + service.profile_ + "\"", "the name of an existing profile");
    }
    const Service* first = firstOfProfile.try_emplace(service.profile_, &service).first->second;
    if (first->pool_ != service.pool_) {
      return Refuse(path + "/pool",
                    "\"" + service.pool_ + "\"",
                    "\"" + first->pool_ + "\", the pool of service \"" + first->name_ +
                      "\", which has the same profile");
    }
  }
  return {};
}

leaf::result<void>
CheckLimits(const ProfileSet& aSet, uint64_t)
{
  for (const auto& [name, profile] : aSet.profiles_) {
    if (profile.maxSlots_ < profile.entitledSlots_) {
      return Refuse(ProfilePath(profile, "max_slots"),
                    std::to_string(profile.maxSlots_),
                    "at least entitled_slots, " + std::to_string(profile.entitledSlots_));
    }
    const MaintenanceRules& rules = profile.maintenance_;
    if (rules.maxPerRack_ > rules.maxUnavailableHosts_) {
      return Refuse(ProfilePath(profile, "maintenance/max_per_rack"),
                    std::to_string(rules.maxPerRack_),
                    "at most max_unavailable_hosts, " + std::to_string(rules.maxUnavailableHosts_));
    }
    // A shorter drain would abort requests that are still within their run limit.
    if (rules.drainLimit_ < profile.runLimit_) {
      return Refuse(ProfilePath(profile, "maintenance/drain_limit_ms"),
                    Milliseconds(rules.drainLimit_),
                    "at least run_limit_ms, " + Milliseconds(profile.runLimit_));
    }
  }
  return {};
}

leaf::result<void>
CheckVouchers(const ProfileSet& aSet, uint64_t)
{
  std::map<std::string, uint64_t> entitled;
  for (const auto& [name, profile] : aSet.profiles_) {
    const auto vouchers = aSet.vouchers_.find(profile.team_);
    if (vouchers == aSet.vouchers_.end()) {
      return Refuse(
        ProfilePath(profile, "team"), "\"" + profile.team_ + "\"", "a team that has vouchers");
    }
    uint64_t& sum = entitled[profile.team_];
    sum += profile.entitledSlots_;
    if (sum > vouchers->second) {
      return Refuse(ProfilePath(profile, "entitled_slots"),
                    std::to_string(profile.entitledSlots_) + ", which brings team \"" +
                      profile.team_ + "\" to " + std::to_string(sum) + " slots",
                    "at most the team's vouchers, " + std::to_string(vouchers->second));
    }
  }
  return {};
}

leaf::result<void>
CheckSpare(const ProfileSet& aSet, uint64_t)
{
  const PoolRules* spare = nullptr;
  for (const auto& [name, pool] : aSet.pools_) {
    if (!pool.spare_) {
      continue;
    }
    if (spare != nullptr) {
      return Refuse("/pools/" + name + "/spare",
                    "true",
                    "false, because \"" + spare->name_ + "\" is the spare pool already");
    }
    spare = &pool;
  }
  return {};
}

leaf::result<void>
CheckFleet(const ProfileSet& aSet, uint64_t aFleetSlots)
{
  if (aFleetSlots == 0) {
    return {};
  }
  const std::string expected = "at most the slots of the fleet, " + std::to_string(aFleetSlots);
  uint64_t vouchers = 0;
  for (const auto& [team, slots] : aSet.vouchers_) {
    vouchers += slots;
    if (vouchers > aFleetSlots) {
      return Refuse("/vouchers/" + team,
                    std::to_string(slots) + ", which brings all vouchers to " +
                      std::to_string(vouchers) + " slots or more",
                    expected);
    }
  }
  uint64_t entitled = 0;
  for (const auto& [pool, slots] : PoolEntitlements(aSet)) {
    entitled += slots;
    if (entitled > aFleetSlots) {
      return Refuse("/pools/" + pool,
                    "entitlements that bring all pools to " + std::to_string(entitled) +
                      " slots or more",
                    expected);
    }
  }
  uint64_t floors = 0;
  for (const auto& [name, pool] : aSet.pools_) {
    floors += uint64_t{ pool.floorHosts_ } * pool.slotsPerHost_;
    if (floors > aFleetSlots) {
      return Refuse("/pools/" + name + "/floor_hosts",
                    std::to_string(pool.floorHosts_) + ", which brings all floors to " +
                      std::to_string(floors) + " slots or more",
                    expected);
    }
  }
  return {};
}

}

leaf::result<void>
CheckSemantics(const ProfileSet& aSet, uint64_t aFleetSlots)
{
  constexpr Rule kChecks[] = {
    &CheckServices, &CheckLimits, &CheckVouchers, &CheckSpare, &CheckFleet
  };
  for (const Rule check : kChecks) {
    BOOST_LEAF_CHECK(check(aSet, aFleetSlots));
  }
  return {};
}

leaf::result<void>
ProfileSet::CheckPools(const std::map<std::string, uint32_t>& aPoolHosts) const
{
  const auto entitled = PoolEntitlements(*this);
  for (const auto& [name, pool] : pools_) {
    const auto found = aPoolHosts.find(name);
    const uint64_t hosts = found == aPoolHosts.end() ? 0 : found->second;
    if (pool.floorHosts_ > hosts) {
      return Refuse("/pools/" + name + "/floor_hosts",
                    std::to_string(pool.floorHosts_),
                    "at most the hosts of the pool, " + std::to_string(hosts));
    }
    const auto slots = entitled.find(name);
    const uint64_t capacity = hosts * pool.slotsPerHost_;
    if (slots != entitled.end() && slots->second > capacity) {
      return Refuse("/pools/" + name,
                    "profiles with " + std::to_string(slots->second) + " entitled slots",
                    "at most the slots of the pool, " + std::to_string(capacity));
    }
  }
  return {};
}

}
