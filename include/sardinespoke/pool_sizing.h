#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// A host that may be moved to another pool.
struct PoolHost
{
  std::string id_;
  int64_t cpuMilli_ = 0;
  bool movable_ = false; ///< Runs no tasks and has no other change pending.
  std::chrono::milliseconds idleFor_{ 0 };
};

/// Current load and capacity of a pool, in thousandths of a core (milli-cores).
struct PoolState
{
  std::string name_;
  bool spare_ = false;             ///< Spare pool: its hosts are switched off.
  int64_t usedCpuMilli_ = 0;       ///< In use by tasks.
  int64_t continuousCpuMilli_ = 0; ///< Part of it in use by continuous tasks.
  int64_t arrivalCpuMilli_ = 0;    ///< Demand of recently submitted jobs.
  int64_t waitingCoreMs_ =
    0; ///< Queued work that can still meet its objective, in core-milliseconds.
  int64_t capacityCpuMilli_ = 0; ///< Of hosts that accept work.
  int64_t inboundCpuMilli_ = 0;  ///< Of hosts that are moving to this pool.
  uint32_t hostsInUse_ = 0;      ///< Hosts that accept work or are moving to this pool.
  uint32_t minHosts_ = 0;        ///< Needed to spread the tasks of its jobs over hosts.
  std::vector<PoolHost> hosts_;
};

/// A host and the pools that it moves between.
struct HostMove
{
  std::string host_;
  std::string from_;
  std::string to_;
};

/// Costs of moving a host, expressed as the time that an idle host in a pool costs as much.
struct MoveCosts
{
  std::chrono::milliseconds idleBeforeSwitchOff_{
    1500
  }; ///< Idle time after which switching off is cheaper.
  std::chrono::milliseconds idleBeforeMove_{ 150 }; ///< Keeps a host for the next task of its pool.
  std::chrono::milliseconds moveTime_{ 1500 };      ///< From the move until the host accepts work.
};

/// Decides which hosts move between pools.
///
/// Load pattern: the queues have bursts in turn, several times their mean and above the capacity of
/// their pool, and a twentieth of the mean otherwise. Idle hosts of one pool move to the pool with
/// queued work. If there is none, they are switched off once they have been idle for longer than
/// switching off and on again costs. Only hosts that run no tasks are moved, so that no work is
/// lost.
class PoolSizing
{
public:
  explicit PoolSizing(MoveCosts aCosts);

  /// @param aPools All pools; updated as if the returned moves were complete.
  /// @param aMaySwitchOff False until enough load has been observed.
  /// @returns The moves, the most urgent first.
  std::vector<HostMove> Decide(std::vector<PoolState>& aPools, bool aMaySwitchOff = true) const;

private:
  int64_t NeededCpuMilli(const PoolState& aPool) const;
  bool CanSpare(const PoolState& aPool, const PoolHost& aHost) const;
  bool MoveHostInto(std::vector<PoolState>& aPools,
                    PoolState& aPool,
                    std::vector<HostMove>& aMoves) const;
  void SwitchOff(std::vector<PoolState>& aPools, std::vector<HostMove>& aMoves) const;
  static void Move(PoolState& aFrom, PoolState& aTo, size_t aHost, std::vector<HostMove>& aMoves);

  const MoveCosts costs_;
};

}
