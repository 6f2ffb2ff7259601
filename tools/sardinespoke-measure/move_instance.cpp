#include "move_instance.h"

#include "sardinespoke/fleet_transitions.h"
#include "sardinespoke/pool_mover.h"

#include <algorithm>
#include <array>
#include <limits>
#include <random>

namespace sardinespoke {

namespace {

constexpr size_t kSteps = 600;
constexpr uint32_t kSlotsPerHost = 8;
const std::array<std::string, 2> kPools{ "a", "b" };

/// Hosts of two pools while one host at a time may be draining.
struct Hosts
{
  uint32_t inPool0_ = 0;
  int direction_ = 0;      ///< 1: a host moves to pool 0, -1: to pool 1, 0: none moves.
  uint32_t drainLeft_ = 0; ///< Steps until it arrives.
};

double
Unmet(const MoveInstance& aInstance, const Hosts& aHosts, size_t aStep)
{
  const uint32_t moving = aHosts.direction_ == 0 ? 0 : 1;
  const double in0 = aHosts.inPool0_;
  const double in1 = aInstance.hosts_ - moving - aHosts.inPool0_;
  return std::max(0.0, aInstance.demand_[0][aStep] - in0) +
         std::max(0.0, aInstance.demand_[1][aStep] - in1);
}

double
CostOfMove(const MoveInstance& aInstance)
{
  return aInstance.drainSteps_ + aInstance.warmUpSteps_;
}

bool
MayStart(const MoveInstance& aInstance, const Hosts& aHosts, int aDirection)
{
  const uint32_t in1 = aInstance.hosts_ - aHosts.inPool0_;
  const uint32_t giving = aDirection > 0 ? in1 : aHosts.inPool0_;
  return aHosts.direction_ == 0 && giving > aInstance.floor_;
}

Hosts
Start(const MoveInstance& aInstance, Hosts aHosts, int aDirection)
{
  aHosts.direction_ = aDirection;
  aHosts.drainLeft_ = aInstance.drainSteps_;
  aHosts.inPool0_ -= aDirection < 0 ? 1 : 0;
  return aHosts;
}

Hosts
Advance(Hosts aHosts)
{
  if (aHosts.direction_ != 0 && --aHosts.drainLeft_ == 0) {
    aHosts.inPool0_ += aHosts.direction_ > 0 ? 1 : 0;
    aHosts.direction_ = 0;
  }
  return aHosts;
}

/// Counts moves and those that reverse an earlier one within the cost of both.
class MoveLog
{
public:
  explicit MoveLog(const MoveInstance& aInstance)
    : roundTrip_(2 * CostOfMove(aInstance))
    , cost_(CostOfMove(aInstance))
  {
  }

  void Add(size_t aStep, int aDirection)
  {
    ++result_.moves_;
    result_.moveCost_ += cost_;
    const bool undoes = last_ == -aDirection && static_cast<double>(aStep - lastStep_) < roundTrip_;
    result_.undone_ += undoes ? 1 : 0;
    last_ = aDirection;
    lastStep_ = aStep;
  }

  MoveResult result_;

private:
  const double roundTrip_;
  const double cost_;
  int last_ = 0;
  size_t lastStep_ = 0;
};

ProfileSet
TwoPoolProfiles(const MoveInstance& aInstance)
{
  ProfileSet profiles;
  for (const std::string& name : kPools) {
    profiles.pools_[name] = PoolRules{ name, aInstance.floor_, kSlotsPerHost, 64, false };
    profiles.profiles_[name] = {};
    profiles.services_[name] = Service{ name, name, name };
  }
  return profiles;
}

FleetMap
TwoPoolFleet(const MoveInstance& aInstance)
{
  FleetMap fleet;
  for (uint32_t i = 0; i < aInstance.hosts_; ++i) {
    const std::string id = std::to_string(i);
    static_cast<void>(AddHost(
      fleet, { "w" + id, "", "r" + id, "z", "", false }, kPools[i < aInstance.start_ ? 0 : 1]));
  }
  return fleet;
}

}

MoveInstance
MakeMoveInstance(uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const auto between = [&random](int aLow, int aHigh) {
    return std::uniform_int_distribution<int>(aLow, aHigh)(random);
  };
  MoveInstance instance;
  instance.demand_.assign(2, std::vector<double>(kSteps, 0.0));
  for (std::vector<double>& demand : instance.demand_) {
    const double mean = 0.8 + 0.1 * between(0, 4);
    // Five times the mean for some seconds, a twentieth of it in between.
    for (size_t step = between(0, 20); step < kSteps; step += between(15, 45)) {
      const size_t end = std::min<size_t>(kSteps, step + between(3, 9));
      std::fill(demand.begin() + step, demand.begin() + end, 5 * mean);
      step = end;
    }
    for (double& value : demand) {
      value = value == 0 ? mean / 20 : value;
    }
  }
  // One lasting shift of demand to one pool.
  std::vector<double>& shifted = instance.demand_[between(0, 1)];
  const size_t begin = between(50, 200);
  const size_t end = begin + between(120, 350);
  const double extra = between(15, 25) / 10.0 + 2;
  for (size_t step = begin; step < end; ++step) {
    shifted[step] = std::max(shifted[step], extra);
  }
  return instance;
}

MoveResult
RunProductMover(const MoveInstance& aInstance)
{
  const ProfileSet profiles = TwoPoolProfiles(aInstance);
  FleetMap fleet = TwoPoolFleet(aInstance);
  const MoveCost cost{ std::chrono::seconds(aInstance.drainSteps_),
                       std::chrono::seconds(aInstance.warmUpSteps_) };
  PoolMover mover(cost);
  MoveLog log(aInstance);
  Hosts hosts{ aInstance.start_, 0, 0 };
  std::string moving;
  TimePoint now{ std::chrono::hours(24) };
  for (size_t step = 0; step < kSteps; ++step, now += std::chrono::seconds(1)) {
    Availability availability(fleet, profiles, {});
    const std::map<std::string, double> demand = {
      { kPools[0], aInstance.demand_[0][step] * kSlotsPerHost },
      { kPools[1], aInstance.demand_[1][step] * kSlotsPerHost },
    };
    const auto moves = mover.Plan(fleet, profiles, availability, demand, {}, now);
    // The model holds one move at a time; a second one in the same step starts later.
    if (!moves.empty() && hosts.direction_ == 0) {
      moving = moves.front().host_;
      static_cast<void>(StartMove(fleet, moving, moves.front().to_));
      const int direction = moves.front().to_ == kPools[0] ? 1 : -1;
      log.Add(step, direction);
      hosts = Start(aInstance, hosts, direction);
    }
    log.result_.unmet_ += Unmet(aInstance, hosts, step);
    hosts = Advance(hosts);
    if (hosts.direction_ == 0 && !moving.empty()) {
      static_cast<void>(FinishMove(fleet, moving));
      moving.clear();
    }
  }
  return log.result_;
}

MoveResult
RunEagerMover(const MoveInstance& aInstance)
{
  MoveLog log(aInstance);
  Hosts hosts{ aInstance.start_, 0, 0 };
  for (size_t step = 0; step < kSteps; ++step) {
    const double left0 = hosts.inPool0_ - aInstance.demand_[0][step];
    const double left1 = aInstance.hosts_ - hosts.inPool0_ - aInstance.demand_[1][step];
    int direction = left0 < 0 && left1 >= 1 ? 1 : 0;
    direction = left1 < 0 && left0 >= 1 ? -1 : direction;
    if (direction != 0 && MayStart(aInstance, hosts, direction)) {
      log.Add(step, direction);
      hosts = Start(aInstance, hosts, direction);
    }
    log.result_.unmet_ += Unmet(aInstance, hosts, step);
    hosts = Advance(hosts);
  }
  return log.result_;
}

MoveResult
RunNoMover(const MoveInstance& aInstance)
{
  MoveResult result;
  for (size_t step = 0; step < kSteps; ++step) {
    result.unmet_ += Unmet(aInstance, { aInstance.start_, 0, 0 }, step);
  }
  return result;
}

MoveResult
RunHindsightMover(const MoveInstance& aInstance)
{
  // Cheapest way to be in each state after each step: hosts in pool 0, direction and drain left.
  const size_t drains = aInstance.drainSteps_ + 1;
  const size_t states = (aInstance.hosts_ + 1) * 3 * drains;
  const auto index = [&](const Hosts& aHosts) {
    return (aHosts.inPool0_ * 3 + aHosts.direction_ + 1) * drains + aHosts.drainLeft_;
  };
  struct Best
  {
    bool reached_ = false;
    Hosts hosts_;
    MoveResult result_;
  };
  std::vector<Best> now(states);
  const Hosts start{ aInstance.start_, 0, 0 };
  now[index(start)] = { true, start, {} };
  for (size_t step = 0; step < kSteps; ++step) {
    std::vector<Best> next(states);
    for (const Best& from : now) {
      for (int direction = -1; from.reached_ && direction <= 1; ++direction) {
        Best to = from;
        if (direction != 0) {
          if (!MayStart(aInstance, from.hosts_, direction)) {
            continue;
          }
          to.hosts_ = Start(aInstance, from.hosts_, direction);
          to.result_.moveCost_ += CostOfMove(aInstance);
          ++to.result_.moves_;
        }
        to.result_.unmet_ += Unmet(aInstance, to.hosts_, step);
        to.hosts_ = Advance(to.hosts_);
        Best& best = next[index(to.hosts_)];
        if (!best.reached_ || to.result_.Total() < best.result_.Total()) {
          best = to;
        }
      }
    }
    now = std::move(next);
  }
  MoveResult best;
  best.unmet_ = std::numeric_limits<double>::max();
  for (const Best& state : now) {
    if (state.reached_ && state.result_.Total() < best.Total()) {
      best = state.result_;
    }
  }
  return best;
}

}
