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

/// The scheduler of one entry host: one thread owns the SchedulerCore and takes events from a
/// bounded lock-free queue. Each caller waits in Acquire() on its own semaphore.
class Scheduler final : public DispatcherI
{
public:
  /// All referenced objects must outlive the scheduler.
  Scheduler(SchedulerSettings aSettings,
            ConfigSourceI& aConfig,
            DemandExchangeI& aExchange,
            const ClockI& aClock);
  ~Scheduler() override;

  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Starts the thread.
  void Init();

  /// Refuses new requests with AdmissionError::Code::Stopping; queued and running ones continue.
  void StopAdmission();

  /// Refuses all queued requests with AdmissionError::Code::Stopping and ends the thread. Grants of
  /// requests in flight may still be released.
  void Shutdown();

  /// Errors: QueueFull also if the event queue or the table of waiting callers is full.
  leaf::result<Grant> Acquire(const WorkItem& aItem) override;
  bool MayStart(const Grant& aGrant) override;
  void Release(const Grant& aGrant,
               AttemptResult aResult,
               std::chrono::nanoseconds aRunTime) override;

  /// @returns Hosts whose circuit breaker is not closed; for the entry record.
  std::vector<std::string> Suspects() const;

  /// @returns Hosts that have requests of this entry host in flight and aren't serving in the view
  /// in force. Any other host that isn't serving gets no further requests under this view, because
  /// MayStart() reads the same view; the entry record may therefore acknowledge the view's
  /// revision.
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
  /// @returns Whether the caller disconnected while waiting.
  bool WaitForDecision(Waiter& aWaiter, const WorkItem& aItem);
  void CountInFlight(const std::string& aHost, int aChange);

  const SchedulerSettings settings_;
  ConfigSourceI& config_;
  DemandExchangeI& exchange_;
  const ClockI& clock_;

  std::atomic<Phase> phase_{ Phase::Idle };
  std::atomic<uint32_t> callers_{ 0 }; ///< Callers inside Acquire().
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
  std::map<std::string, uint32_t> inFlight_; ///< Unreleased grants per host.
};

}
