#include "slope.h"
#include "slope_groups.h"

#include "plain_fleet_format.h"
#include "sardinespoke/job_journal.h"
#include "sardinespoke/overload_policy.h"
#include "sardinespoke/task_scheduler.h"
#include "simulated_fleet.h"

#include <array>
#include <functional>
#include <map>
#include <stdexcept>
#include <tuple>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr uint32_t kTenants = 100;
constexpr uint32_t kPools = 5;
constexpr uint32_t kServersPerPool = 108;
constexpr Resources kCapacity{ 16000, 65536, 0 };
constexpr int kRounds = 250;
constexpr int kStarts = 100;
// Jobs are ranked anew after 250 ms; rounds are measured once that has begun.
constexpr int kWarmUpTicks = 300;
// No task ends until all else is measured; then one in each period.
constexpr milliseconds kTimeBeforeEnds{ 1500 };
constexpr milliseconds kEndPeriod{ 4 };
// The waiting jobs have come within this time, so that some of them are late.
constexpr milliseconds kArrivalTime{ 2000 };
constexpr uint32_t kSubmission = 20000;      // Number of a job that is not stored.
constexpr uint32_t kRunningTasksPerJob = 12; // Divides the number of tasks that fill a pool.
constexpr double kHalfCore = 2.0;            // Elapsed time for each unit of processor time.

struct PoolLoad
{
  std::string name_;
  int64_t cpuMilli_ = 0;      ///< Of the running tasks and of three quarters of the waiting ones.
  uint32_t waitingPools_ = 0; ///< Number of pools with waiting jobs.
};

// With tasks of 3.3 cores, 2.8 cores of each backend server are free.
const std::array<PoolLoad, 3> kLoads{
  { { "full", 3200, kPools }, { "one_pool", 3200, 1 }, { "too_little_free", 3300, kPools } }
};

std::string
PoolName(uint32_t aPool)
{
  return "pool-" + std::to_string(aPool);
}

/// Mean times on half a core.
struct Times
{
  double roundWithoutStart_ = 0;
  double start_ = 0; ///< What the start of one task after one has ended adds to a round.
  double check_ = 0; ///< The decision on a submission, as JobControl makes it.
  double runsTick_ = 0;
  double journalTick_ = 0;
};

/// Modules of the leader with simulated backend servers that are full.
class FullPools
{
public:
  FullPools(const PoolLoad& aLoad, uint32_t aWaitingJobs)
    : load_(aLoad)
  {
    FleetConfig config;
    config.tenants_.emplace();
    for (uint32_t tenant = 0; tenant < kTenants; ++tenant) {
      config.tenants_->push_back({ std::to_string(tenant), {}, 1.0, {} });
    }
    jobs_.Tenants().Apply(config);
    Register();
    Fill();
    for (uint32_t number = 0; number < aWaitingJobs; ++number) {
      const milliseconds age = kArrivalTime * (aWaitingJobs - number) / aWaitingJobs;
      jobs_.At(AddWaitingJob(number, age)).stored_ = true;
    }
    for (int tick = 0; tick < kWarmUpTicks; ++tick) {
      Advance();
      scheduler_.Run();
    }
  }

  Times Measure()
  {
    Times times;
    for (int round = 0; round < kRounds; ++round) {
      Advance();
      times.runsTick_ += runsTime_ / kRounds;
      times.journalTick_ += journalTime_ / kRounds;
      times.roundWithoutStart_ += TimeOf([this] { scheduler_.Run(); }) / kRounds;
      times.check_ += TimeOfCheck() / kRounds;
    }
    int starts = 0;
    int others = 0;
    double withStart = 0;
    double withoutStart = 0;
    while (starts < kStarts) {
      Advance();
      size_t started = 0;
      const double time = TimeOf([&] { started = scheduler_.Run(); });
      withStart += started == 1 ? time : 0;
      starts += started == 1 ? 1 : 0;
      withoutStart += started == 0 ? time : 0;
      others += started == 0 ? 1 : 0;
    }
    times.start_ = withStart / starts - withoutStart / others;
    return times;
  }

private:
  static double TimeOf(const std::function<void()>& aCall)
  {
    return kHalfCore * ThreadMicrosecondsOf(aCall);
  }

  double TimeOfCheck()
  {
    const uint32_t job = AddWaitingJob(kSubmission, milliseconds(0));
    const double time = TimeOf([this, job] {
      const SubmissionLoad load = scheduler_.LoadFor(job);
      const TenantUsage::Id tenant = jobs_.At(job).tenant_;
      overload_.RetryAfter(load, PoolName(0), tenant, scheduler_.ShareFor(job), clock_.Now());
    });
    jobs_.Remove(job);
    return time;
  }

  /// Lets a millisecond pass, in which the fleet and the store answer.
  void StepOutside()
  {
    clock_.Advance(milliseconds(1));
    store_.Step();
    fleet_.Step();
    events_.Run();
    leadership_.Tick();
  }
  int64_t Elect()
  {
    while (!leadership_.IsLeader()) {
      StepOutside();
    }
    return leadership_.FencingToken();
  }
  void Advance()
  {
    StepOutside();
    runs_.SetLeaseState(leadership_.Lease());
    runs_.SetHighestToken(journal_.OwnRevision());
    runsTime_ = TimeOf([this] { runs_.Tick(); });
    journalTime_ = TimeOf([this] { journal_.Tick(); });
  }
  void Register()
  {
    for (uint32_t pool = 0; pool < kPools; ++pool) {
      fleet_.AddHosts(PoolName(pool), kServersPerPool, kCapacity);
    }
    std::vector<BackendEntry> entries;
    for (const auto& [key, record] : store_.Records()) {
      BackendEntry entry;
      if (key.rfind(format_.RegistryPrefix(), 0) == 0 && format_.ReadBackend(record, entry)) {
        entries.push_back(entry);
      }
    }
    runs_.ApplyRegistry(entries);
    const auto isUsable = [this](BackendHandle aBackend) {
      return runs_.IsUsable(backends_.At(aBackend));
    };
    while (!std::all_of(backends_.Live().begin(), backends_.Live().end(), isUsable)) {
      Advance();
    }
  }
  void Fill()
  {
    const auto tasks =
      static_cast<uint32_t>(kCapacity.cpuMilli_ / load_.cpuMilli_) * kServersPerPool * kPools;
    StepSpec step;
    step.taskCount_ = kRunningTasksPerJob;
    step.cpuMilli_ = load_.cpuMilli_;
    step.estimate_ = kTimeBeforeEnds;
    for (uint32_t number = 0; number < tasks / kRunningTasksPerJob; ++number) {
      JobSpec spec;
      spec.id_ = std::to_string(number);
      spec.steps_ = { step };
      jobs_.At(AddJob(std::move(spec), number, kPools, milliseconds(0))).stored_ = true;
    }
    if (scheduler_.Run() != tasks) {
      throw std::runtime_error("the simulated backend servers are not full");
    }
  }

  uint32_t AddWaitingJob(uint32_t aNumber, milliseconds aAge)
  {
    StepSpec step;
    step.taskCount_ = 8;
    step.cpuMilli_ = aNumber % 4 == 3 ? 2 * load_.cpuMilli_ : load_.cpuMilli_;
    step.estimate_ = milliseconds(600 + aNumber % 97);
    JobSpec spec;
    spec.id_ = "w" + std::to_string(aNumber);
    spec.steps_ = { step, step };
    spec.steps_.back().after_ = { 0 };
    return AddJob(std::move(spec), aNumber, load_.waitingPools_, aAge);
  }
  uint32_t AddJob(JobSpec aSpec, uint32_t aNumber, uint32_t aPools, milliseconds aAge)
  {
    QueuePolicy queue;
    queue.service_ = PoolName(aNumber % aPools);
    queue.stretch_ = 1.6;
    queue.latencyTarget_ = milliseconds(600);
    aSpec.queue_ = queue.service_;
    aSpec.tenant_ = std::to_string(aNumber / aPools % kTenants);
    const auto job = jobs_.Add(std::move(aSpec), queue, clock_.Now() - aAge, milliseconds(0));
    jobs_.OpenDueOccurrences(jobs_.At(job), milliseconds(0));
    jobs_.MarkChanged(job);
    return job;
  }
  /// The tasks that fill the backend servers end one after the other; others do not end.
  static SimulatedFleet::TaskShape ShapeOf(const std::string& aTask)
  {
    SimulatedFleet::TaskShape shape;
    shape.duration_ = std::chrono::hours(1);
    TaskId id;
    if (TaskId::Parse(aTask, id) && id.job_.front() != 'w') {
      const auto number = std::stoul(id.job_) * kRunningTasksPerJob + id.index_;
      shape.duration_ = kTimeBeforeEnds + kEndPeriod * number;
    }
    return shape;
  }

  const PoolLoad load_;
  ManualClock clock_;
  EventQueue events_{ clock_ };
  PlainFleetFormat format_;
  MemoryRecordStore store_{ clock_, events_ };
  SimulatedFleet fleet_{ clock_, events_, store_, format_, &ShapeOf };
  MemoryRecordStore::Client storeClient_{ store_ };
  SimulatedFleet::Client commands_{ fleet_ };
  Leadership leadership_{ storeClient_,
                          clock_,
                          { "entry-0", "entry-0-1", "10.0.1.1:1", "sardinespoke/leader" } };
  JobTable jobs_;
  BackendTable backends_;
  Metrics metrics_;
  DurationModel durations_;
  WaitOrder order_{ durations_ };
  OverloadPolicy overload_;
  RunTracker runs_{ jobs_, backends_, commands_, clock_, RunLimits(), Elect() };
  AdviceCache advice_{ commands_, clock_ };
  TaskScheduler scheduler_{ jobs_, backends_, runs_, advice_, durations_, order_, clock_ };
  JobJournal journal_{ storeClient_, clock_, jobs_, backends_, runs_, leadership_, metrics_ };
  double runsTime_ = 0;    ///< Of the last RunTracker::Tick().
  double journalTime_ = 0; ///< Of the last JobJournal::Tick().
};

}

void
MeasureJobScheduling(std::ostream& aOut)
{
  // With the goals of docs/hard-load.md, part 0.
  const std::vector<std::tuple<const char*, double Times::*, double>> measures{
    { "round_without_start", &Times::roundWithoutStart_, 500 },
    { "start", &Times::start_, 50 },
    { "submission_check", &Times::check_, 20 },
    { "runs_tick", &Times::runsTick_, 0 },
    { "journal_tick", &Times::journalTick_, 0 },
  };
  for (const PoolLoad& load : kLoads) {
    std::map<uint32_t, Times> times;
    for (const uint32_t count : { 100U, 1000U, 3000U, 10000U }) {
      times[count] = FullPools(load, count).Measure();
    }
    for (const auto& [name, member, goal] : measures) {
      SlopeSeries series{
        "jobs." + load.name_ + "." + name, "waiting jobs", "us on half a core", {}, goal
      };
      for (const auto& [count, measured] : times) {
        series.points_.emplace_back(count, measured.*member);
      }
      WriteSlope(aOut, series);
    }
  }
}

}
