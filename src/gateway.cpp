#include "gateway_impl_p.h"

#include <utility>

namespace sardinespoke {

Gateway::Gateway(GatewaySettings aSettings,
                 const ClockI& aClock,
                 DispatcherI& aDispatcher,
                 BackendLinkI& aBackends,
                 RequestClaimsI& aClaims,
                 RetryBudget& aBudget,
                 EventLogI& aEvents)
  : impl_(std::make_unique<Impl>(std::move(aSettings),
                                 aClock,
                                 aDispatcher,
                                 aBackends,
                                 aClaims,
                                 aBudget,
                                 aEvents))
{
}

Gateway::~Gateway() = default;

leaf::result<void>
Gateway::Init()
{
  return impl_->Init();
}

void
Gateway::FailHealth()
{
  impl_->FailHealth();
}

void
Gateway::RefuseNewRequests()
{
  impl_->RefuseNewRequests();
}

bool
Gateway::WaitIdle(std::chrono::milliseconds aLimit)
{
  return impl_->WaitIdle(aLimit);
}

void
Gateway::Shutdown()
{
  impl_->Shutdown();
}

uint16_t
Gateway::Port() const
{
  return impl_->Port();
}

GatewayCounters
Gateway::Counters() const
{
  return impl_->Counters();
}

}
