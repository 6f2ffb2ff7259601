#include "simulated_fleet.h"

#include "plain_fleet_format.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCommandTimeout{ 400 };
constexpr milliseconds kStopTime{ 200 };
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
  server.entry_.startTimeMs_ = static_cast<int64_t>(++nextId_);
  // Ensures that the clock in the first response is positive.
  server.startTimeMs_ = clock_.Now() - milliseconds(1);
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

void
SimulatedFleet::PublishEntry(const std::string& aPool, size_t aIndex)
{
  Publish(servers_.at(hosts_.at(HostOf(aPool, aIndex)).backend_));
}

void
SimulatedFleet::RemoveEntry(const std::string& aPool, size_t aIndex)
{
  store_.Remove(format_.RegistryPrefix() + hosts_.at(HostOf(aPool, aIndex)).backend_);
}

void
SimulatedFleet::SetCapacity(const std::string& aPool,
                            size_t aIndex,
                            Resources aCapacity,
                            bool aPublishes)
{
  servers_.at(hosts_.at(HostOf(aPool, aIndex)).backend_).entry_.capacity_ = aCapacity;
  if (aPublishes) {
    PublishEntry(aPool, aIndex);
  }
}

void
SimulatedFleet::SetHostState(const std::string& aPool, size_t aIndex, HostState aState)
{
  hosts_.at(HostOf(aPool, aIndex)).state_ = aState;
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
  EndServer(servers_.at(hosts_.at(HostOf(aPool, aIndex)).backend_), kCommandTimeout);
}

void
SimulatedFleet::FailPendingPolls(Server& aServer, milliseconds aDelay)
{
  for (PendingPoll& waiting : aServer.pendingPolls_) {
    events_.ScheduleAfter(aDelay, [done = std::move(waiting.done_)] { done(PollResult()); });
  }
  aServer.pendingPolls_.clear();
}

void
SimulatedFleet::RestartInPlace(const std::string& aPool, size_t aIndex, bool aPublishes)
{
  Server& server = servers_.at(hosts_.at(HostOf(aPool, aIndex)).backend_);
  KillRuns(server);
  FailPendingPolls(server, kCommandTimeout);
  Server next;
  next.entry_ = server.entry_;
  next.entry_.startTimeMs_ = static_cast<int64_t>(++nextId_);
  next.behaviour_ = server.behaviour_;
  next.startTimeMs_ = clock_.Now() - milliseconds(1);
  server = std::move(next);
  if (aPublishes) {
    Publish(server);
  } else {
    ScheduleEntryRemoval(server.entry_.id_);
  }
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

size_t
SimulatedFleet::RunsOn(const std::string& aPool, size_t aIndex) const
{
  return servers_.at(hosts_.at(HostOf(aPool, aIndex)).backend_).runs_.size();
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

CommandResult
SimulatedFleet::MakeResult(const Server& aServer, CommandOutcome aOutcome) const
{
  CommandResult result;
  result.outcome_ = aOutcome;
  result.clock_ = Milliseconds(aServer.startTimeMs_, clock_.Now());
  result.startTimeMs_ =
    aServer.behaviour_.alwaysNamesIncarnation_ ? aServer.entry_.startTimeMs_ : 0;
  return result;
}

void
SimulatedFleet::ExtendLease(Server& aServer, int64_t aDeadline)
{
  const int64_t now = Milliseconds(aServer.startTimeMs_, clock_.Now());
  const int64_t deadline = std::min(aDeadline, now + kMaxLeaseMs);
  aServer.leaseEnd_ = std::max(aServer.leaseEnd_, aServer.startTimeMs_ + milliseconds(deadline));
}

CommandResult
SimulatedFleet::StartOn(Server& aServer, const StartCommand& aOrder)
{
  if (aOrder.fencingToken_ < aServer.fencingToken_) {
    return MakeResult(aServer, CommandOutcome::Fenced);
  }
  aServer.fencingToken_ = aOrder.fencingToken_;
  if (aOrder.deadline_ < Milliseconds(aServer.startTimeMs_, clock_.Now())) {
    return MakeResult(aServer, CommandOutcome::DeadlineExceeded);
  }
  const std::string ticket = "ticket of " + aServer.entry_.id_;
  const bool allowed = advisedHosts_.count(aServer.entry_.host_) > 0 && aOrder.ticket_ == ticket;
  if (!advisedHosts_.empty() && !allowed) {
    return MakeResult(aServer, CommandOutcome::InvalidTicket);
  }
  const auto stopped = aServer.stopped_.find(aOrder.run_.task_);
  if (stopped != aServer.stopped_.end() && aOrder.run_.run_ <= stopped->second) {
    return MakeResult(aServer, CommandOutcome::Superseded);
  }
  const bool isThere =
    std::any_of(aServer.runs_.begin(), aServer.runs_.end(), [&aOrder](const Run& aRun) {
      return aRun.task_ == aOrder.run_.task_ && aRun.run_ == aOrder.run_.run_;
    });
  if (isThere) {
    ExtendLease(aServer, aOrder.deadline_);
    return MakeResult(aServer, CommandOutcome::Done);
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
  run.checkpoint_ = aOrder.checkpoint_;
  run.progress_ = checkpoints_.ProgressOf(aOrder.checkpoint_);
  run.savedProgress_ = run.progress_;
  const std::string wrong =
    checkpoints_.CheckStart(run.task_, run.run_, aOrder.checkpoint_, run.shape_.gang_);
  if (!wrong.empty()) {
    RecordViolation(violations_.wrongCheckpoints_, wrong);
  }
  Resources sum = run.shape_.resources_;
  for (const Run& other : aServer.runs_) {
    sum.cpuMilli_ += other.shape_.resources_.cpuMilli_;
    sum.memoryMb_ += other.shape_.resources_.memoryMb_;
    sum.accelerators_ += other.shape_.resources_.accelerators_;
  }
  const Resources& room = aServer.entry_.capacity_;
  if (sum.cpuMilli_ > room.cpuMilli_ || sum.memoryMb_ > room.memoryMb_ ||
      sum.accelerators_ > room.accelerators_) {
    RecordViolation(violations_.overCapacity_, aServer.entry_.id_ + " exceeds its capacity");
  }
  aServer.runs_.push_back(std::move(run));
  ExtendLease(aServer, aOrder.deadline_);
  ++starts_;
  ++startsOf_[aOrder.run_.task_];
  return MakeResult(aServer, CommandOutcome::Done);
}

bool
SimulatedFleet::Client::IsCut(const BackendAddress& aTo) const
{
  const auto found = fleet_.servers_.find(aTo.id_);
  return disconnected_ || (found != fleet_.servers_.end() &&
                           unreachableHosts_.count(found->second.entry_.host_) > 0);
}

SimulatedFleet::Server*
SimulatedFleet::Client::Reach(const BackendAddress& aTo) const
{
  return IsCut(aTo) ? nullptr : fleet_.FindReachable(aTo);
}

void
SimulatedFleet::Client::Start(const StartCommand& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  Server* server = Reach(aOrder.to_);
  if (!server) {
    fleet.events_.ScheduleAfter(kCommandTimeout, [aDone] { aDone(CommandResult()); });
    return;
  }
  if (server->behaviour_.delaysStarts_) {
    fleet.events_.ScheduleAfter(server->behaviour_.startDelay_, [&fleet, aOrder] {
      if (Server* delayedServer = fleet.FindReachable(aOrder.to_)) {
        fleet.StartOn(*delayedServer, aOrder);
      }
    });
    fleet.events_.ScheduleAfter(kCommandTimeout, [aDone] { aDone(CommandResult()); });
    return;
  }
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone] {
    Server* reached = fleet.FindReachable(aOrder.to_);
    const CommandResult result = reached ? fleet.StartOn(*reached, aOrder) : CommandResult();
    if (reached && reached->behaviour_.losesAnswers_) {
      fleet.events_.ScheduleAfter(kCommandTimeout, [aDone] { aDone(CommandResult()); });
      return;
    }
    aDone(result);
  });
}

void
SimulatedFleet::Client::Stop(const StopCommand& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  const bool isReached = Reach(aOrder.to_) != nullptr;
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone, isReached] {
    Server* server = isReached ? fleet.FindReachable(aOrder.to_) : nullptr;
    if (!server || server->behaviour_.losesStops_) {
      aDone(CommandResult());
      return;
    }
    if (aOrder.fencingToken_ < server->fencingToken_) {
      aDone(fleet.MakeResult(*server, CommandOutcome::Fenced));
      return;
    }
    server->fencingToken_ = aOrder.fencingToken_;
    int64_t& highest = server->stopped_[aOrder.run_.task_];
    highest = std::max(highest, aOrder.run_.run_);
    for (Run& run : server->runs_) {
      if (run.task_ == aOrder.run_.task_ && run.run_ == aOrder.run_.run_ && !run.stopping_) {
        run.stopping_ = true;
        run.stopAt_ = fleet.clock_.Now() + kStopTime;
      }
    }
    aDone(fleet.MakeResult(*server, CommandOutcome::Done));
  });
}

void
SimulatedFleet::Client::Throttle(const ThrottleCommand& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone] {
    Server* server = fleet.FindReachable(aOrder.to_);
    if (!server) {
      aDone(CommandResult());
      return;
    }
    for (Run& run : server->runs_) {
      if (run.task_ == aOrder.run_.task_ && run.run_ == aOrder.run_.run_) {
        run.throttle_ = aOrder.percent_;
      }
    }
    aDone(fleet.MakeResult(*server, CommandOutcome::Done));
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

PollResult
SimulatedFleet::MakePollResult(const Server& aServer) const
{
  PollResult result;
  static_cast<CommandResult&>(result) = MakeResult(aServer, CommandOutcome::Done);
  result.startTimeMs_ = aServer.entry_.startTimeMs_;
  const bool disturbed =
    bestEffortDisturbs_ &&
    std::any_of(aServer.runs_.begin(), aServer.runs_.end(), [](const Run& aRun) {
      return aRun.shape_.isBestEffort_ && aRun.throttle_ > 0;
    });
  for (const Run& run : aServer.runs_) {
    RunningTask running;
    running.load_ = disturbed ? run.shape_.disturbedTailLatencyMs_ : run.shape_.tailLatencyMs_;
    running.run_ = RunId{ run.task_, run.run_ };
    running.checkpoint_ = run.checkpoint_;
    running.percent_ =
      run.shape_.continuous_ ? 100 : static_cast<int64_t>(std::min(run.progress_, 0.99) * 100.0);
    result.running_.push_back(running);
  }
  const size_t listed = std::min(aServer.ended_.size(), maxListedEnds_);
  result.ended_.assign(aServer.ended_.begin(),
                       aServer.ended_.begin() + static_cast<ptrdiff_t>(listed));
  result.hasMoreEnds_ = listed == maxListedEnds_;
  return result;
}

size_t
SimulatedFleet::UnacknowledgedEnds() const
{
  size_t count = 0;
  for (const auto& [id, server] : servers_) {
    count += server.ended_.size();
  }
  return count;
}

void
SimulatedFleet::AcknowledgeEnds(Server& aServer, int64_t aAcknowledgedUpTo)
{
  auto& ended = aServer.ended_;
  for (const EndedTask& end : ended) {
    if (end.number_ <= aAcknowledgedUpTo && end.kind_ == RunOutcome::Done &&
        !shapes_(end.run_.task_).continuous_) {
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

bool
SimulatedFleet::AcceptPoll(Server& aServer, const PollCommand& aOrder)
{
  if (aOrder.fencingToken_ < aServer.fencingToken_) {
    return false;
  }
  aServer.fencingToken_ = aOrder.fencingToken_;
  if (aOrder.deadline_ != 0) {
    ExtendLease(aServer, aOrder.deadline_);
  }
  AcknowledgeEnds(aServer, aOrder.acknowledgedUpTo_);
  return true;
}

void
SimulatedFleet::Client::Poll(const PollCommand& aOrder, OnPollResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  ++fleet.looks_;
  const auto done = [this, aOrder, aDone](const PollResult& aResult) {
    // The response to a poll that waited is lost as well.
    aDone(IsCut(aOrder.to_) ? PollResult() : aResult);
  };
  Server* target = Reach(aOrder.to_);
  if (target && target->behaviour_.pollsToDelay_ > 0 && aOrder.deadline_ != 0) {
    --target->behaviour_.pollsToDelay_;
    fleet.events_.ScheduleAfter(target->behaviour_.pollDelay_, [&fleet, aOrder] {
      if (Server* server = fleet.FindReachable(aOrder.to_)) {
        fleet.AcceptPoll(*server, aOrder);
        ++fleet.latePolls_;
      }
    });
    fleet.events_.ScheduleAfter(kCommandTimeout + aOrder.wait_, [done] { done(PollResult()); });
    return;
  }
  const bool isReached = target != nullptr;
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, done, isReached] {
    Server* server = isReached ? fleet.FindReachable(aOrder.to_) : nullptr;
    if (!server || server->behaviour_.losesPolls_ || server->behaviour_.losesAnswers_) {
      fleet.events_.ScheduleAfter(kCommandTimeout, [done] { done(PollResult()); });
      return;
    }
    if (!fleet.AcceptPoll(*server, aOrder)) {
      PollResult fenced;
      static_cast<CommandResult&>(fenced) = fleet.MakeResult(*server, CommandOutcome::Fenced);
      done(fenced);
      return;
    }
    if (aOrder.wait_ > milliseconds(0) && server->ended_.empty()) {
      server->pendingPolls_.push_back(
        PendingPoll{ aOrder.acknowledgedUpTo_, fleet.clock_.Now() + aOrder.wait_, done });
      return;
    }
    done(fleet.MakePollResult(*server));
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

}
