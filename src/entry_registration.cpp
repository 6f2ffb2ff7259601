#include "entry_registration_p.h"

#include "sardinespoke/membership.h"

namespace sardinespoke {

EntryRegistration::EntryRegistration(const ConfigSyncSettings& aSettings)
  : settings_(aSettings)
{
}

RegistrationStep
EntryRegistration::Next(TimePoint aNow, const std::string& aDesired) const
{
  if (suspended_) {
    return RegistrationStep::None;
  }
  if (!lease_) {
    return RegistrationStep::GrantLease;
  }
  if (aNow - renewedAt_ >= settings_.renewInterval_) {
    return RegistrationStep::RenewLease;
  }
  if (mustReadRecord_) {
    return RegistrationStep::ReadRecord;
  }
  return writtenText_ == aDesired ? RegistrationStep::None : RegistrationStep::WriteRecord;
}

std::string
EntryRegistration::Incarnation() const
{
  return settings_.process_ + "-" + std::to_string(incarnationNumber_);
}

void
EntryRegistration::OnGranted(const std::string& aLease, TimePoint aSentAt)
{
  lease_ = aLease;
  renewedAt_ = aSentAt;
}

void
EntryRegistration::OnWritten(const std::string& aText, uint64_t aVersion, TimePoint aNow)
{
  writtenText_ = aText;
  version_ = aVersion;
  registeredAt_ = registeredAt_.value_or(aNow);
}

void
EntryRegistration::OnRead(const std::optional<KeyValueItem>& aItem,
                          const std::string& aDesired,
                          TimePoint aNow)
{
  mustReadRecord_ = false;
  if (!aItem) {
    if (!writtenText_.empty()) {
      StartNewIncarnation();
    }
    version_ = 0;
    return;
  }
  version_ = aItem->version_;
  if (aItem->value_ == aDesired) {
    OnWritten(aDesired, aItem->version_, aNow);
    return;
  }
  const EntryRecord found = leaf::try_handle_all(
    [&]() { return EntryRecord::Parse(aItem->value_); }, []() { return EntryRecord{}; });
  const bool ownProcess = SameProcess(found.incarnation_, settings_.process_);
  previousProcessGone_ = previousProcessGone_ || (!ownProcess && found.peer_ == settings_.peer_);
}

bool
EntryRegistration::OnFailed(StoreError::Code aCode)
{
  switch (aCode) {
    case StoreError::Code::LeaseLapsed:
      StartNewIncarnation();
      return true;
    case StoreError::Code::Conflict:
    case StoreError::Code::NotFound:
      mustReadRecord_ = true;
      return false;
    case StoreError::Code::OutcomeUnknown:
      mustReadRecord_ = lease_.has_value();
      suspended_ = true;
      return false;
    default:
      suspended_ = true;
      return false;
  }
}

void
EntryRegistration::StartNewIncarnation()
{
  ++incarnationNumber_;
  lease_.reset();
  writtenText_.clear();
  version_ = 0;
  mustReadRecord_ = true;
  registeredAt_.reset();
}

}
