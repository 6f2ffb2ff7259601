#include "platform_view.h"

namespace sardinespoke {

PlatformView::PlatformView(MemoryPlatform& aPlatform, std::string aClient)
  : platform_(aPlatform)
  , client_(std::move(aClient))
{
}

template<typename Call>
auto
PlatformView::Forward(const Call& aCall) -> decltype(aCall())
{
  if (platform_.IsCutOff(client_)) {
    platform_.CountRefused();
    return leaf::new_error(StoreError{ StoreError::Code::Unreachable, client_ + " is cut off" });
  }
  auto result = aCall();
  if (platform_.IsCutOff(client_)) {
    return leaf::new_error(
      StoreError{ StoreError::Code::OutcomeUnknown, client_ + " was cut off during the call" });
  }
  return result;
}

leaf::result<KeyValueItem>
PlatformView::Get(const std::string& aKey)
{
  return Forward([&] { return platform_.Get(aKey); });
}

leaf::result<uint64_t>
PlatformView::Put(const std::string& aKey,
                  const std::string& aValue,
                  uint64_t aIfVersion,
                  const std::optional<std::string>& aLease)
{
  return Forward([&] { return platform_.Put(aKey, aValue, aIfVersion, aLease); });
}

leaf::result<void>
PlatformView::Delete(const std::string& aKey, uint64_t aIfVersion)
{
  return Forward([&] { return platform_.Delete(aKey, aIfVersion); });
}

leaf::result<KeyValueRange>
PlatformView::Range(const std::string& aPrefix)
{
  return Forward([&] { return platform_.Range(aPrefix); });
}

leaf::result<KeyValueChanges>
PlatformView::Watch(const std::string& aPrefix, uint64_t aAfter, std::chrono::milliseconds aWait)
{
  return Forward([&] { return platform_.Watch(aPrefix, aAfter, aWait); });
}

leaf::result<std::string>
PlatformView::GrantLease(std::chrono::milliseconds aTtl)
{
  return Forward([&] { return platform_.GrantLease(aTtl); });
}

leaf::result<void>
PlatformView::RenewLease(const std::string& aLease)
{
  return Forward([&] { return platform_.RenewLease(aLease); });
}

leaf::result<void>
PlatformView::RevokeLease(const std::string& aLease)
{
  return Forward([&] { return platform_.RevokeLease(aLease); });
}

leaf::result<HostListSnapshot>
PlatformView::Fetch()
{
  return Forward([&] { return platform_.Fetch(); });
}

leaf::result<void>
PlatformView::Reboot(const std::string& aHost)
{
  return Forward([&] { return platform_.Reboot(aHost); });
}

leaf::result<HostPower>
PlatformView::Power(const std::string& aHost)
{
  return Forward([&] { return platform_.Power(aHost); });
}

}
