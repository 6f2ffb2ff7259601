#include "config_core_p.h"

#include <algorithm>

namespace sardinespoke {

namespace {

// An older watch position is discarded. A restarted store counts positions from the start and could
// have passed it unnoticed, so the limit is shorter than a restart of the store takes.
constexpr std::chrono::milliseconds kMaxPositionAge{ 2000 };
// A watch call with a shorter wait costs more than it gains.
constexpr std::chrono::milliseconds kMinWatchWait{ 20 };

}

SyncAction
ConfigCore::Next(SyncLoop aLoop, TimePoint aNow)
{
  switch (aLoop) {
    case SyncLoop::Registration:
      return NextRegistration(aNow);
    case SyncLoop::Hosts:
      return NextHosts(aNow);
    default:
      return NextView(aNow);
  }
}

SyncAction
ConfigCore::NextRegistration(TimePoint aNow)
{
  DropSponsoredEntries(aNow);
  switch (registration_.Next(aNow, DesiredRecord().Serialize())) {
    case RegistrationStep::GrantLease:
      return { .step_ = SyncStep::GrantLease };
    case RegistrationStep::RenewLease:
      return { .step_ = SyncStep::RenewLease };
    case RegistrationStep::WriteRecord:
      return { .step_ = SyncStep::WriteRecord };
    case RegistrationStep::ReadRecord:
      return { .step_ = SyncStep::ReadRecord };
    default:
      break;
  }
  if (registration_.IsSuspended()) {
    return {};
  }
  for (const char* key : { kFleetKey, kProfilesKey }) {
    if (aNow >= nextWriteBackAt_ && WriteBackDue(key, aNow)) {
      nextWriteBackAt_ = aNow + settings_.pollInterval_;
      return { .step_ = SyncStep::WriteBack, .key_ = key };
    }
  }
  const FleetMap none;
  const FleetMap& fleet = fleet_.InForce() ? *fleet_.InForce() : none;
  const auto self = fleet.members_.find(settings_.id_);
  const bool joined =
    self != fleet.members_.end() && self->second.incarnation_ == registration_.Incarnation();
  if (joined || stopping_ || aNow < nextJoinAt_ || !MayJoin(fleet, aNow)) {
    return {};
  }
  nextJoinAt_ = aNow + settings_.pollInterval_;
  return { .step_ = SyncStep::Join };
}

bool
ConfigCore::WriteBackDue(const std::string& aKey, TimePoint aNow) const
{
  if (aKey == kProfilesKey) {
    return profiles_.StoreOlderSince() && IsObserver();
  }
  if (!fleet_.StoreOlderSince()) {
    return false;
  }
  const bool late = aNow - *fleet_.StoreOlderSince() >= settings_.writeBackDelay_;
  return holdsPlannerLease_ || (late && IsObserver());
}

SyncAction
ConfigCore::NextHosts(TimePoint aNow)
{
  if (aNow < nextHostsAt_) {
    return {};
  }
  if (!ReadsPlatform() && list_.reachable_ && list_.IsFresh(aNow, settings_.freshLimit_)) {
    return {};
  }
  nextHostsAt_ = aNow + settings_.pollInterval_;
  return { .step_ = SyncStep::FetchHosts };
}

SyncAction
ConfigCore::NextView(TimePoint aNow)
{
  if (!pushes_.empty()) {
    SyncAction push = pushes_.front();
    pushes_.pop_front();
    return push;
  }
  if (!round_.active_) {
    if (aNow < nextRoundAt_) {
      return {};
    }
    StartRound(aNow);
  }
  if (round_.queue_.empty() && !ReadsPlatform() && !round_.confirmed_) {
    QueryObservers();
  }
  if (round_.queue_.empty() && NeedsStoreRead(aNow)) {
    round_.queue_.push_back({ .step_ = SyncStep::ReadStore });
  }
  if (round_.queue_.empty() && NeedsAllPeers(aNow)) {
    QueryAllPeers();
  }
  if (!round_.queue_.empty()) {
    SyncAction action = round_.queue_.front();
    round_.queue_.pop_front();
    if (action.step_ == SyncStep::ReadStore) {
      round_.readAttempted_ = true;
    }
    if (position_ && aNow - positionAt_ > kMaxPositionAge) {
      position_.reset();
    }
    return action;
  }
  if (std::optional<SyncAction> again = WatchAgain(aNow)) {
    return *again;
  }
  round_.active_ = false;
  return {};
}

void
ConfigCore::StartRound(TimePoint aNow)
{
  round_ = Round{ .active_ = true };
  nextRoundAt_ = aNow + settings_.pollInterval_;
  if (ReadsPlatform()) {
    // On a slow store the wait is shortened by the measured overhead. A confirmation counts from
    // when the call was sent and would otherwise be nearly expired on arrival.
    const auto wait = std::max(settings_.watchWait_ - readOverhead_, std::chrono::milliseconds(0));
    round_.queue_.push_back({ .step_ = SyncStep::ReadStore, .wait_ = wait });
    return;
  }
  for (const std::string& id : Observers(fleet_.InForce().get(), roster_)) {
    QueryPeer(id);
    break;
  }
  if (!IsMember() && !sponsor_.empty()) {
    QueryPeer(sponsor_);
  }
}

bool
ConfigCore::NeedsStoreRead(TimePoint aNow) const
{
  if (round_.readAttempted_) {
    return false;
  }
  const bool confirmed = round_.confirmed_ && store_.IsFresh(aNow, settings_.freshLimit_);
  return !confirmed || !store_.reachable_ || registration_.IsSuspended();
}

bool
ConfigCore::NeedsAllPeers(TimePoint aNow) const
{
  if (round_.peersQueried_) {
    return false;
  }
  const bool storeGood = store_.reachable_ && store_.IsFresh(aNow, settings_.freshLimit_);
  const bool listGood = list_.reachable_ && list_.IsFresh(aNow, settings_.freshLimit_);
  return !storeGood || !listGood;
}

void
ConfigCore::QueryAllPeers()
{
  round_.peersQueried_ = true;
  for (const std::string& id : OtherMembers()) {
    QueryPeer(id);
  }
  if (fleet_.InForce()) {
    return;
  }
  for (const std::string& address : settings_.seedPeers_) {
    round_.queue_.push_back({ .step_ = SyncStep::Confirm, .address_ = address });
  }
}

void
ConfigCore::QueryObservers()
{
  for (const std::string& id : Observers(fleet_.InForce().get(), roster_)) {
    QueryPeer(id);
  }
}

void
ConfigCore::QueryPeer(const std::string& aId)
{
  const std::string address = PeerAddress(aId);
  if (aId == settings_.id_ || address.empty() || !round_.queriedPeers_.insert(aId).second) {
    return;
  }
  round_.queue_.push_back({ .step_ = SyncStep::Confirm, .peer_ = aId, .address_ = address });
}

std::optional<SyncAction>
ConfigCore::WatchAgain(TimePoint aNow) const
{
  const auto left = std::chrono::floor<std::chrono::milliseconds>(nextRoundAt_ - aNow);
  if (!ReadsPlatform() || !position_ || settings_.watchWait_.count() == 0 || left < kMinWatchWait) {
    return std::nullopt;
  }
  return SyncAction{ .step_ = SyncStep::ReadStore, .wait_ = left };
}

void
ConfigCore::PushToPeers(const std::string& aKey)
{
  for (const auto& entry : roster_) {
    const std::string& id = entry.first;
    const EntryRecord& record = entry.second;
    const uint64_t known = aKey == kFleetKey ? record.fleetRevision_ : record.profilesRevision_;
    const bool queued = std::any_of(pushes_.begin(), pushes_.end(), [&](const SyncAction& aPush) {
      return aPush.peer_ == id && aPush.key_ == aKey;
    });
    if (id == settings_.id_ || queued || known >= Revision(aKey)) {
      continue;
    }
    pushes_.push_back(
      { .step_ = SyncStep::Push, .peer_ = id, .address_ = record.peer_, .key_ = aKey });
  }
}

ConfirmRequest
ConfigCore::MakeConfirm(const std::string& aPeer) const
{
  ConfirmRequest request;
  request.sender_ = settings_.id_;
  request.incarnation_ = registration_.Incarnation();
  request.profilesRevision_ = profiles_.Revision();
  request.fleetRevision_ = fleet_.Revision();
  request.wholeDocuments_ = needsWholeDocument_;
  request.rosterDigest_ = Digest(roster_);
  request.leavingDigest_ = leaving_ ? Digest(*leaving_) : 0;
  request.hybridTime_ = events_.HybridTime();
  if (!IsMember() && !sponsor_.empty() && aPeer == sponsor_) {
    request.sponsor_ = sponsor_;
    request.busy_ = busy_;
    request.ackedRevision_ = std::min(ackedRevision_, fleet_.Revision());
  }
  return request;
}

ConfirmReply
ConfigCore::HandleConfirm(const ConfirmRequest& aRequest, TimePoint aNow)
{
  events_.Observe(aRequest.hybridTime_);
  ConfirmReply reply;
  reply.id_ = settings_.id_;
  reply.profilesRevision_ = profiles_.Revision();
  reply.fleetRevision_ = fleet_.Revision();
  reply.store_ = store_.Report(aNow);
  reply.list_ = list_.Report(aNow);
  reply.rosterDigest_ = Digest(roster_);
  reply.leavingDigest_ = leaving_ ? Digest(*leaving_) : 0;
  if (reply.rosterDigest_ != aRequest.rosterDigest_) {
    reply.roster_ = roster_;
  }
  if (leaving_ && reply.leavingDigest_ != aRequest.leavingDigest_) {
    reply.leaving_ = *leaving_;
  }
  AddDocument(kProfilesKey, aRequest.profilesRevision_, aRequest, reply);
  AddDocument(kFleetKey, aRequest.fleetRevision_, aRequest, reply);
  const TimePoint until = DispatchUntil();
  reply.maySponsor_ = IsMember() && !stopping_ && aNow < until;
  if (reply.maySponsor_ && aRequest.sponsor_ == settings_.id_) {
    RecordSponsoredEntry(aRequest, aNow);
    const auto left = std::min<std::chrono::nanoseconds>(until - aNow, settings_.viewLimit_);
    reply.grant_ = std::chrono::floor<std::chrono::microseconds>(left);
  }
  reply.hybridTime_ = events_.HybridTime();
  return reply;
}

void
ConfigCore::AddDocument(const std::string& aKey,
                        uint64_t aPeerRevision,
                        const ConfirmRequest& aRequest,
                        ConfirmReply& aReply)
{
  if (aPeerRevision >= Revision(aKey)) {
    return;
  }
  std::optional<DocumentPatch> patch;
  if (!aRequest.wholeDocuments_.contains(aKey)) {
    patch = PatchFrom(aKey, aPeerRevision);
  }
  if (patch) {
    aReply.patches_[aKey] = std::move(*patch);
    return;
  }
  aReply.documents_[aKey] = Text(aKey);
}

void
ConfigCore::OnConfirmReply(const ConfirmReply& aReply, TimePoint aSentAt, TimePoint aNow)
{
  events_.Observe(aReply.hybridTime_);
  ApplyPeerDocuments(aReply);
  const bool sameRevision = fleet_.InForce() && aReply.fleetRevision_ == fleet_.Revision();
  if (sameRevision && aReply.store_.age_) {
    store_.lease_.ConfirmFromPeer(aSentAt, *aReply.store_.age_);
  }
  ApplyPeerLists(aReply, aSentAt);
  store_.OnReport(aReply.id_, aReply.store_, aSentAt, aNow);
  list_.OnReport(aReply.id_, aReply.list_, aSentAt, aNow);
  UpdateSponsor(aReply, aSentAt);
  const bool freshStore = store_.IsFresh(aNow, settings_.freshLimit_);
  round_.confirmed_ = round_.confirmed_ || (sameRevision && freshStore);
  for (const char* key : { kFleetKey, kProfilesKey }) {
    const uint64_t peerRevision =
      std::string(key) == kFleetKey ? aReply.fleetRevision_ : aReply.profilesRevision_;
    if (peerRevision >= Revision(key) || !roster_.contains(aReply.id_)) {
      continue;
    }
    pushes_.push_back({ .step_ = SyncStep::Push,
                        .peer_ = aReply.id_,
                        .address_ = PeerAddress(aReply.id_),
                        .key_ = key });
  }
}

void
ConfigCore::OnConfirmFailed(const std::string& aPeer, TimePoint aNow)
{
  if (aPeer == sponsor_ && aNow >= sponsoredUntil_) {
    sponsor_.clear();
  }
}

void
ConfigCore::ApplyPeerDocuments(const ConfirmReply& aReply)
{
  for (const auto& [key, patch] : aReply.patches_) {
    const uint64_t peerRevision =
      key == kFleetKey ? aReply.fleetRevision_ : aReply.profilesRevision_;
    const ApplyResult result = ApplyPatch(key, patch, aReply.id_);
    // The peer's base has the same revision but other content, so the next request asks for the
    // whole document.
    if (result == ApplyResult::Invalid && Revision(key) < peerRevision) {
      needsWholeDocument_.insert(key);
    }
  }
  for (const auto& [key, text] : aReply.documents_) {
    needsWholeDocument_.erase(key);
    ApplyIfNewer(key, text, aReply.id_, false);
  }
}

void
ConfigCore::ApplyPeerLists(const ConfirmReply& aReply, TimePoint aSentAt)
{
  if (aReply.store_.age_ && aReply.roster_ && aSentAt - *aReply.store_.age_ >= rosterAt_) {
    SetRoster(*aReply.roster_, aSentAt - *aReply.store_.age_);
  }
  if (!aReply.list_.age_) {
    return;
  }
  const TimePoint seenAt = aSentAt - *aReply.list_.age_;
  const bool newer = !list_.lease_.ConfirmedAt() || seenAt > *list_.lease_.ConfirmedAt();
  if (!newer) {
    return;
  }
  if (aReply.leaving_) {
    leaving_ = std::make_shared<const std::set<std::string>>(*aReply.leaving_);
    UpdateView();
  }
  if (leaving_ && Digest(*leaving_) == aReply.leavingDigest_) {
    list_.lease_.ConfirmFromPeer(aSentAt, *aReply.list_.age_);
  }
}

void
ConfigCore::SetRoster(EntryRoster aRoster, TimePoint aAt)
{
  roster_ = std::move(aRoster);
  rosterAt_ = aAt;
  for (const auto& [id, record] : roster_) {
    lastAddress_[id] = record.peer_;
  }
}

void
ConfigCore::UpdateSponsor(const ConfirmReply& aReply, TimePoint aSentAt)
{
  if (IsMember()) {
    sponsor_.clear();
    return;
  }
  if (sponsor_.empty() && aReply.maySponsor_ && !store_.reachable_) {
    sponsor_ = aReply.id_;
    return;
  }
  if (aReply.id_ == sponsor_ && aReply.grant_ && aReply.fleetRevision_ == fleet_.Revision()) {
    sponsoredUntil_ = std::max(sponsoredUntil_, aSentAt + *aReply.grant_);
  }
}

void
ConfigCore::RecordSponsoredEntry(const ConfirmRequest& aRequest, TimePoint aNow)
{
  sponsoredEntries_[aRequest.sender_] = SponsoredEntry{
    aRequest.ackedRevision_, aRequest.profilesRevision_, aRequest.incarnation_, aRequest.busy_, aNow
  };
}

void
ConfigCore::DropSponsoredEntries(TimePoint aNow)
{
  std::erase_if(sponsoredEntries_, [&](const auto& aEntry) {
    const bool stopped = aNow - aEntry.second.lastContactAt_ >= settings_.stoppedLimit_;
    const auto& members = fleet_.InForce()->members_;
    auto listed = members.find(aEntry.first);
    return stopped ||
           (listed != members.end() && listed->second.incarnation_ == aEntry.second.incarnation_);
  });
}

}
