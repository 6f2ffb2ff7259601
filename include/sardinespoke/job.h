#pragma once

#include "sardinespoke/backend_entry.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// A group of equal tasks of a job.
struct StepSpec
{
  uint32_t taskCount_ = 0;
  int64_t cpuMilli_ = 0; ///< Thousandths of a core for each task.
  int64_t memoryMb_ = 0;
  int64_t accelerators_ = 0;
  std::chrono::milliseconds estimate_{ 0 }; ///< Declared duration; often far off.
  std::vector<uint32_t> after_;             ///< Earlier steps that must be done first.
  bool checkpointing_ = false;
  bool gang_ = false;     ///< All tasks run together under one run number and end together.
  bool sameRack_ = false; ///< Slower if the tasks run in more than one rack.
  std::string requiredLabel_;
  std::string dataRack_;      ///< Slower on any other rack.
  uint32_t maxPerServer_ = 0; ///< Tasks of one occurrence on one backend server; 0: no bound.
  bool speculative_ = false;  ///< Copies may run in parallel.
  bool continuous_ = false;   ///< Runs until the job is cancelled.
  std::string image_;
  std::chrono::milliseconds latencyTarget_{ 0 }; ///< Bound of a lasting task's response times.
  bool bestEffort_ = false;                      ///< Uses the processor that other tasks leave.
  uint32_t maxUnavailable_ = 0; ///< Availability budget: tasks that planned actions may interrupt.

  /// @returns What a task takes of a backend server's capacity.
  Resources Need() const
  {
    return Resources{ bestEffort_ ? 0 : cpuMilli_, memoryMb_, accelerators_ };
  }
};

/// What a caller hands in.
struct JobSpec
{
  std::string id_;
  std::string queue_;   ///< Name of the queue that accepted it.
  std::string payload_; ///< Passed to every task.
  std::vector<StepSpec> steps_;
  std::chrono::milliseconds firstDue_{ 0 }; ///< Since 1970; of the first occurrence.
  std::chrono::milliseconds interval_{ 0 };
  uint32_t repeats_ = 0; ///< Occurrences; 0: once, at once.
};

/// State that callers see.
enum class JobState
{
  Queued,
  Running,
  Done,
  Failed,
  Cancelled,
  Count
};

/// How a queue is served. A copy is stored with each job, so that a removed queue is worked off.
struct QueuePolicy
{
  std::string name_;
  std::string host_;   ///< Host header that selects the queue.
  std::string prefix_; ///< Path prefix that selects the queue.
  std::string service_;
  uint32_t priority_ = 0; ///< 0 is the most urgent.
  uint32_t maxAttempts_ = 1;
  double stretch_ = 1.0; ///< The objective as a multiple of the longest chain of work.
  std::chrono::milliseconds latencyTarget_{ 0 }; ///< Added to the objective.
  std::chrono::milliseconds timeout_{ 0 };
  bool advised_ = false; ///< Only the advice service knows where its steps may run.
  std::chrono::milliseconds adviceDecide_{ 0 }; ///< Time that the service takes for a question,
  std::chrono::milliseconds advicePeriod_{ 0 }; ///< and for each backend server named in it.
};

/// A pool of hosts.
struct ServicePolicy
{
  std::string name_;
  bool spare_ = false; ///< Its hosts are switched off and cost nothing.
};

/// The operators' configuration.
struct FleetConfig
{
  int64_t version_ = 0;
  std::vector<QueuePolicy> queues_;
  std::vector<ServicePolicy> services_;
  uint64_t maxBodyBytes_ = 0;
};

/// Names a task of a job.
struct TaskId
{
  std::string job_;
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;
  uint32_t index_ = 0;

  /// @returns "JOB.OCCURRENCE.STEP.INDEX".
  std::string Text() const;

  /// @returns "JOB.OCCURRENCE.STEP".
  std::string StepText() const;

  /// @returns False if the text does not name a task.
  static bool Parse(const std::string& aText, TaskId& aId);
};

}
