#include "sardinespoke/slot_shares.h"

#include "property_check.h"

#include <algorithm>

namespace sardinespoke {
namespace {

PoolCapacity
AnyPool()
{
  PoolCapacity pool;
  const int workers = *rc::gen::inRange(0, 13);
  for (int i = 0; i < workers; ++i) {
    pool.workers_.push_back("w" + std::to_string(i));
  }
  pool.slotsPerWorker_ = *rc::gen::inRange(1U, 17U);
  const int teams = *rc::gen::inRange(1, 6);
  for (int i = 0; i < teams; ++i) {
    Profile profile;
    profile.name_ = "team-" + std::to_string(i);
    profile.entitledSlots_ = *rc::gen::inRange(0U, 30U);
    profile.maxSlots_ = profile.entitledSlots_ + *rc::gen::inRange(0U, 100U);
    profile.urgency_ = static_cast<Urgency>(*rc::gen::inRange(0, 3));
    pool.profiles_.push_back(profile);
  }
  return pool;
}

DemandTable
AnyTable(PoolCapacity& aPool)
{
  DemandTable table;
  const int entryHosts = *rc::gen::inRange(1, 8);
  for (int i = 0; i < entryHosts; ++i) {
    DemandReport report;
    report.entryHost_ = "e" + std::to_string(i);
    aPool.members_.push_back(report.entryHost_);
    for (const Profile& profile : aPool.profiles_) {
      report.byProfile_[profile.name_] = *rc::gen::inRange(0U, 300U);
    }
    table.byEntryHost_[report.entryHost_] = report;
  }
  return table;
}

// Guards against shares that together exceed a worker's slots or connections or leave some unused,
// or that give a team more than its entitlement or maximum.
TEST(SlotShares, PartsOfAllEntryHostsAddUp)
{
  std::string report;
  const auto property = [] {
    PoolCapacity pool = AnyPool();
    const DemandTable table = AnyTable(pool);
    std::map<std::string, WorkerShare> workers;
    std::map<std::string, ProfileShare> profiles;
    for (const auto& [host, demand] : table.byEntryHost_) {
      const SlotShares shares = ComputeSlotShares(pool, table, host);
      for (const auto& [worker, part] : shares.workers_) {
        workers[worker].slots_ += part.slots_;
        workers[worker].connections_ += part.connections_;
      }
      for (const auto& [profile, part] : shares.profiles_) {
        profiles[profile].entitled_ += part.entitled_;
        profiles[profile].max_ += part.max_;
        RC_ASSERT(part.unusedEntitled_ >= part.entitled_);
      }
    }
    for (const std::string& worker : pool.workers_) {
      RC_ASSERT(workers[worker].slots_ == pool.slotsPerWorker_);
      RC_ASSERT(workers[worker].connections_ == pool.connectionsPerWorker_);
    }
    for (const Profile& profile : pool.profiles_) {
      RC_ASSERT(profiles[profile.name_].entitled_ == profile.entitledSlots_);
      RC_ASSERT(profiles[profile.name_].max_ == profile.maxSlots_);
    }
  };
  EXPECT_TRUE(Holds(property, report)) << report;
}

// Guards against shares that depend on the order in which an entry host lists workers or profiles.
TEST(SlotShares, OrderDoesNotMatter)
{
  std::string report;
  const auto property = [] {
    PoolCapacity pool = AnyPool();
    const DemandTable table = AnyTable(pool);
    const SlotShares shares = ComputeSlotShares(pool, table, "e0");
    std::reverse(pool.workers_.begin(), pool.workers_.end());
    std::reverse(pool.profiles_.begin(), pool.profiles_.end());
    std::reverse(pool.members_.begin(), pool.members_.end());
    const SlotShares again = ComputeSlotShares(pool, table, "e0");
    for (const auto& [worker, part] : shares.workers_) {
      RC_ASSERT(again.workers_.at(worker).slots_ == part.slots_);
    }
    for (const auto& [profile, part] : shares.profiles_) {
      RC_ASSERT(again.profiles_.at(profile).allocated_ == part.allocated_);
      RC_ASSERT(again.profiles_.at(profile).entitled_ == part.entitled_);
    }
  };
  EXPECT_TRUE(Holds(property, report)) << report;
}

PoolCapacity
SmallPool()
{
  PoolCapacity pool;
  pool.workers_ = { "w1", "w2", "w3", "w4" };
  pool.members_ = { "e1", "e2", "e3", "e4" };
  Profile profile;
  profile.name_ = "births";
  profile.entitledSlots_ = 16;
  profile.maxSlots_ = 32;
  pool.profiles_ = { profile };
  return pool;
}

// Guards against an entry host that takes the whole pool because it gets no demand from the others.
TEST(SlotShares, UnknownDemandGivesAnEqualPart)
{
  DemandTable table;
  table.byEntryHost_["e2"] = { "e2", { { "births", 500 } } };
  const SlotShares shares = ComputeSlotShares(SmallPool(), table, "e2");
  EXPECT_EQ(shares.totalSlots_, 8U);
  EXPECT_EQ(shares.profiles_.at("births").entitled_, 4U);
}

// Guards against unused capacity if most load arrives at one entry host.
TEST(SlotShares, FollowDemand)
{
  DemandTable table;
  table.byEntryHost_["e1"] = { "e1", { { "births", 90 } } };
  table.byEntryHost_["e2"] = { "e2", { { "births", 10 } } };
  const SlotShares busy = ComputeSlotShares(SmallPool(), table, "e1");
  const SlotShares quiet = ComputeSlotShares(SmallPool(), table, "e2");
  EXPECT_EQ(busy.totalSlots_, 29U);
  EXPECT_EQ(quiet.totalSlots_, 3U);
}

// Guards against rounding down the share of the same entry host in every profile: with slightly
// less demand in each of 27 profiles, e1 got none of the 112 slots and its entitled requests stayed
// queued.
TEST(SlotShares, RoundingDoesNotAlwaysHitTheSameEntryHost)
{
  PoolCapacity pool;
  DemandTable table;
  for (int i = 0; i < 14; ++i) {
    pool.workers_.push_back("w" + std::to_string(100 + i));
  }
  for (int i = 0; i < 27; ++i) {
    Profile profile;
    profile.name_ = "team-" + std::to_string(100 + i);
    profile.entitledSlots_ = 4;
    profile.maxSlots_ = 8;
    pool.profiles_.push_back(profile);
  }
  for (int i = 1; i <= 7; ++i) {
    const std::string host = "e" + std::to_string(i);
    pool.members_.push_back(host);
    table.byEntryHost_[host].entryHost_ = host;
    for (const Profile& profile : pool.profiles_) {
      table.byEntryHost_[host].byProfile_[profile.name_] = i == 1 ? 9 : 10;
    }
  }
  for (const std::string& host : pool.members_) {
    const SlotShares shares = ComputeSlotShares(pool, table, host);
    EXPECT_GE(shares.totalSlots_, 14U) << host;
    EXPECT_LE(shares.totalSlots_, 17U) << host;
  }
}

// Guards against an entry host with demand but no slot while others have many.
TEST(SlotShares, DemandAlwaysGetsASlot)
{
  DemandTable table;
  table.byEntryHost_["e1"] = { "e1", { { "births", 5000 } } };
  table.byEntryHost_["e2"] = { "e2", { { "births", 1 } } };
  EXPECT_EQ(ComputeSlotShares(SmallPool(), table, "e1").totalSlots_, 31U);
  EXPECT_EQ(ComputeSlotShares(SmallPool(), table, "e2").totalSlots_, 1U);
}

}
}
