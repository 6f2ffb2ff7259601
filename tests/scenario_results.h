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
  std::map<int64_t, double> offered_; ///< Seconds of work offered, by second of arrival.
  double startedWork_ = 0;            ///< Seconds of work that was started.
  std::vector<double> waits_;         ///< Seconds from arrival to the start.
  uint64_t offeredRequests_ = 0;
  uint64_t refused_ = 0;
  double slotSeconds_ = 0; ///< Slots that it and the others may use while it has requests queued.
  double heldSeconds_ = 0; ///< Of these, the ones in use.
};

/// What a run recorded for the checks. Times are from the start of the scenario.
struct ScenarioResults
{
  std::map<std::string, ScenarioQueue> queues_;
  std::map<std::string, std::vector<std::string>> violations_; ///< By rule, such as "P2".
  std::optional<std::chrono::milliseconds> rolloutStart_;
  std::optional<std::chrono::milliseconds> rolloutEnd_;
  std::chrono::milliseconds slowestChange_{ 0 };
  std::map<std::string, std::chrono::milliseconds>
    lastUse_; ///< Of failing workers, probes excluded.
  std::map<std::string, std::vector<std::chrono::milliseconds>> grants_; ///< By entry host.
  std::set<std::string> removed_;                                        ///< Workers held open.
  std::map<std::string, size_t> mostRemoved_; ///< Of one pool at once, at one entry host.
  uint64_t moves_ = 0;
  uint64_t editsRaced_ = 0;
  uint64_t editsAccepted_ = 0;
  uint64_t lostRevisions_ = 0; ///< Revisions that the store lacks at the end.
  uint64_t undecided_ = 0;
  uint64_t cancelled_ = 0;
  uint64_t cancelledStarted_ = 0;
};

}
