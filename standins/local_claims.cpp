#include "local_claims.h"

#include <utility>

namespace sardinespoke {

LocalClaims::LocalClaims(std::string aPrefix)
  : prefix_(std::move(aPrefix))
{
}

std::vector<std::string>
LocalClaims::Issue(uint32_t aCount)
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string> ids;
  for (uint32_t i = 0; i < aCount; ++i) {
    ids.push_back(prefix_ + "." + std::to_string(next_++));
    states_[ids.back()] = ClaimReply{ ClaimState::Granted, {} };
  }
  return ids;
}

ClaimReply
LocalClaims::Claim(const std::string& aId)
{
  const std::lock_guard lock(mutex_);
  const auto found = states_.find(aId);
  if (found == states_.end()) {
    return ClaimReply{ ClaimState::Unknown, {} };
  }
  ClaimReply reply = found->second;
  if (reply.state_ == ClaimState::Granted) {
    found->second.state_ = ClaimState::Running;
  }
  return reply;
}

void
LocalClaims::Finish(const std::string& aId,
                    ClaimResult aResult,
                    const std::optional<BackendResponse>& aResponse)
{
  const std::lock_guard lock(mutex_);
  ClaimReply& reply = states_[aId];
  if (aResult == ClaimResult::Ran) {
    reply = ClaimReply{ ClaimState::Finished, aResponse };
    return;
  }
  const bool notRun = aResult == ClaimResult::NotRun;
  reply = ClaimReply{ notRun ? ClaimState::Granted : ClaimState::Unknown, {} };
}

}
