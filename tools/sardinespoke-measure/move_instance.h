#pragma once

#include <cstdint>
#include <vector>

namespace sardinespoke {

/// Demand of two pools over time, in hosts, one value per step of a second.
struct MoveInstance
{
  std::vector<std::vector<double>> demand_; ///< By pool, then by step.
  uint32_t hosts_ = 6;                      ///< In both pools together.
  uint32_t floor_ = 1;                      ///< Of each pool.
  uint32_t start_ = 3;                      ///< Hosts of pool 0 at the start.
  uint32_t drainSteps_ = 5;                 ///< Steps in which a moving host serves nobody.
  uint32_t warmUpSteps_ = 5;                ///< Steps after it in which it does not count yet.
};

/// What a policy did on an instance. All costs are in host seconds.
struct MoveResult
{
  double moveCost_ = 0; ///< Host time spent on moves.
  double unmet_ = 0;    ///< Demand that found no host.
  uint32_t moves_ = 0;
  uint32_t undone_ = 0; ///< Moves reversed within their own cost.

  double Total() const { return moveCost_ + unmet_; }
};

/// Makes an instance: short bursts of about five times the mean that end before a move could pay,
/// and lasting shifts of demand.
MoveInstance
MakeMoveInstance(uint64_t aSeed);

/// Runs the product's PoolMover on an instance.
MoveResult
RunProductMover(const MoveInstance& aInstance);

/// Baseline: moves a host as soon as a pool is short and the other one is not.
MoveResult
RunEagerMover(const MoveInstance& aInstance);

/// Baseline: never moves.
MoveResult
RunNoMover(const MoveInstance& aInstance);

/// Least total cost with all demand known beforehand, by dynamic programming.
MoveResult
RunHindsightMover(const MoveInstance& aInstance);

}
