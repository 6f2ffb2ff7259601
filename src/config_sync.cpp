#include "config_sync_impl_p.h"

namespace sardinespoke {

ConfigSync::ConfigSync(const ConfigSyncSettings& aSettings,
                       KeyValueStoreI& aStore,
                       HostListI& aHosts,
                       PeerLinkI& aPeers,
                       const ClockI& aClock,
                       EventLogI& aEvents)
  : impl_(std::make_unique<Impl>(aSettings, aStore, aHosts, aPeers, aClock, aEvents))
{
}

ConfigSync::~ConfigSync()
{
  impl_->Stop();
}

void
ConfigSync::Init()
{
  impl_->Start();
}

void
ConfigSync::Shutdown()
{
  impl_->Stop();
  impl_->Leave();
}

void
ConfigSync::Abort()
{
  impl_->Stop();
}

void
ConfigSync::Step()
{
  for (int loop = 0; loop < static_cast<int>(SyncLoop::Count); ++loop) {
    impl_->RunDueCalls(static_cast<SyncLoop>(loop));
  }
}

std::shared_ptr<const ConfigView>
ConfigSync::Current() const
{
  return impl_->ReadState([](const ConfigCore& aCore) { return aCore.View(); });
}

bool
ConfigSync::MayDispatch() const
{
  return impl_->Clock().Now() < impl_->DispatchUntil();
}

TimePoint
ConfigSync::DispatchUntil() const
{
  return impl_->DispatchUntil();
}

EntryRoster
ConfigSync::Roster() const
{
  return impl_->ReadState([](const ConfigCore& aCore) { return aCore.Roster(); });
}

std::shared_ptr<const HostListSnapshot>
ConfigSync::Hosts() const
{
  return impl_->ReadState([](const ConfigCore& aCore) { return aCore.Hosts(); });
}

bool
ConfigSync::StoreReachable() const
{
  return impl_->ReadState([](const ConfigCore& aCore) { return aCore.StoreReachable(); });
}

bool
ConfigSync::IsObserver() const
{
  return impl_->ReadState([](const ConfigCore& aCore) { return aCore.IsObserver(); });
}

bool
ConfigSync::IsMember() const
{
  return impl_->ReadState([](const ConfigCore& aCore) { return aCore.IsMember(); });
}

std::string
ConfigSync::Incarnation() const
{
  return impl_->ReadState(
    [](const ConfigCore& aCore) { return aCore.Registration().Incarnation(); });
}

bool
ConfigSync::KnowsPeer(const std::string& aId) const
{
  return impl_->ReadState([&](const ConfigCore& aCore) { return aCore.KnowsPeer(aId); });
}

std::string
ConfigSync::PeerAddress(const std::string& aId) const
{
  return impl_->ReadState([&](const ConfigCore& aCore) { return aCore.PeerAddress(aId); });
}

bool
ConfigSync::WriteBackNeeded(const std::string& aKey) const
{
  return impl_->ReadState([&](const ConfigCore& aCore) { return aCore.WriteBackNeeded(aKey); });
}

void
ConfigSync::Acknowledge(uint64_t aFleetRevision, std::set<std::string> aBusy)
{
  impl_->UpdateState(
    [&](ConfigCore& aCore) { aCore.Acknowledge(aFleetRevision, std::move(aBusy)); });
}

void
ConfigSync::SetSuspects(std::set<std::string> aSuspects)
{
  impl_->UpdateState([&](ConfigCore& aCore) { aCore.SetSuspects(std::move(aSuspects)); });
}

void
ConfigSync::SetStopping(bool aStopping)
{
  impl_->UpdateState([&](ConfigCore& aCore) { aCore.SetStopping(aStopping); });
}

void
ConfigSync::SetHoldsPlannerLease(bool aHolds)
{
  impl_->UpdateState([&](ConfigCore& aCore) { aCore.SetHoldsPlannerLease(aHolds); });
}

void
ConfigSync::ApplyIfNewer(const std::string& aKey, const std::string& aText)
{
  impl_->UpdateState(
    [&](ConfigCore& aCore) { aCore.ApplyIfNewer(aKey, aText, "this daemon", true); });
}

}
