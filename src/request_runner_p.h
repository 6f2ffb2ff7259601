#pragma once

#include "caller_request_p.h"
#include "caller_response_p.h"
#include "sardinespoke/dispatcher.h"
#include "sardinespoke/gateway.h"
#include "sardinespoke/request_claims.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace sardinespoke {

/// Runs callers' requests: claims the request id, acquires slots, sends attempts and retries.
/// Thread-safe.
class RequestRunner
{
public:
  using CancelFlag = std::shared_ptr<std::atomic<bool>>;

  RequestRunner(const GatewaySettings& aSettings,
                const ClockI& aClock,
                DispatcherI& aDispatcher,
                BackendLinkI& aBackends,
                RequestClaimsI& aClaims,
                RetryBudget& aBudget,
                EventLogI& aEvents);

  /// @param aCancelled Set once the caller has disconnected.
  CallerResponse Run(const CallerRequest& aRequest, const CancelFlag& aCancelled);

  uint64_t Retries() const { return retries_; }
  uint64_t SlotRefusals() const { return slotRefusals_; }

private:
  /// Progress of one request across its attempts.
  struct Progress
  {
    TimePoint startedAt_;
    uint32_t attempts_ = 0;
    uint32_t slotRefusals_ = 0;
    bool mayHaveRun_ = false; ///< An attempt may have reached a backend server.
    std::string avoidHost_;
    std::string lastAttempt_;
  };
  /// Result of all attempts: the backend server's response, or the refusal for the caller.
  struct RunResult
  {
    std::optional<BackendResponse> response_;
    CallerResponse refusal_;
    bool mayHaveRun_ = false;
  };
  using AttemptOutcome = std::variant<BackendResponse, BackendError>;

  RunResult RunAttempts(const CallerRequest& aRequest, const CancelFlag& aCancelled);
  std::variant<Grant, AdmissionError> AcquireSlot(const CallerRequest& aRequest,
                                                  const CancelFlag& aCancelled,
                                                  const Progress& aProgress);
  AttemptOutcome Attempt(const CallerRequest& aRequest,
                         const Grant& aGrant,
                         const CancelFlag& aCancelled,
                         Progress& aProgress);
  BackendRequest MakeBackendRequest(const CallerRequest& aRequest,
                                    const Grant& aGrant,
                                    const std::string& aAttemptId) const;
  bool MayRetry(const CallerRequest& aRequest, const BackendError& aError, Progress& aProgress);
  CallerResponse ResponseForDeniedClaim(const ClaimReply& aReply) const;
  void FinishClaim(const std::string& aId, const RunResult& aResult);
  void RecordUnknown(const CallerRequest& aRequest,
                     const BackendError& aError,
                     const Progress& aProgress);

  const GatewaySettings& settings_;
  const ClockI& clock_;
  DispatcherI& dispatcher_;
  BackendLinkI& backends_;
  RequestClaimsI& claims_;
  RetryBudget& budget_;
  EventLogI& events_;
  std::atomic<uint64_t> nextAttempt_{ 1 };
  std::atomic<uint64_t> retries_{ 0 };
  std::atomic<uint64_t> slotRefusals_{ 0 };
};

}
