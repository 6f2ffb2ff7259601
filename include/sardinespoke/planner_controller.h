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

/// Settings of the planner controller.
struct PlannerSettings
{
  std::string keyPrefix_ = "sardinespoke/";
  std::string entryHost_;
  std::string incarnation_;
  std::chrono::milliseconds leaseTtl_{ 4000 };
  std::chrono::milliseconds stepInterval_{ 500 };
  /// Maximum age of the document on which a reboot call is based. The platform can't reject an
  /// outdated call, so this must be shorter than the time in which another planner could return the
  /// host to service.
  std::chrono::milliseconds maxRebootDocumentAge_{ 1000 };
  size_t maxPowerPolls_ = 32; ///< Per step; bounds the calls to the platform.
  PlannerOptions options_;
};

/// Runs the planner in one thread. While it holds the planner lease, each step reads the fleet
/// document, decides, and writes at most one new document by compare-and-swap.
class PlannerController
{
public:
  /// Result of a step.
  enum class Outcome
  {
    NotHolder,
    Idle,      ///< Nothing to change.
    Written,   ///< A document was written.
    WroteBack, ///< The store had an older or different document; the one in force was restored.
    Waiting,   ///< Inputs are missing, or another entry host has a newer document in force.
    Failed, ///< The store did not answer, its document is malformed, or another write came first.
    Count
  };

  /// @param aEvents May be null. All referenced objects must outlive the controller.
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
  /// Ends the thread and releases the planner lease.
  void Shutdown();

  /// Runs one step. Called by the thread, and by tests that don't call Init().
  Outcome Step();

  /// @returns Whether this process held the planner lease in the last step.
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
  FleetMap lastFleet_; ///< Document of the last step; determines which power states to read.
  uint64_t changes_ = 0;

  std::atomic<bool> holder_{ false };
  std::mutex mutex_;
  std::condition_variable stopSignal_;
  bool stop_ = false;
  std::thread thread_;
};

}
