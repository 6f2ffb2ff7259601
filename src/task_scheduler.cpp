#include "sardinespoke/task_scheduler.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace sardinespoke {

namespace {

// Above this part of its time, the control loop has none left for more starts.
constexpr double kBoundUtilization = 0.9;
// Shortest time between two log lines about the same tenant.
constexpr std::chrono::milliseconds kCappedLogPeriod{ 1000 };
// Period of the count of tasks that a new leader has not seen. An old count is too high, not too
// low.
constexpr std::chrono::milliseconds kUnseenCountPeriod{ 100 };

double
Utilization(const Backend& aBackend)
{
  const auto cpu = static_cast<double>(aBackend.used_.cpuMilli_) /
                   static_cast<double>(std::max<int64_t>(aBackend.entry_.capacity_.cpuMilli_, 1));
  const auto memory =
    static_cast<double>(aBackend.used_.memoryMb_) /
    static_cast<double>(std::max<int64_t>(aBackend.entry_.capacity_.memoryMb_, 1));
  return std::max(cpu, memory);
}

}

TaskScheduler::TaskScheduler(JobTable& aJobs,
                             BackendTable& aBackends,
                             RunTracker& aRuns,
                             AdviceCache& aAdvice,
                             const DurationModel& aDurations,
                             const WaitOrder& aOrder,
                             const ClockI& aClock)
  : jobs_(aJobs)
  , backends_(aBackends)
  , runs_(aRuns)
  , advice_(aAdvice)
  , durations_(aDurations)
  , order_(aOrder)
  , clock_(aClock)
  , suspects_(aBackends, aClock)
  , index_(aJobs, aOrder)
{
}

int64_t
TaskScheduler::WaitingCoreMs(const std::string& aService)
{
  UpdateDemand();
  const auto found = waitingCoreMs_.find(aService);
  return found == waitingCoreMs_.end() ? 0 : found->second;
}

uint32_t
TaskScheduler::UnplacedContinuousTasks(const std::string& aService)
{
  UpdateDemand();
  const auto found = unplacedContinuousTasks_.find(aService);
  return found == unplacedContinuousTasks_.end() ? 0 : found->second;
}

void
TaskScheduler::ReportUtilization(double aUtilization, std::chrono::nanoseconds aPeriod)
{
  const double seconds = std::chrono::duration<double>(aPeriod).count();
  const bool wasBound = isLeaderBound_;
  isLeaderBound_ = aUtilization >= kBoundUtilization;
  startedPerSecond_.clear();
  for (const auto& [service, work] : startedWork_) {
    startedPerSecond_[service] = seconds > 0.0 ? work / seconds : 0.0;
  }
  startedWork_.clear();
  if (isLeaderBound_ != wasBound) {
    Log(LogLevel::Info,
        isLeaderBound_ ? "leader.bound" : "leader.free",
        { { "utilization", aUtilization } });
  }
}

SubmissionLoad
TaskScheduler::LoadFor(uint32_t aJob)
{
  constexpr double kMilli = 1000.0;
  const Job& job = jobs_.At(aJob);
  const WaitRank rank = order_.RankOf(jobs_, aJob, clock_.Now());
  index_.Update(clock_.Now());
  const WaitIndex::Backlog backlog = index_.BacklogBefore(job.policy_.service_, rank);
  SubmissionLoad load;
  load.cores_ = static_cast<double>(servers_[job.policy_.service_].capacity_.cpuMilli_) / kMilli;
  // Whatever others wait for, possibly for their caps, the tenant can use its share of the pool.
  load.workAhead_ = std::min(backlog.ahead_, backlog.ownAhead_ / ShareFor(aJob));
  load.lateWorkAhead_ = backlog.lateAhead_;
  load.work_ = rank.remainingWork_;
  load.criticalPath_ = durations_.CriticalPath(job);
  load.objective_ = order_.Objective(job);
  if (isLeaderBound_) {
    const auto started = startedPerSecond_.find(job.policy_.service_);
    load.startedPerSecond_ = started == startedPerSecond_.end() ? 0.0 : started->second;
  }
  return load;
}

double
TaskScheduler::ShareFor(uint32_t aJob) const
{
  const Job& job = jobs_.At(aJob);
  const auto pool = index_.Pools().find(job.policy_.service_);
  const auto servers = servers_.find(job.policy_.service_);
  if (job.tenant_ == TenantUsage::kNoTenant || pool == index_.Pools().end() ||
      servers == servers_.end()) {
    return 1.0;
  }
  return TenantShares(
           jobs_.Tenants(), servers->first, servers->second.capacity_, pool->second.Tenants())
    .ShareOf(job.tenant_);
}

size_t
TaskScheduler::Run()
{
  suspects_.BeginRound();
  demandMayHaveChanged_ = true;
  capped_.clear();
  CountUnseen();
  index_.Update(clock_.Now());
  unreconciled_ = runs_.UnreconciledServices();
  CollectServers();
  size_t started = 0;
  for (const auto& [service, waiting] : index_.Pools()) {
    if (!waiting.IsEmpty()) {
      started += PlacePool(service, waiting, servers_[service]);
    }
  }
  LogCapped();
  return started;
}

void
TaskScheduler::CollectServers()
{
  for (auto& [service, servers] : servers_) {
    servers.pool_.clear();
    servers.capacity_ = Resources();
  }
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (!runs_.IsUsable(backend)) {
      continue;
    }
    if (handle.index_ >= serversOf_.size()) {
      serversOf_.resize(handle.index_ + 1);
    }
    Servers*& servers = serversOf_[handle.index_];
    if (!servers || servers->service_ != backend.entry_.service_) {
      servers = &servers_[backend.entry_.service_];
      servers->service_ = backend.entry_.service_;
    }
    servers->pool_.push_back(handle);
    servers->capacity_.cpuMilli_ += backend.entry_.capacity_.cpuMilli_;
    servers->capacity_.memoryMb_ += backend.entry_.capacity_.memoryMb_;
    servers->capacity_.accelerators_ += backend.entry_.capacity_.accelerators_;
  }
}

size_t
TaskScheduler::PlacePool(const std::string& aService,
                         const WaitIndex::Pool& aWaiting,
                         const Servers& aServers)
{
  refused_ = RefusedNeeds();
  poolSize_ = aServers.pool_.size();
  const auto largestFreeCpu = [&] {
    int64_t largest = 0;
    for (const BackendHandle handle : aServers.pool_) {
      const Backend& backend = backends_.At(handle);
      largest = std::max(largest, backend.entry_.capacity_.cpuMilli_ - backend.used_.cpuMilli_);
    }
    return largest;
  };
  const TenantShares shares(jobs_.Tenants(), aService, aServers.capacity_, aWaiting.Tenants());
  WaitIndex::Cursor cursor(aWaiting, largestFreeCpu());
  size_t started = 0;
  const auto place = [&](uint32_t aJob) {
    const size_t placed = PlaceJob(aJob, aServers.pool_);
    if (placed > 0) {
      started += placed;
      cursor.Limit(largestFreeCpu());
    }
  };
  // Jobs in time whose tenants are beyond their share, until all others of that priority had a
  // place.
  std::vector<const WaitRank*> beyondShare;
  const auto placeBeyondShare = [&] {
    for (const WaitRank* rank : beyondShare) {
      place(rank->job_);
    }
    beyondShare.clear();
  };
  while (const WaitRank* rank = cursor.Next()) {
    const Job& job = jobs_.At(rank->job_);
    if (!job.IsServiceStored() || MayRunUnseen(job)) {
      continue;
    }
    const bool isInTime = rank->tier_ == WaitTier::InTime;
    if (!beyondShare.empty() && (!isInTime || beyondShare.front()->priority_ < rank->priority_)) {
      placeBeyondShare();
    }
    if (isInTime && (job.isAboveRate_ || shares.IsBeyondShare(job.tenant_))) {
      beyondShare.push_back(rank);
      continue;
    }
    place(rank->job_);
  }
  placeBeyondShare();
  return started;
}

bool
TaskScheduler::MayRunUnseen(const Job& aJob) const
{
  const auto& services = aJob.services_;
  return aJob.inherited_ &&
         std::any_of(services.begin(), services.end(), [this](const std::string& aService) {
           return unreconciled_.count(aService) > 0;
         });
}

void
TaskScheduler::CountUnseen()
{
  const TimePoint now = clock_.Now();
  if (now < nextUnseenCount_) {
    return;
  }
  nextUnseenCount_ = now + kUnseenCountPeriod;
  const Resources room = runs_.UnreconciledCapacity();
  if (room.cpuMilli_ == 0 && room.memoryMb_ == 0) {
    if (hasUnseen_) {
      jobs_.Tenants().SetUnseen({});
      hasUnseen_ = false;
    }
    return;
  }
  hasUnseen_ = true;
  std::map<TenantUsage::Id, Resources> unseen;
  for (const auto& job : jobs_.Jobs()) {
    if (!job || !job->inherited_ || job->finished_ || job->tenant_ == TenantUsage::kNoTenant) {
      continue;
    }
    Resources& sum = unseen[job->tenant_];
    for (const Occurrence& occurrence : job->occurrences_) {
      for (size_t step = 0; step < occurrence.steps_.size(); ++step) {
        const Step& state = occurrence.steps_[step];
        const auto tasks = static_cast<int64_t>(state.tasks_.size() - state.done_ - state.active_);
        const Resources need = job->spec_.steps_[step].Declared();
        sum.cpuMilli_ += tasks * need.cpuMilli_;
        sum.memoryMb_ += tasks * need.memoryMb_;
        sum.accelerators_ += tasks * need.accelerators_;
      }
    }
  }
  for (auto& [tenant, sum] : unseen) {
    sum.cpuMilli_ = std::min(sum.cpuMilli_, room.cpuMilli_);
    sum.memoryMb_ = std::min(sum.memoryMb_, room.memoryMb_);
    sum.accelerators_ = std::min(sum.accelerators_, room.accelerators_);
  }
  jobs_.Tenants().SetUnseen(std::move(unseen));
}

void
TaskScheduler::UpdateDemand()
{
  if (!demandMayHaveChanged_) {
    return;
  }
  demandMayHaveChanged_ = false;
  waitingCoreMs_.clear();
  unplacedContinuousTasks_.clear();
  demand_.clear();
  index_.Update(clock_.Now());
  for (const auto& [service, waiting] : index_.Pools()) {
    WaitIndex::Cursor cursor(waiting, std::numeric_limits<uint32_t>::max());
    while (const WaitRank* rank = cursor.Next()) {
      if (!MayRunUnseen(jobs_.At(rank->job_))) {
        AddDemand(rank->job_);
      }
    }
  }
}

void
TaskScheduler::AddDemand(uint32_t aJob)
{
  const Job& job = jobs_.At(aJob);
  for (uint32_t occurrence = 0; occurrence < job.dueOccurrences_; ++occurrence) {
    for (uint32_t step = 0; step < job.spec_.steps_.size(); ++step) {
      const Step& state = job.occurrences_[occurrence].steps_[step];
      const size_t waiting = state.tasks_.size() - state.done_ - state.active_;
      if (waiting > 0 && jobs_.IsReady(job, occurrence, step)) {
        AddDemand(job, state, step, waiting);
      }
    }
  }
}

void
TaskScheduler::AddDemand(const Job& aJob, const Step& aStep, uint32_t aStepIndex, size_t aTasks)
{
  const StepSpec& spec = aJob.spec_.steps_[aStepIndex];
  Resources& planned = demand_[aJob.tenant_];
  const uint32_t headroom = jobs_.Tenants().Headroom(aJob.tenant_, spec.Declared(), planned);
  // A gang starts whole or not at all.
  const bool isCapped = spec.gang_ && headroom < spec.taskCount_;
  const auto tasks = static_cast<int64_t>(isCapped ? 0 : std::min<size_t>(aTasks, headroom));
  planned.cpuMilli_ += tasks * spec.cpuMilli_;
  planned.memoryMb_ += tasks * spec.memoryMb_;
  planned.accelerators_ += tasks * spec.accelerators_;
  if (spec.continuous_) {
    unplacedContinuousTasks_[aJob.policy_.service_] += static_cast<uint32_t>(tasks);
  }
  if (!order_.IsLate(jobs_, aJob.index_, clock_.Now())) {
    const int64_t coreMsPerTask =
      spec.cpuMilli_ * durations_.ExpectedDuration(aJob, aStep, aStepIndex).count() / 1000;
    waitingCoreMs_[aJob.policy_.service_] += tasks * coreMsPerTask;
  }
}

void
TaskScheduler::LogCapped()
{
  const TenantUsage& tenants = jobs_.Tenants();
  for (const TenantUsage::Id tenant : capped_) {
    TimePoint& loggedAt = cappedLogs_[tenant];
    if (loggedAt != TimePoint{} && clock_.Now() - loggedAt < kCappedLogPeriod) {
      continue;
    }
    loggedAt = clock_.Now();
    const Resources& running = tenants.RunningOf(tenant);
    const Resources& cap = tenants.CapOf(tenant);
    Log(LogLevel::Info,
        "tenant.at_cap",
        { { "tenant", tenants.NameOf(tenant) },
          { "cpu_milli", running.cpuMilli_ },
          { "memory_mb", running.memoryMb_ },
          { "accelerators", running.accelerators_ },
          { "cap_cpu_milli", cap.cpuMilli_ },
          { "cap_memory_mb", cap.memoryMb_ },
          { "cap_accelerators", cap.accelerators_ },
          { "has_unseen", hasUnseen_ } });
  }
}

size_t
TaskScheduler::PlaceJob(uint32_t aJob, const Pool& aPool)
{
  size_t started = 0;
  const Job& job = jobs_.At(aJob);
  const bool first = !job.started_;
  for (uint32_t occurrence = 0; occurrence < job.dueOccurrences_; ++occurrence) {
    if (job.occurrences_[occurrence].stepsDone_ == job.spec_.steps_.size()) {
      continue;
    }
    for (uint32_t step = 0; step < job.spec_.steps_.size(); ++step) {
      const Step& state = job.occurrences_[occurrence].steps_[step];
      const size_t waiting = state.tasks_.size() - state.done_ - state.active_;
      if (waiting == 0 || !jobs_.IsReady(job, occurrence, step)) {
        continue;
      }
      const Pool allowed =
        job.policy_.advised_ ? AllowedBackends(aJob, occurrence, step, aPool) : Pool();
      const Pool& pool = job.policy_.advised_ ? allowed : aPool;
      started += job.spec_.steps_[step].gang_ ? PlaceGang(aJob, occurrence, step, pool)
                                              : PlaceStep(aJob, occurrence, step, pool);
    }
  }
  if (first && started > 0) {
    const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - job.accepted_);
    Log(LogLevel::Info,
        "job.started",
        { { "job", job.spec_.id_ },
          { "queue", job.spec_.queue_ },
          { "waited_ms", waited.count() },
          { "tasks", started },
          { "late", order_.IsLate(jobs_, aJob, clock_.Now()) },
          { "usable_backends", aPool.size() } });
  }
  if (job.inherited_ && !job.resumed_ && started > 0) {
    jobs_.At(aJob).resumed_ = true;
    Log(LogLevel::Info,
        "job.resumed",
        { { "job", job.spec_.id_ },
          { "tasks", started },
          { "service", job.policy_.service_ },
          { "services", job.services_ },
          { "progress_revision", job.restoredRevision_ } });
  }
  return started;
}

TaskScheduler::Pool
TaskScheduler::AllowedBackends(uint32_t aJob,
                               uint32_t aOccurrence,
                               uint32_t aStep,
                               const Pool& aPool)
{
  const Job& job = jobs_.At(aJob);
  const std::string step = TaskId{ job.spec_.id_, aOccurrence, aStep, 0 }.StepText();
  Pool byUtilization = aPool;
  std::stable_sort(
    byUtilization.begin(), byUtilization.end(), [this](BackendHandle aLeft, BackendHandle aRight) {
      return Utilization(backends_.At(aLeft)) < Utilization(backends_.At(aRight));
    });
  std::vector<std::string> ids;
  ids.reserve(byUtilization.size());
  Pool allowed;
  for (const BackendHandle handle : byUtilization) {
    const std::string& id = backends_.At(handle).entry_.id_;
    ids.push_back(id);
    if (!advice_.Ticket(step, id).empty()) {
      allowed.push_back(handle);
    }
  }
  const Step& state = job.occurrences_[aOccurrence].steps_[aStep];
  advice_.QueryIfNeeded(step, job.policy_, ids, state.tasks_.size() - state.done_ - state.active_);
  return allowed;
}

void
TaskScheduler::StartTask(const TaskRef& aTask, BackendHandle aBackend, int64_t aRun)
{
  const std::string ticket =
    jobs_.At(aTask.job_).policy_.advised_
      ? advice_.Ticket(jobs_.IdOf(aTask).StepText(), backends_.At(aBackend).entry_.id_)
      : "";
  runs_.Start(aTask, aBackend, aRun, ticket);
  const Job& job = jobs_.At(aTask.job_);
  const StepSpec& spec = job.spec_.steps_[aTask.step_];
  const auto expected = durations_.ExpectedDuration(job, jobs_.StepOf(aTask), aTask.step_);
  startedWork_[job.policy_.service_] +=
    static_cast<double>(spec.cpuMilli_) * static_cast<double>(expected.count()) * 1e-6;
}

size_t
TaskScheduler::PlaceStep(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool)
{
  const StepSpec& spec = jobs_.At(aJob).spec_.steps_[aStep];
  const TenantUsage::Id tenant = jobs_.At(aJob).tenant_;
  const uint32_t headroom = jobs_.Tenants().Headroom(tenant, spec.Declared());
  size_t started = 0;
  bool isFull = false;
  for (uint32_t index = 0; index < spec.taskCount_; ++index) {
    const TaskRef ref{ aJob, aOccurrence, aStep, index };
    const Task& task = jobs_.At(ref);
    if (task.phase_ != TaskPhase::Waiting) {
      continue;
    }
    if (started == headroom) {
      capped_.insert(tenant);
      return started;
    }
    if (jobs_.CrashesOf(ref) > 0) {
      if (!runs_.SettleTrial(ref)) {
        return started;
      }
      const BackendHandle place = PickForSuspect(ref, spec, aPool);
      if (place.IsValid()) {
        StartTask(ref, place, runs_.NextRun());
        ++started;
      }
      continue;
    }
    if (isFull) {
      continue;
    }
    const BackendHandle backend =
      refused_.Includes(spec.Need()) ? BackendHandle{} : Pick(ref, spec, aPool);
    if (!backend.IsValid()) {
      // The tasks of a step have equal requirements: none of the others fits.
      isFull = !task.avoidedBackend_.IsValid() || clock_.Now() >= task.avoidedUntil_;
      if (isFull && spec.requiredLabel_.empty() && spec.maxPerServer_ == 0 &&
          aPool.size() == poolSize_) {
        refused_.Add(spec.Need());
      }
      continue;
    }
    StartTask(ref, backend, runs_.NextRun());
    ++started;
  }
  return started;
}

size_t
TaskScheduler::PlaceGang(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool)
{
  const StepSpec& spec = jobs_.At(aJob).spec_.steps_[aStep];
  if (jobs_.At(aJob).occurrences_[aOccurrence].steps_[aStep].active_ > 0) {
    return 0; // Some tasks of the previous run have not ended yet.
  }
  const TaskRef first{ aJob, aOccurrence, aStep, 0 };
  const TenantUsage::Id tenant = jobs_.At(aJob).tenant_;
  if (jobs_.Tenants().Headroom(tenant, spec.Declared()) < spec.taskCount_) {
    capped_.insert(tenant);
    return 0;
  }
  const bool isSuspect = jobs_.CrashesOf(first) > 0;
  if (isSuspect && !runs_.SettleTrial(first)) {
    return 0;
  }
  // Fills rack by rack, the one with the most free CPU first.
  std::map<std::string, int64_t> freeCpuOfRack;
  for (const BackendHandle handle : aPool) {
    const Backend& backend = backends_.At(handle);
    // A server whose capacity has shrunk may run more than that.
    const int64_t free = backend.entry_.capacity_.cpuMilli_ - backend.used_.cpuMilli_;
    freeCpuOfRack[backend.entry_.rack_] += std::max<int64_t>(free, 0);
  }
  std::vector<BackendHandle> pool = aPool;
  std::stable_sort(pool.begin(), pool.end(), [&](BackendHandle aLeft, BackendHandle aRight) {
    return freeCpuOfRack[backends_.At(aLeft).entry_.rack_] >
           freeCpuOfRack[backends_.At(aRight).entry_.rack_];
  });
  const Resources need = spec.Need();
  std::vector<BackendHandle> places;
  for (const BackendHandle handle : pool) {
    const Backend& backend = backends_.At(handle);
    if (!backend.MeetsConstraints(first, spec) || (!isSuspect && !suspects_.Admits(backend))) {
      continue;
    }
    Resources sum;
    const size_t bound = spec.maxPerServer_ > 0 ? spec.maxPerServer_ : spec.taskCount_;
    for (size_t count = 0; count < bound && places.size() < spec.taskCount_; ++count) {
      sum.cpuMilli_ += need.cpuMilli_;
      sum.memoryMb_ += need.memoryMb_;
      sum.accelerators_ += need.accelerators_;
      if (!backend.Fits(sum)) {
        break;
      }
      places.push_back(handle);
    }
  }
  if (places.size() < spec.taskCount_) {
    return 0;
  }
  if (isSuspect && !MayStartGang(first, places)) {
    return 0;
  }
  const int64_t run = runs_.NextRun();
  for (uint32_t index = 0; index < spec.taskCount_; ++index) {
    StartTask(TaskRef{ aJob, aOccurrence, aStep, index }, places[index], run);
  }
  return spec.taskCount_;
}

double
TaskScheduler::Score(const Backend& aBackend, const StepSpec& aSpec) const
{
  // Lower is better. A rack without the task's data doubles its duration, which costs more than
  // interference between best-effort tasks and tasks with a latency target. Among equals the
  // fullest host wins, so that others run empty and can be moved; a host with continuous tasks
  // cannot run empty and is preferred.
  constexpr double kWrongRackPenalty = 10.0;
  constexpr double kInterferencePenalty = 3.0;
  constexpr double kContinuousTaskBonus = 1.0;
  double score = -Utilization(aBackend);
  if (!aSpec.dataRack_.empty() && aBackend.entry_.rack_ != aSpec.dataRack_) {
    score += kWrongRackPenalty;
  }
  const bool hasLatencyTarget = aSpec.latencyTarget_ > std::chrono::milliseconds(0);
  const uint32_t disturbing = (hasLatencyTarget ? aBackend.bestEffortRuns_ : 0) +
                              (aSpec.bestEffort_ ? aBackend.latencyTargetRuns_ : 0);
  score += kInterferencePenalty * disturbing;
  return score - (aBackend.continuousRuns_ > 0 ? kContinuousTaskBonus : 0.0);
}

BackendHandle
TaskScheduler::Pick(const TaskRef& aTask, const StepSpec& aSpec, const Pool& aPool) const
{
  const Resources need = aSpec.Need();
  const BackendHandle avoided = jobs_.At(aTask).avoidedBackend_;
  BackendHandle lastResort;
  BackendHandle best;
  double bestScore = 0.0;
  for (const BackendHandle handle : aPool) {
    const Backend& backend = backends_.At(handle);
    if (!backend.Fits(need) || !backend.MeetsConstraints(aTask, aSpec) ||
        !suspects_.Admits(backend)) {
      continue;
    }
    if (handle == avoided) {
      lastResort = MustAvoid(aTask, handle, aPool) ? lastResort : handle;
      continue;
    }
    const double score = Score(backend, aSpec);
    if (!best.IsValid() || score < bestScore) {
      best = handle;
      bestScore = score;
    }
  }
  return best.IsValid() ? best : lastResort;
}

bool
TaskScheduler::MustAvoid(const TaskRef& aTask, BackendHandle aBackend, const Pool& aPool) const
{
  const Task& task = jobs_.At(aTask);
  return task.avoidedBackend_ == aBackend && clock_.Now() < task.avoidedUntil_ && aPool.size() > 1;
}

BackendHandle
TaskScheduler::PickForSuspect(const TaskRef& aTask, const StepSpec& aSpec, const Pool& aPool)
{
  Pool eligible;
  for (const BackendHandle handle : aPool) {
    if (!MustAvoid(aTask, handle, aPool) && backends_.At(handle).MeetsConstraints(aTask, aSpec)) {
      eligible.push_back(handle);
    }
  }
  return suspects_.Place(aPool, eligible, aSpec.Need());
}

bool
TaskScheduler::MayStartGang(const TaskRef& aFirst, const std::vector<BackendHandle>& aPlaces)
{
  const bool areClean =
    std::all_of(aPlaces.begin(), aPlaces.end(), [this](const BackendHandle& aHandle) {
      return SuspectPlacement::IsClean(backends_.At(aHandle));
    });
  if (areClean) {
    return true;
  }
  for (const BackendHandle place : aPlaces) {
    suspects_.Reserve(place);
  }
  Log(LogLevel::Debug, "gang.waits_apart", { { "step", jobs_.IdOf(aFirst).StepText() } });
  return false;
}

}
