#pragma once

#include "sardinespoke/config_sync_settings.h"
#include "sardinespoke/entry_record.h"
#include "sardinespoke/key_value_store.h"

#include "sardinespoke/clock.h"

#include <optional>
#include <string>

namespace sardinespoke {

/// Next call that the registration of this entry host needs.
enum class RegistrationStep
{
  None,
  GrantLease,
  RenewLease,
  WriteRecord,
  ReadRecord, ///< After a conflict or a lost response.
  Count
};

/// State machine that keeps `entry/<id>` in the store under a lease. Does no I/O.
class EntryRegistration
{
public:
  explicit EntryRegistration(const ConfigSyncSettings& aSettings);

  /// @param aDesired Text that the record should have in the store.
  RegistrationStep Next(TimePoint aNow, const std::string& aDesired) const;

  /// @returns The process identifier and the number of the incarnation.
  std::string Incarnation() const;
  bool Registered() const { return lease_ && !writtenText_.empty(); }
  const std::optional<std::string>& Lease() const { return lease_; }
  uint64_t Version() const { return version_; }
  /// @returns Whether the store held a record of an earlier process at the same peer address. That
  /// process has ended, because this one listens on the address now.
  bool PreviousProcessGone() const { return previousProcessGone_; }
  std::optional<TimePoint> RegisteredAt() const { return registeredAt_; }

  void OnGranted(const std::string& aLease, TimePoint aSentAt);
  void OnRenewed(TimePoint aSentAt) { renewedAt_ = aSentAt; }
  void OnWritten(const std::string& aText, uint64_t aVersion, TimePoint aNow);
  void OnRead(const std::optional<KeyValueItem>& aItem,
              const std::string& aDesired,
              TimePoint aNow);
  /// @returns Whether the lease has expired and a new incarnation starts.
  bool OnFailed(StoreError::Code aCode);
  /// Resumes the calls after a successful read of the store.
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
  // Set when the store did not respond. No renewal is sent until a read has succeeded, because
  // renewals whose responses are lost could keep a lease alive that others take for expired.
  bool suspended_ = false;
  bool previousProcessGone_ = false;
  std::optional<TimePoint> registeredAt_;
};

}
