#pragma once

#include "sardinespoke/event_log.h"
#include "sardinespoke/fleet_store.h"
#include "sardinespoke/leader_lease.h"
#include "sardinespoke/planner_core.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace sardinespoke {

/// Settings of the planner duty.
struct PlannerSettings
{
  std::string keyPrefix_ = "sardinespoke/";
  std::string entryHost_;
  std::string incarnation_;
  std::chrono::milliseconds leaseTtl_{ 4000 };
  std::chrono::milliseconds stepInterval_{ 500 };
  /// Oldest document on which a reboot is called. The platform cannot refuse a late call, so this
  /// must be less than the time in which another planner could return the host to service.
  std::chrono::milliseconds maxRebootDocumentAge_{ 1000 };
  size_t maxPowerPolls_ =
    32; ///< Most power states read in a step; bounds the calls to the platform.
  PlannerOptions options_;
};

/// The planner duty: one thread that takes the duty under a lease and then, in each step, reads the
/// fleet document, decides, and writes at most one new document by compare-and-swap.
class PlannerController
{
public:
  /// What a step did.
  enum class Outcome
  {
    NotHolder,
    Idle,      ///< Nothing to change.
    Written,   ///< A document was written.
    WroteBack, ///< The store was behind; the document in force was written back.
    Waiting,   ///< Documents are missing, or another entry host has a greater one in force.
    Failed,    ///< The store did not answer, or another write came first.
    Count
  };

  /// @param aEvents May be null. All other arguments must outlive the duty.
  PlannerController(PlannerSettings aSettings,
                    KeyValueStoreI& aStore,
                    HostListI& aHostList,
                    HostControlI& aHostControl,
                    PlannerInputsI& aInputs,
                    const ClockI& aClock,
                    EventLogI* aEvents);
  ~PlannerController();
  PlannerController(const PlannerController&) = delete;
  PlannerController& operator=(const PlannerController&) = delete;

  /// Starts the thread.
  void Init();
  /// Ends the thread and gives the duty up.
  void Shutdown();

  /// One step; called by the thread, and by tests instead of Init().
  Outcome Step();

  /// @returns Whether the last step held the duty.
  bool IsHolder() const { return holder_; }

private:
  void Run();
  Outcome StepAsHolder(const ConfigView& aView);
  Outcome StepOnDocument(PlannerObservation& aObserved,
                         const ConfigView& aView,
                         FleetRead& aStored,
                         TimePoint aReadAt);
  Outcome WriteFirstFleet(const PlannerObservation& aObserved, const FleetRead& aStored);
  Outcome WriteBack(const FleetMap& aInForce, const FleetRead& aStored);
  Outcome WriteFleet(const FleetMap& aFleet, uint64_t aVersion, Outcome aDone);
  bool Observe(PlannerObservation& aObserved, const ConfigView& aView);
  void Reboot(const std::vector<std::string>& aHosts, TimePoint aReadAt);
  void Record(const std::string& aType, const std::string& aCause, nlohmann::json aDetail);
  std::string NextChangeId();

  const PlannerSettings settings_;
  HostListI& hostList_;
  HostControlI& hostControl_;
  PlannerInputsI& inputs_;
  const ClockI& clock_;
  EventLogI* const events_;
  FleetStore fleetStore_;
  LeaderLease leaderLease_;
  PlannerCore core_;
  FleetMap lastFleet_; ///< Document of the last step; tells which power states to read first.
  uint64_t changes_ = 0;

  std::atomic<bool> holder_{ false };
  std::mutex mutex_;
  std::condition_variable stopSignal_;
  bool stop_ = false;
  std::thread thread_;
};

}
