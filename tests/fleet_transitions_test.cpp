#include "sardinespoke/fleet_transitions.h"

#include <functional>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace sardinespoke {
namespace {

using Transition = std::function<leaf::result<void>(FleetMap&, const std::string&)>;

std::vector<Transition>
AllTransitions()
{
  return {
    [](FleetMap& aFleet, const std::string& aHost) { return StartMove(aFleet, aHost, "sales"); },
    [](FleetMap& aFleet, const std::string& aHost) { return StartMove(aFleet, aHost, "births"); },
    StartMaintenanceDrain,
    StartLeavingDrain,
    FinishMove,
    CancelDrain,
    [](FleetMap& aFleet, const std::string& aHost) { return StartReboot(aFleet, aHost, 3); },
    ReturnToService,
    MarkFailed,
    MarkLeaving,
    RemoveHost,
    [](FleetMap& aFleet, const std::string& aHost) {
      ListedHost listed;
      listed.id_ = aHost;
      return AddHost(aFleet, listed, "births");
    },
  };
}

// Applies random transitions. Guards against a host without a pool or in an inconsistent state,
// against a pool that changes without a drain, and against a rejected transition that changes the
// document.
TEST(FleetTransitions, AnySequenceKeepsEachHostInOnePool)
{
  const std::vector<Transition> transitions = AllTransitions();
  std::mt19937_64 random(20261204);
  FleetMap fleet;
  fleet.rollout_.active_ = true;
  size_t accepted = 0;
  for (int step = 0; step < 20000; ++step) {
    const std::string id = "w" + std::to_string(random() % 4);
    const size_t choice = random() % transitions.size();
    FleetMap next = fleet;
    next.BeginWrite("e1", "c" + std::to_string(step));
    const FleetMap before = next;
    const bool done = static_cast<bool>(transitions[choice](next, id));
    if (!done) {
      ASSERT_EQ(next, before);
      continue;
    }
    ++accepted;
    // The parser rejects a host without a pool, or with a drain reason or target pool that does not
    // match its state.
    const leaf::result<FleetMap> parsed = FleetMap::Parse(next.Serialize());
    ASSERT_TRUE(parsed);
    ASSERT_EQ(*parsed, next);
    for (const auto& [hostId, host] : next.hosts_) {
      ASSERT_FALSE(host.pool_.empty());
      const auto old = fleet.hosts_.find(hostId);
      if (old != fleet.hosts_.end() && old->second.pool_ != host.pool_) {
        ASSERT_EQ(old->second.state_, HostState::Draining);
        ASSERT_EQ(old->second.targetPool_, host.pool_);
      }
    }
    fleet = next;
  }
  EXPECT_GT(accepted, 2000U);
}

// Guards against rebooting a host that still serves, and against reusing a host that is leaving.
TEST(FleetTransitions, RefusesIllegalChanges)
{
  FleetMap fleet;
  ListedHost listed;
  listed.id_ = "w1";
  ASSERT_TRUE(AddHost(fleet, listed, "births"));
  const auto code = [](const std::function<leaf::result<void>()>& aCall) {
    return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(aCall());
        return std::string("accepted");
      },
      [](const PlannerError& aError) { return std::string(CodeName(aError.code_)); },
      [] { return std::string("other"); });
  };
  EXPECT_EQ(code([&] { return StartReboot(fleet, "w1", 1); }), "invalid-transition");
  EXPECT_EQ(code([&] { return RemoveHost(fleet, "w1"); }), "invalid-transition");
  EXPECT_EQ(code([&] { return StartMaintenanceDrain(fleet, "w1"); }), "invalid-transition");
  EXPECT_EQ(code([&] { return FinishMove(fleet, "w9"); }), "unknown-host");
  ASSERT_TRUE(StartMove(fleet, "w1", "sales"));
  EXPECT_EQ(code([&] { return StartMove(fleet, "w1", "other"); }), "invalid-transition");
  ASSERT_TRUE(StartLeavingDrain(fleet, "w1"));
  EXPECT_EQ(code([&] { return FinishMove(fleet, "w1"); }), "invalid-transition");
  EXPECT_EQ(code([&] { return CancelDrain(fleet, "w1"); }), "invalid-transition");
}

}
}
