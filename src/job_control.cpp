#include "sardinespoke/job_control.h"

#include "sardinespoke/job_record.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMetricsPeriod{ 1000 };
// Period of the checks of occurrences, stuck runs, throttling and hosts.
constexpr milliseconds kHousekeepingPeriod{ 100 };
// Longest time between two runs of the scheduler, if nothing changes.
constexpr milliseconds kSchedulePeriod{ 250 };
// Wait times of watches: short enough to detect a dead connection within the time limit for
// applying a configuration.
constexpr milliseconds kRegistryWait{ 1000 };
constexpr milliseconds kRegistryGap{ 200 };
constexpr milliseconds kOperatorWait{ 800 };
// Largest age of the list of hosts while a backend server does not respond.
constexpr milliseconds kUnresponsiveListPeriod{ 200 };
// Time until the commands of a leader that resigned show in the backend servers' lists of runs.
constexpr milliseconds kHandoverWait{ 500 };
// A run is stuck after this long without progress, or half its expected duration if that is longer.
constexpr milliseconds kStuckTime{ 1500 };

/// The parts of the state that a new leader reads from the store.
enum StatePart : size_t
{
  PartJobs,
  PartProgress,
  PartBackends,
  PartJournal,
  PartRollouts,
  PartCount
};

}

JobControl::JobControl(RecordStoreI& aStore,
                       BackendCommandsI& aCommands,
                       const FleetFormatI& aFormat,
                       const ClockI& aClock,
                       Leadership& aLeadership,
                       Metrics& aMetrics,
                       JobControlSettings aSettings)
  : store_(aStore)
  , commands_(aCommands)
  , format_(aFormat)
  , clock_(aClock)
  , leadership_(aLeadership)
  , metrics_(aMetrics)
  , settings_(aSettings)
  , runs_(jobs_, backends_, aCommands, aClock, settings_.runs_, aLeadership.FencingToken())
  , advice_(aCommands, aClock)
  , waitOrder_(durations_)
  , scheduler_(jobs_, backends_, runs_, advice_, durations_, waitOrder_, aClock)
  , journal_(aStore, aClock, jobs_, backends_, runs_, aLeadership, aMetrics)
  , directory_(aCommands, aClock)
  , rolloutRunner_(jobs_,
                   backends_,
                   runs_,
                   journal_,
                   aCommands,
                   directory_,
                   aFormat,
                   aClock,
                   aLeadership,
                   settings_.hosts_)
  , allocator_(jobs_,
               backends_,
               runs_,
               scheduler_,
               arrivals_,
               aCommands,
               directory_,
               rolloutRunner_,
               aClock,
               aLeadership,
               settings_.hosts_)
  , registry_(aStore, aClock, FeedSettings{ aFormat.RegistryPrefix(), kRegistryWait, kRegistryGap })
  , operator_(aStore,
              aClock,
              FeedSettings{ aFormat.OperatorPrefix(), kOperatorWait, milliseconds(0) })
  , parts_(PartCount)
  , phases_(aClock)
{
  runs_.OnEnd([this](const RunEvent& aEvent) { OnRunEnded(aEvent); });
  runs_.OnInvalidTicket([this](const std::string& aStep, const std::string& aBackend) {
    advice_.Refused(aStep, aBackend);
  });
  runs_.OnIncarnationEnded(
    [this](const std::string& aId) { journal_.Delete(JobJournal::BackendKey(aId)); });
  const std::string root = JobJournal::kPrefix;
  Load(root + "job/", "", PartJobs);
  Load(root + "progress/", "", PartProgress);
  Load(root + "backend/", "", PartBackends);
  Load(JobJournal::JournalKey(), "", PartJournal);
  Load(RolloutRunner::RecordPrefix(), "", PartRollouts);
}

JobControl::~JobControl()
{
  journal_.Abandon();
}

void
JobControl::OnRunEnded(const RunEvent& aEvent)
{
  constexpr std::array<const char*, static_cast<size_t>(RunOutcome::Count)> kKinds{
    "done", "failed", "stopped", "lapsed", "broken", "alone"
  };
  const char* kind = kKinds[static_cast<size_t>(aEvent.kind_)];
  const Job& job = jobs_.At(aEvent.task_.job_);
  const StepSpec& spec = jobs_.SpecOf(aEvent.task_);
  metrics_.Count(std::string("runs_ended{kind=\"") + kind + "\"}");
  const bool isTaskDone = aEvent.kind_ == RunOutcome::Done && !spec.continuous_;
  if (isTaskDone && aEvent.lasted_ > milliseconds(0)) {
    durations_.Observe(
      job.spec_.queue_, spec.estimate_, aEvent.lasted_, 1.0 / static_cast<double>(spec.taskCount_));
    metrics_.Observe("run_duration", aEvent.lasted_);
  }
  // A task that is done is logged only if it ends its job.
  if (isTaskDone && !job.HasEnded()) {
    return;
  }
  const std::chrono::duration<double, std::milli> age = clock_.Now() - job.accepted_;
  Log(LogLevel::Info,
      "run.ended",
      { { "task", aEvent.run_.task_ },
        { "run", aEvent.run_.run_ },
        { "kind", kind },
        { "job_over", job.HasEnded() },
        { "job_age_ms", age.count() },
        { "backend", backends_.At(aEvent.backend_).entry_.id_ },
        { "lasted_ms", aEvent.lasted_.count() } });
}

void
JobControl::PublishMetrics()
{
  const TimePoint now = clock_.Now();
  if (now < nextMetrics_) {
    return;
  }
  nextMetrics_ = now + kMetricsPeriod;
  size_t runs = 0;
  size_t unresponsive = 0;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    runs += backend.runs_.size();
    unresponsive += backend.failedPolls_ > 0 ? 1 : 0;
  }
  metrics_.Set("open_jobs", static_cast<double>(jobs_.Open().size()));
  metrics_.Set("active_runs", static_cast<double>(runs));
  metrics_.Set("live_backends", static_cast<double>(backends_.Live().size()));
  metrics_.Set("silent_backends", static_cast<double>(unresponsive));
  const CrashCounts& crashes = runs_.Crashes();
  metrics_.Set("tasks_suspected", static_cast<double>(crashes.attributed_));
  metrics_.Set("suspects_started", static_cast<double>(crashes.isolated_));
  metrics_.Set("suspects_cleared", static_cast<double>(crashes.cleared_));
  metrics_.Set("jobs_given_up", static_cast<double>(crashes.givenUp_));
  metrics_.Set("config_version", static_cast<double>(config_.version_));
  metrics_.Set("owner_fence", static_cast<double>(leadership_.FencingToken()));
  PublishTenants();
  LogLoad();
}

void
JobControl::PublishTenants()
{
  const TenantUsage& tenants = jobs_.Tenants();
  for (TenantUsage::Id tenant = 0; tenant < tenants.Size(); ++tenant) {
    const Resources& cap = tenants.CapOf(tenant);
    if (cap.cpuMilli_ == 0 && cap.memoryMb_ == 0 && cap.accelerators_ == 0) {
      continue;
    }
    const std::string label = "{tenant=\"" + tenants.NameOf(tenant) + "\"}";
    const Resources& running = tenants.RunningOf(tenant);
    metrics_.Set("tenant_cpu_milli" + label, static_cast<double>(running.cpuMilli_));
    metrics_.Set("tenant_memory_mb" + label, static_cast<double>(running.memoryMb_));
  }
}

void
JobControl::LogLoad()
{
  int64_t unstored = 0;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    unstored += backend.endsApplied_ - backend.endsStored_;
  }
  Log(LogLevel::Info,
      "leader.load",
      { { "ticks", ticks_ },
        { "busy_us", phases_.At(LoopPhase::Total).count() },
        { "housekeeping_us", phases_.At(LoopPhase::Housekeeping).count() },
        { "schedule_us", phases_.At(LoopPhase::Schedule).count() },
        { "runs_us", phases_.At(LoopPhase::Runs).count() },
        { "journal_us", phases_.At(LoopPhase::Journal).count() },
        { "open_jobs", jobs_.Open().size() },
        { "polls", runs_.TakePolls() },
        { "polls_repeated", runs_.TakeRepeatedPolls() },
        { "ends_unstored", unstored },
        { "progress_queued", journal_.QueuedProgress() },
        { "callers_waiting", journal_.Waiters() } });
  phases_.Clear();
  ticks_ = 0;
}

void
JobControl::Load(const std::string& aPrefix, const std::string& aAfter, size_t aPart)
{
  const std::weak_ptr<bool> alive = alive_;
  store_.Range(aPrefix, aAfter, [this, alive, aPrefix, aAfter, aPart](const RecordReply& aReply) {
    if (!alive.lock()) {
      return;
    }
    if (aReply.outcome_ != RecordOutcome::Ok) {
      if (leadership_.IsLeader()) {
        Load(aPrefix, aAfter, aPart);
      }
      return;
    }
    OnLoaded(aPart, aReply);
    if (aReply.more_ && !aReply.records_.empty()) {
      Load(aPrefix, aReply.records_.back().key_, aPart);
      return;
    }
    ++partsLoaded_;
  });
}

void
JobControl::OnLoaded(size_t aPart, const RecordReply& aReply)
{
  for (const Record& record : aReply.records_) {
    parts_[aPart][record.key_] = record;
  }
}

void
JobControl::RestoreState()
{
  const TimePoint now = clock_.Now();
  for (const auto& [key, record] : parts_[PartJobs]) {
    JobSpec spec;
    QueuePolicy policy;
    int64_t accepted = 0;
    if (!DecodeJob(record.value_, spec, policy, accepted)) {
      Log(LogLevel::Error, "job.unreadable", { { "key", key } });
      continue;
    }
    const std::string id = spec.id_;
    const milliseconds age = std::max(wall_ - milliseconds(accepted), milliseconds(0));
    const uint32_t index =
      jobs_.Add(std::move(spec), std::move(policy), now - age, milliseconds(accepted));
    Job& job = jobs_.At(index);
    job.stored_ = true;
    job.inherited_ = true;
    job.isPolicyRead_ = false;
    jobs_.MarkChanged(index);
    jobs_.OpenDueOccurrences(job, wall_);
    const auto progress = parts_[PartProgress].find(JobJournal::ProgressKey(id));
    if (progress != parts_[PartProgress].end()) {
      job.restoredRevision_ = progress->second.revision_;
      if (!DecodeProgress(progress->second.value_, jobs_, index)) {
        Log(LogLevel::Error, "job.progress_unreadable", { { "job", id } });
      }
    }
    job.visibleState_ = JobTable::StateOf(job);
    job.endedAt_ = now;
    if (job.IsEarlyCancel()) {
      EndEarlyCancel(job);
    }
  }
  jobs_.TakeTouched();
  const bool isFirst = parts_[PartJournal].empty();
  if (!isFirst) {
    runs_.SetHasPredecessor();
  }
  const Handover* handover = leadership_.Inherited();
  for (const auto& [key, record] : parts_[PartBackends]) {
    BackendEntry entry;
    if (!DecodeBackend(record.value_, entry)) {
      Log(LogLevel::Error, "backend.unreadable", { { "key", key } });
      continue;
    }
    const BackendHandle handle = runs_.AddRecorded(entry);
    if (handover && handover->remainingLeases_.count(entry.id_) > 0) {
      runs_.InheritLease(handle, handover->remainingLeases_.at(entry.id_));
    }
  }
  if (handover) {
    for (const OpenStart& start : handover->openStarts_) {
      runs_.InheritStart(start);
    }
  }
  for (const auto& [key, record] : parts_[PartRollouts]) {
    if (!rolloutRunner_.RestoreRecord(record.value_)) {
      Log(LogLevel::Error, "rollout.unreadable", { { "key", key } });
    }
  }
  if (!isFirst) {
    rolloutRunner_.NoCommandsBefore(now +
                                    (handover ? kHandoverWait : leadership_.Ttl() + kHandoverWait));
  }
  const auto& journal = parts_[PartJournal];
  const auto revision = journal.find(JobJournal::JournalKey());
  journal_.SetRevision(revision == journal.end() ? 0 : revision->second.revision_);
  Log(LogLevel::Info,
      "owner.loaded",
      { { "fence", leadership_.FencingToken() },
        { "jobs", parts_[PartJobs].size() },
        { "backends", parts_[PartBackends].size() },
        { "handed_over", handover != nullptr },
        { "leases_inherited", handover ? handover->remainingLeases_.size() : 0 },
        { "starts_inherited", handover ? handover->openStarts_.size() : 0 } });
  parts_.clear();
  loaded_ = true;
}

bool
JobControl::IsReady() const
{
  return loaded_ && config_.version_ != 0 && registry_.IsLoaded();
}

bool
JobControl::FollowOperator()
{
  operatorChanged_ = operator_.TakeChanged() || operatorChanged_;
  // A successor may have read the configuration before this version, so that callers would see it
  // go back.
  const bool reads = operatorChanged_ && leadership_.HoldsValidLease();
  if (reads) {
    operatorChanged_ = false;
    ReadOperator();
  }
  if (!operatorChanged_) {
    configConfirmedAt_ = operator_.ConfirmedAt();
  }
  LogConfigAge();
  return reads;
}

milliseconds
JobControl::ConfigAge() const
{
  return std::chrono::ceil<milliseconds>(clock_.Now() - configConfirmedAt_);
}

bool
JobControl::MayAdmit() const
{
  // With a majority of the witnesses no other leader is known, as in an outage of the store for
  // all, in which the operator cannot change the configuration either.
  return ConfigAge() <= settings_.admitLimit_ ||
         (leadership_.MaySendCommands() && runs_.MayExtendRuns());
}

void
JobControl::LogConfigAge()
{
  const bool outdated = config_.version_ != 0 && ConfigAge() > settings_.denyLimit_;
  if (outdated == configOutdated_) {
    return;
  }
  configOutdated_ = outdated;
  Log(outdated ? LogLevel::Warn : LogLevel::Info,
      outdated ? "config.unconfirmed" : "config.confirmed",
      { { "version", config_.version_ },
        { "age_ms", ConfigAge().count() },
        { "fence", leadership_.FencingToken() } });
}

void
JobControl::ReadOperator()
{
  rollouts_.clear();
  for (const auto& [key, record] : operator_.All()) {
    FleetConfig config;
    RolloutRequest request;
    if (format_.ReadConfig(record, config)) {
      if (config.version_ > config_.version_) {
        Log(LogLevel::Info,
            "config.applied",
            { { "version", config.version_ },
              { "queues", config.queues_.size() },
              { "tenants", config.tenants_ ? config.tenants_->size() : 0 },
              { "revision", record.revision_ } });
        config_ = std::move(config);
        keys_.Apply(config_);
        jobs_.Tenants().Apply(config_);
      }
      continue;
    }
    if (format_.ReadRollout(record, request)) {
      rollouts_[request.number_] = request;
      continue;
    }
    Log(LogLevel::Warn, "operator.unreadable", { { "key", key } });
  }
  for (const uint32_t index : jobs_.Open()) {
    Job& job = jobs_.At(index);
    for (const QueuePolicy& queue : config_.queues_) {
      if (queue.name_ == job.spec_.queue_) {
        jobs_.SetPolicy(job, queue);
      }
    }
    if (config_.version_ != 0 && !job.isPolicyRead_ && jobs_.NotePolicyRead(job, clock_.Now())) {
      runs_.StopJob(index);
    }
  }
}

std::set<std::string>
JobControl::NamedServices()
{
  std::set<std::string> services;
  for (const ServicePolicy& service : config_.services_) {
    services.insert(service.name_);
  }
  for (const QueuePolicy& queue : config_.queues_) {
    services.insert(queue.service_);
  }
  // Jobs outlive their queues.
  for (const uint32_t index : jobs_.Open()) {
    const std::set<std::string>& ofJob = jobs_.At(index).services_;
    services.insert(ofJob.begin(), ofJob.end());
  }
  return services;
}

void
JobControl::ReadRegistry()
{
  std::map<std::string, ReadEntry> read;
  std::vector<BackendEntry> entries;
  const std::set<std::string> services = NamedServices();
  for (const auto& [key, record] : registry_.All()) {
    const auto known = readEntries_.find(key);
    ReadEntry& next = read[key];
    if (known != readEntries_.end() && known->second.revision_ == record.revision_) {
      next = std::move(known->second);
    } else {
      next.revision_ = record.revision_;
      next.entry_.emplace();
      if (!format_.ReadBackend(record, *next.entry_)) {
        Log(LogLevel::Warn,
            "backend.entry_unusable",
            { { "key", key }, { "revision", record.revision_ } });
        next.entry_.reset();
      }
    }
    if (next.entry_ && services.count(next.entry_->service_) > 0) {
      entries.push_back(*next.entry_);
    }
  }
  readEntries_.swap(read);
  runs_.ApplyRegistry(entries);
}

void
JobControl::StopStuckRuns()
{
  const TimePoint now = clock_.Now();
  for (const BackendHandle handle : backends_.Live()) {
    Backend& backend = backends_.At(handle);
    if (backend.failedPolls_ > 0) {
      continue;
    }
    for (BackendRun& run : backend.runs_) {
      if (!run.task_ || run.phase_ != RunPhase::Running || run.hasLatencyTarget_ ||
          run.isBestEffort_ || jobs_.SpecOf(*run.task_).continuous_) {
        continue;
      }
      const Job& job = jobs_.At(run.task_->job_);
      const auto expected =
        durations_.ExpectedDuration(job, jobs_.StepOf(*run.task_), run.task_->step_) / 2;
      // Progress is known as of the newest poll with a response; the time since then does not
      // count.
      const auto stalledFor = backend.answeredPollSentAt_ - run.progressAt_;
      if (stalledFor < std::max(kStuckTime, milliseconds(expected))) {
        continue;
      }
      Log(LogLevel::Info,
          "run.stuck",
          { { "task", run.id_.task_ },
            { "backend", backend.entry_.id_ },
            { "percent", run.percent_ } });
      jobs_.Avoid(*run.task_, handle, now);
      backend.ejectedUntil_ = now + milliseconds(3000);
      runs_.Stop(handle, run);
    }
  }
}

void
JobControl::RemoveEndedJobs()
{
  const TimePoint now = clock_.Now();
  for (uint32_t index = 0; index < jobs_.Jobs().size(); ++index) {
    const Job* job = jobs_.Jobs()[index].get();
    if (!job || !job->HasEnded() || !job->stored_ || job->touched_ ||
        job->visibleState_ != JobTable::StateOf(*job) ||
        now - job->endedAt_ < settings_.keepEnded_) {
      continue;
    }
    const bool active = std::any_of(
      job->occurrences_.begin(), job->occurrences_.end(), [](const Occurrence& aOccurrence) {
        return std::any_of(aOccurrence.steps_.begin(),
                           aOccurrence.steps_.end(),
                           [](const Step& aStep) { return aStep.active_ > 0; });
      });
    if (active || !journal_.IsIdle()) {
      continue;
    }
    earlyCancels_ -= job->IsEarlyCancel() ? 1 : 0;
    advice_.Forget(job->spec_.id_);
    journal_.Delete(JobJournal::JobKey(job->spec_.id_));
    journal_.Delete(JobJournal::ProgressKey(job->spec_.id_));
    jobs_.Remove(index);
  }
}

void
JobControl::Tick(milliseconds aWall)
{
  wall_ = aWall;
  registry_.Tick();
  operator_.Tick();
  if (!loaded_) {
    if (partsLoaded_ < PartCount || !registry_.IsLoaded()) {
      return;
    }
    RestoreState();
  }
  ++ticks_;
  const TimePoint begin = clock_.Now();
  phases_.Measure(LoopPhase::Total, [this] { TickLoaded(); });
  busy_ += clock_.Now() - begin;
}

void
JobControl::TickLoaded()
{
  const bool operatorRead = FollowOperator();
  if (registry_.TakeChanged() || operatorRead) {
    ReadRegistry();
  }
  if (!leadership_.MaySendCommands()) {
    return;
  }
  runs_.SetLeaseState(leadership_.Lease());
  runs_.SetHighestToken(journal_.OwnRevision());
  const TimePoint now = clock_.Now();
  if (now >= nextHousekeeping_) {
    nextHousekeeping_ = now + kHousekeepingPeriod;
    phases_.Measure(LoopPhase::Housekeeping, [this] { DoHousekeeping(); });
  }
  advice_.Tick();
  const bool advised = advice_.TakeChanged();
  const bool changed = runs_.TakeChanged() || advised;
  if (MayPlaceTasks() && (changed || now >= nextSchedule_)) {
    nextSchedule_ = now + kSchedulePeriod;
    phases_.Measure(LoopPhase::Schedule, [this] { scheduler_.Run(); });
  }
  phases_.Measure(LoopPhase::Runs, [this] { runs_.Tick(); });
  phases_.Measure(LoopPhase::Journal, [this] { journal_.Tick(); });
  if (runs_.IsFenced()) {
    leadership_.StepDown("a backend server has seen a higher fencing token");
  }
}

void
JobControl::DoHousekeeping()
{
  for (const uint32_t index : jobs_.Open()) {
    jobs_.OpenDueOccurrences(jobs_.At(index), wall_);
  }
  StopStuckRuns();
  runs_.ForgetUnusedServices();
  EnforceLatencyTargets();
  directory_.Tick(runs_.HasUnresponsive() ? kUnresponsiveListPeriod : rolloutRunner_.ListPeriod());
  runs_.ApplyHosts(directory_.All(), directory_.RequestedAt());
  if (config_.version_ != 0) {
    rolloutRunner_.Tick(rollouts_); // A task that it stops has to start elsewhere.
    allocator_.Tick(config_);
  }
  RemoveEndedJobs();
  PublishMetrics();
}

TimePoint
JobControl::NextDue() const
{
  TimePoint due = std::min(registry_.NextDue(), operator_.NextDue());
  if (!loaded_) {
    return due;
  }
  due = std::min({ due, nextHousekeeping_, runs_.NextDue(), journal_.NextDue() });
  return MayPlaceTasks() ? std::min(due, nextSchedule_) : due;
}

}
