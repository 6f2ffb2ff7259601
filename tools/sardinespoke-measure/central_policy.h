#pragma once

#include "flood_policy.h"

#include <deque>
#include <unordered_map>

namespace sardinespoke {

/// Baselines. One scheduler that knows everything at once, without entry hosts or exchange delay.
class CentralPolicy final : public FloodPolicyI
{
public:
  enum class Order
  {
    StaticPools,    ///< Each queue has its own workers; nothing is shared.
    StrictPriority, ///< The most urgent queue first, without entitlements.
    FirstCome,      ///< One queue for all.
    Count
  };

  CentralPolicy(const FloodScenario& aScenario, Order aOrder);

  void Submit(const PolicyRequest& aRequest, TimePoint aNow) override;
  void Release(uint64_t aRequest,
               AttemptResult aResult,
               std::chrono::nanoseconds aRunTime,
               TimePoint aNow) override;
  void Tick(TimePoint aNow) override;
  std::vector<PolicyDecision> TakeDecisions() override;

private:
  struct Waiting
  {
    uint64_t id_ = 0;
    TimePoint deadline_;
  };

  size_t LineOf(size_t aQueue) const;
  std::optional<size_t> FreeWorker(size_t aLine) const;
  void Dispatch();

  const FloodScenario& scenario_;
  Order order_;
  std::vector<std::deque<Waiting>> lines_; ///< Served in this order.
  std::vector<uint32_t> busy_;             ///< Per worker.
  std::unordered_map<uint64_t, size_t> workerOf_;
  std::vector<PolicyDecision> decisions_;
};

}
