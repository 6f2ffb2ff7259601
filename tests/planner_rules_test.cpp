#include "sardinespoke/fleet_transitions.h"
#include "sardinespoke/maintenance_planner.h"
#include "sardinespoke/member_watch.h"
#include "sardinespoke/pool_mover.h"
#include "sardinespoke/spare_planner.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck.h>

namespace sardinespoke {
namespace {

using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr TimePoint kStart{ std::chrono::hours(24) };

ProfileSet
TwoPools(uint32_t aFloor, uint32_t aBudget)
{
  ProfileSet profiles;
  for (const std::string& name : { std::string("a"), std::string("b") }) {
    profiles.pools_[name] = PoolRules{ name, aFloor, 8, 64, name == "b" };
    profiles.profiles_[name].maintenance_.maxUnavailableHosts_ = aBudget;
    profiles.services_[name] = Service{ name, name, name };
  }
  return profiles;
}

/// Hosts a0, a1, ... and b0, b1, ...; one host of each pool per rack.
FleetMap
TwoPoolFleet(int aHosts)
{
  FleetMap fleet;
  fleet.revision_ = 1;
  for (int i = 0; i < aHosts; ++i) {
    for (const std::string& pool : { std::string("a"), std::string("b") }) {
      ListedHost host{ pool + std::to_string(i), "", "r" + std::to_string(i), "z", "", false };
      static_cast<void>(AddHost(fleet, host, pool));
    }
  }
  fleet.rollout_ = { 1, true, false, "operator" };
  return fleet;
}

// Guards against limits of the wrong profile if a pool has several.
TEST(Availability, StrictestProfileCounts)
{
  ProfileSet profiles = TwoPools(1, 3);
  profiles.profiles_["strict"].maintenance_ = { 2, 1, seconds(60), seconds(900) };
  profiles.services_["second"] = Service{ "second", "a", "strict" };
  EXPECT_EQ(StrictestRules(profiles, "a").maxUnavailableHosts_, 2U);
  EXPECT_EQ(StrictestRules(profiles, "a").drainLimit_, seconds(60));
  EXPECT_EQ(StrictestRules(profiles, "b").maxUnavailableHosts_, 3U);
}

// Guards against a cause of unavailability that isn't counted, and against missing limits.
TEST(Availability, CountsEveryUnavailableHost)
{
  const ProfileSet profiles = TwoPools(4, 4);
  FleetMap fleet = TwoPoolFleet(10);
  ASSERT_TRUE(MarkFailed(fleet, "a0"));
  ASSERT_TRUE(StartLeavingDrain(fleet, "a1"));
  ASSERT_TRUE(StartMove(fleet, "a2", "b"));
  Availability three(fleet, profiles, {});
  EXPECT_EQ(three.Pool("a").unavailable_, 3U);
  EXPECT_EQ(three.CheckDisruption(fleet.hosts_["a4"]), Availability::BlockReason::None);
  three.MarkUnavailable(fleet.hosts_["a4"]);
  EXPECT_EQ(three.CheckDisruption(fleet.hosts_["a5"]), Availability::BlockReason::Budget);
  const Availability four(fleet, profiles, { "a3" });
  EXPECT_EQ(four.CheckDisruption(fleet.hosts_["a4"]), Availability::BlockReason::Budget);
  EXPECT_EQ(four.CheckDisruption(fleet.hosts_["a3"]),
            Availability::BlockReason::None); // Out already.
  fleet.hosts_["a4"].rack_ = "r0";
  EXPECT_EQ(Availability(fleet, profiles, {}).CheckDisruption(fleet.hosts_["a4"]),
            Availability::BlockReason::Rack);
}

// Guards against maintenance after which the loss of a rack would violate the floors.
TEST(Availability, KeepsTheLossOfARackSafe)
{
  FleetMap fleet = TwoPoolFleet(6);
  const Availability spare(fleet, TwoPools(4, 6), {});
  EXPECT_EQ(spare.CheckDisruption(fleet.hosts_["a0"]), Availability::BlockReason::None);
  const Availability tight(fleet, TwoPools(5, 6), {});
  EXPECT_EQ(tight.CheckDisruption(fleet.hosts_["a0"]), Availability::BlockReason::RackLoss);
  const Availability none(fleet, TwoPools(6, 6), {});
  EXPECT_EQ(none.CheckDisruption(fleet.hosts_["a0"]), Availability::BlockReason::Floor);
}

// Guards against a roll-out that exceeds budgets, skips hosts or doesn't end, with random failures
// between its steps.
TEST(MaintenancePlanner, AnyFailuresKeepBudgetsAndTheRolloutEnds)
{
  std::mt19937_64 random(7);
  for (int run = 0; run < 50; ++run) {
    const uint32_t budget = 1 + random() % 3;
    const ProfileSet profiles = TwoPools(2, budget);
    FleetMap fleet = TwoPoolFleet(8);
    bool finished = false;
    for (int step = 0; step < 400 && !finished; ++step) {
      for (auto& [id, host] : fleet.hosts_) {
        if (host.reason_ == DrainReason::Maintenance && random() % 2 == 0) {
          ASSERT_TRUE(StartReboot(fleet, id, 1));
        } else if (host.state_ == HostState::Maintenance || host.state_ == HostState::Failed) {
          static_cast<void>(random() % 3 == 0 ? ReturnToService(fleet, id) : MarkFailed(fleet, id));
        } else if (random() % 40 == 0) {
          static_cast<void>(MarkFailed(fleet, id));
        }
      }
      Availability availability(fleet, profiles, {});
      const auto before = availability.Pools();
      const MaintenancePlan plan = PlanMaintenance(fleet, availability, {});
      for (const std::string& id : plan.drain_) {
        ASSERT_EQ(fleet.hosts_[id].maintainedRollout_, 0U);
        ASSERT_TRUE(StartMaintenanceDrain(fleet, id));
      }
      for (const auto& [name, pool] : availability.Pools()) {
        ASSERT_LE(pool.unavailable_, std::max(budget, before.at(name).unavailable_));
      }
      finished = plan.finished_;
    }
    ASSERT_TRUE(finished);
  }
}

// Guards against an order that leaves the last hosts in one rack, where the rack limit delays them.
TEST(MaintenancePlanner, FullestRackGoesFirst)
{
  FleetMap fleet = TwoPoolFleet(6);
  for (const char* id : { "a3", "a4", "a5" }) {
    fleet.hosts_[id].rack_ = "r5";
  }
  Availability availability(fleet, TwoPools(1, 2), {});
  const MaintenancePlan plan = PlanMaintenance(fleet, availability, {});
  EXPECT_THAT(plan.drain_, testing::Contains("a3"));
  EXPECT_THAT(plan.drain_, SizeIs(4));
}

class MoverTest : public testing::Test
{
protected:
  std::vector<PlannedMove> Plan(double aDemandA, seconds aTime)
  {
    const ProfileSet profiles = TwoPools(2, 2);
    Availability availability(fleet_, profiles, {});
    return mover_.Plan(
      fleet_, profiles, availability, { { "a", aDemandA }, { "b", demandB_ } }, {}, kStart + aTime);
  }

  FleetMap fleet_ = TwoPoolFleet(6);
  double demandB_ = 0;
  PoolMover mover_{ MoveCost{} }; // Round trip of 20 s.
};

// Guards against a move for a burst of demand that costs less than the move.
TEST_F(MoverTest, MovesOnlyWhenTheShortageCostMoreThanTheMove)
{
  EXPECT_THAT(Plan(80, seconds(0)), IsEmpty());
  EXPECT_THAT(Plan(80, seconds(19)), IsEmpty());
  EXPECT_THAT(Plan(0, seconds(20)), IsEmpty());
  EXPECT_THAT(Plan(80, seconds(30)), IsEmpty());
  EXPECT_THAT(Plan(80, seconds(45)), SizeIs(2)); // The availability budget of the source pool is 2.
}

// Guards against moving a host back before the round-trip time of the move has passed.
TEST_F(MoverTest, HostsStayAfterAMove)
{
  Plan(0, seconds(0));
  ASSERT_TRUE(StartMove(fleet_, "b0", "a"));
  Plan(0, seconds(30));
  ASSERT_TRUE(FinishMove(fleet_, "b0"));
  demandB_ = 80;
  Plan(0, seconds(31));
  EXPECT_THAT(Plan(0, seconds(50)), IsEmpty());
  EXPECT_THAT(Plan(0, seconds(52)), SizeIs(2));
}

// Guards against a new pool that never gets a host, because a pool without hosts reports no demand.
TEST_F(MoverTest, NewPoolOfAServiceGetsItsFirstHost)
{
  ProfileSet profiles = TwoPools(2, 2);
  profiles.pools_["c"] = PoolRules{ "c", 0, 8, 64, false };
  profiles.pools_["unused"] = PoolRules{ "unused", 0, 8, 64, false };
  profiles.services_["c"] = Service{ "c", "c", "a" };
  const auto plan = [&](seconds aTime) {
    Availability availability(fleet_, profiles, {});
    return mover_.Plan(fleet_, profiles, availability, {}, {}, kStart + aTime);
  };
  EXPECT_THAT(plan(seconds(0)), IsEmpty());
  EXPECT_THAT(plan(seconds(19)), IsEmpty());
  const std::vector<PlannedMove> moves = plan(seconds(25));
  ASSERT_THAT(moves, SizeIs(1));
  EXPECT_EQ(moves.front().to_, "c");
  EXPECT_EQ(moves.front().from_, "b");
}

// Guards against moves that reduce the source pool below its floor.
TEST_F(MoverTest, KeepsTheFloorOfTheGivingPool)
{
  for (const char* id : { "b0", "b1", "b2", "b3" }) {
    fleet_.hosts_.erase(id);
  }
  Plan(200, seconds(0));
  EXPECT_THAT(Plan(200, seconds(60)), IsEmpty());
}

/// @returns The smallest number of spare hosts, by trying every placement; 1000 if none suffices.
uint32_t
SearchSpare(const std::vector<uint32_t>& aShortfalls, const std::vector<uint32_t>& aRoom)
{
  uint32_t best = 1000;
  std::vector<uint32_t> placed(aRoom.size(), 0);
  const std::function<void(size_t, uint32_t)> place = [&](size_t aRack, uint32_t aTotal) {
    if (aRack == aRoom.size()) {
      for (size_t i = 0; i < aRoom.size(); ++i) {
        if (aTotal - placed[i] < aShortfalls[i]) {
          return;
        }
      }
      best = std::min(best, aTotal);
      return;
    }
    for (placed[aRack] = 0; placed[aRack] <= aRoom[aRack]; ++placed[aRack]) {
      place(aRack + 1, aTotal + placed[aRack]);
    }
  };
  place(0, 0);
  return best;
}

// Guards against more spare hosts than needed, and against too few for the loss of a rack.
TEST(SparePlanner, MatchesAnExhaustiveSearch)
{
  std::mt19937_64 random(11);
  for (int run = 0; run < 300; ++run) {
    std::map<std::string, std::map<std::string, uint32_t>> pools;
    std::map<std::string, uint32_t> floors;
    std::map<std::string, uint32_t> room;
    std::vector<uint32_t> shortfalls(3, 0);
    std::vector<uint32_t> places;
    for (int rack = 0; rack < 3; ++rack) {
      places.push_back(random() % 4);
      room["r" + std::to_string(rack)] = places.back();
    }
    for (const std::string& pool : { std::string("a"), std::string("b") }) {
      uint32_t total = 0;
      for (int rack = 0; rack < 3; ++rack) {
        total += pools[pool]["r" + std::to_string(rack)] = random() % 3;
      }
      floors[pool] = total - random() % (total + 1);
      for (int rack = 0; rack < 3; ++rack) {
        const uint32_t left = total - pools[pool]["r" + std::to_string(rack)];
        shortfalls[rack] += floors[pool] > left ? floors[pool] - left : 0;
      }
    }
    const SparePlan plan = PlanSpare(pools, floors, room);
    const uint32_t exact = SearchSpare(shortfalls, places);
    ASSERT_EQ(plan.feasible_, exact < 1000);
    if (!plan.feasible_) {
      continue;
    }
    ASSERT_EQ(plan.hosts_, exact);
    uint32_t placed = 0;
    for (const auto& [rack, hosts] : plan.byRack_) {
      ASSERT_LE(hosts, room[rack]);
      placed += hosts;
    }
    ASSERT_EQ(placed, exact);
  }
}

// Guards against a distribution that omits hosts or isn't proportional to the floors.
TEST(SparePlanner, DistributesInProportionToFloors)
{
  rc::detail::TestParams params;
  params.seed = 17;
  const auto property = [] {
    const int count = *rc::gen::inRange(1, 60);
    ProfileSet profiles = TwoPools(1, 1);
    profiles.pools_["a"].floorHosts_ = *rc::gen::inRange(1, 9);
    std::vector<ListedHost> hosts;
    hosts.reserve(count);
    for (int i = 0; i < count; ++i) {
      hosts.push_back({ std::to_string(i), "", std::to_string(i / 4), "z", "", false });
    }
    const auto pools = DistributeHosts(hosts, profiles);
    RC_ASSERT(pools.size() == hosts.size());
    const double inA = std::count_if(
      pools.begin(), pools.end(), [](const auto& aPool) { return aPool.second == "a"; });
    const double floor = profiles.pools_["a"].floorHosts_;
    RC_ASSERT(std::abs(inA - count * floor / (floor + 1)) < 1);
  };
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << result;
}

class MemberTest : public testing::Test
{
protected:
  MemberTest()
  {
    fleet_.revision_ = 10;
    fleet_.members_["e1"] = { "e1", "i1", 2, 5 };
    fleet_.members_["e2"] = { "e2", "i2", 7, 7 };
    host_.id_ = "w1";
    host_.changedRevision_ = 8;
  }

  std::string Waits(seconds aTime)
  {
    return watch_.DrainBlocker(host_, fleet_, kStart + aTime).value_or("nothing");
  }

  MemberWatch watch_;
  FleetMap fleet_;
  FleetHost host_;
};

// Guards against a second write before every member has acknowledged and finished its requests.
TEST_F(MemberTest, WaitsForEveryMember)
{
  watch_.Observe(fleet_, { { "e1", "i1", 8, { "w1" }, {} }, { "e2", "i2", 7, {}, {} } }, kStart);
  EXPECT_EQ(Waits(seconds(1)), "member list changed");
  EXPECT_EQ(Waits(seconds(5)), "e1 has requests in flight");
  watch_.Observe(
    fleet_, { { "e1", "i1", 9, {}, {} }, { "e2", "i2", 7, {}, {} } }, kStart + seconds(5));
  EXPECT_EQ(Waits(seconds(5)), "e2 has not acknowledged");
  watch_.Observe(
    fleet_, { { "e1", "i1", 9, {}, {} }, { "e2", "other", 9, {}, {} } }, kStart + seconds(6));
  EXPECT_EQ(Waits(seconds(6)), "e2 has no entry record");
  watch_.Observe(
    fleet_, { { "e1", "i1", 9, {}, {} }, { "e2", "i2", 8, {}, {} } }, kStart + seconds(7));
  EXPECT_EQ(Waits(seconds(7)), "nothing");
}

// Guards against relying on the acknowledgement in the document, which doesn't include requests in
// flight. It is all that a planner knows right after its start.
TEST_F(MemberTest, AcknowledgementNeedsTheEntryRecord)
{
  fleet_.members_["e1"].ackedRevision_ = 9;
  const EntryReport second{ "e2", "i2", 9, {}, {} };
  watch_.Observe(fleet_, { { "e1", "i1", 6, {}, {} }, second }, kStart);
  EXPECT_EQ(Waits(seconds(5)), "e1 has not acknowledged");
}

// Guards against removing an expired member without a witness: it may still dispatch by the
// all-peers rule.
TEST_F(MemberTest, ExpiredMemberNeedsAWitness)
{
  // e2 joined at 7 and e1 is only known to have acknowledged 5, so e1 may not know e2.
  watch_.Observe(fleet_, { { "e2", "i2", 8, {}, {} } }, kStart);
  EXPECT_THAT(watch_.StoppedMembers(fleet_, kStart + seconds(3599)), IsEmpty());
  EXPECT_THAT(watch_.StoppedMembers(fleet_, kStart + seconds(3600)), SizeIs(1));
  // e2 has expired and acknowledged 7, and e1 joined at 2: e1 is its witness.
  watch_.Observe(fleet_, { { "e1", "i1", 8, {}, {} } }, kStart + seconds(1));
  EXPECT_THAT(watch_.StoppedMembers(fleet_, kStart + seconds(8)), IsEmpty());
  EXPECT_THAT(watch_.StoppedMembers(fleet_, kStart + seconds(9)), SizeIs(1));
}

}
}
