#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/key_value_store.h"

#include <chrono>
#include <optional>
#include <string>

namespace sardinespoke {

/// Leader election by a key under a lease in the store. It is only an optimisation: two holders at
/// once must be harmless, because a lease can expire while its holder is paused. Not thread-safe.
class LeaderLease
{
public:
  /// @param aStore Must outlive the object; so must aClock.
  /// @param aHolder Name of this process, unique across restarts.
  LeaderLease(KeyValueStoreI& aStore,
              const ClockI& aClock,
              std::string aKey,
              std::string aHolder,
              std::chrono::milliseconds aTtl);

  /// Renews the lease, or tries to acquire it if this process isn't the holder.
  /// @param aTerm Stored with the holder: the fleet revision in force.
  /// @returns Whether this process is the holder; false if the store does not answer.
  bool AcquireOrRenew(uint64_t aTerm);

  /// Revokes the lease, so that another daemon can become the holder immediately.
  void Release();

private:
  bool TryAcquire(uint64_t aTerm);
  bool Renew();

  KeyValueStoreI& store_;
  const ClockI& clock_;
  const std::string key_;
  const std::string holder_;
  const std::chrono::milliseconds ttl_;
  std::optional<std::string> lease_;
  TimePoint renewed_{};
  bool held_ = false;
};

}
