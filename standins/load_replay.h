#pragma once

#include "job_world.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace sardinespoke {

/// Load of one queue. Jobs have one or two steps of equal tasks.
struct ReplayQueue
{
  std::string pool_;
  size_t hosts_ = 9;
  uint32_t priority_ = 0;
  double jobsPerSecond_ = 6.0; ///< Mean over bursts and off-peak times.
  double tasks_ = 6.0;         ///< Mean number of tasks of a step.
  int64_t cpuMilli_ = 900;     ///< Mean of a task.
  int64_t memoryMb_ = 2500;
  std::chrono::milliseconds duration_{ 1000 }; ///< Mean of a task.
  double checkpointingShare_ = 0.0;            ///< Share of jobs with checkpoints.
  double estimateSpread_ = 0.9; ///< Log standard deviation of declared to real durations.
};

/// A load in which the queues have bursts in turn, several times their mean and above the capacity
/// of their pool, and little load otherwise.
struct ReplayPlan
{
  uint64_t seed_ = 1;
  std::vector<ReplayQueue> queues_;
  Resources hostCapacity_{ 16000, 65536, 0 };
  size_t spareHosts_ = 8;
  uint32_t continuousTasks_ = 5; ///< Of the one continuous job of each queue; 0: no such job.
  std::chrono::milliseconds burstLength_{ 4500 };
  double offPeakShare_ = 0.05; ///< Rate outside of bursts, as a share of the mean.
  std::chrono::milliseconds length_{ 18000 };
  std::chrono::milliseconds drainTime_{
    14000
  }; ///< Time after the load in which late jobs may finish.
};

/// Results of the jobs of one queue.
struct ReplayOutcome
{
  size_t offered_ = 0;
  size_t inTime_ = 0;
  size_t late_ = 0;
  size_t unfinished_ = 0;
  double workOffered_ = 0.0; ///< Core-seconds.
  double workInTime_ = 0.0;
};

struct ReplayResult
{
  std::map<std::string, ReplayOutcome> byPool_;
  ReplayOutcome total_;
  double hostSeconds_ = 0.0; ///< Of hosts outside of the spare pool.
  size_t starts_ = 0;
  size_t polls_ = 0;
  size_t storeCalls_ = 0;
};

/// Four pools with the proportions of a small deployment.
ReplayPlan
SmallReplayPlan(uint64_t aSeed);

/// Four pools with 350 hosts in total.
ReplayPlan
LargeReplayPlan(uint64_t aSeed);

/// Runs a load on a JobWorld with one entry host.
class LoadReplay
{
public:
  explicit LoadReplay(ReplayPlan aPlan);

  ReplayResult Run();

  /// For fault injection and checks during the run.
  JobWorld& World() { return world_; }

private:
  struct PlannedJob
  {
    std::chrono::milliseconds at_{ 0 };
    size_t queue_ = 0;
    std::string id_;
    std::vector<StepSpec> steps_;
    std::chrono::milliseconds duration_{ 0 };
  };
  struct OpenJob
  {
    const PlannedJob* plan_ = nullptr;
    TimePoint sent_{};
    bool accepted_ = false;
    bool done_ = false;
    TimePoint doneAt_{};
  };

  void PlanJobs();
  PlannedJob PlanJob(size_t aQueue, std::chrono::milliseconds aAt);
  void SendDue(std::chrono::milliseconds aElapsed);
  void PollJobs();
  ReplayResult Evaluate() const;

  const ReplayPlan plan_;
  JobWorld world_;
  std::mt19937_64 random_;
  std::vector<PlannedJob> jobs_;
  size_t next_ = 0;
  std::vector<OpenJob> open_;
  double hostSeconds_ = 0.0;
};

}
