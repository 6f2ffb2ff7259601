#pragma once

#include "sardinespoke/backend_entry.h"

#include <chrono>
#include <cstdint>
#include <optional>
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
  std::chrono::milliseconds estimate_{ 0 }; ///< Duration declared by the caller; may be far off.
  std::vector<uint32_t> after_;             ///< Indices of earlier steps that must be done first.
  bool checkpointing_ = false;
  bool gang_ = false; ///< Gang scheduling: all tasks start and end together under one run number.
  bool sameRack_ = false; ///< The tasks run slower if they are spread over several racks.
  std::string requiredLabel_;
  std::string dataRack_;      ///< Rack of the input data; tasks run slower in any other rack.
  uint32_t maxPerServer_ = 0; ///< Most tasks of one occurrence on one backend server; 0: no limit.
  bool speculative_ = false;  ///< Copies of a task may run in parallel.
  bool continuous_ = false;   ///< The tasks run until the job is cancelled.
  std::string image_;
  /// Bound on the response times of a continuous task; 0: none.
  std::chrono::milliseconds latencyTarget_{ 0 };
  bool bestEffort_ = false; ///< Uses only processor time that other tasks leave idle.
  /// Availability budget: tasks that planned disruptions may interrupt at once.
  uint32_t maxUnavailable_ = 0;

  /// @returns What a task counts against the cap of its tenant.
  Resources Declared() const { return Resources{ cpuMilli_, memoryMb_, accelerators_ }; }

  /// @returns The capacity that a task reserves on a backend server.
  Resources Need() const
  {
    return Resources{ bestEffort_ ? 0 : cpuMilli_, memoryMb_, accelerators_ };
  }
};

/// A job as submitted by a caller.
struct JobSpec
{
  std::string id_;
  std::string queue_;   ///< Name of the queue that accepted the job.
  std::string tenant_;  ///< Name of the tenant that it belongs to; empty if it has none.
  std::string payload_; ///< Passed to every task.
  std::vector<StepSpec> steps_;
  /// Due time of the first occurrence since the Unix epoch.
  std::chrono::milliseconds firstDue_{ 0 };
  std::chrono::milliseconds interval_{ 0 };
  uint32_t repeats_ = 0; ///< Number of occurrences; 0: one, due at once.
};

/// Job state as callers see it.
enum class JobState
{
  Queued,
  Running,
  Done,
  Failed,
  Cancelled,
  Count
};

/// Scheduling policy of a queue. Each job stores a copy, so that jobs of a removed queue still
/// finish.
struct QueuePolicy
{
  std::string name_;
  std::string host_;   ///< Host header that selects the queue.
  std::string prefix_; ///< Path prefix that selects the queue.
  std::string service_;
  uint32_t priority_ = 0; ///< 0 is the highest priority.
  uint32_t maxAttempts_ = 1;
  double stretch_ = 1.0; ///< Completion objective as a multiple of the critical path of the job.
  std::chrono::milliseconds latencyTarget_{ 0 }; ///< Added to the completion objective.
  std::chrono::milliseconds timeout_{ 0 };
  bool isPublic_ = false; ///< Calls need no key.
  bool advised_ = false;  ///< The advice service decides where the steps of its jobs may run.
  std::chrono::milliseconds adviceDecide_{ 0 }; ///< Decision time of the advice service per query.
  std::chrono::milliseconds advicePeriod_{ 0 }; ///< Added time per backend server in the query.
};

/// A tenant with its keys and limits.
struct TenantPolicy
{
  std::string name_;
  std::vector<std::string> apiKeys_;
  double weight_ = 1.0; ///< Share when all is full, and submissions per second within it.
  Resources cap_;       ///< Most that it may have running over all pools; 0: no limit.
};

/// A pool of hosts.
struct ServicePolicy
{
  std::string name_;
  bool spare_ = false; ///< The spare pool: its hosts are switched off and cost nothing.
};

/// The operators' configuration.
struct FleetConfig
{
  int64_t version_ = 0;
  std::vector<QueuePolicy> queues_;
  std::vector<ServicePolicy> services_;
  /// Empty: there are no tenants, and calls need no key.
  std::optional<std::vector<TenantPolicy>> tenants_;
  uint64_t maxBodyBytes_ = 0;
};

/// Identifies a task of a job.
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

  /// @returns False if the text is not a task id.
  static bool Parse(const std::string& aText, TaskId& aId);
};

}
