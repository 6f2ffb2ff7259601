#include "sardinespoke/host_allocator.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSizingPeriod{ 100 };
constexpr milliseconds kMoveRefusedBackoff{ 1000 };
// Hosts are not switched off until load has been observed for this long.
constexpr milliseconds kLoadHistoryTime{ 6000 };
constexpr milliseconds kReportPeriod{ 1000 };
// A pending move that is older is dropped; the host list then decides the host's pool.
constexpr milliseconds kPendingMoveTimeout{ 6000 };

}

HostAllocator::HostAllocator(JobTable& aJobs,
                             BackendTable& aBackends,
                             RunTracker& aRuns,
                             TaskScheduler& aScheduler,
                             ArrivalRate& aArrivals,
                             BackendCommandsI& aCommands,
                             HostDirectory& aDirectory,
                             const RolloutRunner& aRollouts,
                             const ClockI& aClock,
                             Leadership& aLeadership,
                             HostOperationTimes aSettings)
  : jobs_(aJobs)
  , backends_(aBackends)
  , runs_(aRuns)
  , scheduler_(aScheduler)
  , arrivals_(aArrivals)
  , commands_(aCommands)
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
  uint32_t requiredHosts = 0;
  for (const uint32_t index : jobs_.Open()) {
    const Job& job = jobs_.At(index);
    if (job.policy_.service_ != aService) {
      continue;
    }
    for (const StepSpec& step : job.spec_.steps_) {
      if (!step.continuous_ || step.maxPerServer_ == 0) {
        continue;
      }
      requiredHosts =
        std::max(requiredHosts, (step.taskCount_ + step.maxPerServer_ - 1) / step.maxPerServer_);
    }
  }
  // One spare host, so that a task that lost its host can be placed again.
  return requiredHosts + 1;
}

void
HostAllocator::AddHost(const HostEntry& aHost, std::map<std::string, PoolState>& aPools)
{
  const TimePoint now = clock_.Now();
  const auto pending = pendingMoves_.find(aHost.id_);
  const bool arrived = pending != pendingMoves_.end() && pending->second.arrived_;
  if (pending != pendingMoves_.end() && !arrived) {
    const auto target = aPools.find(pending->second.to_);
    if (target != aPools.end() && !target->second.spare_) {
      target->second.inboundCpuMilli_ += aHost.capacity_.cpuMilli_;
      ++target->second.hostsInUse_;
    }
    return;
  }
  // The host list may have been read before the move was complete.
  const auto found = aPools.find(arrived ? pending->second.to_ : aHost.pool_);
  if (found == aPools.end() || (!arrived && aHost.state_ != HostState::Up)) {
    return;
  }
  PoolState& pool = found->second;
  const auto backoff = moveBackoffUntil_.find(aHost.id_);
  const bool mayMove =
    !rollouts_.IsBusy(aHost.id_) && (backoff == moveBackoffUntil_.end() || backoff->second <= now);
  PoolHost poolHost{ aHost.id_, aHost.capacity_.cpuMilli_, mayMove, milliseconds(0) };
  if (pool.spare_) {
    pool.hosts_.push_back(poolHost);
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
  // A move ends the backend server, and its unacknowledged end reports would be lost with it.
  poolHost.movable_ =
    mayMove && backend.runs_.empty() && backend.endsApplied_ == backend.endsAcknowledged_;
  // It may have shrunk; the capacity in the list of hosts need not show that.
  poolHost.cpuMilli_ = backend.entry_.capacity_.cpuMilli_;
  poolHost.idleFor_ = backend.runs_.empty()
                        ? std::chrono::duration_cast<milliseconds>(now - backend.idleSince_)
                        : milliseconds(0);
  pool.capacityCpuMilli_ += poolHost.cpuMilli_;
  pool.usedCpuMilli_ += backend.used_.cpuMilli_;
  for (const BackendRun& run : backend.runs_) {
    const bool continuous = run.task_ && jobs_.SpecOf(*run.task_).continuous_;
    pool.continuousCpuMilli_ += continuous ? run.resources_.cpuMilli_ : 0;
  }
  ++pool.hostsInUse_;
  pool.hosts_.push_back(poolHost);
}

std::vector<PoolState>
HostAllocator::CollectPools(const FleetConfig& aConfig)
{
  std::map<std::string, PoolState> pools;
  for (const ServicePolicy& service : aConfig.services_) {
    PoolState pool;
    pool.name_ = service.name_;
    pool.spare_ = service.spare_;
    pool.waitingCoreMs_ = scheduler_.WaitingCoreMs(service.name_);
    pool.arrivalCpuMilli_ = arrivals_.CpuMilli(service.name_, clock_.Now());
    pool.minHosts_ = service.spare_ ? 0 : MinHosts(service.name_);
    pools[service.name_] = std::move(pool);
  }
  for (const auto& [id, host] : directory_.All()) {
    AddHost(host, pools);
  }
  std::vector<PoolState> result;
  result.reserve(pools.size());
  for (auto& [name, pool] : pools) {
    // CPU totals do not show a lack of memory: tasks may not fit although CPU is free.
    if (!pool.spare_ && pool.inboundCpuMilli_ == 0 &&
        scheduler_.UnplacedContinuousTasks(name) > 0) {
      pool.minHosts_ = std::max(pool.minHosts_, pool.hostsInUse_ + 1);
    }
    result.push_back(std::move(pool));
  }
  return result;
}

bool
HostAllocator::HasLoadHistory()
{
  if (firstJobAcceptedAt_ == TimePoint{}) {
    for (const auto& job : jobs_.Jobs()) {
      const bool counts = job && job->stored_ && !job->HasContinuousSteps();
      if (counts && (firstJobAcceptedAt_ == TimePoint{} || job->accepted_ < firstJobAcceptedAt_)) {
        firstJobAcceptedAt_ = job->accepted_;
      }
    }
  }
  return firstJobAcceptedAt_ != TimePoint{} &&
         clock_.Now() - firstJobAcceptedAt_ >= kLoadHistoryTime;
}

void
HostAllocator::UpdatePendingMoves()
{
  const TimePoint now = clock_.Now();
  for (auto pending = pendingMoves_.begin(); pending != pendingMoves_.end();) {
    if (pending->second.awaitsLease_) {
      pending->second.awaitsLease_ = false;
      pending->second.since_ = now;
      SendMoveCommand(pending->first);
    }
    const BackendHandle handle = backends_.OnHost(pending->first);
    pending->second.arrived_ =
      pending->second.arrived_ || (handle.IsValid() && runs_.IsUsable(backends_.At(handle)) &&
                                   backends_.At(handle).entry_.service_ == pending->second.to_);
    const HostEntry* host = directory_.Find(pending->first);
    // Only a list requested after the move is complete counts; an earlier one may show the old
    // pool.
    const bool listed = pending->second.acceptedByHostControl_ &&
                        directory_.RequestedAt() > pending->second.since_ + settings_.moveTime_ &&
                        host && host->state_ == HostState::Up && host->pool_ == pending->second.to_;
    const bool timedOut =
      now - pending->second.since_ > kPendingMoveTimeout &&
      directory_.RequestedAt() > pending->second.since_ + kPendingMoveTimeout / 2;
    pending = listed || timedOut ? pendingMoves_.erase(pending) : std::next(pending);
  }
}

void
HostAllocator::Tick(const FleetConfig& aConfig)
{
  const TimePoint now = clock_.Now();
  if (now < nextDecision_ || !directory_.IsLoaded() || !leadership_.HoldsValidLease()) {
    return;
  }
  nextDecision_ = now + kSizingPeriod;
  UpdatePendingMoves();
  std::vector<PoolState> pools = CollectPools(aConfig);
  if (now >= nextReport_) {
    nextReport_ = now + kReportPeriod;
    LogPools(pools);
  }
  for (const HostMove& move : sizing_.Decide(pools, HasLoadHistory())) {
    PendingMove pending;
    pending.to_ = move.to_;
    pending.since_ = now;
    const BackendHandle handle = backends_.OnHost(move.host_);
    if (handle.IsValid()) {
      backends_.At(handle).cordoned_ = true;
      pending.oldBackend_ = backends_.At(handle).entry_.id_;
    }
    pendingMoves_[move.host_] = pending;
    Log(LogLevel::Info,
        "host.move",
        { { "host", move.host_ }, { "from", move.from_ }, { "to", move.to_ } });
    SendMoveCommand(move.host_);
  }
}

void
HostAllocator::LogPools(const std::vector<PoolState>& aPools) const
{
  for (const PoolState& pool : aPools) {
    const auto idle = std::count_if(
      pool.hosts_.begin(), pool.hosts_.end(), [](const PoolHost& aHost) { return aHost.movable_; });
    Log(LogLevel::Info,
        "pool.state",
        { { "pool", pool.name_ },
          { "hosts", pool.hostsInUse_ },
          { "idle", idle },
          { "min_hosts", pool.minHosts_ },
          { "used_cpu_milli", pool.usedCpuMilli_ },
          { "arrival_cpu_milli", pool.arrivalCpuMilli_ },
          { "waiting_core_ms", pool.waitingCoreMs_ },
          { "capacity_cpu_milli", pool.capacityCpuMilli_ },
          { "arriving_cpu_milli", pool.inboundCpuMilli_ } });
  }
}

void
HostAllocator::SendMoveCommand(const std::string& aHost)
{
  HostCommand command;
  command.host_ = aHost;
  command.pool_ = pendingMoves_[aHost].to_;
  command.fencingToken_ = leadership_.FencingToken();
  const std::weak_ptr<bool> alive = alive_;
  commands_.ChangeHost(command, [this, alive, aHost](const CommandResult& aResult) {
    if (alive.lock()) {
      OnMoveResult(aHost, aResult);
    }
  });
}

void
HostAllocator::OnMoveResult(const std::string& aHost, const CommandResult& aResult)
{
  const auto found = pendingMoves_.find(aHost);
  if (found == pendingMoves_.end()) {
    return;
  }
  const BackendHandle oldBackend = backends_.Find(found->second.oldBackend_);
  switch (aResult.outcome_) {
    case CommandOutcome::Done:
      found->second.acceptedByHostControl_ = true;
      found->second.since_ = clock_.Now();
      // A move that was already complete must not end the new backend server.
      if (oldBackend.IsValid() && backends_.At(oldBackend).entry_.service_ != found->second.to_) {
        runs_.EndIncarnation(
          oldBackend, "its host is moving to another pool", IncarnationEnd::Planned);
      }
      return;
    case CommandOutcome::Fenced:
      leadership_.StepDown("host control has seen a higher fencing token");
      return;
    case CommandOutcome::Unknown:
      // Moves are idempotent, but without a certain lease a successor may use the host.
      if (leadership_.HoldsValidLease()) {
        SendMoveCommand(aHost);
      } else {
        found->second.awaitsLease_ = true;
      }
      return;
    default:
      Log(LogLevel::Info,
          "host.move_refused",
          { { "host", aHost }, { "outcome", static_cast<int>(aResult.outcome_) } });
      if (oldBackend.IsValid()) {
        backends_.At(oldBackend).cordoned_ = false;
      }
      moveBackoffUntil_[aHost] = clock_.Now() + kMoveRefusedBackoff;
      pendingMoves_.erase(found);
      return;
  }
}

}
