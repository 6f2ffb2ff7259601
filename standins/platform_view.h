#pragma once

#include "memory_platform.h"

namespace sardinespoke {

/// A MemoryPlatform as seen by a named client, which PlatformFaults::cutOffClients_ can disconnect.
class PlatformView final
  : public KeyValueStoreI
  , public HostListI
  , public HostControlI
{
public:
  /// @param aPlatform Must outlive the view.
  PlatformView(MemoryPlatform& aPlatform, std::string aClient);

  leaf::result<KeyValueItem> Get(const std::string& aKey) override;
  leaf::result<uint64_t> Put(const std::string& aKey,
                             const std::string& aValue,
                             uint64_t aIfVersion,
                             const std::optional<std::string>& aLease) override;
  leaf::result<void> Delete(const std::string& aKey, uint64_t aIfVersion) override;
  leaf::result<KeyValueRange> Range(const std::string& aPrefix) override;
  leaf::result<KeyValueChanges> Watch(const std::string& aPrefix,
                                      uint64_t aAfter,
                                      std::chrono::milliseconds aWait) override;
  leaf::result<std::string> GrantLease(std::chrono::milliseconds aTtl) override;
  leaf::result<void> RenewLease(const std::string& aLease) override;
  leaf::result<void> RevokeLease(const std::string& aLease) override;
  leaf::result<HostListSnapshot> Fetch() override;
  leaf::result<void> Reboot(const std::string& aHost) override;
  leaf::result<HostPower> Power(const std::string& aHost) override;

private:
  /// Makes the call unless the client is cut off. The response is lost if the client is cut off
  /// during the call.
  template<typename Call>
  auto Forward(const Call& aCall) -> decltype(aCall());

  MemoryPlatform& platform_;
  const std::string client_;
};

}
