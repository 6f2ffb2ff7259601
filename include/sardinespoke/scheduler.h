#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/config_source.h"
#include "sardinespoke/demand_table.h"
#include "sardinespoke/dispatcher.h"
#include "sardinespoke/scheduler_core.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sardinespoke {

/// The scheduler of one entry host: one thread that owns the SchedulerCore, fed by a bounded ring.
/// Callers wait in Acquire() on their own semaphore.
class Scheduler final : public DispatcherI
{
public:
  /// The references must outlive this object.
  Scheduler(SchedulerSettings aSettings,
            ConfigSourceI& aConfig,
            DemandExchangeI& aExchange,
            const ClockI& aClock);
  ~Scheduler() override;

  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Starts the thread.
  void Init();

  /// Refuses further requests with AdmissionError::Code::Stopping; queued and running ones go on.
  void StopAdmission();

  /// Refuses everything that is queued with AdmissionError::Code::Stopping and ends the thread.
  /// Requests in flight may still be released.
  void Shutdown();

  /// Errors: QueueFull also if the ring or the table of waiting callers is full.
  leaf::result<Grant> Acquire(const WorkItem& aItem) override;
  bool MayStart(const Grant& aGrant) override;
  void Release(const Grant& aGrant,
               AttemptResult aResult,
               std::chrono::nanoseconds aRunTime) override;

  /// @returns Hosts whose circuit breaker is not closed; for the entry record.
  std::vector<std::string> Suspects() const;

  /// @returns Hosts that the view in force does not show as serving and that have requests of this
  /// entry host in flight. A host that is missing gets no further request under this view, because
  /// MayStart() reads the same view; the entry record may therefore acknowledge its revision.
  std::vector<std::string> BusyDrainingHosts() const;

  SchedulerCounters Counters() const;

private:
  struct Waiter;
  struct QueuedEvent;
  struct EventQueue;

  enum class Phase
  {
    Idle,
    Running,
    NoAdmission,
    Stopped,
    Count
  };

  void Run();
  void ReadInputs();
  void ProcessEvents();
  void DeliverDecisions();
  void RefuseAll();
  void ExchangeDemand();
  void PublishState();
  void Apply(const SchedulerEvent& aEvent);
  leaf::result<Grant> Enqueue(const WorkItem& aItem);

  /// Waits for the decision.
  /// @returns Whether the caller has gone meanwhile.
  bool WaitForDecision(Waiter& aWaiter, const WorkItem& aItem);
  void CountInFlight(const std::string& aHost, int aChange);

  const SchedulerSettings settings_;
  ConfigSourceI& config_;
  DemandExchangeI& exchange_;
  const ClockI& clock_;

  std::atomic<Phase> phase_{ Phase::Idle };
  std::atomic<uint32_t> callers_{ 0 }; ///< Inside Acquire().
  std::unique_ptr<EventQueue> eventQueue_;
  std::vector<std::unique_ptr<Waiter>> waiters_;
  std::thread thread_;

  // Used only by the thread.
  SchedulerCore core_;
  std::vector<Decision> decisions_;
  std::shared_ptr<const ConfigView> view_;
  std::shared_ptr<const DemandTable> table_;
  bool mayDispatch_ = false;
  TimePoint nextTick_;
  TimePoint nextExchange_;

  mutable std::mutex stateMutex_; ///< Guards the members below.
  std::vector<std::string> suspects_;
  SchedulerCounters counters_;
  std::map<std::string, uint32_t> inFlight_; ///< Grants not released, per host.
};

}
