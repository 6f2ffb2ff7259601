#pragma once

#include "flood_policy.h"

#include "sardinespoke/scheduler_core.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace sardinespoke {

/// The product: one scheduler core per entry host, exchanging demand with a delay.
class ProductPolicy final : public FloodPolicyI
{
public:
  explicit ProductPolicy(const FloodScenario& aScenario);

  void Submit(const PolicyRequest& aRequest, TimePoint aNow) override;
  void Release(uint64_t aRequest,
               AttemptResult aResult,
               std::chrono::nanoseconds aRunTime,
               TimePoint aNow) override;
  void Tick(TimePoint aNow) override;
  std::vector<PolicyDecision> TakeDecisions() override;
  uint64_t WorkersRemoved() const override;

private:
  struct Report
  {
    TimePoint due_;
    DemandReport report_;
  };

  struct EntryHost
  {
    std::unique_ptr<SchedulerCore> core_;
    std::deque<Report> inbox_;
    DemandTable table_;
    std::map<std::string, TimePoint> heard_;
    TimePoint nextExchange_;
  };

  struct Running
  {
    size_t entryHost_ = 0;
    uint64_t grant_ = 0;
  };

  void Step(size_t aHost, const SchedulerEvent& aEvent, TimePoint aNow);
  void Exchange(size_t aHost, TimePoint aNow);

  const FloodScenario& scenario_;
  std::vector<EntryHost> hosts_;
  std::vector<std::string> workerNames_;
  std::unordered_map<std::string, size_t> workerIndex_;
  std::unordered_map<uint64_t, Running> running_;
  std::vector<PolicyDecision> decisions_;
  std::vector<Decision> stepOut_;
};

}
