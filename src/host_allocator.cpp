#include "sardinespoke/host_allocator.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDecisionPeriod{ 100 };
constexpr milliseconds kRefusedPause{ 1000 };
// Pools keep the size that operators gave them until the load has been seen this long.
constexpr milliseconds kLearningTime{ 6000 };
constexpr milliseconds kReportPeriod{ 1000 };
// A host that has not come back by then is counted by the list alone.
constexpr milliseconds kJourneyLimit{ 6000 };

}

HostAllocator::HostAllocator(JobTable& aJobs,
                             BackendTable& aBackends,
                             RunTracker& aRuns,
                             TaskScheduler& aScheduler,
                             ArrivalRate& aArrivals,
                             BackendOrdersI& aOrders,
                             HostDirectory& aDirectory,
                             const RolloutRunner& aRollouts,
                             const ClockI& aClock,
                             Leadership& aLeadership,
                             HostTimes aSettings)
  : jobs_(aJobs)
  , backends_(aBackends)
  , runs_(aRuns)
  , scheduler_(aScheduler)
  , arrivals_(aArrivals)
  , orders_(aOrders)
  , directory_(aDirectory)
  , rollouts_(aRollouts)
  , clock_(aClock)
  , leadership_(aLeadership)
  , settings_(aSettings)
  , sizing_(MoveCosts{ .moveTime_ = settings_.moveTime_ })
{
}

uint32_t
HostAllocator::MinHosts(const std::string& aService) const
{
  uint32_t most = 0;
  for (const auto& job : jobs_.Jobs()) {
    if (!job || job->IsOver() || job->policy_.service_ != aService) {
      continue;
    }
    for (const StepSpec& step : job->spec_.steps_) {
      if (!step.lasting_ || step.maxPerServer_ == 0) {
        continue;
      }
      most = std::max(most, (step.taskCount_ + step.maxPerServer_ - 1) / step.maxPerServer_);
    }
  }
  // One more, so that a task that lost its place finds another.
  return most + 1;
}

void
HostAllocator::AddHost(const HostEntry& aHost, std::map<std::string, SizedPool>& aPools)
{
  const TimePoint now = clock_.Now();
  const auto journey = journeys_.find(aHost.id_);
  const bool arrived = journey != journeys_.end() && journey->second.arrived_;
  if (journey != journeys_.end() && !arrived) {
    const auto target = aPools.find(journey->second.to_);
    if (target != aPools.end() && !target->second.spare_) {
      target->second.arrivingCpu_ += aHost.capacity_.cpuMilli_;
      ++target->second.hostsInUse_;
    }
    return;
  }
  // The list may be older than the arrival.
  const auto found = aPools.find(arrived ? journey->second.to_ : aHost.pool_);
  if (found == aPools.end() || (!arrived && aHost.state_ != HostState::Up)) {
    return;
  }
  SizedPool& pool = found->second;
  const auto refused = refusedUntil_.find(aHost.id_);
  const bool mayMove =
    !rollouts_.IsBusy(aHost.id_) && (refused == refusedUntil_.end() || refused->second <= now);
  SizedHost sized{ aHost.id_, aHost.capacity_.cpuMilli_, mayMove, milliseconds(0) };
  if (pool.spare_) {
    pool.hosts_.push_back(sized);
    return;
  }
  const BackendHandle handle = backends_.OnHost(aHost.id_);
  if (!handle.IsValid() || !runs_.IsUsable(backends_.At(handle))) {
    return;
  }
  Backend& backend = backends_.At(handle);
  if (!backend.runs_.empty()) {
    backend.idleSince_ = TimePoint{};
  } else if (backend.idleSince_ == TimePoint{}) {
    backend.idleSince_ = now;
  }
  // Ends that were not acknowledged would be lost with the backend server.
  sized.movable_ = mayMove && backend.runs_.empty() && backend.applied_ == backend.told_;
  sized.idleFor_ = backend.runs_.empty()
                     ? std::chrono::duration_cast<milliseconds>(now - backend.idleSince_)
                     : milliseconds(0);
  pool.capacityCpu_ += sized.cpuMilli_;
  pool.usedCpu_ += backend.used_.cpuMilli_;
  for (const BackendRun& run : backend.runs_) {
    const bool lasting = run.task_ && jobs_.SpecOf(*run.task_).lasting_;
    pool.lastingCpu_ += lasting ? run.use_.cpuMilli_ : 0;
  }
  ++pool.hostsInUse_;
  pool.hosts_.push_back(sized);
}

std::vector<SizedPool>
HostAllocator::Survey(const FleetConfig& aConfig)
{
  std::map<std::string, SizedPool> pools;
  for (const ServicePolicy& service : aConfig.services_) {
    SizedPool pool;
    pool.name_ = service.name_;
    pool.spare_ = service.spare_;
    pool.waitingWork_ = scheduler_.WaitingWork(service.name_);
    pool.arrivalCpu_ = arrivals_.Cpu(service.name_, clock_.Now());
    pool.minHosts_ = service.spare_ ? 0 : MinHosts(service.name_);
    pools[service.name_] = std::move(pool);
  }
  for (const auto& [id, host] : directory_.All()) {
    AddHost(host, pools);
  }
  std::vector<SizedPool> result;
  result.reserve(pools.size());
  for (auto& [name, pool] : pools) {
    // The hosts may have processors left and no memory, so that their sum does not show it.
    if (!pool.spare_ && pool.arrivingCpu_ == 0 && scheduler_.UnplacedLasting(name) > 0) {
      pool.minHosts_ = std::max(pool.minHosts_, pool.hostsInUse_ + 1);
    }
    result.push_back(std::move(pool));
  }
  return result;
}

bool
HostAllocator::KnowsLoad()
{
  if (firstJob_ == TimePoint{}) {
    for (const auto& job : jobs_.Jobs()) {
      const bool counts = job && job->stored_ && !job->HasLasting();
      if (counts && (firstJob_ == TimePoint{} || job->accepted_ < firstJob_)) {
        firstJob_ = job->accepted_;
      }
    }
  }
  return firstJob_ != TimePoint{} && clock_.Now() - firstJob_ >= kLearningTime;
}

void
HostAllocator::EndJourneys()
{
  const TimePoint now = clock_.Now();
  for (auto journey = journeys_.begin(); journey != journeys_.end();) {
    const BackendHandle handle = backends_.OnHost(journey->first);
    journey->second.arrived_ =
      journey->second.arrived_ || (handle.IsValid() && runs_.IsUsable(backends_.At(handle)) &&
                                   backends_.At(handle).entry_.service_ == journey->second.to_);
    const HostEntry* host = directory_.Find(journey->first);
    // A list that was asked for after the host had settled; before, it may show the old pool.
    const bool listed = journey->second.done_ &&
                        directory_.RequestedAt() > journey->second.since_ + settings_.moveTime_ &&
                        host && host->state_ == HostState::Up && host->pool_ == journey->second.to_;
    const bool lost = now - journey->second.since_ > kJourneyLimit &&
                      directory_.RequestedAt() > journey->second.since_ + kJourneyLimit / 2;
    journey = listed || lost ? journeys_.erase(journey) : std::next(journey);
  }
}

void
HostAllocator::Tick(const FleetConfig& aConfig)
{
  const TimePoint now = clock_.Now();
  if (now < nextDecision_ || !directory_.IsLoaded() || !leadership_.IsCertain()) {
    return;
  }
  nextDecision_ = now + kDecisionPeriod;
  EndJourneys();
  std::vector<SizedPool> pools = Survey(aConfig);
  if (now >= nextReport_) {
    nextReport_ = now + kReportPeriod;
    Report(pools);
  }
  for (const HostMove& move : sizing_.Decide(pools, KnowsLoad())) {
    Journey journey;
    journey.to_ = move.to_;
    journey.since_ = now;
    const BackendHandle handle = backends_.OnHost(move.host_);
    if (handle.IsValid()) {
      backends_.At(handle).leaving_ = true;
      journey.oldBackend_ = backends_.At(handle).entry_.id_;
    }
    journeys_[move.host_] = journey;
    Log(LogLevel::Info,
        "host.move",
        { { "host", move.host_ }, { "from", move.from_ }, { "to", move.to_ } });
    Order(move.host_);
  }
}

void
HostAllocator::Report(const std::vector<SizedPool>& aPools) const
{
  for (const SizedPool& pool : aPools) {
    const auto idle = std::count_if(pool.hosts_.begin(),
                                    pool.hosts_.end(),
                                    [](const SizedHost& aHost) { return aHost.movable_; });
    Log(LogLevel::Info,
        "pool.state",
        { { "pool", pool.name_ },
          { "hosts", pool.hostsInUse_ },
          { "idle", idle },
          { "min_hosts", pool.minHosts_ },
          { "used_cpu_milli", pool.usedCpu_ },
          { "arrival_cpu_milli", pool.arrivalCpu_ },
          { "waiting_core_ms", pool.waitingWork_ },
          { "capacity_cpu_milli", pool.capacityCpu_ },
          { "arriving_cpu_milli", pool.arrivingCpu_ } });
  }
}

void
HostAllocator::Order(const std::string& aHost)
{
  HostOrder order;
  order.host_ = aHost;
  order.pool_ = journeys_[aHost].to_;
  order.fence_ = leadership_.Fence();
  const std::weak_ptr<bool> alive = alive_;
  orders_.Change(order, [this, alive, aHost](const OrderResult& aResult) {
    if (alive.lock()) {
      OnOrdered(aHost, aResult);
    }
  });
}

void
HostAllocator::OnOrdered(const std::string& aHost, const OrderResult& aResult)
{
  const auto found = journeys_.find(aHost);
  if (found == journeys_.end()) {
    return;
  }
  const BackendHandle old = backends_.Find(found->second.oldBackend_);
  switch (aResult.outcome_) {
    case OrderOutcome::Done:
      found->second.done_ = true;
      found->second.since_ = clock_.Now();
      // An order that had been carried out before changes nothing.
      if (old.IsValid() && backends_.At(old).entry_.service_ != found->second.to_) {
        runs_.EndLife(old, "its host moves to another pool");
      }
      return;
    case OrderOutcome::Fenced:
      leadership_.Lose("host control has seen a higher fence");
      return;
    case OrderOutcome::Unknown:
      Order(aHost); // The same move again has no further effect.
      return;
    default:
      Log(LogLevel::Info,
          "host.move_refused",
          { { "host", aHost }, { "outcome", static_cast<int>(aResult.outcome_) } });
      if (old.IsValid()) {
        backends_.At(old).leaving_ = false;
      }
      refusedUntil_[aHost] = clock_.Now() + kRefusedPause;
      journeys_.erase(found);
      return;
  }
}

}
