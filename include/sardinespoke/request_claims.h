#pragma once

#include "sardinespoke/backend_link.h"
#include "sardinespoke/errors.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// State of a request id at its issuer, seen from one attempt.
enum class ClaimState
{
  Granted,   ///< This attempt may run; it reports the result with Finish().
  Running,   ///< Claimed by another attempt.
  Finished,  ///< Has run; the response is attached if it was cached.
  Unknown,   ///< May have run: the issuer is unreachable, or an attempt's outcome was lost.
  Malformed, ///< Not an id that an entry host issued.
  Count
};

/// Reply to a claim.
struct ClaimReply
{
  ClaimState state_ = ClaimState::Unknown;
  std::optional<BackendResponse> response_;
};

/// Outcome of a claimed request.
enum class ClaimResult
{
  Ran,
  NotRun, ///< Did not run; may be claimed again.
  Unknown,
  Count
};

/// Issues request ids and ensures that a request with an id runs at most once
/// (docs/design.md, 5.3). Thread-safe.
class RequestClaimsI
{
public:
  virtual ~RequestClaimsI() = default;

  /// @param aCount Number of ids, at most 1,000.
  virtual std::vector<std::string> Issue(uint32_t aCount) = 0;

  /// Claims an id for one attempt, locally or at the issuer over the peer link.
  virtual ClaimReply Claim(const std::string& aId) = 0;

  /// Reports the result of a granted claim.
  /// @param aResponse The complete response if it ran; the issuer caches it if it is small enough.
  virtual void Finish(const std::string& aId,
                      ClaimResult aResult,
                      const std::optional<BackendResponse>& aResponse) = 0;
};

}
