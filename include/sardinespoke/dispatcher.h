#pragma once

#include "sardinespoke/errors.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sardinespoke {

/// A request that asks for a slot on a backend server.
struct WorkItem
{
  std::string service_;
  std::string kind_; ///< Key of the learned cost: service and first path segment.
  std::chrono::milliseconds deadline_{ 0 }; ///< Longest wait for a slot; 0: the profile's limit.
  bool retry_ = false;                      ///< Not the first attempt at the request.
  std::string avoidHost_;                   ///< Host of the previous failed attempt, if any.
  /// Set by the gateway when the caller disconnects; the queued item is then dropped.
  std::shared_ptr<std::atomic<bool>> cancelled_;
};

/// Permission to run one attempt on one backend server.
struct Grant
{
  uint64_t id_ = 0;
  std::string host_;
  std::string address_;
  std::string pool_;
  std::chrono::milliseconds runLimit_{ 0 }; ///< Timeout of the attempt.
};

/// Result of an attempt; input of cost learning, circuit breakers and fault attribution.
enum class AttemptResult
{
  Ok,           ///< Complete response with a status below 500.
  ServerError,  ///< Complete response with a status of 500 or above.
  NotSent,      ///< Connection refused or reset before the first byte was sent.
  SlotsRefused, ///< The backend server had no free slot.
  Incomplete,   ///< Truncated or malformed response.
  Timeout,
  Cancelled, ///< Aborted because the caller disconnected.
  Stale,     ///< Not started because this entry host's view of the fleet expired.
  Count
};

/// Allocates slots on backend servers. Thread-safe. Errors: AdmissionError.
class DispatcherI
{
public:
  virtual ~DispatcherI() = default;

  /// Blocks until a slot is free; fails immediately if the item cannot start before its deadline.
  virtual leaf::result<Grant> Acquire(const WorkItem& aItem) = 0;

  /// Final check, immediately before the first byte of an attempt is sent.
  /// @returns Whether the view is still confirmed and the host still serves the grant's pool.
  virtual bool MayStart(const Grant& aGrant) = 0;

  /// Returns the slot; must be called exactly once per grant.
  /// @param aRunTime Time from the first byte sent to the last byte received.
  virtual void Release(const Grant& aGrant,
                       AttemptResult aResult,
                       std::chrono::nanoseconds aRunTime) = 0;
};

}
