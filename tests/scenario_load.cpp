#include "scenario_entry.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kNetworkDelay{ 1 }; // One way between entry host and worker.
constexpr std::chrono::milliseconds kDefaultMeanRunTime{ 100 };
constexpr std::chrono::milliseconds kFailureRunTime{ 2 }; // A failing worker responds quickly.
// A queue's mean load is 1/4 of its pool, so 5 times the mean exceeds the pool.
constexpr double kMeanLoadDivisor = 4;
constexpr double kHostsPerPool = 10;

double
Seconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::chrono::nanoseconds
Exponential(std::mt19937_64& aRandom, double aMeanSeconds)
{
  const double seconds = std::exponential_distribution<>(1 / aMeanSeconds)(aRandom);
  return std::chrono::nanoseconds(static_cast<int64_t>(seconds * 1e9));
}

}

void
ScenarioWorld::Schedule(TimePoint aAt, EventType aType, uint64_t aRequest, std::string aService)
{
  events_.push({ aAt, ++sequence_, aType, aRequest, std::move(aService) });
}

void
ScenarioWorld::RunEvents(TimePoint aUntil)
{
  while (!events_.empty() && events_.top().at_ <= aUntil) {
    const Event event = events_.top();
    events_.pop();
    clock_.Advance(event.at_ - clock_.Now());
    switch (event.type_) {
      case EventType::Arrival:
        OnArrival(event.service_);
        break;
      case EventType::ReachWorker:
        OnReachWorker(event.request_);
        break;
      case EventType::Finish:
        OnFinish(event.request_);
        break;
      case EventType::Response:
        OnResponse(event.request_);
        break;
      case EventType::Count:
        break;
    }
  }
  clock_.Advance(aUntil - clock_.Now());
}

double
ScenarioWorld::LoadFactor(const std::string& aService) const
{
  const milliseconds now = Elapsed();
  double factor = 0;
  for (const ScenarioLoad& load : loads_) {
    const bool applies = load.service_ == aService || load.service_.empty();
    if (applies && now >= load.begin_ && now < load.end_) {
      factor = load.factor_;
    }
  }
  return factor;
}

void
ScenarioWorld::ScheduleArrival(const std::string& aService)
{
  constexpr std::chrono::milliseconds kLoadPollInterval{ 10 };
  const double factor = LoadFactor(aService);
  if (factor <= 0) {
    // Polls the load again; OnArrival adds no request while the load factor is 0.
    Schedule(clock_.Now() + kLoadPollInterval, EventType::Arrival, 1, aService);
    return;
  }
  const auto run = meanRunTimes_.find(aService);
  const double mean = Seconds(run == meanRunTimes_.end() ? kDefaultMeanRunTime : run->second);
  const PoolRules& pool = rules_->pools_.at(rules_->services_.at(aService).pool_);
  const double slots = kHostsPerPool * pool.slotsPerHost_ / kMeanLoadDivisor;
  const auto gap = Exponential(random_, mean / (factor * slots));
  Schedule(clock_.Now() + gap, EventType::Arrival, 0, aService);
}

ScenarioWorld::EntryHost*
ScenarioWorld::PickEntry()
{
  // The load balancer skips entry hosts that have failed their health check for 1 s.
  constexpr std::chrono::seconds kHealthCheckDelay{ 1 };
  std::vector<EntryHost*> healthy;
  for (const auto& [id, entry] : entries_) {
    const bool unhealthy =
      !entry->mayDispatch_ && clock_.Now() - entry->mayDispatchSince_ > kHealthCheckDelay;
    if (!unhealthy) {
      healthy.push_back(entry.get());
    }
  }
  if (healthy.empty()) {
    return entries_.begin()->second.get();
  }
  return healthy[std::uniform_int_distribution<size_t>(0, healthy.size() - 1)(random_)];
}

void
ScenarioWorld::OnArrival(const std::string& aService)
{
  if (loadStopped_) {
    return;
  }
  ScheduleArrival(aService);
  if (LoadFactor(aService) <= 0) {
    return;
  }
  const EntryHost* entry = PickEntry();
  const auto run = meanRunTimes_.find(aService);
  const uint64_t id = ++lastRequest_;
  Request& request = requests_[id];
  request.service_ = aService;
  request.entry_ = entry->id_;
  request.process_ = entry->process_;
  request.arrival_ = clock_.Now();
  request.run_ =
    Exponential(random_, Seconds(run == meanRunTimes_.end() ? kDefaultMeanRunTime : run->second));
  ScenarioQueue& queue = results_.queues_.at(aService);
  ++queue.offeredRequests_;
  queue.offeredWorkSeconds_[Elapsed().count() / 1000] += Seconds(request.run_);
  Submit(id, false);
}

void
ScenarioWorld::Submit(uint64_t aRequest, bool aRetry)
{
  Request& request = requests_.at(aRequest);
  EntryHost& entry = *entries_.at(request.entry_);
  const Profile& profile = rules_->profiles_.at(rules_->services_.at(request.service_).profile_);
  SubmitEvent event;
  event.ticket_ = aRequest;
  event.item_.service_ = request.service_;
  event.item_.kind_ = request.service_;
  event.item_.retry_ = aRetry;
  event.item_.avoidHost_ = request.host_;
  const auto remaining = request.arrival_ + profile.queueLimit_ - clock_.Now();
  event.item_.deadline_ =
    std::max(std::chrono::duration_cast<milliseconds>(remaining), milliseconds(1));
  request.host_.clear();
  request.grant_ = 0;
  ApplySchedulerEvent(entry, event);
}

void
ScenarioWorld::ApplySchedulerEvent(EntryHost& aEntry, const SchedulerEvent& aEvent)
{
  std::vector<Decision> decisions;
  aEntry.core_.Step(aEvent, clock_.Now(), decisions);
  for (const Decision& decision : decisions) {
    const auto found = requests_.find(decision.ticket_);
    if (found == requests_.end() || !found->second.host_.empty()) {
      RecordViolation("P4", "request " + std::to_string(decision.ticket_) + " was decided twice");
      continue;
    }
    if (const auto* grant = std::get_if<Grant>(&decision.outcome_)) {
      OnGrant(aEntry, decision.ticket_, *grant);
      continue;
    }
    ScenarioQueue& queue = results_.queues_.at(found->second.service_);
    const auto& error = std::get<AdmissionError>(decision.outcome_);
    if (error.code_ == AdmissionError::Code::Cancelled) {
      ++results_.cancelledRequests_;
      const int64_t second = (found->second.arrival_ - start_) / std::chrono::seconds(1);
      queue.offeredWorkSeconds_[second] -= Seconds(found->second.run_);
    } else {
      ++queue.rejectedRequests_;
    }
    requests_.erase(found);
  }
}

void
ScenarioWorld::OnGrant(EntryHost& aEntry, uint64_t aTicket, const Grant& aGrant)
{
  Request& request = requests_.at(aTicket);
  request.host_ = aGrant.host_;
  request.pool_ = aGrant.pool_;
  request.grant_ = aGrant.id_;
  request.result_ = AttemptResult::Ok;
  results_.grantTimes_[aEntry.id_].push_back(Elapsed());
  ObserveGrant(aEntry, aGrant);
  Schedule(clock_.Now() + kNetworkDelay, EventType::ReachWorker, aTicket);
}

void
ScenarioWorld::OnReachWorker(uint64_t aRequest)
{
  const auto found = requests_.find(aRequest);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  const PoolRules& pool = rules_->pools_.at(request.pool_);
  if (IsDown(request.host_)) {
    request.result_ = AttemptResult::NotSent;
  } else if (busy_[request.host_] >= pool.slotsPerHost_) {
    request.result_ = AttemptResult::SlotsRefused;
  }
  if (request.result_ != AttemptResult::Ok) {
    Schedule(clock_.Now() + kNetworkDelay, EventType::Response, aRequest);
    return;
  }
  ++busy_[request.host_];
  request.running_ = true;
  if (!request.started_) {
    request.started_ = true;
    results_.startedAfterCancel_ += cancelledIds_.contains(aRequest) ? 1 : 0;
    ScenarioQueue& queue = results_.queues_.at(request.service_);
    queue.waitSeconds_.push_back(Seconds(clock_.Now() - request.arrival_));
    queue.startedWorkSeconds_ += Seconds(request.run_);
  }
  const bool fails =
    failingSince_.contains(request.host_) || failingServices_.contains(request.service_);
  request.result_ = fails ? AttemptResult::ServerError : AttemptResult::Ok;
  Schedule(clock_.Now() + (fails ? kFailureRunTime : request.run_), EventType::Finish, aRequest);
}

void
ScenarioWorld::OnFinish(uint64_t aRequest)
{
  const auto found = requests_.find(aRequest);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  --busy_[request.host_];
  request.running_ = false;
  if (IsDown(request.host_)) {
    request.result_ = AttemptResult::Incomplete;
  }
  Schedule(clock_.Now() + kNetworkDelay, EventType::Response, aRequest);
}

void
ScenarioWorld::OnResponse(uint64_t aRequest)
{
  const auto found = requests_.find(aRequest);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  EntryHost& entry = *entries_.at(request.entry_);
  if (entry.paused_) {
    // A paused entry host reads the response only after it resumes.
    Schedule(clock_.Now() + std::chrono::milliseconds(100), EventType::Response, aRequest);
    return;
  }
  AttemptResult result = request.result_;
  const bool failed = result == AttemptResult::ServerError;
  if (failed && config_.mutant_ == ScenarioMutant::HideFailures) {
    result = AttemptResult::Ok;
  }
  if (failed && config_.mutant_ == ScenarioMutant::ReportUnreachable) {
    result = AttemptResult::NotSent;
  }
  const bool retry =
    request.result_ == AttemptResult::NotSent || request.result_ == AttemptResult::SlotsRefused;
  const auto run = failed ? kFailureRunTime : request.run_;
  const uint64_t grant = request.grant_;
  if (!retry) {
    requests_.erase(found);
  }
  ApplySchedulerEvent(entry, ReleaseEvent{ grant, result, run });
  if (retry) {
    Submit(aRequest, true);
  }
}

void
ScenarioWorld::CancelQueued(const std::string& aService)
{
  std::vector<uint64_t> queued;
  for (const auto& [id, request] : requests_) {
    if (request.service_ == aService && request.host_.empty()) {
      queued.push_back(id);
    }
  }
  std::sort(queued.begin(), queued.end());
  for (const uint64_t id : queued) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || config_.mutant_ == ScenarioMutant::KeepCancelled) {
      cancelledIds_.insert(id);
      continue;
    }
    EntryHost& entry = *entries_.at(found->second.entry_);
    cancelledIds_.insert(id);
    ApplySchedulerEvent(entry, CancelEvent{ id });
  }
}

}
