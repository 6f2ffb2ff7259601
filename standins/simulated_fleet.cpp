#include "simulated_fleet.h"

#include "plain_fleet_format.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLatency{ 2 };
constexpr milliseconds kCommandTimeout{ 400 };
constexpr milliseconds kLateStartDelay{ 1000 };
constexpr milliseconds kStopTime{ 200 };
constexpr milliseconds kMaintenanceTime{ 2000 };
constexpr milliseconds kAdviceLatency{ 100 };
constexpr milliseconds kTicketValidity{ 3000 };
constexpr milliseconds kEntryTtl{ 4500 }; // Three heartbeats.
constexpr int64_t kMaxLeaseMs = 6000;

int64_t
Milliseconds(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<milliseconds>(aTo - aFrom).count();
}

}

SimulatedFleet::SimulatedFleet(ManualClock& aClock,
                               EventQueue& aEvents,
                               MemoryRecordStore& aStore,
                               const FleetFormatI& aFormat,
                               ShapeOf aShapes)
  : clock_(aClock)
  , events_(aEvents)
  , store_(aStore)
  , format_(aFormat)
  , shapes_(std::move(aShapes))
{
}

void
SimulatedFleet::AddHosts(const std::string& aPool, size_t aCount, Resources aCapacity)
{
  constexpr size_t kHostsPerRack = 4;
  for (size_t index = 0; index < aCount; ++index) {
    HostEntry host;
    host.id_ = "host-" + aPool + "-" + std::to_string(index);
    host.pool_ = aPool;
    host.zone_ = "zone-" + std::to_string(index % 3);
    host.rack_ = "rack-" + std::to_string(index / kHostsPerRack);
    host.capacity_ = aCapacity;
    hosts_[host.id_] = host;
    pools_[aPool].push_back(host.id_);
    Boot(host.id_);
  }
}

std::string
SimulatedFleet::Boot(const std::string& aHost)
{
  HostEntry& host = hosts_[aHost];
  host.state_ = HostState::Up;
  host.backend_ = "backend-" + std::to_string(nextId_);
  Server server;
  server.entry_.id_ = host.backend_;
  server.entry_.service_ = host.pool_;
  server.entry_.address_ = "10.0.0.1:" + std::to_string(nextId_);
  server.entry_.zone_ = host.zone_;
  server.entry_.host_ = aHost;
  server.entry_.rack_ = host.rack_;
  server.entry_.labels_ = { "a", host.rack_ };
  server.entry_.capacity_ = host.capacity_;
  server.entry_.born_ = static_cast<int64_t>(++nextId_);
  // Ensures that the clock in the first response is positive.
  server.born_ = clock_.Now() - milliseconds(1);
  Publish(server);
  servers_[host.backend_] = std::move(server);
  return host.backend_;
}

void
SimulatedFleet::Publish(const Server& aServer)
{
  store_.Put(format_.RegistryPrefix() + aServer.entry_.id_,
             PlainFleetFormat::EncodeEntry(aServer.entry_));
}

void
SimulatedFleet::ScheduleEntryRemoval(const std::string& aId)
{
  events_.ScheduleAfter(kEntryTtl, [this, aId] { store_.Remove(format_.RegistryPrefix() + aId); });
}

std::string
SimulatedFleet::HostOf(const std::string& aPool, size_t aIndex) const
{
  return pools_.at(aPool).at(aIndex);
}

SimulatedFleet::Behaviour&
SimulatedFleet::BehaviourOf(const std::string& aPool, size_t aIndex)
{
  return servers_.at(hosts_.at(HostOf(aPool, aIndex)).backend_).behaviour_;
}

void
SimulatedFleet::Crash(const std::string& aPool, size_t aIndex)
{
  const std::string id = hosts_.at(HostOf(aPool, aIndex)).backend_;
  Server& server = servers_.at(id);
  server.alive_ = false;
  server.runs_.clear();
  // Pending polls fail without a response.
  for (PendingPoll& waiting : server.pendingPolls_) {
    events_.ScheduleAfter(kCommandTimeout,
                          [done = std::move(waiting.done_)] { done(LookResult()); });
  }
  server.pendingPolls_.clear();
  ScheduleEntryRemoval(id);
}

void
SimulatedFleet::RemoveHost(const std::string& aPool, size_t aIndex)
{
  const std::string host = HostOf(aPool, aIndex);
  Crash(aPool, aIndex);
  hosts_.erase(host);
}

void
SimulatedFleet::SetDraining(const std::string& aPool, size_t aIndex)
{
  Server& server = servers_.at(hosts_.at(HostOf(aPool, aIndex)).backend_);
  server.entry_.draining_ = true;
  Publish(server);
}

size_t
SimulatedFleet::CountHostsOutside(const std::string& aPool) const
{
  return static_cast<size_t>(
    std::count_if(hosts_.begin(), hosts_.end(), [&aPool](const auto& aHost) {
      return aHost.second.pool_ != aPool;
    }));
}

size_t
SimulatedFleet::RunsOf(const std::string& aTask) const
{
  size_t count = 0;
  for (const auto& [id, server] : servers_) {
    count += static_cast<size_t>(
      std::count_if(server.runs_.begin(), server.runs_.end(), [&aTask](const Run& aRun) {
        return aRun.task_ == aTask;
      }));
  }
  return count;
}

void
SimulatedFleet::RecordViolation(size_t& aCounter, const std::string& aWhat)
{
  ++aCounter;
  violations_.first_ = violations_.first_.empty() ? aWhat : violations_.first_;
}

SimulatedFleet::Server*
SimulatedFleet::FindReachable(const BackendAddress& aTo)
{
  const auto found = servers_.find(aTo.id_);
  const bool reached =
    found != servers_.end() && found->second.alive_ && !found->second.behaviour_.unresponsive_;
  return reached ? &found->second : nullptr;
}

OrderResult
SimulatedFleet::MakeResult(const Server& aServer, OrderOutcome aOutcome) const
{
  OrderResult result;
  result.outcome_ = aOutcome;
  result.clock_ = Milliseconds(aServer.born_, clock_.Now());
  result.born_ = aServer.entry_.born_;
  return result;
}

void
SimulatedFleet::ExtendLease(Server& aServer, int64_t aDeadline)
{
  const int64_t now = Milliseconds(aServer.born_, clock_.Now());
  const int64_t deadline = std::min(aDeadline, now + kMaxLeaseMs);
  aServer.leaseEnd_ = std::max(aServer.leaseEnd_, aServer.born_ + milliseconds(deadline));
}

OrderResult
SimulatedFleet::StartOn(Server& aServer, const StartOrder& aOrder)
{
  if (aOrder.fence_ < aServer.fence_) {
    return MakeResult(aServer, OrderOutcome::Fenced);
  }
  aServer.fence_ = aOrder.fence_;
  if (aOrder.deadline_ < Milliseconds(aServer.born_, clock_.Now())) {
    return MakeResult(aServer, OrderOutcome::Late);
  }
  const std::string ticket = "ticket of " + aServer.entry_.id_;
  const bool allowed = advisedHosts_.count(aServer.entry_.host_) > 0 && aOrder.ticket_ == ticket;
  if (!advisedHosts_.empty() && !allowed) {
    return MakeResult(aServer, OrderOutcome::NoTicket);
  }
  const auto stopped = aServer.stopped_.find(aOrder.run_.task_);
  if (stopped != aServer.stopped_.end() && aOrder.run_.run_ <= stopped->second) {
    return MakeResult(aServer, OrderOutcome::Superseded);
  }
  if (RunsOf(aOrder.run_.task_) > 0) {
    RecordViolation(violations_.duplicateRuns_, aOrder.run_.task_ + " has two concurrent runs");
  }
  if (acknowledgedDone_.count(aOrder.run_.task_) > 0) {
    RecordViolation(violations_.duplicateRuns_,
                    aOrder.run_.task_ + " starts after its end was acknowledged");
  }
  Run run;
  run.task_ = aOrder.run_.task_;
  run.run_ = aOrder.run_.run_;
  run.shape_ = shapes_(run.task_);
  run.begin_ = clock_.Now();
  run.progressedAt_ = clock_.Now();
  Resources sum = run.shape_.use_;
  for (const Run& other : aServer.runs_) {
    sum.cpuMilli_ += other.shape_.use_.cpuMilli_;
    sum.memoryMb_ += other.shape_.use_.memoryMb_;
  }
  const Resources& room = aServer.entry_.capacity_;
  if (sum.cpuMilli_ > room.cpuMilli_ || sum.memoryMb_ > room.memoryMb_) {
    RecordViolation(violations_.overCapacity_, aServer.entry_.id_ + " exceeds its capacity");
  }
  aServer.runs_.push_back(std::move(run));
  ExtendLease(aServer, aOrder.deadline_);
  ++starts_;
  return MakeResult(aServer, OrderOutcome::Done);
}

void
SimulatedFleet::Client::Start(const StartOrder& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  Server* server = disconnected_ ? nullptr : fleet.FindReachable(aOrder.to_);
  if (!server) {
    fleet.events_.ScheduleAfter(kCommandTimeout, [aDone] { aDone(OrderResult()); });
    return;
  }
  if (server->behaviour_.delaysStarts_) {
    fleet.events_.ScheduleAfter(kLateStartDelay, [&fleet, aOrder] {
      if (Server* delayedServer = fleet.FindReachable(aOrder.to_)) {
        fleet.StartOn(*delayedServer, aOrder);
      }
    });
    fleet.events_.ScheduleAfter(kCommandTimeout, [aDone] { aDone(OrderResult()); });
    return;
  }
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone] {
    Server* reached = fleet.FindReachable(aOrder.to_);
    aDone(reached ? fleet.StartOn(*reached, aOrder) : OrderResult());
  });
}

void
SimulatedFleet::Client::Stop(const StopOrder& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  const bool disconnected = disconnected_;
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone, disconnected] {
    Server* server = disconnected ? nullptr : fleet.FindReachable(aOrder.to_);
    if (!server) {
      aDone(OrderResult());
      return;
    }
    if (aOrder.fence_ < server->fence_) {
      aDone(fleet.MakeResult(*server, OrderOutcome::Fenced));
      return;
    }
    server->fence_ = aOrder.fence_;
    int64_t& highest = server->stopped_[aOrder.run_.task_];
    highest = std::max(highest, aOrder.run_.run_);
    for (Run& run : server->runs_) {
      if (run.task_ == aOrder.run_.task_ && run.run_ == aOrder.run_.run_ && !run.stopping_) {
        run.stopping_ = true;
        run.stopAt_ = fleet.clock_.Now() + kStopTime;
      }
    }
    aDone(fleet.MakeResult(*server, OrderOutcome::Done));
  });
}

void
SimulatedFleet::Client::Throttle(const ThrottleOrder& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone] {
    Server* server = fleet.FindReachable(aOrder.to_);
    if (!server) {
      aDone(OrderResult());
      return;
    }
    for (Run& run : server->runs_) {
      if (run.task_ == aOrder.run_.task_ && run.run_ == aOrder.run_.run_) {
        run.throttle_ = aOrder.percent_;
      }
    }
    aDone(fleet.MakeResult(*server, OrderOutcome::Done));
  });
}

uint32_t
SimulatedFleet::ThrottleOf(const std::string& aTask) const
{
  for (const auto& [id, server] : servers_) {
    for (const Run& run : server.runs_) {
      if (run.task_ == aTask) {
        return run.throttle_;
      }
    }
  }
  return 0;
}

LookResult
SimulatedFleet::MakePollResult(const Server& aServer) const
{
  LookResult result;
  static_cast<OrderResult&>(result) = MakeResult(aServer, OrderOutcome::Done);
  const bool disturbed =
    bestEffortDisturbs_ &&
    std::any_of(aServer.runs_.begin(), aServer.runs_.end(), [](const Run& aRun) {
      return aRun.shape_.isBestEffort_ && aRun.throttle_ > 0;
    });
  for (const Run& run : aServer.runs_) {
    RunningTask running;
    running.load_ = disturbed ? run.shape_.disturbedTailLatencyMs_ : run.shape_.tailLatencyMs_;
    running.run_ = RunId{ run.task_, run.run_ };
    running.percent_ =
      run.shape_.lasting_ ? 100 : static_cast<int64_t>(std::min(run.progress_, 0.99) * 100.0);
    result.running_.push_back(running);
  }
  result.ended_ = aServer.ended_;
  return result;
}

void
SimulatedFleet::AcknowledgeEnds(Server& aServer, int64_t aAcknowledgedUpTo)
{
  auto& ended = aServer.ended_;
  for (const EndedTask& end : ended) {
    if (end.number_ <= aAcknowledgedUpTo && end.kind_ == EndKind::Done) {
      acknowledgedDone_.insert(end.run_.task_);
    }
  }
  ended.erase(std::remove_if(ended.begin(),
                             ended.end(),
                             [aAcknowledgedUpTo](const EndedTask& aEnd) {
                               return aEnd.number_ <= aAcknowledgedUpTo;
                             }),
              ended.end());
}

void
SimulatedFleet::Client::Look(const LookOrder& aOrder, OnLook aDone)
{
  SimulatedFleet& fleet = fleet_;
  ++fleet.looks_;
  const bool disconnected = disconnected_;
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone, disconnected] {
    Server* server = disconnected ? nullptr : fleet.FindReachable(aOrder.to_);
    if (!server) {
      fleet.events_.ScheduleAfter(kCommandTimeout, [aDone] { aDone(LookResult()); });
      return;
    }
    if (aOrder.fence_ < server->fence_) {
      LookResult fenced;
      static_cast<OrderResult&>(fenced) = fleet.MakeResult(*server, OrderOutcome::Fenced);
      aDone(fenced);
      return;
    }
    server->fence_ = aOrder.fence_;
    if (aOrder.deadline_ != 0) {
      fleet.ExtendLease(*server, aOrder.deadline_);
    }
    fleet.AcknowledgeEnds(*server, aOrder.seenUpTo_);
    if (aOrder.wait_ > milliseconds(0) && server->ended_.empty()) {
      server->pendingPolls_.push_back(
        PendingPoll{ aOrder.seenUpTo_, fleet.clock_.Now() + aOrder.wait_, aDone });
      return;
    }
    aDone(fleet.MakePollResult(*server));
  });
}

OrderResult
SimulatedFleet::ApplyHostCommand(const HostOrder& aOrder)
{
  OrderResult result;
  const auto found = hosts_.find(aOrder.host_);
  if (found == hosts_.end()) {
    result.outcome_ = OrderOutcome::Dead;
    return result;
  }
  HostEntry& host = found->second;
  int64_t& fence = hostFences_[aOrder.host_];
  result.outcome_ = aOrder.fence_ < fence ? OrderOutcome::Fenced : OrderOutcome::Done;
  fence = std::max(fence, aOrder.fence_);
  const bool isMove = !aOrder.pool_.empty();
  const bool already =
    isMove ? host.pool_ == aOrder.pool_ : maintained_.count({ aOrder.rollout_, aOrder.host_ }) > 0;
  if (result.outcome_ != OrderOutcome::Done || already) {
    return result;
  }
  if (host.state_ != HostState::Up) {
    result.outcome_ = OrderOutcome::Refused;
    return result;
  }
  Server& server = servers_.at(host.backend_);
  server.alive_ = false;
  server.runs_.clear();
  ScheduleEntryRemoval(host.backend_);
  host.state_ = isMove ? HostState::Moving : HostState::Maintenance;
  if (isMove) {
    host.pool_ = aOrder.pool_;
  } else {
    maintained_.insert({ aOrder.rollout_, aOrder.host_ });
    if (down_[aOrder.rollout_]++ >= maxDown_) {
      RecordViolation(violations_.tooManyDown_,
                      aOrder.host_ + " exceeds the limit of hosts that are down");
    }
  }
  events_.ScheduleAfter(kMaintenanceTime, [this, aOrder, isMove] {
    if (hosts_.count(aOrder.host_) > 0) {
      Boot(aOrder.host_);
    }
    down_[aOrder.rollout_] -= isMove ? 0 : 1;
  });
  return result;
}

void
SimulatedFleet::Client::Change(const HostOrder& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  fleet.events_.ScheduleAfter(kLatency,
                              [&fleet, aOrder, aDone] { aDone(fleet.ApplyHostCommand(aOrder)); });
}

void
SimulatedFleet::Client::ListHosts(OnHosts aDone)
{
  SimulatedFleet& fleet = fleet_;
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aDone] {
    HostListResult result;
    result.ok_ = true;
    for (const auto& [id, host] : fleet.hosts_) {
      result.hosts_.push_back(host);
    }
    aDone(result);
  });
}

void
SimulatedFleet::Client::Advise(const AdviceQuery& aQuery, OnAdvice aDone)
{
  SimulatedFleet& fleet = fleet_;
  ++fleet.adviceQueries_;
  fleet.events_.ScheduleAfter(kAdviceLatency, [&fleet, aQuery, aDone] {
    AdviceResult result;
    result.ok_ = true;
    result.validFor_ = kTicketValidity;
    for (const std::string& id : aQuery.backends_) {
      const auto server = fleet.servers_.find(id);
      if (server != fleet.servers_.end() &&
          fleet.advisedHosts_.count(server->second.entry_.host_) > 0) {
        result.allowed_.emplace_back(id, "ticket of " + id);
      }
    }
    aDone(result);
  });
}

void
SimulatedFleet::EndRun(Server& aServer, size_t aRun, EndKind aKind)
{
  const Run run = aServer.runs_[aRun];
  aServer.runs_.erase(aServer.runs_.begin() + static_cast<ptrdiff_t>(aRun));
  int64_t& highest = aServer.stopped_[run.task_];
  highest = std::max(highest, run.run_);
  aServer.ended_.push_back(
    EndedTask{ aServer.nextEnd_++, RunId{ run.task_, run.run_ }, aKind, "" });
}

void
SimulatedFleet::AdvanceRuns(Server& aServer)
{
  const TimePoint now = clock_.Now();
  for (size_t index = aServer.runs_.size(); index-- > 0;) {
    Run& run = aServer.runs_[index];
    if (now >= aServer.leaseEnd_) {
      EndRun(aServer, index, EndKind::Lapsed);
      continue;
    }
    if (run.stopping_ && now >= run.stopAt_) {
      EndRun(aServer, index, EndKind::Stopped);
      continue;
    }
    const double worked = std::chrono::duration<double>(now - run.progressedAt_).count();
    run.progressedAt_ = now;
    if (aServer.behaviour_.hangs_ || run.shape_.lasting_) {
      continue;
    }
    const double durationSeconds = std::chrono::duration<double>(run.shape_.duration_).count();
    run.progress_ += worked / durationSeconds / aServer.behaviour_.slowdown_;
    const bool fails = run.shape_.fails_ || aServer.behaviour_.failsAll_;
    constexpr double kFailsAt = 0.3;
    if (fails && run.progress_ >= kFailsAt) {
      EndRun(aServer, index, EndKind::Failed);
    } else if (run.progress_ >= 1.0) {
      EndRun(aServer, index, EndKind::Done);
    }
  }
}

void
SimulatedFleet::Step()
{
  for (auto& [id, server] : servers_) {
    if (!server.alive_) {
      continue;
    }
    AdvanceRuns(server);
    for (size_t index = server.pendingPolls_.size(); index-- > 0;) {
      const bool due = clock_.Now() >= server.pendingPolls_[index].until_ || !server.ended_.empty();
      if (!due) {
        continue;
      }
      const auto done = server.pendingPolls_[index].done_;
      server.pendingPolls_.erase(server.pendingPolls_.begin() + static_cast<ptrdiff_t>(index));
      const bool unresponsive = server.behaviour_.unresponsive_;
      const LookResult pollResult = MakePollResult(server);
      events_.ScheduleAfter(kLatency, [done, pollResult, unresponsive] {
        done(unresponsive ? LookResult() : pollResult);
      });
    }
  }
}

}
