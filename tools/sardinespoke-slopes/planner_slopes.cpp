#include "slope.h"
#include "slope_groups.h"
#include "synthetic.h"

#include "sardinespoke/planner_core.h"

namespace sardinespoke {

namespace {

PlannerObservation
Observe(const SyntheticSize& aSize, bool aRollout)
{
  PlannerObservation seen;
  seen.now_ = TimePoint(std::chrono::hours(1));
  seen.fleet_ = MakeFleet(aSize);
  seen.fleet_.rollout_ = { 1, aRollout, false, "operator" };
  seen.profiles_ = MakeProfiles(aSize);
  seen.list_ = MakeHostList(seen.fleet_);
  for (const auto& [id, member] : seen.fleet_.members_) {
    EntryReport report;
    report.id_ = id;
    report.incarnation_ = member.incarnation_;
    report.fleetRevision_ = seen.fleet_.revision_;
    seen.entries_.push_back(report);
  }
  for (const auto& [name, pool] : seen.profiles_.pools_) {
    seen.demandSlots_[name] = 100;
  }
  return seen;
}

}

void
MeasurePlanner(std::ostream& aOut)
{
  SlopeSeries idle{ "planner.step_idle", "hosts", "cpu us", {} };
  SlopeSeries rollout{ "planner.step_rollout", "hosts", "cpu us", {} };
  for (const SyntheticSize& size : SizeSteps()) {
    for (const bool active : { false, true }) {
      PlannerObservation seen = Observe(size, active);
      PlannerCore core(PlannerOptions(), EntryName(0));
      const double cost = CpuMicroseconds([&]() {
        seen.now_ += std::chrono::milliseconds(500);
        core.Decide(seen, "change");
      });
      (active ? rollout : idle).points_.emplace_back(size.workers_, cost);
    }
  }
  WriteSlope(aOut, idle);
  WriteSlope(aOut, rollout);
}

}
