#include "move_planner.h"

#include <random>

namespace sardinespoke {
namespace {

/// A change to the product's surroundings that has the effect of a fault in the product.
enum class Mutant
{
  None,
  AgelessPeers, ///< The age of a peer's confirmation is ignored.
  StoppedClock, ///< The dispatch check does not count the time in which the process was paused.
  SilentAgrees, ///< A member without an answer counts as one that can't reach the store.
};

/// A clock that stands still for a paused process.
class PausableClock final : public ClockI
{
public:
  explicit PausableClock(const ClockI& aClock)
    : clock_(aClock)
  {
  }
  TimePoint Now() const override { return clock_.Now() - lost_; }
  void Lose(milliseconds aTime) { lost_ += aTime; }

private:
  const ClockI& clock_;
  milliseconds lost_{ 0 };
};

/// Daemons under random faults while a planner moves a host and hosts leave.
class ViewSafetyTest : public ClusterTest
{
protected:
  static constexpr int kNodes = 5;

  struct Result
  {
    int violations_ = 0; ///< Moments in which a daemon would use a host in the wrong pool.
    int moves_ = 0;
    double dispatching_ = 0; ///< Share of the time in which daemons may dispatch.
  };

  Result RunMoves(uint32_t aSeed, Mutant aMutant, milliseconds aTime)
  {
    std::mt19937 random(aSeed);
    Setup(aMutant);
    MovePlanner planner(platform_, clock_);
    Result result;
    int checks = 0;
    int allowed = 0;
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      Inject(random, passed < milliseconds(5000));
      clock_.Advance(kStep);
      planner.Step();
      for (auto& [id, node] : nodes_) {
        if (node->paused_) {
          pausable_[id]->Lose(aMutant == Mutant::StoppedClock ? kStep : milliseconds(0));
          continue;
        }
        ++checks;
        allowed += node->sync_.MayDispatch() ? 1 : 0;
        result.violations_ += UsesWrongPool(*node, planner.ServingPool()) ? 1 : 0;
        node->sync_.Acknowledge(node->FleetRevision(), {});
        node->sync_.Step();
        result.violations_ += UsesWrongPool(*node, planner.ServingPool()) ? 1 : 0;
      }
    }
    result.moves_ = planner.Moves();
    result.dispatching_ = double(allowed) / checks;
    return result;
  }

  /// Begins with an empty platform and without faults.
  void Setup(Mutant aMutant)
  {
    nodes_.clear();
    platform_.SetFaults({});
    platform_.RestartWith({});
    PutProfiles(1);
    for (int index = 1; index <= kNodes; ++index) {
      const std::string id = "e" + std::to_string(index);
      network_.Isolate(Address(id), false);
      for (int other = 1; other < index; ++other) {
        network_.Cut(Address(id), Address("e" + std::to_string(other)), false);
      }
      pausable_[id] = std::make_unique<PausableClock>(clock_);
      nodes_[id] = std::make_unique<ClusterNode>(platform_, network_, *pausable_[id], Settings(id));
    }
    network_.SetReplyFilter([=](const auto&, const auto&, const auto&, nlohmann::json& aReply) {
      for (const char* service : { "store", "list" }) {
        if (!aReply.contains(service)) {
          continue;
        }
        if (aMutant == Mutant::AgelessPeers && aReply[service].contains("age_us")) {
          aReply[service]["age_us"] = 0;
        }
      }
    });
    network_.SetSilentAgrees(aMutant == Mutant::SilentAgrees);
  }

  static bool UsesWrongPool(const ClusterNode& aNode, const std::string& aPool)
  {
    const auto view = aNode.sync_.Current();
    if (aPool.empty() || !aNode.sync_.MayDispatch() || !view->fleet_->hosts_.contains("h1")) {
      return false;
    }
    const FleetHost& host = view->fleet_->hosts_.at("h1");
    return host.state_ == HostState::Serving && host.pool_ != aPool;
  }

  /// Splits the daemons in two groups, one of them without a path to the store, or joins them
  /// again.
  void Split(std::mt19937& aRandom, bool aCut)
  {
    std::map<std::string, bool> side;
    for (const auto& [id, node] : nodes_) {
      side[id] = std::uniform_int_distribution<int>(0, 1)(aRandom) == 1;
      CutFromStore(id, aCut && side[id]);
    }
    for (const auto& [one, oneSide] : side) {
      for (const auto& [other, otherSide] : side) {
        network_.Cut(Address(one), Address(other), aCut && oneSide != otherSide);
      }
    }
  }

  /// Starts and ends faults: store and links cut, processes paused or replaced, store down.
  void Inject(std::mt19937& aRandom, bool aQuiet)
  {
    const auto chance = [&](int aOneIn) {
      return std::uniform_int_distribution<int>(1, aOneIn)(aRandom) == 1;
    };
    if (aQuiet) {
      return;
    }
    for (auto& [id, node] : nodes_) {
      const std::string address = Address(id);
      if (chance(100)) {
        CutFromStore(id, chance(3));
      }
      if (chance(100)) {
        network_.Isolate(address, chance(4));
      }
      if (chance(40)) {
        node->paused_ = chance(6);
      }
      if (chance(1500)) {
        node = std::make_unique<ClusterNode>(platform_, network_, *pausable_[id], Settings(id));
      }
    }
    if (chance(120)) {
      Split(aRandom, chance(2));
    }
    if (chance(100)) {
      SetStoreDown(chance(5));
    }
  }

  std::map<std::string, std::unique_ptr<PausableClock>> pausable_;
};

constexpr milliseconds kRunTime{ 300000 };

// Guards against a daemon that sends work of one pool to a host that serves another one by then
// (P2).
TEST_F(ViewSafetyTest, NoDaemonUsesAHostInItsOldPool)
{
  int moves = 0;
  for (uint32_t seed = 1; seed <= 12; ++seed) {
    const Result result = RunMoves(seed, Mutant::None, kRunTime);
    EXPECT_EQ(result.violations_, 0) << "seed " << seed;
    moves += result.moves_;
    RecordProperty("dispatching_" + std::to_string(seed), std::to_string(result.dispatching_));
  }
  EXPECT_GT(moves, 100);
}

class ViewSafetyMutantTest
  : public ViewSafetyTest
  , public ::testing::WithParamInterface<Mutant>
{};

// Guards against a check of P2 that would not notice a fault in the view lease or the outage rule.
TEST_P(ViewSafetyMutantTest, IsNoticed)
{
  int violations = 0;
  for (uint32_t seed = 1; seed <= 12 && violations == 0; ++seed) {
    violations += RunMoves(seed, GetParam(), kRunTime).violations_;
  }
  EXPECT_GT(violations, 0);
}

INSTANTIATE_TEST_SUITE_P(,
                         ViewSafetyMutantTest,
                         ::testing::Values(Mutant::AgelessPeers,
                                           Mutant::StoppedClock,
                                           Mutant::SilentAgrees));

}
}
