#pragma once

#include "sardinespoke/request_claims.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// In-memory request claims for tests and measurements; several gateways may share one instance.
/// Keeps every id without limits and uses no peer link. Thread-safe.
class LocalClaims final : public RequestClaimsI
{
public:
  explicit LocalClaims(std::string aPrefix);

  std::vector<std::string> Issue(uint32_t aCount) override;
  ClaimReply Claim(const std::string& aId) override;
  void Finish(const std::string& aId,
              ClaimResult aResult,
              const std::optional<BackendResponse>& aResponse) override;

private:
  const std::string prefix_;
  std::mutex mutex_;
  uint64_t next_ = 1;
  std::map<std::string, ClaimReply> states_; ///< Granted: issued, but not claimed yet.
};

}
