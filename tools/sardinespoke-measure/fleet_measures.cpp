#include "fleet_measures.h"

#include "move_instance.h"
#include "planner_harness.h"
#include "spare_instance.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kRolloutRuns = 5;
constexpr uint64_t kFaultRuns = 4;
constexpr uint64_t kSpareInstances = 40;
constexpr uint64_t kMoveInstances = 60;
constexpr double kHoursPerDay = 24;

struct Context
{
  MeasureWriter& writer_;
  const std::string& deployment_;
  const uint64_t seed_;

  void Write(const std::string& aMeasure,
             const std::string& aPolicy,
             double aValue,
             const std::string& aUnit,
             const std::string& aBound = {}) const
  {
    writer_.Write({ deployment_, aMeasure, aPolicy, aValue, aUnit, seed_, aBound });
  }
};

double
Seconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

HarnessShape
ShapeOf(const std::string& aDeployment)
{
  HarnessShape shape; // Five pools of ten hosts, four hosts to a rack, three data centres.
  if (aDeployment == "atlas") {
    shape.runTime_ = seconds(8); // Renders run longer than reports.
    shape.rebootTime_ = seconds(90);
  }
  return shape;
}

std::string
AnyServingHost(PlannerHarness& aRig, std::mt19937_64& aRandom)
{
  std::vector<std::string> serving;
  for (const auto& [id, host] : aRig.Fleet().hosts_) {
    if (host.state_ == HostState::Serving) {
      serving.push_back(id);
    }
  }
  return serving.empty() ? std::string() : serving[aRandom() % serving.size()];
}

/// Runs one roll-out while one host fails and comes back after the time of a reboot.
double
RolloutRatio(const std::string& aDeployment, uint64_t aSeed, bool aFailures)
{
  const HarnessShape shape = ShapeOf(aDeployment);
  PlannerHarness rig(shape, aSeed);
  std::mt19937_64 random(aSeed);
  static_cast<void>(rig.Editor().StartRollout(0, "measure"));
  const TimePoint start = rig.Clock().Now();
  const double rounds =
    std::ceil(static_cast<double>(shape.hostsPerPool_) / shape.rules_.maxUnavailableHosts_);
  const double expected = rounds * Seconds(shape.runTime_ + shape.rebootTime_);
  const double failAfter = expected * static_cast<double>(10 + random() % 70) / 100;
  std::string failed;
  bool repaired = false;
  const auto done = [&] {
    const double passed = Seconds(rig.Clock().Now() - start);
    if (aFailures && failed.empty() && passed >= failAfter) {
      failed = AnyServingHost(rig, random);
      rig.FailHost(failed);
    }
    if (!failed.empty() && !repaired && passed >= failAfter + Seconds(shape.rebootTime_)) {
      rig.RepairHost(failed);
      repaired = true;
    }
    return !rig.Fleet().rollout_.active_;
  };
  rig.RunUntil(done, std::chrono::hours(4));
  // Nobody can drain a host before the requests in flight on it have finished.
  const double bound = rounds * (Seconds(rig.MeanMinDrainTime()) + Seconds(shape.rebootTime_));
  return Seconds(rig.Clock().Now() - start) / bound;
}

void
MeasureRollout(const Context& aContext)
{
  double calm = 0;
  double failing = 0;
  for (uint64_t run = 0; run < kRolloutRuns; ++run) {
    calm += RolloutRatio(aContext.deployment_, aContext.seed_ + run, false) / kRolloutRuns;
    failing += RolloutRatio(aContext.deployment_, aContext.seed_ + run, true) / kRolloutRuns;
  }
  const HarnessShape shape = ShapeOf(aContext.deployment_);
  aContext.Write("rollout_time", "product_without_failures", calm, "ratio to bound");
  aContext.Write("rollout_time", "product", failing, "ratio to bound", "<= 1.15");
  // One host of the whole fleet at a time, as an operator does by hand.
  aContext.Write(
    "rollout_time", "one_host_at_a_time", static_cast<double>(shape.pools_), "ratio to bound");
}

void
MeasureSpare(const Context& aContext)
{
  std::mt19937_64 random(aContext.seed_);
  double worst = 0;
  double above = 0;
  double feasible = 0;
  for (uint64_t run = 0; run < kSpareInstances; ++run) {
    SpareInstance instance;
    instance.racks_ = 3 + random() % 2;
    instance.hostsPerRack_ = 3 + random() % 2;
    const size_t pools = 2 + random() % 2;
    for (size_t i = 0; i < pools; ++i) {
      instance.floors_.push_back(1 + random() % 3);
    }
    const uint32_t exact = ExactSpare(instance);
    if (exact == instance.racks_ * instance.hostsPerRack_) {
      continue; // Too little room for any plan.
    }
    const double over = static_cast<double>(ProductSpare(instance)) - exact;
    ++feasible;
    worst = std::max(worst, over);
    above += over;
  }
  aContext.Write("spare_above_exact_worst", "product", worst, "hosts", "<= 1");
  aContext.Write("spare_above_exact_mean", "product", above / feasible, "hosts");
  aContext.Write("spare_instances", "product", feasible, "instances");
  const HarnessShape shape = ShapeOf(aContext.deployment_);
  const auto pools = static_cast<uint32_t>(shape.pools_);
  const auto size = static_cast<uint32_t>(shape.hostsPerPool_);
  const SpareInstance fleet{ std::vector<uint32_t>(pools, size),
                             pools * size / static_cast<uint32_t>(shape.hostsPerRack_) + 2,
                             static_cast<uint32_t>(shape.hostsPerRack_) };
  const double held = ProductSpare(fleet);
  const double baseline = static_cast<double>(shape.pools_ * shape.hostsPerRack_);
  aContext.Write("spare_hosts", "product", held, "hosts");
  aContext.Write("spare_hosts", "spare_rack_per_pool", baseline, "hosts");
  aContext.Write("spare_hosts_ratio", "product", held / baseline, "ratio to baseline", "<= 0.5");
  aContext.Write("spare_idle", "product", held * kHoursPerDay, "host hours a day");
  aContext.Write("spare_idle", "spare_rack_per_pool", baseline * kHoursPerDay, "host hours a day");
}

void
Add(MoveResult& aSum, const MoveResult& aResult)
{
  aSum.moveCost_ += aResult.moveCost_;
  aSum.unmet_ += aResult.unmet_;
  aSum.moves_ += aResult.moves_;
  aSum.undone_ += aResult.undone_;
}

void
MeasureMoves(const Context& aContext)
{
  MoveResult product;
  MoveResult eager;
  MoveResult none;
  MoveResult hindsight;
  for (uint64_t run = 0; run < kMoveInstances; ++run) {
    MoveInstance instance = MakeMoveInstance(aContext.seed_ * kMoveInstances + run);
    instance.drainSteps_ = aContext.deployment_ == "atlas" ? 10 : 5; // Renders drain longer.
    Add(product, RunProductMover(instance));
    Add(eager, RunEagerMover(instance));
    Add(none, RunNoMover(instance));
    Add(hindsight, RunHindsightMover(instance));
  }
  const double moves = hindsight.moves_;
  const double cost = hindsight.Total();
  aContext.Write("moves", "product", product.moves_ / moves, "ratio to hindsight", "<= 1.2");
  aContext.Write("moves", "move_at_once", eager.moves_ / moves, "ratio to hindsight");
  aContext.Write("moves_undone", "product", product.undone_, "moves", "= 0");
  aContext.Write("moves_undone", "move_at_once", eager.undone_, "moves");
  aContext.Write(
    "move_total_cost", "product", product.Total() / cost, "ratio to hindsight", "<= 1.2");
  aContext.Write("move_total_cost", "move_at_once", eager.Total() / cost, "ratio to hindsight");
  aContext.Write("move_total_cost", "never_move", none.Total() / cost, "ratio to hindsight");
}

/// Sums over runs with faults.
struct FaultResult
{
  double violations_ = 0; ///< Of P1, P2 and P7, as the rig's own checks found them.
  double writes_ = 0;
  double moves_ = 0;
};

/// A roll-out with a lost rack, lost answers, a paused holder and two planners that both hold the
/// duty. Adds what happened to aSum.
void
RunFaults(const std::string& aDeployment,
          uint64_t aSeed,
          HarnessMutants aMutants,
          FaultResult& aSum)
{
  HarnessShape shape = ShapeOf(aDeployment);
  shape.planners_ = 2;
  PlannerHarness rig(shape, aSeed, aMutants);
  rig.SetAllPlannersLead(true);
  std::mt19937_64 random(aSeed);
  static_cast<void>(rig.Editor().StartRollout(0, "measure"));
  std::vector<std::string> lost;
  for (int step = 0; step < 1800; ++step) {
    if (step % 600 == 200) {
      lost = rig.FailRack("r" + std::to_string(random() % 12));
    }
    if (step % 600 == 400) {
      std::for_each(lost.begin(), lost.end(), [&](const auto& aHost) { rig.RepairHost(aHost); });
    }
    if (random() % 8 == 0) {
      rig.Platform().ChangeFaults([](PlatformFaults& aFaults) { aFaults.loseWriteResponses_ = 1; });
    }
    if (step % 150 == 0) {
      rig.Demand().clear();
      rig.Demand()["pool" + std::to_string(random() % shape.pools_)] = 160;
    }
    if (random() % 4 == 0) {
      rig.beforeWrite_ = [&rig, pause = random() % 12] {
        rig.PausedPlanners().insert(0);
        rig.Run(milliseconds(500 * pause));
        rig.PausedPlanners().clear();
      };
    }
    rig.Tick();
  }
  aSum.violations_ += static_cast<double>(rig.Violations().size());
  aSum.writes_ += static_cast<double>(rig.Writes());
  aSum.moves_ += static_cast<double>(rig.Moves());
}

void
MeasureViolations(const Context& aContext)
{
  HarnessMutants unchecked;
  unchecked.uncheckedWrites_ = true;
  FaultResult product;
  FaultResult baseline;
  for (uint64_t run = 0; run < kFaultRuns; ++run) {
    RunFaults(aContext.deployment_, aContext.seed_ + run, {}, product);
    RunFaults(aContext.deployment_, aContext.seed_ + run, unchecked, baseline);
  }
  aContext.Write("budget_violations", "product", product.violations_, "violations", "= 0");
  aContext.Write(
    "budget_violations", "writes_without_compare_and_swap", baseline.violations_, "violations");
  aContext.Write("fault_run_writes", "product", product.writes_, "writes");
  aContext.Write("fault_run_moves", "product", product.moves_, "moves");
}

}

void
RunFleetMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed)
{
  const Context context{ aWriter, aDeployment, aSeed };
  MeasureRollout(context);
  MeasureSpare(context);
  MeasureMoves(context);
  MeasureViolations(context);
}

}
