#pragma once

#include "sardinespoke/config_sync_settings.h"
#include "sardinespoke/entry_record.h"
#include "sardinespoke/key_value_store.h"

#include "sardinespoke/clock.h"

#include <optional>
#include <string>

namespace sardinespoke {

/// What the registration of this entry host needs next.
enum class RegistrationStep
{
  None,
  GrantLease,
  RenewLease,
  WriteRecord,
  ReadRecord, ///< After a conflict or a lost answer.
  Count
};

/// Keeps `entry/<id>` in the store under a lease. Pure.
class EntryRegistration
{
public:
  explicit EntryRegistration(const ConfigSyncSettings& aSettings);

  /// @param aDesired The record as it should be in the store.
  RegistrationStep Next(TimePoint aNow, const std::string& aDesired) const;

  /// @returns The process identifier and the number of the registration.
  std::string Incarnation() const;
  bool Registered() const { return lease_ && !writtenText_.empty(); }
  const std::optional<std::string>& Lease() const { return lease_; }
  uint64_t Version() const { return version_; }
  /// @returns Whether the store held a record of an earlier process at the same peer address. That
  /// process is gone, because this one listens there.
  bool PreviousProcessGone() const { return previousProcessGone_; }
  std::optional<TimePoint> RegisteredAt() const { return registeredAt_; }

  void OnGranted(const std::string& aLease, TimePoint aSentAt);
  void OnRenewed(TimePoint aSentAt) { renewedAt_ = aSentAt; }
  void OnWritten(const std::string& aText, uint64_t aVersion, TimePoint aNow);
  void OnRead(const std::optional<KeyValueItem>& aItem,
              const std::string& aDesired,
              TimePoint aNow);
  /// @returns Whether the lease has lapsed and a new incarnation starts.
  bool OnFailed(StoreError::Code aCode);
  /// A read of the store succeeded: writes make sense again.
  void OnStoreContact() { suspended_ = false; }
  bool IsSuspended() const { return suspended_; }

private:
  void StartNewIncarnation();

  const ConfigSyncSettings& settings_;
  uint32_t incarnationNumber_ = 1;
  std::optional<std::string> lease_;
  TimePoint renewedAt_;
  std::string writtenText_;
  uint64_t version_ = 0;
  bool mustReadRecord_ = false;
  // Set when the store did not answer. No renewal is sent until a read has succeeded, so that a
  // lease that others believe dead is not kept alive by requests whose answers are lost.
  bool suspended_ = false;
  bool previousProcessGone_ = false;
  std::optional<TimePoint> registeredAt_;
};

}
