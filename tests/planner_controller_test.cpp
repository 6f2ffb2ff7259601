#include "planner_harness.h"

#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::IsEmpty;

bool
RolloutDone(PlannerHarness& aRig)
{
  return !aRig.Fleet().rollout_.active_;
}

std::set<uint64_t>
MaintainedBy(const FleetMap& aFleet)
{
  std::set<uint64_t> rollouts;
  for (const auto& [id, host] : aFleet.hosts_) {
    rollouts.insert(host.maintainedRollout_);
  }
  return rollouts;
}

// Guards against a first document that omits hosts or places a pool in too few racks.
TEST(PlannerController, FirstDocumentSpreadsHostsOverPools)
{
  PlannerHarness rig({}, 1);
  std::map<std::string, size_t> sizes;
  std::map<std::pair<std::string, std::string>, size_t> inRack;
  for (const auto& [id, host] : rig.Fleet().hosts_) {
    ++sizes[host.pool_];
    EXPECT_LE((++inRack[{ host.pool_, host.rack_ }]), 1U);
  }
  EXPECT_EQ(sizes.size(), 5U);
  for (const auto& [pool, size] : sizes) {
    EXPECT_EQ(size, 10U);
  }
  EXPECT_EQ(rig.Fleet().members_.size(), 3U);
}

// Guards against placing all hosts in the spare pool if an entry host joins before the planner's
// first step and so creates a document without hosts.
TEST(PlannerController, HostsAreDistributedIfMembersJoinFirst)
{
  HarnessShape shape;
  shape.membersFirst_ = true;
  PlannerHarness rig(shape, 1);
  std::map<std::string, size_t> sizes;
  for (const auto& [id, host] : rig.Fleet().hosts_) {
    ++sizes[host.pool_];
  }
  EXPECT_EQ(sizes.size(), 5U);
  EXPECT_EQ(rig.Fleet().members_.size(), 3U);
}

// Guards against a first document that loses the members of a document without hosts, or places all
// hosts in the spare pool.
TEST(PlannerController, FirstDocumentKeepsEarlierMembers)
{
  PlannerHarness rig({}, 1);
  FleetMap empty;
  empty.members_["e7"] = { "e7", "1", 1, 1 };
  HostListSnapshot list;
  for (const auto& [id, host] : rig.Fleet().hosts_) {
    list.hosts_.push_back({ id, "", host.rack_, host.zone_, "", false });
  }
  const PlannerCore core({}, "e0");
  const std::optional<FleetMap> first = core.FirstDocument(empty, list, rig.Profiles(), "c");
  ASSERT_TRUE(first);
  EXPECT_EQ(first->members_.count("e7"), 1U);
  const auto inSpare = std::count_if(first->hosts_.begin(), first->hosts_.end(), [](auto& aHost) {
    return aHost.second.pool_ == "pool4";
  });
  EXPECT_EQ(inSpare, 10);
}

// Guards against acknowledgements missing in the document: a member that stops later then has no
// witness and can't be removed for an hour.
TEST(PlannerController, DocumentRecordsAcknowledgements)
{
  PlannerHarness rig({}, 1);
  uint64_t lastJoined = 0;
  for (const auto& [id, member] : rig.Fleet().members_) {
    lastJoined = std::max(lastJoined, member.joinedRevision_);
  }
  for (const auto& [id, member] : rig.Fleet().members_) {
    EXPECT_GE(std::max(member.ackedRevision_, member.joinedRevision_), lastJoined) << id;
  }
  const uint64_t revision = rig.Fleet().revision_;
  rig.Run(seconds(10));
  EXPECT_EQ(rig.Fleet().revision_, revision); // Acknowledgements alone cause no further writes.
}

// Guards against a roll-out that skips hosts, never ends, exceeds a budget or reboots a busy host.
TEST(PlannerController, RolloutMaintainsEveryHostOnce)
{
  PlannerHarness rig({}, 2);
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  EXPECT_FALSE(rig.Editor().StartRollout(0, "operator"));
  EXPECT_TRUE(rig.RunUntil([&] { return RolloutDone(rig); }, minutes(20)));
  EXPECT_EQ(MaintainedBy(rig.Fleet()), std::set<uint64_t>{ 1 });
  EXPECT_EQ(rig.CountHosts(HostState::Serving), 50U);
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against losing the error code of a refused operator command between two error handlers.
TEST(PlannerController, RefusedCommandsReturnTheReason)
{
  PlannerHarness rig({}, 2);
  const auto codeOf = [](const auto& aCall) {
    return leaf::try_handle_all(
      [&]() -> leaf::result<PlannerError::Code> {
        BOOST_LEAF_CHECK(aCall());
        return PlannerError::Code::Count;
      },
      [](const PlannerError& aError) { return aError.code_; },
      [] { return PlannerError::Code::NotHolder; });
  };
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  EXPECT_EQ(codeOf([&] { return rig.Editor().StartRollout(0, "operator"); }),
            PlannerError::Code::InvalidTransition);
  EXPECT_EQ(codeOf([&] { return rig.Editor().ForgetMember(0, "entry-99"); }),
            PlannerError::Code::UnknownHost);
}

/// Runs steps of planner 1 inside every write of planner 0, while hosts fail and return.
std::vector<std::string>
RunTwoPlanners(HarnessMutants aMutants)
{
  HarnessShape shape;
  shape.planners_ = 2;
  PlannerHarness rig(shape, 3, aMutants);
  rig.SetAllPlannersLead(true);
  static_cast<void>(rig.Editor().StartRollout(0, "operator"));
  for (int i = 0; i < 600; ++i) {
    const std::string host = "w" + std::to_string(100 + (i * 7) % 50);
    rig.beforeWrite_ = [&] {
      rig.FailHost(host);
      rig.Planner(1).Step(); // Observes that the host is missing and polls its power state.
      rig.Planner(1).Step();
    };
    rig.Tick();
    rig.beforeWrite_ = nullptr;
    rig.Tick();
    rig.RepairHost(host);
  }
  return rig.Violations();
}

// Guards against two planners that use the same unit of an availability budget (P1).
TEST(PlannerController, ConcurrentPlannersKeepTheBudget)
{
  EXPECT_THAT(RunTwoPlanners({}), IsEmpty());
}

// Verifies that the checks detect a budget that is checked before the write but not by
// compare-and-swap in the same write.
TEST(PlannerControllerMutants, UncheckedWriteBreaksTheBudget)
{
  HarnessMutants mutants;
  mutants.uncheckedWrites_ = true;
  EXPECT_THAT(RunTwoPlanners(mutants), testing::Contains(testing::HasSubstr("P1")));
}

// Guards against a holder of the planner lease that resumes after another planner took over, and
// overwrites its changes.
TEST(PlannerController, PausedHolderCannotWrite)
{
  HarnessShape shape;
  shape.planners_ = 2;
  PlannerHarness rig(shape, 4);
  ASSERT_TRUE(rig.Planner(0).IsHolder());
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  uint64_t revision = 0;
  rig.beforeWrite_ = [&] {
    rig.PausedPlanners().insert(0);
    rig.FailHost("w100");
    rig.Run(minutes(1));
    EXPECT_TRUE(rig.Planner(1).IsHolder());
    revision = rig.Fleet().revision_;
  };
  EXPECT_EQ(rig.Planner(0).Step(), PlannerController::Outcome::Failed);
  EXPECT_EQ(rig.Fleet().revision_, revision);
  EXPECT_EQ(rig.Planner(0).Step(), PlannerController::Outcome::NotHolder);
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

/// Pauses the holder before a reboot call until another planner has returned the host to service.
/// @param aFirstCallFails Pauses before the repeated call, which is based on a newly read document.
std::vector<std::string>
PauseBeforeReboot(HarnessMutants aMutants, bool aFirstCallFails)
{
  HarnessShape shape;
  shape.planners_ = 2;
  shape.rebootTime_ = seconds(5);
  PlannerHarness rig(shape, 5, aMutants);
  static_cast<void>(rig.Editor().StartRollout(0, "operator"));
  const auto pause = [&] {
    rig.PausedPlanners().insert(0);
    rig.Run(seconds(25));
  };
  const auto control = [&](bool aDown) {
    rig.Platform().ChangeFaults([=](PlatformFaults& aFaults) { aFaults.hostControlDown_ = aDown; });
  };
  const auto armed = [&] {
    rig.afterWrite_ = [&] {
      if (rig.CountHosts(HostState::Maintenance) == 0) {
        return;
      }
      aFirstCallFails ? control(true) : pause();
    };
    return rig.CountHosts(HostState::Maintenance) > 0;
  };
  EXPECT_TRUE(rig.RunUntil(armed, minutes(2)));
  rig.afterWrite_ = nullptr;
  if (aFirstCallFails) {
    control(false);
    rig.afterRead_ = pause;
    rig.Clock().Advance(milliseconds(500));
    rig.Planner(0).Step();
  }
  return rig.Violations();
}

// Guards against a reboot call after another planner has returned the host to service.
TEST(PlannerController, PausedHolderDoesNotRebootServingHosts)
{
  EXPECT_THAT(PauseBeforeReboot({}, false), IsEmpty());
  EXPECT_THAT(PauseBeforeReboot({}, true), IsEmpty());
}

// Verifies that the checks detect reboot calls based on an outdated document.
TEST(PlannerControllerMutants, RebootOnOldDocumentIsFound)
{
  HarnessMutants mutants;
  mutants.skipReadLimit_ = true;
  const auto found = testing::Contains(testing::HasSubstr("P7"));
  EXPECT_THAT(PauseBeforeReboot(mutants, false), found);
  EXPECT_THAT(PauseBeforeReboot(mutants, true), found);
}

// Guards against repeated or skipped steps if the response to a write or a reboot call is lost.
TEST(PlannerController, LostResponsesDoNotChangeTheOutcome)
{
  PlannerHarness rig({}, 6);
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  const auto lose = [&] {
    rig.Platform().ChangeFaults([](PlatformFaults& aFaults) {
      aFaults.loseWriteResponses_ = 1;
      aFaults.loseRebootResponses_ = 1;
    });
    return RolloutDone(rig);
  };
  EXPECT_TRUE(rig.RunUntil(lose, minutes(20)));
  EXPECT_EQ(MaintainedBy(rig.Fleet()), std::set<uint64_t>{ 1 });
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

/// Raises the demand of pool0 until a host drains for a move to it.
std::string
StartMoveByDemand(PlannerHarness& aRig)
{
  aRig.Demand()["pool0"] = 150;
  std::string moving;
  EXPECT_TRUE(aRig.RunUntil(
    [&] {
      for (const auto& [id, host] : aRig.Fleet().hosts_) {
        moving = host.reason_ == DrainReason::Move ? id : moving;
      }
      return !moving.empty();
    },
    minutes(5)));
  return moving;
}

// Guards against a move that is lost or completed too early if the store fails during it.
TEST(PlannerController, StoreOutageDuringAMove)
{
  PlannerHarness rig({}, 7);
  const std::string host = StartMoveByDemand(rig);
  rig.Demand().clear();
  const uint64_t revision = rig.Fleet().revision_;
  rig.Platform().ChangeFaults([](PlatformFaults& aFaults) { aFaults.storeDown_ = true; });
  rig.Run(minutes(2));
  EXPECT_EQ(rig.Fleet().revision_, revision);
  rig.Platform().ChangeFaults([](PlatformFaults& aFaults) { aFaults.storeDown_ = false; });
  rig.Run(seconds(30));
  EXPECT_EQ(rig.Fleet().hosts_.at(host).pool_, "pool0");
  EXPECT_EQ(rig.Fleet().hosts_.at(host).state_, HostState::Serving);
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against counting outdated entry records as acknowledgements, which would complete a move
// too early.
TEST(PlannerController, StaleEntryRecordsDelayTheSecondWrite)
{
  PlannerHarness rig({}, 8);
  rig.FreezeReports(true);
  const std::string host = StartMoveByDemand(rig);
  rig.Run(seconds(20));
  EXPECT_EQ(rig.Fleet().hosts_.at(host).state_, HostState::Draining);
  rig.FreezeReports(false);
  rig.Run(seconds(10));
  EXPECT_EQ(rig.Fleet().hosts_.at(host).pool_, "pool0");
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Verifies that the checks detect a move that is completed without acknowledgements (P2).
TEST(PlannerControllerMutants, UnacknowledgedMoveIsFound)
{
  HarnessMutants mutants;
  mutants.assumeAcks_ = true;
  PlannerHarness rig({}, 9, mutants);
  StartMoveByDemand(rig);
  rig.Run(seconds(10));
  EXPECT_THAT(rig.Violations(), testing::Contains(testing::HasSubstr("P2")));
}

// Guards against moving or rebooting a host that an entry host with an outdated view still uses,
// and against a drain that never releases its budget unit.
TEST(PlannerController, MemberThatNeverAcknowledgesBlocksOnlyTheSecondWrite)
{
  PlannerHarness rig({}, 10);
  rig.Entry(2).acknowledges_ = false;
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  rig.Run(seconds(30));
  EXPECT_EQ(rig.CountHosts(HostState::Draining), 5U);
  rig.Run(seconds(30));
  EXPECT_EQ(rig.CountHosts(HostState::Maintenance), 0U);
  rig.Entry(2).acknowledges_ = true;
  EXPECT_TRUE(rig.RunUntil([&] { return RolloutDone(rig); }, minutes(20)));
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against waiting indefinitely for a killed entry host, and against a paused one that
// resumes after its removal.
TEST(PlannerController, ExpiredMembersAreRemovedAndDrainsGoOn)
{
  PlannerHarness rig({}, 11);
  rig.Entry(1).dead_ = true;
  rig.Entry(2).paused_ = true;
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  rig.Run(seconds(10));
  EXPECT_EQ(rig.Fleet().members_.size(), 3U);
  rig.Run(seconds(5));
  EXPECT_EQ(rig.Fleet().members_.size(), 1U);
  EXPECT_TRUE(
    rig.RunUntil([&] { return rig.CountHosts(HostState::Maintenance) == 5; }, seconds(15)));
  rig.Entry(2).paused_ = false;
  EXPECT_TRUE(rig.RunUntil([&] { return RolloutDone(rig); }, minutes(20)));
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against a roll-out that continues draining while a lost rack uses up the budgets.
TEST(PlannerController, RackLossStopsTheRolloutAtTheNextStep)
{
  PlannerHarness rig({}, 12);
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  rig.Run(minutes(3));
  const std::vector<std::string> lost = rig.FailRack("r5");
  rig.Run(minutes(3));
  std::map<std::string, size_t> out;
  for (const auto& [id, host] : rig.Fleet().hosts_) {
    out[host.pool_] += host.state_ == HostState::Serving ? 0 : 1;
  }
  for (const std::string& id : lost) {
    EXPECT_EQ(rig.Fleet().hosts_.at(id).state_, HostState::Failed);
    EXPECT_EQ(out[rig.Fleet().hosts_.at(id).pool_], 1U);
  }
  for (const std::string& id : lost) {
    rig.RepairHost(id);
  }
  EXPECT_TRUE(rig.RunUntil([&] { return RolloutDone(rig); }, minutes(20)));
  EXPECT_EQ(rig.CountHosts(HostState::Serving), 50U);
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against releasing the budget unit of a host that does not return from its reboot.
TEST(PlannerController, HostThatNeverReturnsKeepsItsBudgetUnit)
{
  PlannerHarness rig({}, 13);
  rig.Platform().ChangeFaults([](PlatformFaults& aFaults) { aFaults.stuckHosts_ = { "w100" }; });
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  const auto state = [&] { return rig.Fleet().hosts_.at("w100").state_; };
  ASSERT_TRUE(rig.RunUntil([&] { return state() == HostState::Maintenance; }, minutes(15)));
  rig.Run(minutes(9));
  EXPECT_EQ(state(), HostState::Maintenance);
  EXPECT_TRUE(rig.RunUntil([&] { return state() == HostState::Failed; }, minutes(2)));
  rig.Run(minutes(20));
  EXPECT_EQ(state(), HostState::Failed);
  EXPECT_FALSE(RolloutDone(rig));
  rig.Platform().ChangeFaults([](PlatformFaults& aFaults) { aFaults.stuckHosts_.clear(); });
  EXPECT_TRUE(rig.RunUntil([&] { return RolloutDone(rig); }, minutes(20)));
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against returning to an older revision after the store is restored from a backup.
TEST(PlannerController, RestoredStoreIsWrittenBack)
{
  PlannerHarness rig({}, 14);
  const PlatformSnapshot backup = rig.Platform().TakeSnapshot();
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  rig.Run(seconds(30));
  const FleetMap before = rig.Fleet();
  rig.Platform().RestartWith(backup);
  rig.Run(seconds(1));
  EXPECT_GE(rig.Fleet().revision_, before.revision_);
  EXPECT_TRUE(rig.Fleet().rollout_.active_);
  EXPECT_TRUE(rig.RunUntil([&] { return RolloutDone(rig); }, minutes(20)));
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against a fleet document that doesn't reflect changes of the host list.
TEST(PlannerController, FollowsTheHostList)
{
  PlannerHarness rig({}, 15);
  ListedHost added{ "x1", "127.0.0.1:30000", "r99", "z0", "region", false };
  rig.Platform().AddHost(added);
  rig.Run(seconds(1));
  EXPECT_EQ(rig.Fleet().hosts_.at("x1").pool_, "pool4"); // The spare pool.
  rig.Platform().MarkLeaving("w100");
  rig.Run(seconds(1));
  EXPECT_EQ(rig.Fleet().hosts_.at("w100").reason_, DrainReason::Leaving);
  rig.Run(seconds(10));
  EXPECT_EQ(rig.Fleet().hosts_.at("w100").state_, HostState::Leaving);
  rig.Platform().RemoveHost("w100");
  rig.Run(seconds(1));
  EXPECT_EQ(rig.Fleet().hosts_.count("w100"), 0U);
  rig.FailHost("w101");
  rig.Run(minutes(9));
  EXPECT_EQ(rig.Fleet().hosts_.at("w101").state_, HostState::Failed);
  rig.Run(minutes(2));
  EXPECT_EQ(rig.Fleet().hosts_.count("w101"), 0U);
  EXPECT_THAT(rig.Violations(), IsEmpty());
}

// Guards against drains during a paused roll-out, commands on an outdated document, and a member
// that can't be removed by an operator.
TEST(PlannerController, OperatorCommands)
{
  PlannerHarness rig({}, 16);
  EXPECT_FALSE(rig.Editor().PauseRollout(0));
  ASSERT_TRUE(rig.Editor().StartRollout(0, "operator"));
  ASSERT_TRUE(rig.Editor().PauseRollout(0));
  rig.Run(seconds(20));
  EXPECT_EQ(rig.CountHosts(HostState::Serving), 50U);
  EXPECT_FALSE(rig.Editor().ResumeRollout(rig.Fleet().revision_ + 1));
  ASSERT_TRUE(rig.Editor().ResumeRollout(rig.Fleet().revision_));
  rig.Run(seconds(2));
  EXPECT_EQ(rig.CountHosts(HostState::Serving), 45U);
  EXPECT_FALSE(rig.Editor().ForgetMember(0, "e9"));
  rig.Entry(2).dead_ = true;
  ASSERT_TRUE(rig.Editor().ForgetMember(0, "e2"));
  EXPECT_EQ(rig.Fleet().members_.count("e2"), 0U);
}

}
}
