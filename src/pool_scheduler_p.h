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

/// Work with a higher 95th percentile run time is long: a slot lent to it isn't returned before
/// urgent work has to start (2.6 s including queueing and hand-over).
constexpr std::chrono::milliseconds kLongWorkP95{ 1000 };

/// Ratio of the 95th percentile to the mean of an exponential distribution.
constexpr int kP95PerMean = 3;

/// Time after which a slot lent to long work counts as returned late, with the probability given by
/// exponentially distributed run times. The rest of the 2.6 s is left for queueing.
constexpr std::chrono::milliseconds kSlotReturnTime{ 1500 };

/// Fraction of the slots that long work may return late, if entitlements cover all slots. With 1/4
/// and work of 25 s, other queues got only 0.94 of their entitlement (target 0.99).
constexpr uint32_t kLongWorkReserveDivisor = 8;

/// Bounds of the backoff after a worker refused a request for lack of a slot. The backoff is a
/// quarter of the expected run time, because the slot becomes free when a request of another entry
/// host ends.
constexpr std::chrono::milliseconds kMinFullBackoff{ 10 };
constexpr std::chrono::milliseconds kMaxFullBackoff{ 250 };

/// Weight of the newest interval in the moving average of demand. A change by more than
/// kDemandJumpDeviations standard deviations of a Poisson distribution is applied immediately.
constexpr double kDemandGain = 0.05;

/// Weight for falling demand. It is higher, because a report that stays too high after a short
/// queue at one entry host takes entitlement from the team's other entry hosts, whose queues then
/// grow in turn.
constexpr double kDemandFallGain = 0.1;
constexpr double kDemandJumpDeviations = 4;

/// Relative change of demand (and at least 2 requests) above which the reported value is updated.
/// Each update moves slots between entry hosts, and the worker refuses a moved slot until the last
/// request of its previous holder has ended.
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
    double lateProbabilitySum_ = 0; ///< Over the running long requests.
    uint32_t peakDemand_ = 0;       ///< Maximum of queued and running since the last report.
    uint64_t sampledDemand_ = 0;    ///< Sum of the samples since the last report.
    uint32_t samples_ = 0;
    double demand_ = 0;     ///< Smoothed.
    uint32_t reported_ = 0; ///< Demand in the last report.
  };

  struct WorkerState
  {
    const FleetHost* host_ = nullptr; ///< Owned by the view.
    uint32_t slots_ = 0;              ///< This entry host's share.
    uint32_t running_ = 0;
    TimePoint fullUntil_;
  };

  /// A request that was assigned to a worker.
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

  /// Counts a running request, also after the pool was rebuilt.
  /// @param aLateProbability For long work the probability that its slot is returned late; 0 for
  /// short work.
  void AddRunning(const std::string& aProfile, const std::string& aHost, double aLateProbability);
  void EndRunning(const std::string& aProfile, const std::string& aHost, double aLateProbability);

  /// Recomputes the shares if the table's entries for this pool have changed.
  void UpdateShares(const DemandTable& aTable, const std::string& aSelf);

  std::optional<AdmissionError::Code> Submit(const std::string& aProfile,
                                             QueuedItem aItem,
                                             TimePoint aNow);

  /// Assigns the next request to a worker and counts it as running.
  std::optional<Match> Next(const CostModel& aCosts,
                            const BreakerMap& aBreakers,
                            Placement& aPlacement,
                            TimePoint aNow);

  /// Starts the backoff of a worker that refused a request for lack of a slot.
  /// @param aCost Expected run time of the request.
  void MarkFull(const std::string& aHost, std::chrono::nanoseconds aCost, TimePoint aNow);

  /// Samples the current demand; called several times between reports.
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
  bool MayBorrowForLongWork(const ProfileState& aProfile, double aLateProbability) const;
  /// @returns The table reduced to this pool's profiles.
  DemandTable FilterByProfile(const DemandTable& aTable) const;
  void UpdatePeakDemand(const std::string& aName, ProfileState& aProfile);
  static void UpdateReportedDemand(ProfileState& aProfile);

  PoolRules rules_;
  std::vector<std::string> members_;
  std::map<std::string, ProfileState> profiles_;
  std::map<std::string, WorkerState> workers_;
  std::vector<const WorkerState*> workerList_; ///< Elements of workers_.
  std::optional<DemandTable> lastTable_;       ///< This pool's entries of the last table.
  uint32_t totalSlots_ = 0;                    ///< This entry host's share of the pool.
  AdmissionQueue queue_;
  FaultAttribution faults_;
};

}
