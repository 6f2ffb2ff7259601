#include "simulated_fleet.h"

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHostCommandTimeout{ 1500 };
constexpr milliseconds kMaintenanceTime{ 2000 };

}

CommandResult
SimulatedFleet::ApplyHostCommand(const HostCommand& aOrder)
{
  CommandResult result;
  const auto found = hosts_.find(aOrder.host_);
  if (found == hosts_.end()) {
    result.outcome_ = CommandOutcome::TargetNotFound;
    return result;
  }
  HostEntry& host = found->second;
  int64_t& fence = hostFences_[aOrder.host_];
  result.outcome_ = aOrder.fencingToken_ < fence ? CommandOutcome::Fenced : CommandOutcome::Done;
  fence = std::max(fence, aOrder.fencingToken_);
  const bool isMove = !aOrder.pool_.empty();
  const bool already =
    isMove ? host.pool_ == aOrder.pool_ : maintained_.count({ aOrder.rollout_, aOrder.host_ }) > 0;
  if (result.outcome_ != CommandOutcome::Done || already) {
    return result;
  }
  if (host.state_ != HostState::Up) {
    result.outcome_ = CommandOutcome::Refused;
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
SimulatedFleet::Client::ChangeHost(const HostCommand& aOrder, OnResult aDone)
{
  SimulatedFleet& fleet = fleet_;
  ++hostCommands_;
  HostCommandFault fault = losesHostCommands_ ? HostCommandFault::Lost : HostCommandFault::None;
  if (!fleet.hostCommandFaults_.empty()) {
    fault = fleet.hostCommandFaults_.front();
    fleet.hostCommandFaults_.pop_front();
  }
  if (fault == HostCommandFault::Refused) {
    fleet.events_.ScheduleAfter(kLatency, [aDone] {
      CommandResult refused;
      refused.outcome_ = CommandOutcome::Refused;
      aDone(refused);
    });
    return;
  }
  fleet.events_.ScheduleAfter(kLatency, [&fleet, aOrder, aDone, fault] {
    if (fault == HostCommandFault::Lost) {
      return;
    }
    const CommandResult result = fleet.ApplyHostCommand(aOrder);
    if (fault == HostCommandFault::None) {
      aDone(result);
    }
  });
  if (fault != HostCommandFault::None) {
    fleet.events_.ScheduleAfter(kHostCommandTimeout, [aDone] { aDone(CommandResult()); });
  }
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

}
