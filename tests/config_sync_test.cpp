#include "cluster_fixture.h"

namespace sardinespoke {
namespace {

using ConfigSyncTest = ClusterTest;

// Guards against a daemon that registers but never joins the member list.
TEST_F(ConfigSyncTest, JoinsAndConfirms)
{
  Start({ "e1", "e2", "e3", "e4" });
  EXPECT_EQ(StoredFleetMap().members_.size(), 4U);
  EXPECT_TRUE(Node("e1").sync_.IsObserver());
  EXPECT_TRUE(Node("e2").sync_.IsObserver());
  EXPECT_FALSE(Node("e3").sync_.IsObserver());
  EXPECT_EQ(Node("e4").sync_.Roster().size(), 4U);
  EXPECT_EQ(Node("e4").sync_.Roster().at("e1").fleetRevision_, StoredFleetMap().revision_);
}

// Guards against an accepted change that an entry host does not apply within 2 s, although the
// observer that would push it is isolated.
TEST_F(ConfigSyncTest, ProfileChangeIsInForceEverywhereWithinTwoSeconds)
{
  Start({ "e1", "e2", "e3", "e4", "e5", "e6", "e7" });
  network_.Isolate(Address("e1")); // The observer that would push.
  PutProfiles(2);
  EXPECT_TRUE(RunUntil(milliseconds(2000), [&]() {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& aNode) {
      return aNode.second->ProfilesRevision() == 2;
    });
  }));
}

// Guards against an older document from a peer or a restored store replacing the one in force, and
// against a restored store that is not written back.
TEST_F(ConfigSyncTest, KeepsGreaterRevisionsAndWritesThemBack)
{
  Start({ "e1", "e2", "e3" });
  const PlatformSnapshot backup = platform_.TakeSnapshot();
  PutProfiles(2);
  EditFleet([](FleetMap& aFleet) { aFleet.rollout_.number_ = 9; });
  Run(milliseconds(1000));
  const uint64_t revision = Node("e3").FleetRevision();
  Node("e2").sync_.ApplyIfNewer("config/profiles", backup.at(kProfiles));
  platform_.RestartWith(backup);
  observe_ = [&]() {
    for (const auto& [id, node] : nodes_) {
      EXPECT_EQ(node->ProfilesRevision(), 2U);
      EXPECT_GE(node->FleetRevision(), revision);
    }
  };
  Run(milliseconds(6000));
  EXPECT_TRUE(AllMayDispatch());
  EXPECT_EQ(StoredFleetMap().rollout_.number_, 9U);
  EXPECT_NE(platform_.TakeSnapshot().at(kProfiles), backup.at(kProfiles));
}

// Guards against two contents with the same revision being applied in turn without an event.
TEST_F(ConfigSyncTest, EqualRevisionWithOtherContentRaisesAnAlarm)
{
  Start({ "e1", "e2", "e3" });
  PutProfiles(1, "somebody else");
  Run(milliseconds(2000));
  EXPECT_EQ(Node("e1").Count("config.conflict"), 1U);
  EXPECT_EQ(Node("e1").sync_.Current()->profiles_->history_.at(0).author_, "a");
}

// Guards against a join that is repeated or abandoned after its response is lost.
TEST_F(ConfigSyncTest, LostResponsesDoNotChangeTheOutcome)
{
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.loseWriteResponses_ = 6; });
  Start({ "e1", "e2", "e3" });
  const FleetMap fleet = StoredFleetMap();
  EXPECT_EQ(fleet.members_.size(), 3U);
  EXPECT_EQ(fleet.revision_, 3U);
  EXPECT_EQ(Node("e3").sync_.Incarnation(), fleet.members_.at("e3").incarnation_);
}

// Guards against an isolated daemon that keeps dispatching by its old view, and against the other
// daemons stopping too.
TEST_F(ConfigSyncTest, DaemonCutOffFromAllStopsWithinTheViewLimit)
{
  Start({ "e1", "e2", "e3", "e4" });
  CutFromStore("e2");
  network_.Isolate(Address("e2"));
  observe_ = [&]() {
    EXPECT_TRUE(Node("e1").sync_.MayDispatch() && Node("e4").sync_.MayDispatch());
  };
  EXPECT_TRUE(RunUntil(milliseconds(2600), [&]() { return !Node("e2").sync_.MayDispatch(); }));
  Run(milliseconds(4000));
  EXPECT_FALSE(Node("e2").sync_.MayDispatch());
  EXPECT_TRUE(Node("e3").sync_.IsObserver()) << "the expired observer was not replaced";
}

// Guards against an entry host that stops dispatching although only its path to the store is down,
// and against it keeping its incarnation after its lease has expired.
TEST_F(ConfigSyncTest, DaemonCutOffFromTheStoreIsConfirmedByPeers)
{
  Start({ "e1", "e2", "e3" });
  CutFromStore("e1");
  observe_ = [&]() { EXPECT_TRUE(AllMayDispatch()); };
  Run(milliseconds(9000));
  const std::string before = Node("e1").sync_.Incarnation();
  CutFromStore("e1", false);
  Run(milliseconds(2000));
  EXPECT_NE(Node("e1").sync_.Incarnation(), before);
  EXPECT_EQ(StoredFleetMap().members_.at("e1").incarnation_, Node("e1").sync_.Incarnation());
}

// Guards against dispatching that stops in an outage of the store, and against a member that does
// not reply being counted as one that cannot reach the store.
TEST_F(ConfigSyncTest, OutageOfStoreAndHostListKeepsServingWhileAllPeersAgree)
{
  Start({ "e1", "e2", "e3", "e4" });
  platform_.ChangeFaults([](PlatformFaults& aFaults) {
    aFaults.storeDown_ = true;
    aFaults.hostListDown_ = true;
  });
  observe_ = [&]() { EXPECT_TRUE(AllMayDispatch()); };
  Run(milliseconds(20000));
  observe_ = nullptr;
  network_.Isolate(Address("e4"));
  Run(milliseconds(2600));
  EXPECT_FALSE(Node("e1").sync_.MayDispatch());
  EXPECT_FALSE(Node("e4").sync_.MayDispatch());
  platform_.SetFaults({});
  network_.Isolate(Address("e4"), false);
  EXPECT_TRUE(RunUntil(milliseconds(3000), [&]() { return AllMayDispatch(); }));
}

// Guards against a new daemon that dispatches without a view, and against one that cannot dispatch
// in an outage although it reaches a member that can sponsor it.
TEST_F(ConfigSyncTest, NewDaemonServesInOutageOnlyWithSponsor)
{
  Start({ "e1", "e2" });
  SetStoreDown(true);
  Run(milliseconds(3000));
  Add(Settings("f1"));
  Run(milliseconds(5000));
  EXPECT_FALSE(Node("f1").sync_.MayDispatch());

  ConfigSyncSettings settings = Settings("f2");
  settings.seedPeers_ = { Address("e1"), Address("e2") };
  Add(settings);
  EXPECT_TRUE(RunUntil(milliseconds(3000), [&]() { return Node("f2").sync_.MayDispatch(); }));
  observe_ = [&]() { EXPECT_TRUE(Node("f2").sync_.MayDispatch()); };
  Run(milliseconds(4000));
  SetStoreDown(false);
  Run(milliseconds(4000));
  EXPECT_TRUE(Node("f2").sync_.IsMember());
  observe_ = nullptr;
  SetStoreDown(true);
  network_.Isolate(Address("f2"));
  Run(milliseconds(2600));
  EXPECT_FALSE(Node("f2").sync_.MayDispatch());
}

// Guards against a sponsor that acknowledges a revision before its sponsored entry host uses it.
TEST_F(ConfigSyncTest, SponsorReportsSponsoredEntryInItsRecord)
{
  Start({ "e1" });
  SetStoreDown(true);
  Run(milliseconds(3000));
  ConfigSyncSettings settings = Settings("f1");
  settings.seedPeers_ = { Address("e1") };
  Add(settings);
  Run(milliseconds(3000));
  ASSERT_TRUE(Node("f1").sync_.MayDispatch());
  Node("f1").paused_ = true;
  SetStoreDown(false);
  Run(milliseconds(1000));
  const uint64_t before = Node("e1").sync_.Roster().at("e1").fleetRevision_;
  EditFleet([](FleetMap& aFleet) { aFleet.rollout_.number_ = 1; });
  Run(milliseconds(4000));
  EXPECT_EQ(Node("e1").sync_.Roster().at("e1").fleetRevision_, before);
  Run(milliseconds(6000)); // The sponsored entry host counts as stopped 8 s after its last message.
  EXPECT_EQ(Node("e1").sync_.Roster().at("e1").fleetRevision_, StoredFleetMap().revision_);
}

// Guards against two processes with one id dispatching at the same time: without proof that the old
// process has ended, the new one waits until its view and lease have certainly expired.
TEST_F(ConfigSyncTest, SecondProcessWithTheSameIdWaits)
{
  Start({ "e1", "e2" });
  Node("e2").paused_ = true;
  Run(milliseconds(4500)); // The entry record is deleted with its lease.
  ConfigSyncSettings settings = Settings("e2");
  settings.peer_ = Address("elsewhere");
  Add(settings);
  Run(milliseconds(7500));
  EXPECT_FALSE(Node("e2").sync_.IsMember());
  Run(milliseconds(1500));
  EXPECT_TRUE(Node("e2").sync_.MayDispatch());
}

// Guards against a delay after a restart at the same address, where the old process must have
// ended.
TEST_F(ConfigSyncTest, RestartAtTheSameAddressJoinsAtOnce)
{
  Start({ "e1", "e2" });
  Add(Settings("e2"));
  EXPECT_TRUE(RunUntil(milliseconds(1500), [&]() { return AllMayDispatch(); }));
}

// Guards against a graceful stop that does not remove the member, which would block every move.
TEST_F(ConfigSyncTest, GracefulStopLeavesTheMemberList)
{
  Start({ "e1", "e2", "e3" });
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.loseWriteResponses_ = 1; });
  Node("e1").sync_.Shutdown();
  EXPECT_FALSE(Node("e1").sync_.MayDispatch());
  nodes_.erase("e1");
  Run(milliseconds(1000));
  EXPECT_FALSE(Node("e3").sync_.Current()->fleet_->members_.contains("e1"));
  EXPECT_FALSE(Node("e3").sync_.Roster().contains("e1"));
}

// Guards against duplicate messages that change the state.
TEST_F(ConfigSyncTest, DuplicateMessagesHaveNoEffect)
{
  network_.SetDuplicateDelivery(true);
  Start({ "e1", "e2", "e3" });
  PutProfiles(2);
  Run(milliseconds(2000));
  EXPECT_TRUE(AllMayDispatch());
  EXPECT_EQ(Node("e3").Count("config.conflict"), 0U);
  EXPECT_EQ(Node("e3").ProfilesRevision(), 2U);
}

// Guards against applying documents from a sender that is no entry host.
TEST_F(ConfigSyncTest, DocumentOfAnUnknownSenderIsRefused)
{
  Start({ "e1" });
  std::unique_ptr<PeerLinkI> unknownPeer = network_.Connect("stranger");
  const nlohmann::json message{ { "type", "Document" },
                                { "sender", "x" },
                                { "key", "config/profiles" },
                                { "document", R"({"revision":99})" },
                                { "hybrid_time", 1 } };
  EXPECT_FALSE(unknownPeer->Call(Address("e1"), message, milliseconds(100)));
  EXPECT_EQ(Node("e1").ProfilesRevision(), 1U);
}

// Guards against store calls and control traffic that grow faster than the number of entry hosts.
// An idle daemon renews its lease once a second; two observers also watch the store and poll the
// host list twice a second.
TEST_F(ConfigSyncTest, StoreCallsAndTrafficPerSecondAreBounded)
{
  const auto measure = [&](const std::vector<std::string>& aIds) {
    Start(aIds);
    const uint64_t calls = platform_.Calls().Served();
    const uint64_t bytes = network_.BytesSent(Address("e1"));
    Run(milliseconds(10000));
    EXPECT_LE(network_.BytesSent(Address("e1")) - bytes, 10 * 7500U);
    return (platform_.Calls().Served() - calls) / 10.0;
  };
  EXPECT_LE(measure({ "e1", "e2", "e3" }), 2 * 4 + 3);
  EXPECT_LE(measure({ "e4", "e5", "e6", "e7" }), 2 * 4 + 7);
}

// Guards against sending the whole document to every entry host for each small change, and against
// applying a patch whose result does not match its hash.
TEST_F(ConfigSyncTest, SmallChangesOfLargeDocumentsAreSentAsPatches)
{
  Start({ "e1", "e2", "e3", "e4" });
  EditFleet([](FleetMap& aFleet) {
    for (int index = 0; index < 2900; ++index) {
      FleetHost& host = aFleet.hosts_["w" + std::to_string(index)];
      host.address_ = "10.0.0.1:" + std::to_string(index);
      host.pool_ = "births";
    }
  });
  Run(milliseconds(3000));
  const uint64_t before = network_.BytesSent(Address("e1"));
  EditFleet([](FleetMap& aFleet) { aFleet.hosts_["w7"].pool_ = "sales"; });
  Run(milliseconds(1000));
  EXPECT_EQ(Node("e4").sync_.Current()->fleet_->hosts_.at("w7").pool_, "sales");
  EXPECT_LT(network_.BytesSent(Address("e1")) - before, 30000U);

  const nlohmann::json wrong{
    { "type", "Document" },
    { "sender", "e2" },
    { "key", "config/fleet" },
    { "revision", 999 },
    { "hybrid_time", 1 },
    { "patch",
      { { "base", Node("e4").FleetRevision() }, { "operations", "[]" }, { "result_hash", 1 } } }
  };
  const uint64_t revision = Node("e4").FleetRevision();
  EXPECT_TRUE(Node("e2").link_->Call(Address("e4"), wrong, milliseconds(100)));
  EXPECT_EQ(Node("e4").FleetRevision(), revision);
}

}
}
