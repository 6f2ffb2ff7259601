#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/key_value_store.h"

#include <chrono>
#include <optional>
#include <string>

namespace sardinespoke {

/// Takes and keeps a duty, a key under a lease that one daemon holds. Holding it only avoids
/// useless work: two holders at once must be harmless, since a lease can expire while its holder is
/// paused. Not thread-safe.
class LeaderLease
{
public:
  /// @param aStore Must outlive the object; so must aClock.
  /// @param aHolder Name of this process, unique over restarts.
  LeaderLease(KeyValueStoreI& aStore,
              const ClockI& aClock,
              std::string aKey,
              std::string aHolder,
              std::chrono::milliseconds aTtl);

  /// Renews the lease or tries to take the duty.
  /// @param aTerm Recorded with the holder; the revision in force.
  /// @returns Whether this process holds the duty now; false if the store does not answer.
  bool AcquireOrRenew(uint64_t aTerm);

  /// Gives the duty up, so that another daemon can take it at once.
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
