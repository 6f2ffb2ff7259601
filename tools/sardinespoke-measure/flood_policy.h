#pragma once

#include "flood_scenario.h"

#include "sardinespoke/clock.h"
#include "sardinespoke/dispatcher.h"

#include <optional>

namespace sardinespoke {

/// A request as a policy sees it.
struct PolicyRequest
{
  uint64_t id_ = 0;
  size_t queue_ = 0;
  size_t entryHost_ = 0;
  std::string kind_;
  std::chrono::milliseconds deadline_{ 0 };
  bool retry_ = false;
  std::optional<size_t> avoidWorker_;
};

/// A policy's answer to a request.
struct PolicyDecision
{
  uint64_t id_ = 0;
  std::optional<size_t> worker_; ///< Nothing if the request is refused.
  bool probe_ = false;           ///< Sent to a worker that is otherwise out of use.
};

/// A way to hand out slots; the product or a baseline.
class FloodPolicyI
{
public:
  virtual ~FloodPolicyI() = default;

  virtual void Submit(const PolicyRequest& aRequest, TimePoint aNow) = 0;
  virtual void Release(uint64_t aRequest,
                       AttemptResult aResult,
                       std::chrono::nanoseconds aRunTime,
                       TimePoint aNow) = 0;
  virtual void Tick(TimePoint aNow) = 0;

  /// @returns Decisions since the last call.
  virtual std::vector<PolicyDecision> TakeDecisions() = 0;

  /// @returns How often a worker was taken out of use.
  virtual uint64_t WorkersRemoved() const { return 0; }
};

}
