#pragma once

#include "sardinespoke/circuit_breaker.h"
#include "sardinespoke/config_source.h"
#include "sardinespoke/cost_model.h"
#include "sardinespoke/demand_table.h"
#include "sardinespoke/dispatcher.h"
#include "sardinespoke/placement.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sardinespoke {

class PoolScheduler;

/// A request for a slot. The ticket identifies it in the decision.
struct SubmitEvent
{
  uint64_t ticket_ = 0;
  WorkItem item_;
};

/// An attempt has ended.
struct ReleaseEvent
{
  uint64_t grant_ = 0;
  AttemptResult result_ = AttemptResult::Ok;
  std::chrono::nanoseconds runTime_{ 0 };
};

/// The caller of a queued request has disconnected.
struct CancelEvent
{
  uint64_t ticket_ = 0;
};

/// Sent periodically, every few milliseconds.
struct TickEvent
{};

/// New documents are in force.
struct ViewEvent
{
  std::shared_ptr<const ConfigView> view_;
};

/// The permission to dispatch under the current view has changed.
struct ConfirmationEvent
{
  bool mayDispatch_ = false;
};

/// A new demand table has arrived.
struct TableEvent
{
  std::shared_ptr<const DemandTable> table_;
};

using SchedulerEvent = std::variant<SubmitEvent,
                                    ReleaseEvent,
                                    CancelEvent,
                                    TickEvent,
                                    ViewEvent,
                                    ConfirmationEvent,
                                    TableEvent>;

/// The outcome of a submitted request.
struct Decision
{
  uint64_t ticket_ = 0;
  std::variant<Grant, AdmissionError> outcome_;
};

/// Identity and settings of the scheduler of one entry host.
struct SchedulerSettings
{
  std::string entryHost_;
  std::string zone_;
  uint64_t seed_ = 1; ///< Of the random choices of placement.
};

/// Counters for metrics.
struct SchedulerCounters
{
  uint64_t submitted_ = 0;
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;      ///< All refusals, including expired_ and cancelled_.
  uint64_t expired_ = 0;      ///< Queued and not started before the deadline.
  uint64_t cancelled_ = 0;    ///< Removed from the queue because the caller disconnected.
  uint64_t slotsRefused_ = 0; ///< Attempts that a backend server refused for lack of a slot.
  uint64_t breakersOpened_ = 0;
  uint64_t workersEjected_ = 0; ///< Breakers opened by fault attribution.
  uint64_t queued_ = 0;         ///< Currently queued.
  uint64_t running_ = 0;        ///< Currently running.
};

/// Decision logic of one entry host's scheduler as a state machine: events in, grants and refusals
/// out. Reads no clock, does no I/O and has no thread. Not thread-safe.
class SchedulerCore
{
public:
  explicit SchedulerCore(SchedulerSettings aSettings);
  ~SchedulerCore();

  /// Applies one event.
  /// @param aOut Decisions are appended to it; each ticket is decided exactly once.
  void Step(const SchedulerEvent& aEvent, TimePoint aNow, std::vector<Decision>& aOut);

  /// @returns This entry host's smoothed demand per profile: requests queued and running.
  DemandReport TakeDemand();

  /// @returns Hosts whose circuit breaker is not closed.
  std::vector<std::string> Suspects(TimePoint aNow) const;

  SchedulerCounters Counters() const;

private:
  struct RunningGrant
  {
    std::string host_;
    std::string pool_;
    std::string profile_;
    std::string kind_;
    double lateProbability_ = 0; ///< As added to the pool's sum; see PoolScheduler::AddRunning().
  };

  void On(const SubmitEvent& aEvent, TimePoint aNow);
  void On(const ReleaseEvent& aEvent, TimePoint aNow);
  void On(const CancelEvent& aEvent, TimePoint aNow);
  void On(const TickEvent& aEvent, TimePoint aNow);
  void On(const ViewEvent& aEvent, TimePoint aNow);
  void On(const ConfirmationEvent& aEvent, TimePoint aNow);
  void On(const TableEvent& aEvent, TimePoint aNow);

  void RebuildPools(TimePoint aNow);
  void RefuseExpired(PoolScheduler& aPool, TimePoint aNow);
  void Dispatch(PoolScheduler& aPool, TimePoint aNow);
  void RecordOutcome(PoolScheduler& aPool,
                     uint64_t aGrant,
                     const RunningGrant& aRunning,
                     AttemptResult aResult,
                     TimePoint aNow);
  void EjectFailingWorkers(PoolScheduler& aPool, TimePoint aNow);
  void Refuse(uint64_t aTicket, AdmissionError::Code aCode, std::string aMessage);

  SchedulerSettings settings_;
  std::shared_ptr<const ConfigView> view_;
  std::shared_ptr<const DemandTable> table_;
  bool mayDispatch_ = false;
  CostModel costs_;
  Placement placement_;
  std::map<std::string, CircuitBreaker> breakers_;
  std::map<std::string, std::unique_ptr<PoolScheduler>> pools_;
  std::unordered_map<uint64_t, RunningGrant> running_;
  uint64_t lastGrant_ = 0;
  TimePoint lastSweep_;
  SchedulerCounters counters_;
  std::vector<Decision>* out_ = nullptr; ///< Set during Step().
};

}
