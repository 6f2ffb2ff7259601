#include "cluster_fixture.h"

namespace sardinespoke {
namespace {

using ConfigSyncTest = ClusterTest;

// Guards against a daemon that registers but never gets onto the member list.
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

// Guards against an accepted change that some entry host does not apply within 2 s.
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

// Guards against an older document of a peer or of a restored store replacing the one in force, and
// against a store that keeps the older document.
TEST_F(ConfigSyncTest, KeepsGreaterRevisionsAndWritesThemBack)
{
  Start({ "e1", "e2", "e3" });
  const PlatformSnapshot backup = platform_.TakeSnapshot();
  PutProfiles(2);
  EditFleet([](FleetMap& aFleet) { aFleet.rollout_.number_ = 9; });
  Run(milliseconds(1000));
  const uint64_t revision = Node("e3").FleetRevision();
  Node("e2").sync_.Offer("config/profiles", backup.at(kProfiles));
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

// Guards against two contents of one revision being applied one after the other, silently.
TEST_F(ConfigSyncTest, EqualRevisionWithOtherContentRaisesAnAlarm)
{
  Start({ "e1", "e2", "e3" });
  PutProfiles(1, "somebody else");
  Run(milliseconds(2000));
  EXPECT_EQ(Node("e1").Count("config.conflict"), 1U);
  EXPECT_EQ(Node("e1").sync_.Current()->profiles_->history_.at(0).author_, "a");
}

// Guards against a join whose answer is lost being made twice or given up.
TEST_F(ConfigSyncTest, LostAnswersDoNotChangeTheOutcome)
{
  platform_.ChangeFaults([](PlatformFaults& aFaults) { aFaults.loseWriteResponses_ = 6; });
  Start({ "e1", "e2", "e3" });
  const FleetMap fleet = StoredFleetMap();
  EXPECT_EQ(fleet.members_.size(), 3U);
  EXPECT_EQ(fleet.revision_, 3U);
  EXPECT_EQ(Node("e3").sync_.Incarnation(), fleet.members_.at("e3").incarnation_);
}

// Guards against a daemon that is cut off from everything and goes on dispatching on its old view,
// and against the others stopping with it.
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

// Guards against losing an entry host that only has no path to the store, and against it keeping
// its incarnation after its lease has lapsed.
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

// Guards against serving that stops with the store, and against a member that does not answer being
// taken for one that has no store either.
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

// Guards against a fresh daemon that serves without any view, and against one that cannot serve in
// an outage although it reaches a member.
TEST_F(ConfigSyncTest, FreshDaemonServesInAnOutageOnlyAsTheGuestOfAMember)
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

// Guards against a sponsor that acknowledges a revision its guest does not work with yet.
TEST_F(ConfigSyncTest, SponsorFoldsItsGuestIntoItsEntryRecord)
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
  Run(milliseconds(6000)); // The silent guest counts as stopped 8 s after its last message.
  EXPECT_EQ(Node("e1").sync_.Roster().at("e1").fleetRevision_, StoredFleetMap().revision_);
}

// Guards against a new process with the id of an old one dispatching beside it: without proof that
// the old one is gone, it waits until that one has certainly stopped.
TEST_F(ConfigSyncTest, SecondProcessWithTheSameIdWaits)
{
  Start({ "e1", "e2" });
  Node("e2").paused_ = true;
  Run(milliseconds(4500)); // The record has gone with its lease.
  ConfigSyncSettings settings = Settings("e2");
  settings.peer_ = Address("elsewhere");
  Add(settings);
  Run(milliseconds(7500));
  EXPECT_FALSE(Node("e2").sync_.IsMember());
  Run(milliseconds(1500));
  EXPECT_TRUE(Node("e2").sync_.MayDispatch());
}

// Guards against a restart at the same address that has to wait although the old process is gone.
TEST_F(ConfigSyncTest, RestartAtTheSameAddressJoinsAtOnce)
{
  Start({ "e1", "e2" });
  Add(Settings("e2"));
  EXPECT_TRUE(RunUntil(milliseconds(1500), [&]() { return AllMayDispatch(); }));
}

// Guards against a planned stop that leaves its member behind, for which every move would wait.
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

// Guards against an effect of a message that arrives a second time.
TEST_F(ConfigSyncTest, MessagesThatArriveTwiceAreHarmless)
{
  network_.SetDuplicateDelivery(true);
  Start({ "e1", "e2", "e3" });
  PutProfiles(2);
  Run(milliseconds(2000));
  EXPECT_TRUE(AllMayDispatch());
  EXPECT_EQ(Node("e3").Count("config.conflict"), 0U);
  EXPECT_EQ(Node("e3").ProfilesRevision(), 2U);
}

// Guards against documents from a sender that is no entry host.
TEST_F(ConfigSyncTest, DocumentOfAnUnknownSenderIsRefused)
{
  Start({ "e1" });
  std::unique_ptr<PeerLinkI> stranger = network_.Connect("stranger");
  const nlohmann::json message{ { "type", "Document" },
                                { "sender", "x" },
                                { "key", "config/profiles" },
                                { "document", R"({"revision":99})" },
                                { "hybrid_time", 1 } };
  EXPECT_FALSE(stranger->Call(Address("e1"), message, milliseconds(100)));
  EXPECT_EQ(Node("e1").ProfilesRevision(), 1U);
}

// Guards against store calls or control traffic that grow with more than the entry hosts: an idle
// daemon renews its lease once a second, and two of them watch and poll the host list twice.
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

// Guards against a whole document sent to every entry host for each small change, and against a
// patch that does not fit being applied.
TEST_F(ConfigSyncTest, SmallChangesOfLargeDocumentsTravelAsPatches)
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
