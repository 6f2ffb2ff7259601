#include "sardinespoke/circuit_breaker.h"

#include <algorithm>

namespace sardinespoke {

CircuitBreaker::State
CircuitBreaker::StateAt(TimePoint aNow) const
{
  if (!open_) {
    return State::Closed;
  }
  return aNow < openUntil_ ? State::Open : State::HalfOpen;
}

bool
CircuitBreaker::AllowsRequest(TimePoint aNow) const
{
  const State state = StateAt(aNow);
  return state == State::Closed || (state == State::HalfOpen && probe_ == 0);
}

void
CircuitBreaker::OnStart(uint64_t aGrant, TimePoint aNow)
{
  if (StateAt(aNow) == State::HalfOpen) {
    probe_ = aGrant;
  }
}

void
CircuitBreaker::OnSuccess(uint64_t aGrant)
{
  failures_ = 0;
  // Only the probe closes an open breaker; other results are of requests sent before it opened.
  if (!open_ || aGrant != probe_) {
    return;
  }
  open_ = false;
  probe_ = 0;
  openTime_ = kInitialOpenTime;
}

void
CircuitBreaker::OnFailure(uint64_t aGrant, TimePoint aNow)
{
  ++failures_;
  if (open_ && aGrant == probe_) {
    openTime_ = std::min(openTime_ * 2, kMaxOpenTime);
    Open(aNow);
    return;
  }
  if (!open_ && failures_ >= kFailuresToOpen) {
    Open(aNow);
  }
}

void
CircuitBreaker::OnInconclusive(uint64_t aGrant)
{
  if (probe_ == aGrant) {
    probe_ = 0;
  }
}

void
CircuitBreaker::ForceOpen(TimePoint aNow)
{
  if (!open_) {
    Open(aNow);
  }
}

void
CircuitBreaker::Open(TimePoint aNow)
{
  open_ = true;
  openUntil_ = aNow + openTime_;
  probe_ = 0;
  failures_ = 0;
}

}
