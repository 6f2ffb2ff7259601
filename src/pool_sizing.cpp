#include "sardinespoke/pool_sizing.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Not 100 %: tasks do not pack hosts completely, and jobs arrive unevenly within a second.
constexpr int64_t kTargetUtilizationPercent = 60;
// Work that is queued when a moved host starts to accept tasks should start within this time; work
// that waits longer misses its objective.
constexpr milliseconds kBacklogClearTime{ 800 };
// Minimum per pool, so that a pool with work survives the failure of one host.
constexpr uint32_t kMinHosts = 2;

}

PoolSizing::PoolSizing(MoveCosts aCosts)
  : costs_(aCosts)
{
}

int64_t
PoolSizing::NeededCpuMilli(const PoolState& aPool) const
{
  const int64_t servingCpuMilli = std::max<int64_t>(
    aPool.capacityCpuMilli_ + aPool.inboundCpuMilli_ - aPool.continuousCpuMilli_, 0);
  // Queued work at the time when a host moved now would accept tasks.
  const int64_t backlog = aPool.waitingCoreMs_ + (aPool.arrivalCpuMilli_ - servingCpuMilli) *
                                                   costs_.moveTime_.count() / 1000;
  const int64_t toClear = std::max<int64_t>(backlog, 0) * 1000 / kBacklogClearTime.count();
  return aPool.continuousCpuMilli_ +
         (aPool.arrivalCpuMilli_ + toClear) * 100 / kTargetUtilizationPercent;
}

bool
PoolSizing::CanSpare(const PoolState& aPool, const PoolHost& aHost) const
{
  if (!aHost.movable_) {
    return false;
  }
  if (aPool.spare_) {
    return true;
  }
  return aPool.hostsInUse_ > std::max(aPool.minHosts_, kMinHosts) &&
         aPool.capacityCpuMilli_ + aPool.inboundCpuMilli_ - aHost.cpuMilli_ >=
           NeededCpuMilli(aPool);
}

void
PoolSizing::Move(PoolState& aFrom, PoolState& aTo, size_t aHost, std::vector<HostMove>& aMoves)
{
  const PoolHost host = aFrom.hosts_[aHost];
  aFrom.hosts_.erase(aFrom.hosts_.begin() + static_cast<ptrdiff_t>(aHost));
  if (!aFrom.spare_) {
    aFrom.capacityCpuMilli_ -= host.cpuMilli_;
    --aFrom.hostsInUse_;
  }
  if (!aTo.spare_) {
    aTo.inboundCpuMilli_ += host.cpuMilli_;
    ++aTo.hostsInUse_;
  }
  aMoves.push_back(HostMove{ host.id_, aFrom.name_, aTo.name_ });
}

bool
PoolSizing::MoveHostInto(std::vector<PoolState>& aPools,
                         PoolState& aPool,
                         std::vector<HostMove>& aMoves) const
{
  // An idle host costs the same in either pool, so that moving it adds no cost. Switching a spare
  // host on does, so spare hosts are the last choice.
  PoolState* donor = nullptr;
  size_t best = 0;
  milliseconds longest{ -1 };
  for (PoolState& from : aPools) {
    if (&from == &aPool) {
      continue;
    }
    for (size_t index = 0; index < from.hosts_.size(); ++index) {
      const PoolHost& host = from.hosts_[index];
      if (!CanSpare(from, host) || (!from.spare_ && host.idleFor_ < costs_.idleBeforeMove_)) {
        continue;
      }
      const milliseconds idle = from.spare_ ? milliseconds(0) : host.idleFor_;
      if (idle > longest) {
        donor = &from;
        best = index;
        longest = idle;
      }
    }
  }
  if (!donor) {
    return false;
  }
  Move(*donor, aPool, best, aMoves);
  return true;
}

void
PoolSizing::SwitchOff(std::vector<PoolState>& aPools, std::vector<HostMove>& aMoves) const
{
  const auto spare =
    std::find_if(aPools.begin(), aPools.end(), [](const PoolState& aPool) { return aPool.spare_; });
  if (spare == aPools.end()) {
    return;
  }
  for (PoolState& pool : aPools) {
    if (pool.spare_) {
      continue;
    }
    for (size_t index = pool.hosts_.size(); index-- > 0;) {
      if (pool.hosts_[index].idleFor_ >= costs_.idleBeforeSwitchOff_ &&
          CanSpare(pool, pool.hosts_[index])) {
        Move(pool, *spare, index, aMoves);
      }
    }
  }
}

std::vector<HostMove>
PoolSizing::Decide(std::vector<PoolState>& aPools, bool aMaySwitchOff) const
{
  std::vector<HostMove> moves;
  std::vector<PoolState*> shortPools;
  for (PoolState& pool : aPools) {
    if (!pool.spare_) {
      shortPools.push_back(&pool);
    }
  }
  const auto shortage = [this](const PoolState* aPool) {
    return NeededCpuMilli(*aPool) - aPool->capacityCpuMilli_ - aPool->inboundCpuMilli_;
  };
  std::stable_sort(
    shortPools.begin(), shortPools.end(), [&](const PoolState* aLeft, const PoolState* aRight) {
      return shortage(aLeft) > shortage(aRight);
    });
  for (PoolState* pool : shortPools) {
    while (shortage(pool) > 0 || pool->hostsInUse_ < pool->minHosts_) {
      if (!MoveHostInto(aPools, *pool, moves)) {
        break;
      }
    }
  }
  if (aMaySwitchOff) {
    SwitchOff(aPools, moves);
  }
  return moves;
}

}
