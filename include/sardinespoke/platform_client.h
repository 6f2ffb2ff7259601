#pragma once

#include "sardinespoke/host_control.h"
#include "sardinespoke/host_list.h"
#include "sardinespoke/key_value_store.h"

#include <memory>
#include <mutex>

namespace sardinespoke {

class HttpPool;
struct HttpResponse;
struct HttpRequest;

/// Settings of a PlatformClient.
struct PlatformClientOptions
{
  std::string baseUrl_;    ///< Such as "http://127.0.0.1:8100", without a trailing slash.
  std::string clientName_; ///< Entry host id, sent in the header Sardinespoke-Client.
  std::chrono::milliseconds connectTimeout_{ 300 };
  /// Timeout of a call; added to the wait time of a watch.
  std::chrono::milliseconds callTimeout_{ 1000 };
};

/// Client of the platform's HTTP services (docs/design.md, 5.5). Thread-safe; concurrent calls use
/// separate connections. Only reads are resent once their first byte was sent.
///
/// StoreError::Unreachable means that a write had no effect: nothing was sent, or the service
/// returned 503. Any other failure without a parsable response is StoreError::OutcomeUnknown.
class PlatformClient final
  : public KeyValueStoreI
  , public HostListI
  , public HostControlI
{
public:
  explicit PlatformClient(PlatformClientOptions aOptions);
  ~PlatformClient() override;

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
  /// @param aNotFound Error code for status 404.
  leaf::result<HttpResponse> Call(HttpRequest aRequest, StoreError::Code aNotFound);
  std::string KeyUrl(const std::string& aKey) const;

  const PlatformClientOptions options_;
  std::unique_ptr<HttpPool> pool_;
  std::mutex listMutex_;
  std::string listText_;  ///< Serialized list_; an unchanged list is not parsed again.
  HostListSnapshot list_; ///< The last list received.
};

}
