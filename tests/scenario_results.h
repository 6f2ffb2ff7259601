#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// Measurements of one queue.
struct ScenarioQueue
{
  std::string pool_;
  std::string profile_;
  bool urgent_ = false;
  uint32_t entitledSlots_ = 0;
  std::map<int64_t, double> offeredWorkSeconds_; ///< Offered seconds of work, by second of arrival.
  double startedWorkSeconds_ = 0;                ///< Seconds of work started.
  std::vector<double> waitSeconds_;              ///< Time from arrival to start of each request.
  uint64_t offeredRequests_ = 0;
  uint64_t rejectedRequests_ = 0;
  std::map<int64_t, double> entitledHeld_; ///< Slot seconds held, up to the entitlement, by second.
  std::map<int64_t, double> entitledDemand_; ///< The same for slots held plus requests queued.
  std::map<int64_t, double> backlogSeconds_; ///< Seconds with requests queued, by second.
  /// Slot seconds that all queues of the pool may use while this one is not empty.
  double availableSlotSeconds_ = 0;
  double usedSlotSeconds_ = 0; ///< Slot seconds in use out of availableSlotSeconds_.
};

/// Measurements of a run for the checks. Times count from the start of the scenario.
struct ScenarioResults
{
  std::map<std::string, ScenarioQueue> queues_;
  std::map<std::string, std::vector<std::string>> violations_; ///< Messages by rule, such as "P2".
  std::optional<std::chrono::milliseconds> rolloutStart_;
  std::optional<std::chrono::milliseconds> rolloutEnd_;
  std::chrono::milliseconds longestChangeDelay_{ 0 };
  /// Time from when a worker begins to fail until its last use, probes excluded.
  std::map<std::string, std::chrono::milliseconds> lastUseOfFailing_;
  std::map<std::string, std::vector<std::chrono::milliseconds>> grantTimes_; ///< By entry host.
  std::set<std::string> ejectedWorkers_;      ///< Workers that an entry host ejected.
  std::map<std::string, size_t> mostEjected_; ///< Most ejected at once by one entry host, by pool.
  uint64_t moves_ = 0;
  uint64_t racingEdits_ = 0;
  uint64_t acceptedRacingEdits_ = 0;
  uint64_t lostRevisions_ = 0; ///< Accepted fleet revisions missing in the store at the end.
  uint64_t undecidedRequests_ = 0;
  uint64_t cancelledRequests_ = 0;
  uint64_t startedAfterCancel_ = 0;
};

}
