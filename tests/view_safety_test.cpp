#include "view_safety_fixture.h"

namespace sardinespoke {
namespace {

using SafetyRun = std::function<int(uint32_t aSeed, Mutant aMutant)>;

constexpr uint32_t kSeedCount = 8;

/// Safety properties, each checked without a mutant and with mutants that it must detect.
class ViewPropertyTest : public ViewSafetyTest
{
protected:
  /// P2: no daemon dispatches to a host for another pool than the one it serves.
  /// @returns Number of violations.
  int RunMoves(uint32_t aSeed, Mutant aMutant)
  {
    MovePlanner planner(platform_, clock_);
    const auto usesWrongPool = [&](const ClusterNode& aNode) {
      const auto view = aNode.sync_.Current();
      const std::string& pool = planner.ServingPool();
      if (pool.empty() || !aNode.sync_.MayDispatch() || !view->fleet_->hosts_.contains("h1")) {
        return false;
      }
      const FleetHost& host = view->fleet_->hosts_.at("h1");
      return host.state_ == HostState::Serving && host.pool_ != pool;
    };
    const int violations = RunFaults(
      aSeed, aMutant, [&]() { planner.Step(); }, usesWrongPool);
    EXPECT_GT(planner.Moves(), 0) << "seed " << aSeed;
    return violations;
  }

  /// P6: no daemon dispatches to a host later than 3 s after the host list shows it as leaving.
  /// @returns Number of violations.
  int RunLeaving(uint32_t aSeed, Mutant aMutant)
  {
    int steps = 0;
    std::optional<TimePoint> leavingSince;
    TimePoint lastReachable = clock_.Now();
    ListedHost host;
    host.id_ = "w1";
    platform_.AddHost(host);
    const auto beforeStep = [&]() {
      if (++steps % 100 == 0) {
        const bool leaving = steps % 200 == 0;
        platform_.MarkLeaving("w1", leaving);
        leavingSince = leaving ? std::optional(clock_.Now()) : std::nullopt;
      }
      // If no daemon reaches the host list, it is an outage, in which the views are frozen.
      if (platform_.Faults().cutOffClients_.size() == nodes_.size()) {
        lastReachable = clock_.Now();
      }
    };
    return RunFaults(aSeed, aMutant, beforeStep, [&](const ClusterNode& aNode) {
      const milliseconds limit(3000);
      return leavingSince && clock_.Now() - *leavingSince > limit &&
             clock_.Now() - lastReachable > limit && aNode.sync_.MayDispatch() &&
             !aNode.Leaving("w1");
    });
  }

  /// P8: an accepted change is never reverted, even if the store is restored to an older document.
  /// @returns Number of violations.
  int RunEdits(uint32_t aSeed, Mutant aMutant)
  {
    replacesProcesses_ = false;
    int steps = 0;
    uint64_t edits = 1;
    PlatformSnapshot backup;
    std::map<std::string, uint64_t> applied;
    const auto beforeStep = [&]() {
      ++steps;
      if (steps % 50 == 0 && !platform_.Faults().storeDown_ && StoredEdit() == edits) {
        PutProfiles(++edits);
      }
      if (steps % 500 == 300) {
        backup = platform_.TakeSnapshot();
      }
      if (steps % 500 == 499) {
        if (aMutant == Mutant::ApplyOlderContent) {
          backup[kProfiles] = WithRevision(backup[kProfiles], edits + 1);
        }
        platform_.RestartWith(backup);
      }
    };
    const int violations = RunFaults(aSeed, aMutant, beforeStep, [&](const ClusterNode& aNode) {
      const auto profiles = aNode.sync_.Current()->profiles_;
      const uint64_t edit = profiles ? EditOf(*profiles) : 0;
      const uint64_t before = std::exchange(applied[aNode.settings_.id_], edit);
      return edit < before;
    });
    EXPECT_GT(edits, 10U) << "seed " << aSeed;
    return violations;
  }

  /// @returns Number of the edit that created the document.
  static uint64_t EditOf(const ProfileSet& aSet)
  {
    return std::stoull(aSet.history_.back().changeId_.substr(1));
  }

  static ProfileSet ParseSet(const std::string& aText)
  {
    return leaf::try_handle_all([&]() { return ProfileSet::Parse(aText, 0); },
                                []() { return ProfileSet{}; });
  }

  uint64_t StoredEdit() { return EditOf(ParseSet(platform_.TakeSnapshot().at(kProfiles))); }

  static std::string WithRevision(const std::string& aText, uint64_t aRevision)
  {
    ProfileSet set = ParseSet(aText);
    set.revision_ = aRevision;
    set.history_.back().revision_ = aRevision;
    return set.Serialize();
  }

  static void ExpectNoViolations(const SafetyRun& aRun)
  {
    for (uint32_t seed = 1; seed <= kSeedCount; ++seed) {
      EXPECT_EQ(aRun(seed, Mutant::None), 0) << "seed " << seed;
    }
  }

  static void ExpectDetected(const SafetyRun& aRun, const std::vector<Mutant>& aMutants)
  {
    for (const Mutant mutant : aMutants) {
      int violations = 0;
      for (uint32_t seed = 1; seed <= kSeedCount && violations == 0; ++seed) {
        violations += aRun(seed, mutant);
      }
      EXPECT_GT(violations, 0) << "mutant " << static_cast<int>(mutant);
    }
  }

  const SafetyRun moves_ = [this](auto aSeed, auto aMutant) { return RunMoves(aSeed, aMutant); };
  const SafetyRun leaving_ = [this](auto aSeed, auto aMutant) {
    return RunLeaving(aSeed, aMutant);
  };
  const SafetyRun edits_ = [this](auto aSeed, auto aMutant) { return RunEdits(aSeed, aMutant); };
};

// Guards against dispatching work to a host that has moved to another pool (P2).
TEST_F(ViewPropertyTest, MovesHold)
{
  ExpectNoViolations(moves_);
}

// Guards against a check of P2 that does not detect faults of the view lease and the outage rule.
TEST_F(ViewPropertyTest, MovesDetectMutants)
{
  ExpectDetected(moves_,
                 { Mutant::IgnorePeerAge, Mutant::IgnorePauseTime, Mutant::TrustSilentPeers });
}

// Guards against dispatching new work to a host that is leaving (P6).
TEST_F(ViewPropertyTest, LeavingHolds)
{
  ExpectNoViolations(leaving_);
}

// Guards against a check of P6 that does not detect faults of the host list's view lease.
TEST_F(ViewPropertyTest, LeavingDetectsMutants)
{
  ExpectDetected(leaving_,
                 { Mutant::IgnorePeerAge, Mutant::IgnorePauseTime, Mutant::TrustSilentPeers });
}

// Guards against an accepted change that is reverted (P8).
TEST_F(ViewPropertyTest, EditsHold)
{
  ExpectNoViolations(edits_);
}

// Guards against a check of P8 that does not detect that a document of lower revision is applied.
TEST_F(ViewPropertyTest, EditsDetectMutants)
{
  ExpectDetected(edits_, { Mutant::ApplyOlderContent });
}

}
}
