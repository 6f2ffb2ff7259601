#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// What one queue experienced.
struct ScenarioQueue
{
  std::string pool_;
  std::string profile_;
  bool urgent_ = false;
  uint32_t entitledSlots_ = 0;
  std::map<int64_t, double> offeredWorkSeconds_; ///< Seconds of work offered, by second of arrival.
  double startedWorkSeconds_ = 0;                ///< Seconds of work that was started.
  std::vector<double> waitSeconds_;              ///< Seconds from arrival to the start.
  uint64_t offeredRequests_ = 0;
  uint64_t rejectedRequests_ = 0;
  std::map<int64_t, double> entitledHeld_; ///< Slot seconds held up to the entitlement, by second.
  std::map<int64_t, double> entitledDemand_; ///< The same of slots held and requests queued.
  std::map<int64_t, double> backlogSeconds_; ///< Seconds with requests queued, by second.
  double availableSlotSeconds_ =
    0; ///< Slots that it and the others may use while it has requests queued.
  double usedSlotSeconds_ = 0; ///< Of these, the ones in use.
};

/// What a run recorded for the checks. Times are from the start of the scenario.
struct ScenarioResults
{
  std::map<std::string, ScenarioQueue> queues_;
  std::map<std::string, std::vector<std::string>> violations_; ///< By rule, such as "P2".
  std::optional<std::chrono::milliseconds> rolloutStart_;
  std::optional<std::chrono::milliseconds> rolloutEnd_;
  std::chrono::milliseconds longestChangeDelay_{ 0 };
  std::map<std::string, std::chrono::milliseconds>
    lastUseOfFailing_; ///< Of failing workers, probes excluded.
  std::map<std::string, std::vector<std::chrono::milliseconds>> grantTimes_; ///< By entry host.
  std::set<std::string> ejectedWorkers_;                                     ///< Workers held open.
  std::map<std::string, size_t> mostEjected_; ///< Of one pool at once, at one entry host.
  uint64_t moves_ = 0;
  uint64_t racingEdits_ = 0;
  uint64_t acceptedRacingEdits_ = 0;
  uint64_t lostRevisions_ = 0; ///< Revisions that the store lacks at the end.
  uint64_t undecidedRequests_ = 0;
  uint64_t cancelledRequests_ = 0;
  uint64_t startedAfterCancel_ = 0;
};

}
