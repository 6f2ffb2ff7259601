#pragma once

#include "fake_peer_network.h"
#include "platform_view.h"
#include "sardinespoke/config_sync.h"
#include "sardinespoke/demand_exchange.h"
#include "sardinespoke/event_log_ring.h"
#include "sardinespoke/fleet_editor.h"
#include "sardinespoke/manual_clock.h"
#include "sardinespoke/planner_controller.h"
#include "sardinespoke/planner_inputs.h"
#include "sardinespoke/scheduler_core.h"
#include "scenario_results.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinespoke {

using std::chrono::milliseconds;

/// Faults injected around the tested modules that a check must detect.
enum class ScenarioMutant
{
  None,
  IgnoreEntitlements, ///< The schedulers get profiles without entitlements.
  IgnoreLeaving,      ///< The schedulers do not get the hosts that are leaving.
  AlwaysDispatch,     ///< The schedulers always get a confirmed view.
  AssumeAcks,         ///< The planner takes every drain as acknowledged and complete.
  UncheckedWrites,    ///< The planners' writes do not check the version of the document.
  FollowStore,        ///< The schedulers apply older documents from the store.
  HideFailures,       ///< Failed requests are reported to the schedulers as successful.
  ReportUnreachable,  ///< Failed requests are reported to the schedulers as unreachable workers.
  BlindEdits,         ///< Operators edit the newest document instead of the one they read.
  HoldChanges,        ///< The schedulers get documents with a delay of 20 s.
  KeepCancelled,      ///< Cancellations do not reach the schedulers.
  Count
};

/// Configuration of a world.
struct ScenarioConfig
{
  std::string deployment_ = "inyana";
  size_t entryHosts_ = 6;
  milliseconds rebootTime_{ 30000 };
  uint64_t seed_ = 1;
  bool allPlannersLead_ = false; ///< Every planner acts as the leader.
  ScenarioMutant mutant_ = ScenarioMutant::None;
};

/// Load of one queue; a later entry overrides an earlier one.
struct ScenarioLoad
{
  std::string service_;
  double factor_ = 1; ///< Multiple of the mean load, which is a quarter of the pool's slots.
  milliseconds begin_{ 0 };
  milliseconds end_{ milliseconds::max() };
};

/// Discrete-event simulation around the real decision modules of several daemons: workers are
/// counters of busy slots, the platform and the network are in memory, and the clock is manual.
/// Records the measurements for the checks. Not thread-safe.
class ScenarioWorld
{
public:
  explicit ScenarioWorld(const ScenarioConfig& aShape);
  ~ScenarioWorld();
  ScenarioWorld(const ScenarioWorld&) = delete;
  ScenarioWorld& operator=(const ScenarioWorld&) = delete;

  /// Schedules a fault or an operator action.
  void At(milliseconds aTime, std::function<void()> aAction);
  void Run(milliseconds aDuration);
  /// Stops the load and runs until every request is decided.
  void Finish();

  void AddLoad(const ScenarioLoad& aLoad) { loads_.push_back(aLoad); }
  void SetRunTime(const std::string& aService, milliseconds aMean)
  {
    meanRunTimes_[aService] = aMean;
  }
  bool HasService(const std::string& aName) const { return rules_->services_.contains(aName); }
  std::vector<std::string> Services() const;
  bool HasProfile(const std::string& aName) const { return rules_->profiles_.contains(aName); }
  bool HasEntry(const std::string& aId) const { return entries_.contains(aId); }
  bool HasRack(const std::string& aRack) const;
  bool HasHost(const std::string& aHost) const { return listedHosts_.contains(aHost); }

  void FailRack(const std::string& aRack, bool aFailed);
  void SetStoreDown(bool aDown);
  void TakeBackup() { backup_ = platform_.TakeSnapshot(); }
  void RestoreBackup() { platform_.RestartWith(backup_); }
  void PauseEntry(const std::string& aId, bool aPaused);
  void PausePlanner(bool aPaused);
  /// Disconnects an entry host from its peers and from the store.
  void IsolateEntry(const std::string& aId, bool aIsolated);
  /// Disconnects the entry hosts of a zone from the other zones and from the store.
  void IsolateZone(const std::string& aZone, bool aIsolated);
  void ReplaceEntry(const std::string& aId);
  void ReplaceAllEntries();
  void MarkLeaving(const std::string& aHost);
  void FailAllWork(const std::string& aHost, bool aFailing);
  void FailService(const std::string& aService) { failingServices_.insert(aService); }
  void CancelQueued(const std::string& aService);
  void StartRollout();
  /// Two operators edit a profile, both based on the same revision.
  void RaceEdits(const std::string& aProfile);
  void EditProfile(const std::string& aProfile);

  const ScenarioResults& Results() const { return results_; }
  milliseconds Elapsed() const;

private:
  struct EntryHost;
  class MutantStore;
  class MutantInputs;

  enum class EventType
  {
    Arrival,
    ReachWorker,
    Finish,
    Response,
    Count
  };

  struct Event
  {
    TimePoint at_;
    uint64_t sequence_ = 0;
    EventType type_ = EventType::Arrival;
    uint64_t request_ = 0;
    std::string service_;

    bool operator>(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : sequence_ > aOther.sequence_;
    }
  };

  struct Request
  {
    std::string service_;
    std::string entry_;
    std::string process_; ///< Incarnation of the entry host; a later one does not know the request.
    TimePoint arrival_;
    std::chrono::nanoseconds run_{ 0 };
    std::string host_; ///< Empty while queued.
    std::string pool_;
    uint64_t grant_ = 0;
    bool running_ = false;
    bool started_ = false;
    AttemptResult result_ = AttemptResult::Ok;
  };

  void BuildHosts();
  void AddEntry(const std::string& aId, size_t aIndex);
  ConfigSyncSettings SyncSettings(const std::string& aId);
  std::vector<DemandPeer> Peers(const std::string& aId) const;
  bool IsIdle() const;
  void Step(milliseconds aStep);
  void RunEvents(TimePoint aUntil);
  void StepControl();
  void StepScheduler(EntryHost& aEntry);
  void Exchange(EntryHost& aEntry);
  void DeliverView(EntryHost& aEntry);
  std::shared_ptr<const ConfigView> ViewFor(const EntryHost& aEntry) const;
  void ObserveStore();
  void ObserveFleet(const std::string& aText);
  void ObserveBudgets(const FleetMap& aAfter);
  void ObservePools(const FleetMap& aAfter);
  void ObserveGrant(EntryHost& aEntry, const Grant& aGrant);
  void ObserveSuspects(const EntryHost& aEntry);
  void ObserveViews();
  void ObserveQueues(milliseconds aStep);

  void Schedule(TimePoint aAt, EventType aType, uint64_t aRequest, std::string aService = {});
  void ScheduleArrival(const std::string& aService);
  double LoadFactor(const std::string& aService) const;
  void OnArrival(const std::string& aService);
  void OnReachWorker(uint64_t aRequest);
  void OnFinish(uint64_t aRequest);
  void OnResponse(uint64_t aRequest);
  void Submit(uint64_t aRequest, bool aRetry);
  void ApplySchedulerEvent(EntryHost& aEntry, const SchedulerEvent& aEvent);
  void OnGrant(EntryHost& aEntry, uint64_t aTicket, const Grant& aGrant);
  bool IsDown(const std::string& aHost) const { return downHosts_.contains(aHost); }
  EntryHost* PickEntry();
  std::set<std::string> BusyHosts(const EntryHost& aEntry) const;
  void RecordViolation(const std::string& aRule, const std::string& aText);

  const ScenarioConfig config_;
  ManualClock clock_;
  const TimePoint boot_;
  TimePoint start_;
  std::mt19937_64 random_;
  MemoryPlatform platform_;
  FakePeerNetwork network_;
  std::unique_ptr<ProfileSet> rules_; ///< Profiles of the first revision.
  std::map<std::string, ListedHost> listedHosts_;
  std::map<std::string, std::unique_ptr<EntryHost>> entries_;
  std::vector<std::string> entryIds_;
  std::unique_ptr<FleetEditor> editor_;
  std::multimap<milliseconds, std::function<void()>> actions_;
  std::vector<ScenarioLoad> loads_;
  std::map<std::string, milliseconds> meanRunTimes_;
  bool loadStopped_ = false;
  PlatformSnapshot backup_;
  int processCount_ = 0;
  uint64_t edits_ = 0;

  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_map<uint64_t, Request> requests_;
  std::map<std::string, uint32_t> busy_; ///< Slots in use per worker.
  std::set<std::string> downHosts_;
  std::set<std::string> failingServices_;
  std::map<std::string, TimePoint> failingSince_;
  std::map<std::string, TimePoint> leavingSince_;
  uint64_t lastRequest_ = 0;
  uint64_t sequence_ = 0;
  TimePoint nextControl_;
  TimePoint nextPlanner_;

  FleetMap acceptedFleet_; ///< Fleet document with the greatest revision that the store accepted.
  std::string storedFleetText_;
  std::string storedProfilesText_;
  std::vector<std::pair<uint64_t, TimePoint>> fleetAccepted_;
  std::vector<std::pair<uint64_t, TimePoint>> profilesAccepted_;
  std::set<uint64_t> cancelledIds_;
  ScenarioResults results_;
};

}
