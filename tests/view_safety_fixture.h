#pragma once

#include "move_planner.h"

#include <random>

namespace sardinespoke {

/// A change to the product's surroundings that has the effect of a fault in the product.
enum class Mutant
{
  None,
  AgelessPeers,  ///< The age of a peer's confirmation is ignored.
  StoppedClock,  ///< The dispatch check does not count the time in which the process was paused.
  SilentAgrees,  ///< A member without an answer counts as one that can't reach the store.
  LowerRevision, ///< The content of a lower revision is applied.
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
  static constexpr milliseconds kRunTime{ 300000 };

  /// Runs under random faults.
  /// @param aWorld Called before each step of the daemons.
  /// @param aViolates Whether a daemon breaks the property now; asked before and after its step.
  /// @returns Number of violations.
  int RunFaults(uint32_t aSeed,
                Mutant aMutant,
                const std::function<void()>& aWorld,
                const std::function<bool(const ClusterNode&)>& aViolates)
  {
    std::mt19937 random(aSeed);
    Setup(aMutant);
    int violations = 0;
    for (milliseconds passed{ 0 }; passed < kRunTime; passed += kStep) {
      Inject(random, passed < milliseconds(5000));
      clock_.Advance(kStep);
      aWorld();
      for (auto& [id, node] : nodes_) {
        if (node->paused_) {
          pausable_[id]->Lose(aMutant == Mutant::StoppedClock ? kStep : milliseconds(0));
          continue;
        }
        violations += aViolates(*node) ? 1 : 0;
        node->sync_.Acknowledge(node->FleetRevision(), {});
        node->sync_.Step();
        violations += aViolates(*node) ? 1 : 0;
      }
    }
    return violations;
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
        network_.Partition(Address(id), Address("e" + std::to_string(other)), false);
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
    network_.SetUnreachableConfirms(aMutant == Mutant::SilentAgrees);
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
        network_.Partition(Address(one), Address(other), aCut && oneSide != otherSide);
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
      if (replaces_ && chance(1500)) {
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
  bool replaces_ = true; ///< Whether processes are replaced.
};

}
