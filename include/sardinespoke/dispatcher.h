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
  std::string kind_; ///< Kind of work for the learned cost: service and first path segment.
  std::chrono::milliseconds deadline_{ 0 }; ///< Longest wait until it starts; 0 = the profile's.
  bool retry_ = false;                      ///< A second or later attempt at the same request.
  std::string avoidHost_;                   ///< Host of the failed attempt before, if any.
  /// Set by the gateway when the caller has gone; the queued item is then dropped.
  std::shared_ptr<std::atomic<bool>> cancelled_;
};

/// Permission to run one attempt on one backend server.
struct Grant
{
  uint64_t id_ = 0;
  std::string host_;
  std::string address_;
  std::string pool_;
  std::chrono::milliseconds runLimit_{ 0 }; ///< Longest run time of the attempt.
};

/// How an attempt ended; feeds cost learning, breakers and fault attribution.
enum class AttemptResult
{
  Ok,           ///< Whole answer with a status below 500.
  ServerError,  ///< Whole answer with a status of 500 or above.
  NotSent,      ///< Connection refused or reset before a byte was sent.
  SlotsRefused, ///< The backend server had no free slot.
  Incomplete,   ///< Broken answer.
  Timeout,
  Cancelled, ///< Cut because the caller left.
  Stale,     ///< Not started because the view lapsed.
  Count
};

/// Hands out slots on backend servers. Thread-safe. Errors: AdmissionError.
class DispatcherI
{
public:
  virtual ~DispatcherI() = default;

  /// Waits for a slot; returns an error at once if the item cannot start before its deadline.
  virtual leaf::result<Grant> Acquire(const WorkItem& aItem) = 0;

  /// The last check before the first byte of an attempt is sent.
  /// @returns Whether the view is still confirmed and the host still serves the grant's pool.
  virtual bool MayStart(const Grant& aGrant) = 0;

  /// Returns the slot. Exactly one call for each grant.
  /// @param aRunTime Time from the first byte sent to the last byte received.
  virtual void Release(const Grant& aGrant,
                       AttemptResult aResult,
                       std::chrono::nanoseconds aRunTime) = 0;
};

}
