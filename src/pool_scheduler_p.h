#pragma once

#include "sardinespoke/admission_queue.h"
#include "sardinespoke/circuit_breaker.h"
#include "sardinespoke/cost_model.h"
#include "sardinespoke/fault_attribution.h"
#include "sardinespoke/fleet_map.h"
#include "sardinespoke/placement.h"
#include "sardinespoke/profile_set.h"
#include "sardinespoke/slot_shares.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// Work whose 95th percentile run time is above this is long: a slot lent to it is not back before
/// urgent work has to start (2.6 s with queueing and hand-over).
constexpr std::chrono::milliseconds kLongWorkP95{ 1000 };

/// 95th percentile by mean of an exponential distribution.
constexpr int kP95PerMean = 3;

/// A slot lent to long work counts as lost with the probability that it is not back after this
/// time, for exponential run times. The rest of the 2.6 s is left for queueing.
constexpr std::chrono::milliseconds kSlotReturnTime{ 1500 };

/// Part of the slots that may be lost to long work when all slots are covered by entitlements. With
/// a quarter, work of 25 s kept other queues at 0.94 of their entitlement (target 0.99).
constexpr uint32_t kLongWorkReserveDivisor = 8;

/// A worker that refused for lack of a slot is not asked again for a quarter of the expected run
/// time, within these limits: the slot is free when a request of another entry host has ended.
constexpr std::chrono::milliseconds kMinFullBackoff{ 10 };
constexpr std::chrono::milliseconds kMaxFullBackoff{ 250 };

/// Demand is smoothed with this weight of the newest interval, unless it differs by more than
/// kDemandJumpDeviations standard deviations of a Poisson number; then it is taken over at once.
constexpr double kDemandGain = 0.05;

/// Falling demand is followed faster: after a short queue at one entry host, a report that stays
/// too high takes entitlement from the team's other entry hosts and makes their queues grow in
/// turn.
constexpr double kDemandFallGain = 0.1;
constexpr double kDemandJumpDeviations = 4;

/// A report changes only when demand differs from it by this part and at least 2. Each change moves
/// slots between entry hosts, and a moved slot is refused by the worker until the last request of
/// its former holder has ended.
constexpr double kMinReportChange = 0.15;

/// The scheduling state of one pool at one entry host.
class PoolScheduler
{
public:
  struct ProfileState
  {
    Profile rules_;
    ProfileShare share_;
    uint32_t running_ = 0;
    uint32_t longRunning_ = 0;
    double lateProbabilitySum_ = 0; ///< Sum of the loss of the long work that runs.
    uint32_t peakDemand_ = 0;       ///< Most queued and running since the last report.
    uint64_t sampledDemand_ = 0;    ///< Sum of the samples since the last report.
    uint32_t samples_ = 0;
    double demand_ = 0;     ///< Smoothed.
    uint32_t reported_ = 0; ///< Demand in the last report.
  };

  struct WorkerState
  {
    const FleetHost* host_ = nullptr; ///< Kept alive by the view.
    uint32_t slots_ = 0;              ///< This entry host's part.
    uint32_t running_ = 0;
    TimePoint fullUntil_;
  };

  /// A request that was matched with a worker.
  struct Match
  {
    QueuedItem item_;
    std::string profile_;
    const FleetHost* host_ = nullptr;
    double lateProbability_ = 0;
  };

  using BreakerMap = std::map<std::string, CircuitBreaker>;

  PoolScheduler(PoolRules aRules, std::vector<std::string> aMembers);

  void AddProfile(const Profile& aProfile);
  void AddWorker(const FleetHost& aHost);

  /// Counts a request that was already running when the pool was rebuilt.
  /// @param aLoss 0 for short work; for long work the probability that its slot is not back in
  /// time.
  void AddRunning(const std::string& aProfile, const std::string& aHost, double aLoss);
  void EndRunning(const std::string& aProfile, const std::string& aHost, double aLoss);

  /// Computes the shares, unless the table says the same about this pool as the last one.
  void UpdateShares(const DemandTable& aTable, const std::string& aSelf);

  std::optional<AdmissionError::Code> Submit(const std::string& aProfile,
                                             QueuedItem aItem,
                                             TimePoint aNow);

  /// Matches the next request with a worker and counts it as running.
  std::optional<Match> Next(const CostModel& aCosts,
                            const BreakerMap& aBreakers,
                            Placement& aPlacement,
                            TimePoint aNow);

  /// Notes that a worker refused for lack of a slot.
  /// @param aCost Expected run time of the work.
  void MarkFull(const std::string& aHost, std::chrono::nanoseconds aCost, TimePoint aNow);

  /// Samples the demand; called several times between reports.
  void SampleDemand();

  /// Adds the smoothed demand of each profile to a report.
  void TakeDemand(std::map<std::string, uint32_t>& aReport);

  const PoolRules& Rules() const { return rules_; }
  const Profile* FindProfile(const std::string& aProfile) const;
  const std::map<std::string, WorkerState>& Workers() const { return workers_; }
  AdmissionQueue& Queue() { return queue_; }
  const AdmissionQueue& Queue() const { return queue_; }
  FaultAttribution& Faults() { return faults_; }

private:
  std::vector<PlacementCandidate> Candidates(const BreakerMap& aBreakers, TimePoint aNow) const;
  int DispatchTier(const std::string& aName,
                   const ProfileState& aProfile,
                   const CostModel& aCosts,
                   TimePoint aNow) const;
  bool MayBorrowForLongWork(const ProfileState& aProfile, double aLoss) const;
  /// @returns The table reduced to this pool's profiles.
  DemandTable FilterByProfile(const DemandTable& aTable) const;
  void UpdatePeakDemand(const std::string& aName, ProfileState& aProfile);
  static void UpdateReportedDemand(ProfileState& aProfile);

  PoolRules rules_;
  std::vector<std::string> members_;
  std::map<std::string, ProfileState> profiles_;
  std::map<std::string, WorkerState> workers_;
  std::vector<const WorkerState*> workerList_; ///< Elements of workers_.
  std::optional<DemandTable> lastTable_;       ///< This pool's part of the last table.
  uint32_t totalSlots_ = 0;                    ///< This entry host's part of the pool.
  AdmissionQueue queue_;
  FaultAttribution faults_;
};

}
