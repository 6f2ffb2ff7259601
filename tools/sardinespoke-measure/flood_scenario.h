#pragma once

#include "sardinespoke/profile.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// One queue (a service with its own profile) of a deployment.
struct FloodQueue
{
  std::string name_;
  Urgency urgency_ = Urgency::Standard;
  uint32_t entitledSlots_ = 80;
  std::chrono::milliseconds meanRun_{ 100 }; ///< Run times are exponential around it.
};

/// A stretch of time in which one queue demands more than usual.
struct FloodWindow
{
  size_t queue_ = 0;
  double load_ = 5; ///< Offered load relative to the entitlement.
  std::chrono::milliseconds begin_{ 0 };
  std::chrono::milliseconds end_{ 0 };
};

/// A worker that answers everything with an error from a moment on.
struct WorkerFault
{
  size_t worker_ = 0;
  std::chrono::milliseconds begin_{ 0 };
};

/// Work of one queue that fails on every worker.
struct PoisonWork
{
  size_t queue_ = 0;
  double part_ = 0;      ///< Of the queue's requests; 0 = none.
  bool ownKind_ = false; ///< Whether it has a kind of its own.
  std::chrono::milliseconds begin_{ 0 };
};

/// The input of one run.
struct FloodScenario
{
  std::vector<FloodQueue> queues_;
  size_t workers_ = 50;
  uint32_t slotsPerWorker_ = 8;
  size_t entryHosts_ = 7;
  std::chrono::microseconds networkDelay_{ 1000 }; ///< One way, entry host to worker or peer.
  double usualLoad_ = 0.75;                        ///< Relative to the entitlement.
  std::vector<FloodWindow> floods_;
  double firstHostPart_ = 0; ///< Part of all requests that the first entry host sees; 0 = even.
  std::chrono::milliseconds firstHostFrom_{ 0 }; ///< Until then the load is even.
  std::vector<WorkerFault> faults_;
  PoisonWork poison_;
  std::chrono::milliseconds duration_{ 30000 };
  std::chrono::milliseconds measureFrom_{ 5000 };
  uint64_t seed_ = 1;
};

/// What one queue experienced among requests that arrived after measureFrom_.
struct QueueResult
{
  uint64_t offered_ = 0;
  uint64_t started_ = 0;
  uint64_t refused_ = 0;
  std::vector<double> waits_;     ///< Seconds from arrival to the start on a worker, sorted.
  std::vector<double> responses_; ///< Seconds from arrival to the answer, sorted.

  /// @returns A quantile of the wait in seconds.
  double Wait(double aQuantile) const;

  /// @returns A quantile of the response time in seconds.
  double Response(double aQuantile) const;

  /// @returns Part of the offered requests that was started.
  double Served() const;
};

/// The outcome of one run.
struct FloodResult
{
  std::vector<QueueResult> queues_;
  /// Part of the slots held after measureFrom_, from the grant to the answer of work that ran. The
  /// network delay counts as held, because nobody else can use the slot meanwhile.
  double utilisation_ = 0;
  double workerBusy_ = 0;     ///< Part of the slots that ran work after measureFrom_.
  uint64_t slotsRefused_ = 0; ///< Attempts that a worker refused for lack of a slot.
  /// Seconds from the fault to the last request sent to the worker, probes excluded.
  double lastUseOfFaulty_ = 0;
  uint64_t workersRemoved_ = 0;
};

}
