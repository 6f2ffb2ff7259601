#include "request_runner_p.h"

#include "sardinespoke/event_log.h"
#include "sardinespoke/retry_budget.h"

#include <array>
#include <optional>
#include <utility>

namespace sardinespoke {

namespace {

constexpr int kConflict = 409;
constexpr int kFirstServerError = 500;
constexpr char kRequestIdHeader[] = "Sardinespoke-Request-Id";

/// Converts a LEAF result to a variant, which can be stored.
template<typename Value, typename Error, typename Function>
std::variant<Value, Error>
ToVariant(Function aFunction, Error aFallback)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::variant<Value, Error>> {
      BOOST_LEAF_AUTO(value, aFunction());
      return std::variant<Value, Error>(std::move(value));
    },
    [](const Error& aError) { return std::variant<Value, Error>(aError); },
    [&] { return std::variant<Value, Error>(aFallback); });
}

AttemptResult
ToAttemptResult(const std::variant<BackendResponse, BackendError>& aOutcome, bool aCancelled)
{
  if (const auto* response = std::get_if<BackendResponse>(&aOutcome)) {
    return response->status_ >= kFirstServerError ? AttemptResult::ServerError : AttemptResult::Ok;
  }
  if (aCancelled) {
    return AttemptResult::Cancelled;
  }
  constexpr std::array<AttemptResult, static_cast<size_t>(BackendError::Code::Count)> kResults{
    AttemptResult::NotSent, AttemptResult::SlotsRefused, AttemptResult::Incomplete,
    AttemptResult::Timeout, AttemptResult::Incomplete,   AttemptResult::Stale
  };
  return kResults.at(static_cast<size_t>(std::get<BackendError>(aOutcome).code_));
}

/// @returns Whether the backend server may have run the attempt.
bool
MayHaveRun(BackendError::Code aCode)
{
  return aCode == BackendError::Code::Incomplete || aCode == BackendError::Code::Timeout ||
         aCode == BackendError::Code::TooLarge;
}

/// Releases a grant exactly once, even if the attempt throws.
class GrantGuard
{
public:
  GrantGuard(DispatcherI& aDispatcher, const Grant& aGrant)
    : dispatcher_(aDispatcher)
    , grant_(aGrant)
  {
  }
  ~GrantGuard() { dispatcher_.Release(grant_, result_, runTime_); }
  GrantGuard(const GrantGuard&) = delete;
  GrantGuard& operator=(const GrantGuard&) = delete;

  void SetResult(AttemptResult aResult, std::chrono::nanoseconds aRunTime)
  {
    result_ = aResult;
    runTime_ = aRunTime;
  }

private:
  DispatcherI& dispatcher_;
  const Grant& grant_;
  AttemptResult result_ = AttemptResult::Incomplete;
  std::chrono::nanoseconds runTime_{ 0 };
};

}

RequestRunner::RequestRunner(const GatewaySettings& aSettings,
                             const ClockI& aClock,
                             DispatcherI& aDispatcher,
                             BackendLinkI& aBackends,
                             RequestClaimsI& aClaims,
                             RetryBudget& aBudget,
                             EventLogI& aEvents)
  : settings_(aSettings)
  , clock_(aClock)
  , dispatcher_(aDispatcher)
  , backends_(aBackends)
  , claims_(aClaims)
  , budget_(aBudget)
  , events_(aEvents)
{
}

CallerResponse
RequestRunner::Run(const CallerRequest& aRequest, const CancelFlag& aCancelled)
{
  if (!aRequest.idempotent_) {
    const ClaimReply reply = claims_.Claim(aRequest.requestId_);
    if (reply.state_ != ClaimState::Granted) {
      return ResponseForDeniedClaim(reply);
    }
  }
  RunResult result;
  result.mayHaveRun_ = true;
  try {
    result = RunAttempts(aRequest, aCancelled);
  } catch (...) {
    if (!aRequest.idempotent_) {
      FinishClaim(aRequest.requestId_, result);
    }
    throw;
  }
  if (!aRequest.idempotent_) {
    FinishClaim(aRequest.requestId_, result);
  }
  return result.response_ ? ForwardResponse(std::move(*result.response_))
                          : std::move(result.refusal_);
}

CallerResponse
RequestRunner::ResponseForDeniedClaim(const ClaimReply& aReply) const
{
  switch (aReply.state_) {
    case ClaimState::Finished:
      if (aReply.response_) {
        return ForwardResponse(*aReply.response_);
      }
      return ErrorResponse(kConflict,
                           Outcome::AlreadyRun,
                           "already-run",
                           kRequestIdHeader,
                           "the request has run and its answer was not kept");
    case ClaimState::Running:
      return ErrorResponse(kConflict,
                           Outcome::Unknown,
                           "running",
                           kRequestIdHeader,
                           "another attempt with this id is running");
    case ClaimState::Malformed:
      return ErrorResponse(GatewayError{
        GatewayError::Code::Malformed, kRequestIdHeader, "not an id that an entry host issued" });
    default:
      return ErrorResponse(kConflict,
                           Outcome::Unknown,
                           "unknown-id",
                           kRequestIdHeader,
                           "this attempt was not run, but an earlier one may have been");
  }
}

void
RequestRunner::FinishClaim(const std::string& aId, const RunResult& aResult)
{
  if (aResult.response_) {
    claims_.Finish(aId, ClaimResult::Ran, aResult.response_);
    return;
  }
  claims_.Finish(
    aId, aResult.mayHaveRun_ ? ClaimResult::Unknown : ClaimResult::NotRun, std::nullopt);
}

RequestRunner::RunResult
RequestRunner::RunAttempts(const CallerRequest& aRequest, const CancelFlag& aCancelled)
{
  budget_.OnFirstTry();
  Progress progress;
  progress.startedAt_ = clock_.Now();
  RunResult result;
  for (;;) {
    const auto slot = AcquireSlot(aRequest, aCancelled, progress);
    if (const auto* refused = std::get_if<AdmissionError>(&slot)) {
      result.refusal_ = ErrorResponse(*refused, progress.mayHaveRun_);
      break;
    }
    const auto& grant = std::get<Grant>(slot);
    AttemptOutcome outcome = Attempt(aRequest, grant, aCancelled, progress);
    if (auto* response = std::get_if<BackendResponse>(&outcome)) {
      result.response_ = std::move(*response);
      break;
    }
    const auto& error = std::get<BackendError>(outcome);
    progress.mayHaveRun_ = progress.mayHaveRun_ || MayHaveRun(error.code_);
    progress.avoidHost_ = grant.host_;
    if (*aCancelled || !MayRetry(aRequest, error, progress)) {
      result.refusal_ = ErrorResponse(error, progress.mayHaveRun_);
      if (progress.mayHaveRun_) {
        RecordUnknown(aRequest, error, progress);
      }
      break;
    }
  }
  result.mayHaveRun_ = progress.mayHaveRun_;
  return result;
}

std::variant<Grant, AdmissionError>
RequestRunner::AcquireSlot(const CallerRequest& aRequest,
                           const CancelFlag& aCancelled,
                           const Progress& aProgress)
{
  WorkItem item;
  item.service_ = aRequest.service_;
  item.kind_ = aRequest.kind_;
  item.deadline_ = aRequest.deadline_;
  item.retry_ = aProgress.attempts_ > 0;
  item.avoidHost_ = aProgress.avoidHost_;
  item.cancelled_ = aCancelled;
  if (item.retry_ && aRequest.deadline_.count() > 0) {
    // The caller's deadline covers all attempts. A remaining time of 0 must not be passed on: it
    // would select the profile's limit.
    const auto used =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - aProgress.startedAt_);
    item.deadline_ -= used;
    if (item.deadline_.count() <= 0) {
      return AdmissionError{ AdmissionError::Code::DeadlineUnreachable,
                             "the deadline passed before a retry could start" };
    }
  }
  return ToVariant<Grant>([&] { return dispatcher_.Acquire(item); },
                          AdmissionError{ AdmissionError::Code::NoBackend, "no slot was granted" });
}

BackendRequest
RequestRunner::MakeBackendRequest(const CallerRequest& aRequest,
                                  const Grant& aGrant,
                                  const std::string& aAttemptId) const
{
  BackendRequest request;
  request.address_ = aGrant.address_;
  request.method_ = aRequest.method_;
  request.path_ = aRequest.path_;
  request.headers_ = aRequest.headers_;
  request.headers_.emplace_back("Sardinespoke-Attempt", aAttemptId);
  request.headers_.emplace_back("Sardinespoke-Service", aRequest.service_);
  if (!aRequest.requestId_.empty()) {
    request.headers_.emplace_back(kRequestIdHeader, aRequest.requestId_);
  }
  request.body_ = aRequest.body_;
  request.idempotent_ = aRequest.idempotent_;
  request.timeout_ = aGrant.runLimit_;
  return request;
}

RequestRunner::AttemptOutcome
RequestRunner::Attempt(const CallerRequest& aRequest,
                       const Grant& aGrant,
                       const CancelFlag& aCancelled,
                       Progress& aProgress)
{
  GrantGuard guard(dispatcher_, aGrant);
  ++aProgress.attempts_;
  aProgress.lastAttempt_ = settings_.attemptPrefix_ + "." + std::to_string(nextAttempt_++);
  BackendRequest request = MakeBackendRequest(aRequest, aGrant, aProgress.lastAttempt_);
  std::optional<TimePoint> firstByte;
  request.mayStart_ = [&] {
    if (*aCancelled || !dispatcher_.MayStart(aGrant)) {
      return false;
    }
    firstByte = clock_.Now();
    return true;
  };
  if (aRequest.idempotent_) {
    // Non-idempotent requests are not aborted once they were sent: the response determines the
    // state of the request id, and the caller may ask for it through another entry host.
    request.cancelled_ = [&aCancelled] { return aCancelled->load(); };
  }
  AttemptOutcome outcome =
    ToVariant<BackendResponse>([&] { return backends_.Send(request); },
                               BackendError{ BackendError::Code::Incomplete, "unknown failure" });
  const auto runTime = firstByte ? clock_.Now() - *firstByte : TimePoint::duration::zero();
  // A non-idempotent request is never aborted after its first byte, so the backend server caused
  // its failure.
  const bool cut = *aCancelled && (aRequest.idempotent_ || !firstByte);
  guard.SetResult(ToAttemptResult(outcome, cut), runTime);
  return outcome;
}

bool
RequestRunner::MayRetry(const CallerRequest& aRequest,
                        const BackendError& aError,
                        Progress& aProgress)
{
  using Code = BackendError::Code;
  if (aError.code_ == Code::SlotsRefused) {
    // A refused slot is not a failure and costs the backend server little, so the retry does not
    // count against the retry budget.
    ++slotRefusals_;
    return ++aProgress.slotRefusals_ <= settings_.maxSlotRefusals_;
  }
  if (aError.code_ == Code::TooLarge) {
    return false;
  }
  if (MayHaveRun(aError.code_) && !aRequest.idempotent_) {
    return false;
  }
  const uint32_t counted = aProgress.attempts_ - aProgress.slotRefusals_;
  if (counted >= settings_.maxAttempts_ || !budget_.TrySpend()) {
    return false;
  }
  ++retries_;
  return true;
}

void
RequestRunner::RecordUnknown(const CallerRequest& aRequest,
                             const BackendError& aError,
                             const Progress& aProgress)
{
  events_.Record("request.unknown",
                 aError.message_,
                 { { "service", aRequest.service_ },
                   { "request_id", aRequest.requestId_ },
                   { "attempt", aProgress.lastAttempt_ },
                   { "host", aProgress.avoidHost_ },
                   { "error", CodeName(aError.code_) } });
}

}
