#include "sardinespoke/run_tracker.h"

namespace sardinespoke {

std::set<std::string>
RunTracker::UnreconciledServices() const
{
  std::set<std::string> services;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (backend.unreconciled_ && !IsLeaseOver(backend)) {
      services.insert(backend.entry_.service_);
    }
  }
  return services;
}

void
RunTracker::ForgetUnusedServices()
{
  std::map<uint32_t, std::set<std::string>> keptOf; // By job.
  for (const uint32_t index : jobs_.Open()) {
    const Job& job = jobs_.At(index);
    if (job.stored_ && job.services_.size() > 1) {
      keptOf[index] = { job.policy_.service_ };
    }
  }
  if (keptOf.empty() || lease_ != LeaseState::Valid || !deferredLosses_.empty()) {
    return;
  }
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    for (const BackendRun& run : backend.runs_) {
      const auto kept = run.task_ ? keptOf.find(run.task_->job_) : keptOf.end();
      if (kept != keptOf.end()) {
        kept->second.insert(backend.entry_.service_);
      }
    }
  }
  // A start without a response may still begin a run; on which incarnation, is not known.
  for (const auto& [id, starts] : lateStarts_) {
    for (const LateStart& start : starts) {
      TaskId task;
      const auto job =
        TaskId::Parse(start.run_.id_.task_, task) ? jobs_.IndexOf(task.job_) : std::nullopt;
      if (job) {
        keptOf.erase(*job);
      }
    }
  }
  const std::set<std::string> unreconciled = UnreconciledServices();
  for (auto& [index, kept] : keptOf) {
    Job& job = jobs_.At(index);
    if (job.inherited_) {
      kept.insert(unreconciled.begin(), unreconciled.end());
    }
    jobs_.KeepServices(job, kept);
  }
}

}
