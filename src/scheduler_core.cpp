#include "sardinespoke/scheduler_core.h"

#include "pool_scheduler_p.h"

#include <algorithm>
#include <set>

namespace sardinespoke {

namespace {

/// Interval of housekeeping that isn't needed at every tick.
constexpr std::chrono::milliseconds kSweepInterval{ 20 };

}

SchedulerCore::SchedulerCore(SchedulerSettings aSettings)
  : settings_(std::move(aSettings))
  , table_(std::make_shared<DemandTable>())
  , placement_(settings_.zone_, settings_.seed_)
{
}

SchedulerCore::~SchedulerCore() = default;

void
SchedulerCore::Step(const SchedulerEvent& aEvent, TimePoint aNow, std::vector<Decision>& aOut)
{
  out_ = &aOut;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow); }, aEvent);
  out_ = nullptr;
}

DemandReport
SchedulerCore::TakeDemand()
{
  DemandReport report;
  report.entryHost_ = settings_.entryHost_;
  for (auto& [name, pool] : pools_) {
    pool->TakeDemand(report.byProfile_);
  }
  return report;
}

std::vector<std::string>
SchedulerCore::Suspects(TimePoint aNow) const
{
  std::vector<std::string> suspects;
  for (const auto& [host, breaker] : breakers_) {
    if (breaker.StateAt(aNow) != CircuitBreaker::State::Closed) {
      suspects.push_back(host);
    }
  }
  return suspects;
}

SchedulerCounters
SchedulerCore::Counters() const
{
  SchedulerCounters counters = counters_;
  counters.running_ = running_.size();
  counters.queued_ = 0;
  for (const auto& [name, pool] : pools_) {
    counters.queued_ += pool->Queue().Size();
  }
  return counters;
}

void
SchedulerCore::On(const SubmitEvent& aEvent, TimePoint aNow)
{
  ++counters_.submitted_;
  if (view_ == nullptr || view_->profiles_ == nullptr || view_->fleet_ == nullptr) {
    Refuse(aEvent.ticket_, AdmissionError::Code::NoView, "no configuration has arrived yet");
    return;
  }
  const auto service = view_->profiles_->services_.find(aEvent.item_.service_);
  if (service == view_->profiles_->services_.end()) {
    Refuse(aEvent.ticket_,
           AdmissionError::Code::UnknownService,
           "service \"" + aEvent.item_.service_ + "\" does not exist");
    return;
  }
  PoolScheduler& pool = *pools_.at(service->second.pool_);
  const std::string& profileName = service->second.profile_;
  const Profile* profile = pool.FindProfile(profileName);
  QueuedItem item;
  item.ticket_ = aEvent.ticket_;
  item.item_ = aEvent.item_;
  item.arrival_ = aNow;
  item.cost_ = costs_.Mean(item.item_.kind_);
  const auto asked = item.item_.deadline_;
  const bool asksLess = asked.count() > 0 && asked < profile->queueLimit_;
  item.deadline_ = aNow + (asksLess ? asked : profile->queueLimit_);

  auto refused = pool.Submit(profileName, item, aNow);
  if (refused == AdmissionError::Code::QueueFull) {
    // Requests of disconnected callers must not block others until the next sweep.
    for (const QueuedItem& cancelled : pool.Queue().TakeCancelled()) {
      ++counters_.cancelled_;
      Refuse(cancelled.ticket_, AdmissionError::Code::Cancelled, "the caller has gone");
    }
    refused = pool.Submit(profileName, std::move(item), aNow);
  }
  if (refused.has_value()) {
    Refuse(aEvent.ticket_,
           *refused,
           "profile \"" + profileName + "\" in pool \"" + pool.Rules().name_ + "\"");
    return;
  }
  Dispatch(pool, aNow);
}

void
SchedulerCore::On(const ReleaseEvent& aEvent, TimePoint aNow)
{
  const auto found = running_.find(aEvent.grant_);
  if (found == running_.end()) {
    return;
  }
  const RunningGrant running = std::move(found->second);
  running_.erase(found);
  // A timeout is a lower bound of the run time. Without it, the cost of work that always times out
  // would stay too low.
  const bool ran = aEvent.result_ == AttemptResult::Ok ||
                   aEvent.result_ == AttemptResult::ServerError ||
                   aEvent.result_ == AttemptResult::Timeout;
  costs_.OnEnd(running.kind_, ran, aNow);
  if (ran) {
    costs_.RecordRunTime(running.kind_, aEvent.runTime_);
  }
  const auto pool = pools_.find(running.pool_);
  if (pool == pools_.end()) {
    return;
  }
  pool->second->EndRunning(running.profile_, running.host_, running.lateProbability_);
  RecordOutcome(*pool->second, aEvent.grant_, running, aEvent.result_, aNow);
  Dispatch(*pool->second, aNow);
}

void
SchedulerCore::On(const CancelEvent& aEvent, TimePoint aNow)
{
  for (const auto& [name, pool] : pools_) {
    if (!pool->Queue().Cancel(aEvent.ticket_)) {
      continue;
    }
    ++counters_.cancelled_;
    Refuse(aEvent.ticket_, AdmissionError::Code::Cancelled, "the caller has gone");
    Dispatch(*pool, aNow);
    return;
  }
}

void
SchedulerCore::On(const TickEvent&, TimePoint aNow)
{
  const bool sweep = aNow - lastSweep_ >= kSweepInterval;
  for (const auto& [name, pool] : pools_) {
    RefuseExpired(*pool, aNow);
    if (sweep) {
      for (const QueuedItem& cancelled : pool->Queue().TakeCancelled()) {
        ++counters_.cancelled_;
        Refuse(cancelled.ticket_, AdmissionError::Code::Cancelled, "the caller has gone");
      }
      EjectFailingWorkers(*pool, aNow);
      pool->SampleDemand();
    }
    Dispatch(*pool, aNow);
  }
  if (sweep) {
    lastSweep_ = aNow;
  }
}

void
SchedulerCore::On(const ViewEvent& aEvent, TimePoint aNow)
{
  // Keeps the old view alive until the pools that point into it are destroyed.
  const std::shared_ptr<const ConfigView> old = std::move(view_);
  view_ = aEvent.view_;
  RebuildPools(aNow);
}

void
SchedulerCore::On(const ConfirmationEvent& aEvent, TimePoint aNow)
{
  mayDispatch_ = aEvent.mayDispatch_;
  for (const auto& [name, pool] : pools_) {
    Dispatch(*pool, aNow);
  }
}

void
SchedulerCore::On(const TableEvent& aEvent, TimePoint aNow)
{
  const bool changed = table_->byEntryHost_ != aEvent.table_->byEntryHost_;
  table_ = aEvent.table_;
  if (!changed) {
    return;
  }
  for (const auto& [name, pool] : pools_) {
    pool->UpdateShares(*table_, settings_.entryHost_);
    Dispatch(*pool, aNow);
  }
}

void
SchedulerCore::RebuildPools(TimePoint aNow)
{
  std::vector<std::pair<std::string, QueuedItem>> queued;
  std::map<std::string, FaultAttribution> faults;
  for (auto& [name, pool] : pools_) {
    faults[name] = std::move(pool->Faults());
    for (auto& entry : pool->Queue().TakeAll()) {
      queued.push_back(std::move(entry));
    }
  }
  pools_.clear();
  if (view_ == nullptr || view_->profiles_ == nullptr || view_->fleet_ == nullptr) {
    for (const auto& [profile, item] : queued) {
      Refuse(item.ticket_, AdmissionError::Code::NoView, "the configuration was withdrawn");
    }
    return;
  }

  const ProfileSet& profiles = *view_->profiles_;
  std::vector<std::string> members;
  for (const auto& [id, member] : view_->fleet_->members_) {
    members.push_back(id);
  }
  for (const auto& [name, rules] : profiles.pools_) {
    pools_[name] = std::make_unique<PoolScheduler>(rules, members);
    pools_[name]->Faults() = std::move(faults[name]);
  }
  for (const auto& [name, service] : profiles.services_) {
    pools_.at(service.pool_)->AddProfile(profiles.profiles_.at(service.profile_));
  }
  for (const auto& [id, host] : view_->fleet_->hosts_) {
    const bool leaving = view_->leaving_ != nullptr && view_->leaving_->contains(id);
    const auto pool = pools_.find(host.pool_);
    if (host.state_ == HostState::Serving && !leaving && pool != pools_.end()) {
      pool->second->AddWorker(host);
    }
  }
  for (const auto& [name, pool] : pools_) {
    std::set<std::string> workers;
    for (const auto& [id, worker] : pool->Workers()) {
      workers.insert(id);
    }
    pool->Faults().RetainWorkers(workers);
  }
  std::erase_if(breakers_,
                [&](const auto& aEntry) { return !view_->fleet_->hosts_.contains(aEntry.first); });
  for (const auto& [id, running] : running_) {
    if (const auto pool = pools_.find(running.pool_); pool != pools_.end()) {
      pool->second->AddRunning(running.profile_, running.host_, running.lateProbability_);
    }
  }
  for (const auto& [name, pool] : pools_) {
    pool->UpdateShares(*table_, settings_.entryHost_);
  }
  for (auto& [profile, item] : queued) {
    const auto service = profiles.services_.find(item.item_.service_);
    const uint64_t ticket = item.ticket_;
    if (service == profiles.services_.end()) {
      Refuse(ticket, AdmissionError::Code::UnknownService, "the service was removed");
      continue;
    }
    PoolScheduler& pool = *pools_.at(service->second.pool_);
    const auto refused = pool.Submit(service->second.profile_, std::move(item), aNow);
    if (refused.has_value()) {
      Refuse(ticket, *refused, "the configuration changed while the request was queued");
    }
  }
  for (const auto& [name, pool] : pools_) {
    Dispatch(*pool, aNow);
  }
}

void
SchedulerCore::RefuseExpired(PoolScheduler& aPool, TimePoint aNow)
{
  for (const QueuedItem& item : aPool.Queue().Expire(aNow)) {
    ++counters_.expired_;
    const auto code =
      mayDispatch_ ? AdmissionError::Code::DeadlineUnreachable : AdmissionError::Code::NoView;
    Refuse(item.ticket_, code, "no slot became free before the deadline");
  }
}

void
SchedulerCore::Dispatch(PoolScheduler& aPool, TimePoint aNow)
{
  if (!mayDispatch_) {
    return;
  }
  // A slot released between two ticks must not be granted to a request past its deadline.
  RefuseExpired(aPool, aNow);
  while (auto match = aPool.Next(costs_, breakers_, placement_, aNow)) {
    const uint64_t id = ++lastGrant_;
    breakers_[match->host_->id_].OnStart(id, aNow);
    Grant grant;
    grant.id_ = id;
    grant.host_ = match->host_->id_;
    grant.address_ = match->host_->address_;
    grant.pool_ = aPool.Rules().name_;
    grant.runLimit_ = aPool.FindProfile(match->profile_)->runLimit_;
    running_[id] = {
      grant.host_, grant.pool_, match->profile_, match->item_.item_.kind_, match->lateProbability_
    };
    costs_.OnStart(match->item_.item_.kind_, aNow);
    ++counters_.granted_;
    out_->push_back({ match->item_.ticket_, std::move(grant) });
  }
}

void
SchedulerCore::RecordOutcome(PoolScheduler& aPool,
                             uint64_t aGrant,
                             const RunningGrant& aRunning,
                             AttemptResult aResult,
                             TimePoint aNow)
{
  CircuitBreaker& breaker = breakers_[aRunning.host_];
  const bool wasClosed = breaker.StateAt(aNow) == CircuitBreaker::State::Closed;
  switch (aResult) {
    case AttemptResult::Ok:
      breaker.OnSuccess(aGrant);
      aPool.Faults().Record(aRunning.host_, aRunning.kind_, true, aNow);
      break;
    case AttemptResult::NotSent:
      // The request was not sent, so the server or its network is at fault, not the kind of work.
      breaker.OnFailure(aGrant, aNow);
      break;
    case AttemptResult::ServerError:
    case AttemptResult::Incomplete:
    case AttemptResult::Timeout:
      // A failed probe is inconclusive if this kind of work fails on the other workers too.
      if (wasClosed || aPool.Faults().FailsOnOtherWorkers(aRunning.host_, aRunning.kind_)) {
        breaker.OnInconclusive(aGrant);
      } else {
        breaker.OnFailure(aGrant, aNow);
      }
      aPool.Faults().Record(aRunning.host_, aRunning.kind_, false, aNow);
      break;
    case AttemptResult::SlotsRefused:
      ++counters_.slotsRefused_;
      aPool.MarkFull(aRunning.host_, costs_.Mean(aRunning.kind_), aNow);
      breaker.OnInconclusive(aGrant);
      break;
    case AttemptResult::Cancelled:
    case AttemptResult::Stale:
    case AttemptResult::Count:
      breaker.OnInconclusive(aGrant);
      break;
  }
  if (wasClosed && breaker.StateAt(aNow) != CircuitBreaker::State::Closed) {
    ++counters_.breakersOpened_;
  }
}

void
SchedulerCore::EjectFailingWorkers(PoolScheduler& aPool, TimePoint aNow)
{
  size_t removed = 0;
  for (const auto& [id, worker] : aPool.Workers()) {
    const auto breaker = breakers_.find(id);
    if (breaker != breakers_.end() &&
        breaker->second.StateAt(aNow) != CircuitBreaker::State::Closed) {
      ++removed;
    }
  }
  const size_t cap = FaultAttribution::MaxEjectedWorkers(aPool.Workers().size());
  for (const std::string& host : aPool.Faults().FailingWorkers()) {
    if (removed >= cap) {
      return;
    }
    CircuitBreaker& breaker = breakers_[host];
    if (breaker.StateAt(aNow) != CircuitBreaker::State::Closed || !aPool.Workers().contains(host)) {
      continue;
    }
    breaker.ForceOpen(aNow);
    aPool.Faults().RemoveWorker(host);
    ++counters_.workersEjected_;
    ++removed;
  }
}

void
SchedulerCore::Refuse(uint64_t aTicket, AdmissionError::Code aCode, std::string aMessage)
{
  ++counters_.refused_;
  out_->push_back({ aTicket, AdmissionError{ aCode, std::move(aMessage) } });
}

}
