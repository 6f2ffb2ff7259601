#pragma once

#include "move_planner.h"

#include <random>

namespace sardinespoke {

/// Mutation of the test environment that has the effect of a fault in the daemon.
enum class Mutant
{
  None,
  IgnorePeerAge,     ///< The age of a peer's confirmation is ignored.
  IgnorePauseTime,   ///< The dispatch check does not count time in which the process was paused.
  TrustSilentPeers,  ///< A member that does not reply counts as one that can't reach the store.
  ApplyOlderContent, ///< The content of a lower revision is applied.
};

/// A clock that does not advance while its process is paused.
class PausableClock final : public ClockI
{
public:
  explicit PausableClock(const ClockI& aClock)
    : clock_(aClock)
  {
  }
  TimePoint Now() const override { return clock_.Now() - pausedTime_; }
  void AddPause(milliseconds aTime) { pausedTime_ += aTime; }

private:
  const ClockI& clock_;
  milliseconds pausedTime_{ 0 };
};

/// Runs daemons under random faults while a planner moves a host and hosts leave.
class ViewSafetyTest : public ClusterTest
{
protected:
  static constexpr int kNodes = 5;
  static constexpr milliseconds kRunTime{ 300000 };

  /// Runs under random faults.
  /// @param aBeforeStep Called before each step of the daemons.
  /// @param aViolates Whether a daemon violates the property now; called before and after its step.
  /// @returns Number of violations.
  int RunFaults(uint32_t aSeed,
                Mutant aMutant,
                const std::function<void()>& aBeforeStep,
                const std::function<bool(const ClusterNode&)>& aViolates)
  {
    std::mt19937 random(aSeed);
    Setup(aMutant);
    int violations = 0;
    for (milliseconds passed{ 0 }; passed < kRunTime; passed += kStep) {
      InjectFaults(random, passed < milliseconds(5000));
      clock_.Advance(kStep);
      aBeforeStep();
      for (auto& [id, node] : nodes_) {
        if (node->paused_) {
          pausable_[id]->AddPause(aMutant == Mutant::IgnorePauseTime ? kStep : milliseconds(0));
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

  /// Starts the daemons with an empty platform and no faults.
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
        if (aMutant == Mutant::IgnorePeerAge && aReply[service].contains("age_us")) {
          aReply[service]["age_us"] = 0;
        }
      }
    });
    network_.SetUnreachableConfirms(aMutant == Mutant::TrustSilentPeers);
  }

  /// Partitions the daemons into two groups, of which only one reaches the store, or heals the
  /// partition.
  void PartitionNetwork(std::mt19937& aRandom, bool aCut)
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

  /// Starts and ends random faults: store or peer links down, processes paused or replaced, store
  /// down.
  void InjectFaults(std::mt19937& aRandom, bool aNoFaults)
  {
    const auto chance = [&](int aOneIn) {
      return std::uniform_int_distribution<int>(1, aOneIn)(aRandom) == 1;
    };
    if (aNoFaults) {
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
      if (replacesProcesses_ && chance(1500)) {
        node = std::make_unique<ClusterNode>(platform_, network_, *pausable_[id], Settings(id));
      }
    }
    if (chance(120)) {
      PartitionNetwork(aRandom, chance(2));
    }
    if (chance(100)) {
      SetStoreDown(chance(5));
    }
  }

  std::map<std::string, std::unique_ptr<PausableClock>> pausable_;
  bool replacesProcesses_ = true; ///< Whether processes are replaced at random.
};

}
