#include "cluster_fixture.h"
#include "document_patch_p.h"

namespace sardinespoke {
namespace {

// Guards against a patched text that differs from the sender's document in any byte.
TEST(DocumentPatchTest, ReproducesTheTargetText)
{
  const std::string from = R"({"a":[1,2,3],"b":{"c/d":"x","e~":1}})";
  const std::string to = R"({"a":[2,3,4,5],"b":{"c/d":"y"},"f":null})";
  const auto patch = MakeDocumentPatch(7, from, to);
  // No patch, because it would be larger than this small document.
  EXPECT_FALSE(patch.has_value());
  const std::string filler = R"(,"z":")" + std::string(1000, 'z') + "\"}";
  const std::string longFrom = from.substr(0, from.size() - 1) + filler;
  const std::string longTo = to.substr(0, to.size() - 1) + filler;
  const auto longPatch = MakeDocumentPatch(7, longFrom, longTo);
  ASSERT_TRUE(longPatch.has_value());
  EXPECT_EQ(longPatch->base_, 7U);
  EXPECT_LT(longPatch->operations_.size(), longTo.size());
  EXPECT_EQ(ApplyDocumentPatch(longFrom, *longPatch), longTo);
}

// Guards against applying a patch to a different document of the same revision, against malformed
// patches, and against patches of texts whose layout they cannot reproduce.
TEST(DocumentPatchTest, RejectsPatchesThatDoNotReproduceTheTarget)
{
  const std::string filler = R"("z":")" + std::string(1000, 'z') + "\"}";
  const std::string from = R"({"a":1,"b":1,)" + filler;
  const std::string to = R"({"a":2,"b":1,)" + filler;
  auto patch = MakeDocumentPatch(1, from, to);
  ASSERT_TRUE(patch.has_value());
  EXPECT_FALSE(ApplyDocumentPatch(R"({"a":1,"b":9,)" + filler, *patch).has_value());
  EXPECT_FALSE(ApplyDocumentPatch("{", *patch).has_value());
  for (const char* broken : { "", "{}", "[1]", R"([{"op":"remove","path":"/none"}])" }) {
    patch->operations_ = broken;
    EXPECT_FALSE(ApplyDocumentPatch(from, *patch).has_value()) << broken;
  }
  EXPECT_FALSE(MakeDocumentPatch(1, from, R"({ "a":2,"b":1,)" + filler).has_value());
  EXPECT_FALSE(MakeDocumentPatch(1, "{", to).has_value());
}

class DocumentPushTest : public ClusterTest
{
protected:
  static constexpr uint32_t kHosts = 400;

  void SetUp() override
  {
    Start({ "e1", "e2", "e3", "e4" });
    EditFleet([](FleetMap& aFleet) {
      for (uint32_t index = 0; index < kHosts; ++index) {
        FleetHost host;
        host.id_ = "host-" + std::to_string(index);
        host.address_ = "127.0.0.1:" + std::to_string(20000 + index);
        host.rack_ = "r" + std::to_string(index / 4);
        host.pool_ = "p";
        aFleet.hosts_[host.id_] = host;
      }
    });
    ASSERT_TRUE(RunUntil(milliseconds(2000), [&]() { return AllHaveStored(); }));
    Run(milliseconds(1000));
  }

  bool AllHaveStored()
  {
    const uint64_t revision = StoredFleetMap().revision_;
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& aNode) {
      return aNode.second->FleetRevision() == revision;
    });
  }

  void Drain(const std::string& aHost)
  {
    EditFleet([&](FleetMap& aFleet) {
      aFleet.hosts_[aHost].state_ = HostState::Draining;
      aFleet.hosts_[aHost].reason_ = DrainReason::Maintenance;
    });
  }

  uint64_t BytesOfAll() const
  {
    uint64_t bytes = 0;
    for (const auto& [id, node] : nodes_) {
      bytes += network_.BytesSent(Address(id));
    }
    return bytes;
  }

  /// Expects that every daemon has applied exactly the stored document.
  void ExpectSameEverywhere()
  {
    const FleetMap stored = StoredFleetMap();
    for (const auto& [id, node] : nodes_) {
      EXPECT_EQ(*node->sync_.Current()->fleet_, stored) << id;
      EXPECT_EQ(node->Count("config.conflict"), 0U) << id;
      EXPECT_EQ(node->Count("config.invalid"), 0U) << id;
    }
  }
};

// Guards against control traffic proportional to the document for each change of one host.
TEST_F(DocumentPushTest, SingleHostChangeIsSentAsPatch)
{
  const uint64_t before = BytesOfAll();
  Drain("host-7");
  ASSERT_TRUE(RunUntil(milliseconds(2000), [&]() { return AllHaveStored(); }));
  EXPECT_LT(BytesOfAll() - before, StoredFleetMap().Serialize().size() / 2);
  ExpectSameEverywhere();
}

// Guards against a daemon that stays behind after missed changes because neither a push nor a
// Confirm reply brings a patch for its revision.
TEST_F(DocumentPushTest, DaemonCatchesUpAfterMissedChanges)
{
  for (const int missed : { 2, 3, 9 }) {
    network_.Isolate(Address("e4"));
    CutFromStore("e4");
    for (int change = 0; change < missed; ++change) {
      Drain("host-" + std::to_string(10 * missed + change));
      Run(milliseconds(200));
    }
    network_.Isolate(Address("e4"), false);
    ASSERT_TRUE(RunUntil(milliseconds(3000), [&]() { return AllHaveStored(); })) << missed;
    CutFromStore("e4", false);
    ExpectSameEverywhere();
    Run(milliseconds(2000));
  }
}

// Guards against a daemon that stays behind when patches are corrupted in transit.
TEST_F(DocumentPushTest, FallsBackToWholeDocumentIfPatchFails)
{
  CutFromStore("e4");
  network_.SetReplyFilter([](const std::string&,
                             const std::string&,
                             const nlohmann::json& aMessage,
                             nlohmann::json& aReply) {
    if (aMessage.at("type") == "Confirm" && aReply.contains("patches")) {
      for (auto& patch : aReply["patches"]) {
        patch["result_hash"] = 1;
      }
    }
  });
  network_.Partition(Address("e1"), Address("e4"));
  Drain("host-7");
  ASSERT_TRUE(RunUntil(milliseconds(4000), [&]() { return AllHaveStored(); }));
  ExpectSameEverywhere();
}

}
}
