#pragma once

#include "sardinespoke/errors.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// One key of the platform's key-value service and its value.
struct KeyValueItem
{
  std::string key_;
  std::string value_;
  uint64_t version_ = 0; ///< Version for the next compare-and-swap; never 0 for an existing key.
};

/// Snapshot of a key range.
struct KeyValueRange
{
  std::vector<KeyValueItem> items_;
  uint64_t sequence_ = 0; ///< Watch position for later changes.
};

/// Changes since a watch position.
struct KeyValueChanges
{
  std::vector<KeyValueItem> items_;
  std::vector<std::string> deleted_;
  uint64_t sequence_ = 0;
};

/// The platform's key-value service with compare-and-swap, leases and watches. Errors: StoreError.
class KeyValueStoreI
{
public:
  virtual ~KeyValueStoreI() = default;

  virtual leaf::result<KeyValueItem> Get(const std::string& aKey) = 0;

  /// Compare-and-swap.
  /// @param aIfVersion Version that the key must have; 0 if the key must not exist.
  /// @param aLease Lease whose end deletes the key, if any.
  /// @returns The new version.
  virtual leaf::result<uint64_t> Put(const std::string& aKey,
                                     const std::string& aValue,
                                     uint64_t aIfVersion,
                                     const std::optional<std::string>& aLease) = 0;

  virtual leaf::result<void> Delete(const std::string& aKey, uint64_t aIfVersion) = 0;

  virtual leaf::result<KeyValueRange> Range(const std::string& aPrefix) = 0;

  /// Waits for changes after a watch position.
  /// @param aWait Maximum time to wait; an empty result means that nothing changed.
  virtual leaf::result<KeyValueChanges> Watch(const std::string& aPrefix,
                                              uint64_t aAfter,
                                              std::chrono::milliseconds aWait) = 0;

  /// @returns The id of the new lease.
  virtual leaf::result<std::string> GrantLease(std::chrono::milliseconds aTtl) = 0;
  virtual leaf::result<void> RenewLease(const std::string& aLease) = 0;
  virtual leaf::result<void> RevokeLease(const std::string& aLease) = 0;
};

}
