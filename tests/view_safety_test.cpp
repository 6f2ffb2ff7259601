#include "view_safety_fixture.h"

namespace sardinespoke {
namespace {

using SafetyRun = std::function<int(uint32_t aSeed, Mutant aMutant)>;

constexpr uint32_t kSeeds = 8;

/// The properties, each checked with the product as it is and with mutants around it.
class ViewPropertyTest : public ViewSafetyTest
{
protected:
  /// P2: no daemon would use the host in a pool other than the one it serves by the documents.
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

  /// P6: no daemon would use a host 3 s after the list has shown it as leaving.
  int RunLeaving(uint32_t aSeed, Mutant aMutant)
  {
    int steps = 0;
    std::optional<TimePoint> leavingSince;
    TimePoint seenBySomeone = clock_.Now();
    ListedHost host;
    host.id_ = "w1";
    platform_.AddHost(host);
    const auto world = [&]() {
      if (++steps % 100 == 0) {
        const bool leaving = steps % 200 == 0;
        platform_.MarkLeaving("w1", leaving);
        leavingSince = leaving ? std::optional(clock_.Now()) : std::nullopt;
      }
      // A list that no daemon reaches is an outage of the list, in which the views are frozen.
      if (platform_.Faults().cutOffClients_.size() == nodes_.size()) {
        seenBySomeone = clock_.Now();
      }
    };
    return RunFaults(aSeed, aMutant, world, [&](const ClusterNode& aNode) {
      const milliseconds limit(3000);
      return leavingSince && clock_.Now() - *leavingSince > limit &&
             clock_.Now() - seenBySomeone > limit && aNode.sync_.MayDispatch() &&
             !aNode.Leaving("w1");
    });
  }

  /// P8: an accepted change never reverts, also when the store returns with an older document.
  int RunEdits(uint32_t aSeed, Mutant aMutant)
  {
    replacesProcesses_ = false;
    int steps = 0;
    uint64_t edits = 1;
    PlatformSnapshot backup;
    std::map<std::string, uint64_t> applied;
    const auto world = [&]() {
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
    const int violations = RunFaults(aSeed, aMutant, world, [&](const ClusterNode& aNode) {
      const auto profiles = aNode.sync_.Current()->profiles_;
      const uint64_t edit = profiles ? EditOf(*profiles) : 0;
      const uint64_t before = std::exchange(applied[aNode.settings_.id_], edit);
      return edit < before;
    });
    EXPECT_GT(edits, 10U) << "seed " << aSeed;
    return violations;
  }

  /// @returns Number of the edit that made the document.
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
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      EXPECT_EQ(aRun(seed, Mutant::None), 0) << "seed " << seed;
    }
  }

  static void ExpectDetected(const SafetyRun& aRun, const std::vector<Mutant>& aMutants)
  {
    for (const Mutant mutant : aMutants) {
      int violations = 0;
      for (uint32_t seed = 1; seed <= kSeeds && violations == 0; ++seed) {
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

// Guards against work of one pool sent to a host that serves another one by then (P2).
TEST_F(ViewPropertyTest, MovesHold)
{
  ExpectNoViolations(moves_);
}

// Guards against a check of P2 that does not notice faults of the view lease and the outage rule.
TEST_F(ViewPropertyTest, MovesDetectMutants)
{
  ExpectDetected(moves_,
                 { Mutant::IgnorePeerAge, Mutant::IgnorePauseTime, Mutant::TrustSilentPeers });
}

// Guards against new work for a host that is leaving (P6).
TEST_F(ViewPropertyTest, LeavingHolds)
{
  ExpectNoViolations(leaving_);
}

// Guards against a check of P6 that does not notice faults of the host list's view lease.
TEST_F(ViewPropertyTest, LeavingDetectsMutants)
{
  ExpectDetected(leaving_,
                 { Mutant::IgnorePeerAge, Mutant::IgnorePauseTime, Mutant::TrustSilentPeers });
}

// Guards against an accepted change that reverts (P8).
TEST_F(ViewPropertyTest, EditsHold)
{
  ExpectNoViolations(edits_);
}

// Guards against a check of P8 that does not notice a document of lower revision being applied.
TEST_F(ViewPropertyTest, EditsDetectMutants)
{
  ExpectDetected(edits_, { Mutant::ApplyOlderContent });
}

}
}
