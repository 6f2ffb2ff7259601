#include "demand_selection_p.h"
#include "fake_peer_network.h"
#include "sardinespoke/demand_exchange.h"
#include "sardinespoke/manual_clock.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

// Guards against messages that omit the largest changes or never refresh unchanged entries.
TEST(PeerDemandTest, SendsTheLargestChangesFirstAndRefreshesTheRest)
{
  PeerDemand peer;
  const DemandEntries current{ { "a", 1 }, { "b", 50 }, { "c", 7 }, { "d", 0 } };
  const size_t two = 2 * EncodedEntrySize("a");
  DemandSelection message = peer.Select(current, two);
  EXPECT_EQ(message.entries_, (DemandEntries{ { "b", 50 }, { "c", 7 } }));
  peer.OnDelivered(message);
  message = peer.Select(current, two);
  EXPECT_EQ(message.entries_.at("a"), 1U);
  peer.OnDelivered(message);
  DemandEntries refreshed;
  for (int count = 0; count < 2; ++count) {
    message = peer.Select(current, two);
    refreshed.insert(message.entries_.begin(), message.entries_.end());
    peer.OnDelivered(message);
  }
  EXPECT_EQ(refreshed, current);
  EXPECT_EQ(peer.Select({ { "a", 1 }, { "c", 7 } }, two).entries_.at("b"), 0U);
}

class DemandExchangeTest : public ::testing::Test
{
protected:
  struct Node
  {
    std::unique_ptr<PeerLinkI> link_;
    std::unique_ptr<DemandExchange> exchange_;
  };

  void Add(const std::string& aId, const std::string& aProcess = "p1")
  {
    nodes_.erase(aId);
    DemandExchangeSettings settings;
    settings.id_ = aId;
    settings.process_ = aProcess;
    Node& node = nodes_[aId];
    node.link_ = network_.Connect(aId);
    node.exchange_ = std::make_unique<DemandExchange>(
      settings,
      *node.link_,
      clock_,
      DemandExchangeCallbacks{ [this, aId]() { return Others(aId); },
                               [](const std::string& aSender) { return aSender != "stranger"; },
                               [this, aId]() { return network_.BytesSent(aId); } });
  }

  std::vector<DemandPeer> Others(const std::string& aId) const
  {
    std::vector<DemandPeer> others;
    for (const auto& [id, node] : nodes_) {
      if (id != aId) {
        others.push_back({ id, id });
      }
    }
    return others;
  }

  void Run(milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += milliseconds(100)) {
      clock_.Advance(milliseconds(100));
      for (auto& [id, node] : nodes_) {
        node.exchange_->Step();
      }
    }
  }

  DemandEntries Seen(const std::string& aAt, const std::string& aOf)
  {
    const auto table = nodes_.at(aAt).exchange_->Table();
    auto found = table->byEntryHost_.find(aOf);
    return found == table->byEntryHost_.end() ? DemandEntries{} : found->second.byProfile_;
  }

  ManualClock clock_;
  FakePeerNetwork network_;
  std::map<std::string, Node> nodes_;
};

// Guards against demand that isn't delivered, and against counting the demand of an unreachable
// entry host.
TEST_F(DemandExchangeTest, SharesDemandAndDropsSilentPeers)
{
  Add("e1");
  Add("e2");
  Add("e3");
  network_.SetDuplicateDelivery(true);
  nodes_["e1"].exchange_->Publish({ "e1", { { "births", 12 }, { "sales", 3 } } });
  Run(milliseconds(500));
  EXPECT_EQ(Seen("e3", "e1"), (DemandEntries{ { "births", 12 }, { "sales", 3 } }));
  nodes_["e1"].exchange_->Publish({ "e1", { { "births", 1 } } });
  Run(milliseconds(500));
  EXPECT_EQ(Seen("e3", "e1"), (DemandEntries{ { "births", 1 } }));
  network_.Isolate("e1");
  Run(milliseconds(1100));
  EXPECT_FALSE(nodes_["e2"].exchange_->Table()->byEntryHost_.contains("e1"));
  EXPECT_TRUE(nodes_["e2"].exchange_->Table()->byEntryHost_.contains("e3"));
}

// Guards against a restarted peer that never receives entries that haven't changed since.
TEST_F(DemandExchangeTest, RestartedPeerGetsAllEntriesAgain)
{
  Add("e1");
  Add("e2");
  nodes_["e1"].exchange_->Publish({ "e1", { { "births", 12 } } });
  Run(milliseconds(1000));
  Add("e2", "p2");
  Run(milliseconds(1500));
  EXPECT_EQ(Seen("e2", "e1"), (DemandEntries{ { "births", 12 } }));
}

// Guards against control traffic above the byte budget at the size planned for two years, if every
// entry changes.
TEST_F(DemandExchangeTest, StaysWithinTheByteBudget)
{
  for (int index = 1; index <= 7; ++index) {
    Add("e" + std::to_string(index));
  }
  DemandReport report;
  const auto change = [&](uint32_t aBy) {
    for (int profile = 0; profile < 710; ++profile) {
      report.byProfile_["team-profile-" + std::to_string(profile)] = aBy + profile + 1;
    }
    for (auto& [id, node] : nodes_) {
      node.exchange_->Publish(report);
    }
  };
  const uint64_t before = network_.BytesSent("e1");
  for (uint32_t second = 1; second <= 20; ++second) {
    change(second % 2 * 1000);
    Run(milliseconds(1000));
    ASSERT_EQ(nodes_["e1"].exchange_->Table()->byEntryHost_.size(), 7U) << "a live peer is missing";
  }
  EXPECT_LE(network_.BytesSent("e1") - before, 20 * 15000U);
  Run(milliseconds(60000));
  EXPECT_EQ(Seen("e7", "e1"), report.byProfile_);
}

// Guards against accepting demand from a process that is not a member.
TEST_F(DemandExchangeTest, UnknownSenderIsRefused)
{
  Add("e1");
  const std::unique_ptr<PeerLinkI> stranger = network_.Connect("stranger");
  const nlohmann::json message{ { "type", "Demand" },
                                { "sender", "stranger" },
                                { "incarnation", "p" },
                                { "sequence", 1 },
                                { "demand", { { "births", 1 } } } };
  EXPECT_FALSE(stranger->Call("e1", message, milliseconds(100)));
  EXPECT_FALSE(nodes_["e1"].exchange_->Table()->byEntryHost_.contains("stranger"));
}

// Guards against a new table for messages without changes: readers then recompute all shares, which
// costs 3.4 ms at the size planned for two years.
TEST_F(DemandExchangeTest, TableStaysTheSameObjectWhileNothingChanges)
{
  Add("a");
  Add("b");
  nodes_.at("b").exchange_->Publish({ "b", { { "p", 3 } } });
  const auto step = [&]() {
    clock_.Advance(milliseconds(200));
    nodes_.at("b").exchange_->Publish({ "b", { { "p", 3 } } });
    nodes_.at("b").exchange_->Step();
  };
  step();
  step();
  const auto table = nodes_.at("a").exchange_->Table();
  EXPECT_EQ(table->byEntryHost_.at("b").byProfile_.at("p"), 3U);
  for (int count = 0; count < 20; ++count) {
    step();
    EXPECT_EQ(nodes_.at("a").exchange_->Table(), table);
  }
  clock_.Advance(milliseconds(1100));
  EXPECT_FALSE(nodes_.at("a").exchange_->Table()->byEntryHost_.contains("b"));
}

}
}
