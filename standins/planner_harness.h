#pragma once

#include "memory_platform.h"
#include "sardinespoke/fleet_editor.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/planner_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// Deployment of a PlannerHarness: pools of equal size on racks of equal size.
struct HarnessShape
{
  size_t pools_ = 5;
  size_t hostsPerPool_ = 10;
  size_t hostsPerRack_ = 4;
  size_t zones_ = 3;
  uint32_t floor_ = 7;
  size_t entryHosts_ = 3;
  size_t planners_ = 1;
  MaintenanceRules rules_;
  std::chrono::milliseconds rebootTime_{ 60000 };
  std::chrono::milliseconds runTime_{ 3000 }; ///< Maximum run time of a request.
  PlannerOptions options_;
  bool membersFirst_ = false; ///< Adds an entry host as a member before the first planner step.
};

/// Deliberate errors in the harness that its checks must detect.
struct HarnessMutants
{
  /// Writes ignore the expected version, so that budgets are not checked atomically with the write.
  bool uncheckedWrites_ = false;
  bool assumeAcks_ = false;    ///< Entry records report every drain as complete.
  bool skipReadLimit_ = false; ///< Reboots are allowed however old the document that was read is.
};

/// A fake entry host: follows the fleet document, dispatches work to the hosts that its view allows
/// and reports its entry record.
struct FakeEntryHost
{
  std::string id_;
  std::string incarnation_;
  std::shared_ptr<const FleetMap> view_;
  TimePoint confirmedAt_{};
  TimePoint renewedAt_{};
  bool dead_ = false;
  bool paused_ = false;
  bool acknowledges_ = true; ///< False: keeps its first view and acknowledges no later one.
  std::set<std::string> suspects_;
  struct Work
  {
    std::string pool_;
    TimePoint end_;
  };
  std::map<std::string, Work> inFlight_; ///< By host.
};

/// Test harness that runs one or more planners on the in-memory platform with fake entry hosts and
/// a manual clock. Checks the invariants P1 (availability budgets), P2 (no work on a host of
/// another pool) and P7 (no work in flight at a reboot) at every write, dispatch and reboot. Not
/// thread-safe.
class PlannerHarness
{
public:
  PlannerHarness(const HarnessShape& aShape, uint64_t aSeed, HarnessMutants aMutants = {});
  ~PlannerHarness();
  PlannerHarness(const PlannerHarness&) = delete;
  PlannerHarness& operator=(const PlannerHarness&) = delete;

  /// Advances the clock by one step interval and steps every entry host and planner.
  void Tick();
  void Run(std::chrono::milliseconds aTime);
  /// Ticks until a condition holds.
  /// @returns Whether it held within the limit.
  bool RunUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aLimit);

  FleetMap Fleet();
  MemoryPlatform& Platform() { return platform_; }
  ManualClock& Clock() { return clock_; }
  PlannerController& Planner(size_t aIndex) { return *planners_.at(aIndex); }
  FleetEditor& Editor() { return editor_; }
  FakeEntryHost& Entry(size_t aIndex) { return entries_.at(aIndex); }
  ProfileSet& Profiles() { return *profiles_; }
  std::map<std::string, double>& Demand() { return demand_; }
  std::set<size_t>& PausedPlanners() { return pausedPlanners_; }
  /// Makes every planner act as leader, like one that has not noticed that its lease expired.
  void SetAllPlannersLead(bool aOn) { allPlannersLead_ = aOn; }

  /// Freezes the entry records that planners read at their present content, or unfreezes them.
  void FreezeReports(bool aOn);

  void FailHost(const std::string& aHost);
  void RepairHost(const std::string& aHost);
  std::vector<std::string> FailRack(const std::string& aRack);
  size_t CountHosts(HostState aState);

  /// Called before a planner's write reaches the store; lets a test act while the writer is paused.
  std::function<void()> beforeWrite_;
  /// Called after a write took effect, before the planner receives the result.
  std::function<void()> afterWrite_;
  /// Called after a planner has read the document.
  std::function<void()> afterRead_;

  const std::vector<std::string>& Violations() const { return violations_; }
  uint64_t Writes() const { return writes_; }
  uint64_t Moves() const { return moves_; }
  /// @returns Mean time from the start of a drain until the requests in flight have finished: a
  /// lower bound of the drain time for any planner.
  std::chrono::nanoseconds MeanMinDrainTime() const;

private:
  class CheckedStore;
  class CheckedControl;
  class Inputs;

  void BuildDeployment();
  void TickEntry(FakeEntryHost& aEntry);
  void Dispatch(FakeEntryHost& aEntry);
  bool MayDispatch(const FakeEntryHost& aEntry) const;
  std::vector<EntryReport> Reports() const;
  bool IsUnavailable(const std::string& aHost,
                     const FleetMap& aBefore,
                     const FleetMap& aAfter) const;
  void CheckWrite(const FleetMap& aBefore, const FleetMap& aAfter);
  void CheckBudgets(const FleetMap& aBefore, const FleetMap& aAfter);
  void RecordDrain(const std::string& aHost);
  void CheckReboot(const std::string& aHost);
  void RecordViolation(const std::string& aText);

  const HarnessShape shape_;
  const HarnessMutants mutants_;
  std::mt19937_64 random_;
  ManualClock clock_;
  MemoryPlatform platform_;
  std::shared_ptr<ProfileSet> profiles_;
  std::map<std::string, double> demand_;
  std::vector<FakeEntryHost> entries_;
  std::map<std::string, ListedHost> listed_;
  std::string parsedText_; ///< Source text of parsed_, so that each document is parsed once.
  std::shared_ptr<const FleetMap> parsed_;
  FleetMap storedFleet_; ///< Document in the store after the last effective write.
  std::unique_ptr<CheckedStore> store_;
  std::unique_ptr<CheckedControl> control_;
  std::vector<std::unique_ptr<Inputs>> inputs_;
  std::vector<std::unique_ptr<PlannerController>> planners_;
  std::set<size_t> pausedPlanners_;
  FleetEditor editor_;
  bool allPlannersLead_ = false;
  std::optional<std::vector<EntryReport>> frozenReports_;
  std::set<std::string> failedHosts_; ///< Hosts that have failed, whatever the document says.
  std::vector<std::string> violations_;
  uint64_t writes_ = 0;
  uint64_t moves_ = 0;
  uint64_t drains_ = 0;
  std::chrono::nanoseconds minDrainTime_{ 0 };
};

}
