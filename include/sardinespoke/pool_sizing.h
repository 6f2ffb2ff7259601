#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// A host that could be moved.
struct PoolHost
{
  std::string id_;
  int64_t cpuMilli_ = 0;
  bool movable_ = false; ///< Nothing runs there and nothing else is planned for it.
  std::chrono::milliseconds idleFor_{ 0 };
};

/// A pool as it is now.
struct PoolState
{
  std::string name_;
  bool spare_ = false;             ///< Its hosts are switched off.
  int64_t usedCpuMilli_ = 0;       ///< Thousandths of a core that run tasks.
  int64_t continuousCpuMilli_ = 0; ///< Of these, by lasting tasks.
  int64_t arrivalCpuMilli_ =
    0;                        ///< Thousandths of a core that the work handed in lately keeps busy.
  int64_t waitingCoreMs_ = 0; ///< Thousandths of a core-second that wait and can still be in time.
  int64_t capacityCpuMilli_ = 0; ///< Of hosts that take work.
  int64_t inboundCpuMilli_ = 0;  ///< Of hosts on their way here.
  uint32_t hostsInUse_ = 0;      ///< Hosts that take work or are on their way here.
  uint32_t minHosts_ = 0;        ///< Hosts that its jobs need for spreading.
  std::vector<PoolHost> hosts_;
};

struct HostMove
{
  std::string host_;
  std::string from_;
  std::string to_;
};

/// What a move costs, as a time that a host in a pool costs as much.
struct MoveCosts
{
  std::chrono::milliseconds idleBeforeSwitchOff_{ 1500 }; ///< Idle time after which off is cheaper.
  std::chrono::milliseconds idleBeforeMove_{ 150 };       ///< Leaves time for work that follows.
  std::chrono::milliseconds moveTime_{ 1500 };            ///< Until a moved host serves.
};

/// Decides which hosts change their pool.
///
/// Load pattern: the queues ask by turns for several times their mean, more than their pools hold,
/// and for a twentieth in between. Hosts that are idle in one pool go to the pool where work waits;
/// when none waits, they are switched off after the time in which a return would cost more. Only
/// hosts on which nothing runs are moved, so that no work is lost.
class PoolSizing
{
public:
  explicit PoolSizing(MoveCosts aCosts);

  /// @param aPools All pools; updated as if the moves had been done.
  /// @param aMaySwitchOff False while the load is not yet known.
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
