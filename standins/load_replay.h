#pragma once

#include "job_world.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace sardinespoke {

/// One queue of a replayed load. Jobs have one or two steps of equal tasks.
struct ReplayQueue
{
  std::string pool_;
  size_t hosts_ = 9;
  uint32_t priority_ = 0;
  double jobsPerSecond_ = 6.0; ///< Mean over all turns.
  double tasks_ = 6.0;         ///< Mean number of tasks of a step.
  int64_t cpuMilli_ = 900;     ///< Mean of a task.
  int64_t memoryMb_ = 2500;
  std::chrono::milliseconds duration_{ 1000 }; ///< Mean of a task.
  double checkpointingShare_ = 0.0;            ///< Of the jobs.
  double estimateSpread_ = 0.9; ///< Of the declared durations around the real ones, as a logarithm.
};

/// A load in which each queue in its turn asks for several times its mean, more than its pool
/// holds, and for little in between.
struct ReplayPlan
{
  uint64_t seed_ = 1;
  std::vector<ReplayQueue> queues_;
  Resources hostCapacity_{ 16000, 65536, 0 };
  size_t spareHosts_ = 8;
  uint32_t continuousTasks_ = 5; ///< Of one lasting job for each queue; 0: none.
  std::chrono::milliseconds burstLength_{ 4500 };
  double offPeakShare_ = 0.05; ///< Of the mean rate, out of turn.
  std::chrono::milliseconds length_{ 18000 };
  std::chrono::milliseconds drainTime_{ 14000 }; ///< Time after the load for late jobs.
};

/// What became of the jobs of one queue.
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
  double hostSeconds_ = 0.0; ///< Of hosts that are not in the spare pool.
  size_t starts_ = 0;
  size_t polls_ = 0;
  size_t storeCalls_ = 0;
};

/// Four pools with the proportions of a small deployment.
ReplayPlan
SmallReplayPlan(uint64_t aSeed);

/// Four pools with 350 hosts in all.
ReplayPlan
LargeReplayPlan(uint64_t aSeed);

/// Plays a load on a JobWorld with one entry host.
class LoadReplay
{
public:
  explicit LoadReplay(ReplayPlan aPlan);

  ReplayResult Run();

  /// For faults and checks while the load is played.
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
