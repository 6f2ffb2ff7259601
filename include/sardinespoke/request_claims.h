#pragma once

#include "sardinespoke/backend_link.h"
#include "sardinespoke/errors.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// State of a request id at its issuer.
enum class ClaimState
{
  Granted,   ///< This attempt may run; report the result with Finish().
  Running,   ///< Another attempt has claimed it.
  Finished,  ///< It has run; the answer is attached if it was kept.
  Unknown,   ///< It may have run: the issuer is gone, or the attempt's outcome was lost.
  Malformed, ///< Not an id that an entry host issued.
  Count
};

/// Answer to a claim.
struct ClaimReply
{
  ClaimState state_ = ClaimState::Unknown;
  std::optional<BackendResponse> response_;
};

/// How a claimed request ended.
enum class ClaimResult
{
  Ran,
  NotRun, ///< May be claimed again.
  Unknown,
  Count
};

/// Issues request ids and makes sure that each runs at most once (docs/design.md, 5.3).
/// Thread-safe.
class RequestClaimsI
{
public:
  virtual ~RequestClaimsI() = default;

  /// @param aCount Number of ids, at most 1,000.
  virtual std::vector<std::string> Issue(uint32_t aCount) = 0;

  /// Claims an id for one attempt, at this entry host or at the issuer over the peer link.
  virtual ClaimReply Claim(const std::string& aId) = 0;

  /// Reports the end of a granted claim.
  /// @param aResponse The whole answer if it ran; kept by the issuer if it is small enough.
  virtual void Finish(const std::string& aId,
                      ClaimResult aResult,
                      const std::optional<BackendResponse>& aResponse) = 0;
};

}
