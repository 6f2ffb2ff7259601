#include "config_core_p.h"

#include <algorithm>

namespace sardinespoke {

namespace {

leaf::result<ProfileSet>
ParseProfiles(const std::string& aText)
{
  // Skips the checks against the fleet, which were made when the document was accepted: an accepted
  // document must stay usable if the fleet shrinks later.
  return ProfileSet::Parse(aText, 0);
}

}

ConfigCore::ConfigCore(const ConfigSyncSettings& aSettings, EventLogI& aEvents)
  : settings_(aSettings)
  , events_(aEvents)
  , registration_(aSettings)
  , fleet_(&FleetMap::Parse)
  , profiles_(&ParseProfiles)
  , store_(aSettings.viewLimit_)
  , list_(aSettings.viewLimit_)
{
  UpdateView();
}

TimePoint
ConfigCore::DispatchUntil() const
{
  if (left_ || !fleet_.InForce() || !profiles_.InForce()) {
    return TimePoint::min();
  }
  if (!IsMember()) {
    return sponsoredUntil_;
  }
  const std::set<std::string> others = OtherMembers();
  return std::min(store_.ValidUntil(others), list_.ValidUntil(others));
}

void
ConfigCore::OnRange(const KeyValueRange& aRange, TimePoint aSentAt, TimePoint aNow)
{
  std::set<std::string> missing{ kFleetKey, kProfilesKey };
  for (const KeyValueItem& item : aRange.items_) {
    missing.erase(WithoutPrefix(item.key_));
  }
  roster_.clear();
  ApplyItems(aRange.items_, aNow);
  for (const std::string& key : missing) {
    OnStoreDocument(key, "", 0, aNow);
  }
  position_ = aRange.sequence_;
  OnStoreRead(aSentAt, aNow);
}

void
ConfigCore::OnChanges(const KeyValueChanges& aChanges, TimePoint aSentAt, TimePoint aNow)
{
  ApplyItems(aChanges.items_, aNow);
  for (const std::string& fullKey : aChanges.deleted_) {
    const std::string key = WithoutPrefix(fullKey);
    if (key.starts_with(kEntryPrefix)) {
      roster_.erase(key.substr(std::string(kEntryPrefix).size()));
    } else if (key == kFleetKey || key == kProfilesKey) {
      OnStoreDocument(key, "", 0, aNow);
    }
  }
  if (aChanges.items_.empty() && aChanges.deleted_.empty()) {
    const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(aNow - aSentAt);
    readOverhead_ = std::max(elapsed - settings_.watchWait_, std::chrono::milliseconds(0));
  }
  position_ = aChanges.sequence_;
  OnStoreRead(aSentAt, aNow);
}

void
ConfigCore::OnStoreRead(TimePoint aSentAt, TimePoint aNow)
{
  SetStoreReachable(true);
  store_.OnSuccess(aNow);
  registration_.OnStoreContact();
  positionAt_ = aNow;
  rosterAt_ = aSentAt;
  if (fleet_.StoreMatches()) {
    store_.lease_.Confirm(aSentAt);
  }
}

void
ConfigCore::OnReadFailed(StoreError::Code aCode)
{
  // After an outage the store may be a new instance whose positions start again and have already
  // passed the old one, so the next read must read the whole range.
  position_.reset();
  if (aCode != StoreError::Code::SequenceLost) {
    SetStoreReachable(false);
  }
}

void
ConfigCore::ApplyItems(const std::vector<KeyValueItem>& aItems, TimePoint aNow)
{
  // Entry records first: a new document is pushed to the entry hosts that they list.
  for (const KeyValueItem& item : aItems) {
    if (WithoutPrefix(item.key_).starts_with(kEntryPrefix)) {
      ApplyEntryRecord(item);
    }
  }
  for (const KeyValueItem& item : aItems) {
    const std::string key = WithoutPrefix(item.key_);
    if (key == kFleetKey || key == kProfilesKey) {
      OnStoreDocument(key, item.value_, item.version_, aNow);
    }
  }
}

void
ConfigCore::ApplyEntryRecord(const KeyValueItem& aItem)
{
  const EntryRecord record = leaf::try_handle_all(
    [&]() { return EntryRecord::Parse(aItem.value_); }, []() { return EntryRecord{}; });
  if (record.id_.empty()) {
    events_.Record(
      "entry.invalid", "the entry record could not be parsed", { { "key", aItem.key_ } });
    return;
  }
  roster_[record.id_] = record;
  lastAddress_[record.id_] = record.peer_;
}

ApplyResult
ConfigCore::OnStoreDocument(const std::string& aKey,
                            const std::string& aText,
                            uint64_t aVersion,
                            TimePoint aNow)
{
  const ApplyResult result = aKey == kFleetKey ? fleet_.UpdateFromStore(aText, aVersion, aNow)
                                               : profiles_.UpdateFromStore(aText, aVersion, aNow);
  if (result == ApplyResult::Applied) {
    const std::vector<std::string> observers = Observers(fleet_.InForce().get(), roster_);
    // Only the first observer pushes. If it fails, the other entry hosts get the document with the
    // second observer's replies to Confirm.
    if (!observers.empty() && observers.front() == settings_.id_) {
      PushToPeers(aKey);
    }
  }
  return OnApplyResult(aKey, result, "store");
}

ApplyResult
ConfigCore::ApplyIfNewer(const std::string& aKey,
                         const std::string& aText,
                         const std::string& aSource,
                         bool aPush)
{
  if (aKey != kFleetKey && aKey != kProfilesKey) {
    return ApplyResult::Invalid;
  }
  const ApplyResult result =
    aKey == kFleetKey ? fleet_.ApplyIfNewer(aText) : profiles_.ApplyIfNewer(aText);
  if (result == ApplyResult::Applied && aPush) {
    PushToPeers(aKey);
  }
  return OnApplyResult(aKey, result, aSource);
}

ApplyResult
ConfigCore::ApplyPatch(const std::string& aKey,
                       const DocumentPatch& aPatch,
                       const std::string& aSource)
{
  if (aKey != kFleetKey && aKey != kProfilesKey) {
    return ApplyResult::Invalid;
  }
  const ApplyResult result =
    aKey == kFleetKey ? fleet_.ApplyPatch(aPatch) : profiles_.ApplyPatch(aPatch);
  // Invalid means that the patch is for another revision, which is no fault of the document and
  // raises no event.
  return result == ApplyResult::Invalid ? result : OnApplyResult(aKey, result, aSource);
}

std::optional<DocumentPatch>
ConfigCore::PatchFrom(const std::string& aKey, uint64_t aRevision)
{
  return aKey == kFleetKey ? fleet_.PatchFrom(aRevision) : profiles_.PatchFrom(aRevision);
}

ApplyResult
ConfigCore::OnApplyResult(const std::string& aKey, ApplyResult aResult, const std::string& aSource)
{
  const nlohmann::json detail{ { "key", aKey }, { "revision", Revision(aKey) } };
  switch (aResult) {
    case ApplyResult::Applied:
      events_.Record("config.applied", "greater revision from " + aSource, detail);
      UpdateView();
      break;
    case ApplyResult::Conflicting:
      RecordConflict(aKey, aSource);
      break;
    case ApplyResult::Invalid:
      events_.Record(
        "config.invalid", "invalid document from " + aSource + " was rejected", detail);
      break;
    default:
      break;
  }
  return aResult;
}

void
ConfigCore::RecordConflict(const std::string& aKey, const std::string& aSource)
{
  nlohmann::json detail{ { "key", aKey }, { "revision", Revision(aKey) }, { "source", aSource } };
  if (detail == lastConflict_) {
    return;
  }
  lastConflict_ = detail;
  events_.Record("config.conflict",
                 "alarm: equal revision with different content; the document in force is kept",
                 std::move(detail));
}

void
ConfigCore::OnGranted(const std::string& aLease, TimePoint aSentAt, TimePoint aNow)
{
  store_.OnSuccess(aNow);
  registration_.OnGranted(aLease, aSentAt);
}

void
ConfigCore::OnRenewed(TimePoint aSentAt, TimePoint aNow)
{
  store_.OnSuccess(aNow);
  registration_.OnRenewed(aSentAt);
}

void
ConfigCore::OnRecordWritten(const std::string& aText, uint64_t aVersion, TimePoint aNow)
{
  const bool first = !registration_.Registered();
  registration_.OnWritten(aText, aVersion, aNow);
  if (first) {
    events_.Record("entry.registered", "", { { "incarnation", registration_.Incarnation() } });
  }
}

void
ConfigCore::OnRecordRead(const std::optional<KeyValueItem>& aItem, TimePoint aNow)
{
  registration_.OnRead(aItem, DesiredRecord().Serialize(), aNow);
}

void
ConfigCore::OnRegistrationFailed(StoreError::Code aCode)
{
  if (registration_.OnFailed(aCode)) {
    // The store may have been restarted. It has no leases then, and its watch positions may overlap
    // with the old ones.
    position_.reset();
    events_.Record("entry.lease_lapsed",
                   "registering again with a new incarnation",
                   { { "incarnation", registration_.Incarnation() } });
  }
  if (registration_.IsSuspended()) {
    SetStoreReachable(false);
  }
}

void
ConfigCore::OnHosts(const HostListSnapshot& aHosts, TimePoint aSentAt, TimePoint aNow)
{
  list_.OnSuccess(aNow);
  if (list_.lease_.ConfirmedAt() && aSentAt < *list_.lease_.ConfirmedAt()) {
    return; // A peer has sent a later list in the meantime.
  }
  hosts_ = std::make_shared<const HostListSnapshot>(aHosts);
  list_.lease_.Confirm(aSentAt);
  std::set<std::string> leaving;
  for (const ListedHost& host : aHosts.hosts_) {
    if (host.leaving_) {
      leaving.insert(host.id_);
    }
  }
  if (leaving_ && leaving == *leaving_) {
    return;
  }
  events_.Record("hosts.leaving_changed", "host list", { { "leaving", leaving } });
  leaving_ = std::make_shared<const std::set<std::string>>(std::move(leaving));
  UpdateView();
}

void
ConfigCore::OnHostsFailed()
{
  if (list_.reachable_) {
    events_.Record("hosts.unreachable", "the host list could not be fetched", {});
  }
  list_.reachable_ = false;
}

void
ConfigCore::Acknowledge(uint64_t aFleetRevision, std::set<std::string> aBusy)
{
  ackedRevision_ = std::max(ackedRevision_, aFleetRevision);
  busy_ = std::move(aBusy);
}

EntryRecord
ConfigCore::DesiredRecord() const
{
  EntryRecord record;
  record.id_ = settings_.id_;
  record.incarnation_ = registration_.Incarnation();
  record.caller_ = settings_.caller_;
  record.admin_ = settings_.admin_;
  record.peer_ = settings_.peer_;
  record.zone_ = settings_.zone_;
  record.stopping_ = stopping_;
  record.profilesRevision_ = profiles_.Revision();
  record.fleetRevision_ = std::min(ackedRevision_, fleet_.Revision());
  record.busy_ = busy_;
  record.suspects_ = suspects_;
  for (const auto& [id, guest] : sponsoredEntries_) {
    record.fleetRevision_ = std::min(record.fleetRevision_, guest.ackedRevision_);
    record.profilesRevision_ = std::min(record.profilesRevision_, guest.profilesRevision_);
    record.busy_.insert(guest.busy_.begin(), guest.busy_.end());
  }
  return record;
}

bool
ConfigCore::IsObserver() const
{
  const std::vector<std::string> observers = Observers(fleet_.InForce().get(), roster_);
  return IsMember() &&
         std::find(observers.begin(), observers.end(), settings_.id_) != observers.end();
}

bool
ConfigCore::IsMember() const
{
  if (!fleet_.InForce()) {
    return false;
  }
  auto found = fleet_.InForce()->members_.find(settings_.id_);
  return found != fleet_.InForce()->members_.end() &&
         SameProcess(found->second.incarnation_, settings_.process_);
}

bool
ConfigCore::MayJoin(const FleetMap& aFleet, TimePoint aNow) const
{
  if (!registration_.Registered() || aFleet.revision_ < fleet_.Revision()) {
    return false;
  }
  auto found = aFleet.members_.find(settings_.id_);
  if (found == aFleet.members_.end() ||
      SameProcess(found->second.incarnation_, settings_.process_) ||
      registration_.PreviousProcessGone()) {
    return true;
  }
  // An earlier process with this id, possibly on another machine, may still be dispatching.
  return aNow - *registration_.RegisteredAt() >= settings_.stoppedLimit_;
}

bool
ConfigCore::KnowsPeer(const std::string& aId) const
{
  return roster_.contains(aId) || sponsoredEntries_.contains(aId) ||
         (fleet_.InForce() && fleet_.InForce()->members_.contains(aId));
}

std::string
ConfigCore::PeerAddress(const std::string& aId) const
{
  auto live = roster_.find(aId);
  if (live != roster_.end()) {
    return live->second.peer_;
  }
  auto last = lastAddress_.find(aId);
  return last == lastAddress_.end() ? "" : last->second;
}

uint64_t
ConfigCore::Revision(const std::string& aKey) const
{
  return aKey == kFleetKey ? fleet_.Revision() : profiles_.Revision();
}

uint64_t
ConfigCore::PreviousRevision(const std::string& aKey) const
{
  return aKey == kFleetKey ? fleet_.PreviousRevision() : profiles_.PreviousRevision();
}

const std::string&
ConfigCore::Text(const std::string& aKey) const
{
  return aKey == kFleetKey ? fleet_.Text() : profiles_.Text();
}

bool
ConfigCore::WriteBackNeeded(const std::string& aKey) const
{
  return aKey == kFleetKey ? fleet_.StoreOlderSince().has_value()
                           : profiles_.StoreOlderSince().has_value();
}

std::pair<std::string, uint64_t>
ConfigCore::WriteBackContent(const std::string& aKey) const
{
  return { Text(aKey), aKey == kFleetKey ? fleet_.StoreVersion() : profiles_.StoreVersion() };
}

void
ConfigCore::UpdateView()
{
  auto view = std::make_shared<ConfigView>();
  view->profiles_ = profiles_.InForce();
  view->fleet_ = fleet_.InForce();
  view->leaving_ = leaving_;
  view_ = std::move(view);
}

std::set<std::string>
ConfigCore::OtherMembers() const
{
  std::set<std::string> others;
  if (!fleet_.InForce()) {
    return others;
  }
  for (const auto& [id, member] : fleet_.InForce()->members_) {
    if (id != settings_.id_) {
      others.insert(id);
    }
  }
  return others;
}

std::string
ConfigCore::WithoutPrefix(const std::string& aKey) const
{
  return aKey.starts_with(settings_.keyPrefix_) ? aKey.substr(settings_.keyPrefix_.size()) : "";
}

void
ConfigCore::SetStoreReachable(bool aReachable)
{
  if (store_.reachable_ != aReachable) {
    events_.Record(
      aReachable ? "store.reachable" : "store.unreachable", "result of the latest call", {});
  }
  store_.reachable_ = aReachable;
}

}
