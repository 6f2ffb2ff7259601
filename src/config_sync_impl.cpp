#include "config_sync_impl_p.h"

#include "store_call_p.h"

namespace sardinespoke {

namespace {

// Polling interval of an idle loop; bounds the delay of a due call.
constexpr std::chrono::milliseconds kIdlePollInterval{ 50 };

auto
Refuse(PeerError::Code aCode, const std::string& aMessage)
{
  return leaf::new_error(PeerError{ aCode, aMessage });
}

}

ConfigSync::Impl::Impl(const ConfigSyncSettings& aSettings,
                       KeyValueStoreI& aStore,
                       HostListI& aHosts,
                       PeerLinkI& aPeers,
                       const ClockI& aClock,
                       EventLogI& aEvents)
  : settings_(aSettings)
  , store_(aStore)
  , hosts_(aHosts)
  , peers_(aPeers)
  , clock_(aClock)
  , events_(aEvents)
  , writer_(aStore, aSettings.keyPrefix_ + kFleetKey, aSettings.id_, aSettings.process_)
  , core_(settings_, aEvents)
  , dispatchUntil_(TimePoint::min().time_since_epoch().count())
{
  peers_.Handle("Confirm", [this](const nlohmann::json& aMessage) { return OnConfirm(aMessage); });
  peers_.Handle("Document",
                [this](const nlohmann::json& aMessage) { return OnDocument(aMessage); });
  peers_.Handle("Status",
                [this](const nlohmann::json&) -> leaf::result<nlohmann::json> { return Status(); });
}

ConfigSync::Impl::Publisher::~Publisher()
{
  owner_.dispatchUntil_ = owner_.core_.DispatchUntil().time_since_epoch().count();
  owner_.wake_.notify_all();
}

TimePoint
ConfigSync::Impl::DispatchUntil() const
{
  return TimePoint(TimePoint::duration(dispatchUntil_.load()));
}

void
ConfigSync::Impl::Start()
{
  for (size_t loop = 0; loop < threads_.size(); ++loop) {
    threads_[loop] = std::thread([this, loop]() { ThreadMain(static_cast<SyncLoop>(loop)); });
  }
}

void
ConfigSync::Impl::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    wake_.notify_all();
  }
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
ConfigSync::Impl::ThreadMain(SyncLoop aLoop)
{
  std::unique_lock lock(mutex_);
  while (!stop_) {
    const SyncAction action = core_.Next(aLoop, clock_.Now());
    if (action.step_ == SyncStep::None) {
      wake_.wait_for(lock, kIdlePollInterval);
      continue;
    }
    lock.unlock();
    Run(action);
    lock.lock();
  }
}

void
ConfigSync::Impl::RunDueCalls(SyncLoop aLoop)
{
  for (;;) {
    const SyncAction action =
      UpdateState([&](ConfigCore& aCore) { return aCore.Next(aLoop, clock_.Now()); });
    if (action.step_ == SyncStep::None) {
      return;
    }
    Run(action);
  }
}

void
ConfigSync::Impl::Run(const SyncAction& aAction)
{
  switch (aAction.step_) {
    case SyncStep::GrantLease:
      return GrantLease();
    case SyncStep::RenewLease:
      return RenewLease();
    case SyncStep::WriteRecord:
      return WriteRecord();
    case SyncStep::ReadRecord:
      return ReadRecord();
    case SyncStep::Join:
      return Join();
    case SyncStep::WriteBack:
      return WriteBack(aAction.key_);
    case SyncStep::FetchHosts:
      return FetchHosts();
    case SyncStep::ReadStore:
      return ReadStore(aAction.wait_);
    case SyncStep::Confirm:
      return Confirm(aAction);
    case SyncStep::Push:
      return Push(aAction);
    default:
      return;
  }
}

void
ConfigSync::Impl::GrantLease()
{
  const TimePoint sentAt = clock_.Now();
  const auto outcome =
    CallStore<std::string>([&]() { return store_.GrantLease(settings_.leaseTtl_); });
  UpdateState([&](ConfigCore& aCore) {
    if (!outcome.value_) {
      return aCore.OnRegistrationFailed(outcome.code_);
    }
    aCore.OnGranted(*outcome.value_, sentAt, clock_.Now());
  });
}

void
ConfigSync::Impl::RenewLease()
{
  const std::string lease =
    ReadState([](const ConfigCore& aCore) { return aCore.Registration().Lease().value_or(""); });
  const TimePoint sentAt = clock_.Now();
  const StoreError::Code code = CallStoreVoid([&]() { return store_.RenewLease(lease); });
  UpdateState([&](ConfigCore& aCore) {
    if (code != StoreError::Code::Count) {
      return aCore.OnRegistrationFailed(code);
    }
    aCore.OnRenewed(sentAt, clock_.Now());
  });
}

void
ConfigSync::Impl::WriteRecord()
{
  std::string text;
  uint64_t version = 0;
  std::optional<std::string> lease;
  ReadState([&](const ConfigCore& aCore) {
    text = aCore.DesiredRecord().Serialize();
    version = aCore.Registration().Version();
    lease = aCore.Registration().Lease();
  });
  const auto outcome =
    CallStore<uint64_t>([&]() { return store_.Put(EntryKey(), text, version, lease); });
  UpdateState([&](ConfigCore& aCore) {
    if (!outcome.value_) {
      return aCore.OnRegistrationFailed(outcome.code_);
    }
    aCore.OnRecordWritten(text, *outcome.value_, clock_.Now());
  });
}

void
ConfigSync::Impl::ReadRecord()
{
  const auto outcome = CallStore<KeyValueItem>([&]() { return store_.Get(EntryKey()); });
  UpdateState([&](ConfigCore& aCore) {
    if (!outcome.value_ && outcome.code_ != StoreError::Code::NotFound) {
      return aCore.OnRegistrationFailed(outcome.code_);
    }
    aCore.OnRecordRead(outcome.value_, clock_.Now());
  });
}

void
ConfigSync::Impl::Join()
{
  std::string incarnation;
  uint64_t inForce = 0;
  ReadState([&](const ConfigCore& aCore) {
    incarnation = aCore.Registration().Incarnation();
    inForce = aCore.Revision(kFleetKey);
  });
  const auto edit = [&](FleetMap& aFleet) {
    const bool allowed =
      ReadState([&](const ConfigCore& aCore) { return aCore.MayJoin(aFleet, clock_.Now()); });
    Member& member = aFleet.members_[settings_.id_];
    if (!allowed || member.incarnation_ == incarnation) {
      return false;
    }
    member = { settings_.id_, incarnation, aFleet.revision_, aFleet.revision_ };
    return true;
  };
  const auto outcome = CallStore<StoredFleet>([&]() { return writer_.Apply(edit, inForce); });
  if (!outcome.value_) {
    events_.Record("member.join_failed", CodeName(outcome.code_), {});
    return;
  }
  events_.Record("member.joined", "", { { "incarnation", incarnation } });
  UpdateState([&](ConfigCore& aCore) {
    aCore.OnStoreDocument(kFleetKey, outcome.value_->text_, outcome.value_->version_, clock_.Now());
  });
}

void
ConfigSync::Impl::WriteBack(const std::string& aKey)
{
  const std::pair<std::string, uint64_t> content =
    ReadState([&](const ConfigCore& aCore) { return aCore.WriteBackContent(aKey); });
  const auto outcome = CallStore<uint64_t>(
    [&]() { return store_.Put(FullKey(aKey), content.first, content.second, std::nullopt); });
  if (!outcome.value_) {
    events_.Record("config.write_back_failed", CodeName(outcome.code_), { { "key", aKey } });
    return;
  }
  events_.Record("config.written_back", "the store held an older document", { { "key", aKey } });
  UpdateState([&](ConfigCore& aCore) {
    aCore.OnStoreDocument(aKey, content.first, *outcome.value_, clock_.Now());
  });
}

void
ConfigSync::Impl::FetchHosts()
{
  const TimePoint sentAt = clock_.Now();
  const auto outcome = CallStore<HostListSnapshot>([&]() { return hosts_.Fetch(); });
  UpdateState([&](ConfigCore& aCore) {
    if (!outcome.value_) {
      return aCore.OnHostsFailed();
    }
    aCore.OnHosts(*outcome.value_, sentAt, clock_.Now());
  });
}

void
ConfigSync::Impl::ReadStore(std::chrono::milliseconds aWait)
{
  const std::optional<uint64_t> position =
    ReadState([](const ConfigCore& aCore) { return aCore.WatchPosition(); });
  const TimePoint sentAt = clock_.Now();
  if (position) {
    const auto outcome = CallStore<KeyValueChanges>(
      [&]() { return store_.Watch(settings_.keyPrefix_, *position, aWait); });
    if (outcome.code_ != StoreError::Code::SequenceLost) {
      return UpdateState([&](ConfigCore& aCore) {
        if (!outcome.value_) {
          return aCore.OnReadFailed(outcome.code_);
        }
        aCore.OnChanges(*outcome.value_, sentAt, clock_.Now());
      });
    }
  }
  const TimePoint rangeSentAt = clock_.Now();
  const auto outcome =
    CallStore<KeyValueRange>([&]() { return store_.Range(settings_.keyPrefix_); });
  UpdateState([&](ConfigCore& aCore) {
    if (!outcome.value_) {
      return aCore.OnReadFailed(outcome.code_);
    }
    aCore.OnRange(*outcome.value_, rangeSentAt, clock_.Now());
  });
}

void
ConfigSync::Impl::Confirm(const SyncAction& aAction)
{
  const ConfirmRequest request =
    ReadState([&](const ConfigCore& aCore) { return aCore.MakeConfirm(aAction.peer_); });
  const TimePoint sentAt = clock_.Now();
  const auto reply = leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<ConfirmReply>> {
      BOOST_LEAF_AUTO(json,
                      peers_.Call(aAction.address_, request.ToJson(), settings_.peerTimeout_));
      return ConfirmReply::FromJson(json);
    },
    [](leaf::catch_<nlohmann::json::exception>) { return std::optional<ConfirmReply>(); },
    []() { return std::optional<ConfirmReply>(); });
  UpdateState([&](ConfigCore& aCore) {
    const bool wrongPeer = reply && !aAction.peer_.empty() && reply->id_ != aAction.peer_;
    if (!reply || wrongPeer) {
      return aCore.OnConfirmFailed(aAction.peer_, clock_.Now());
    }
    aCore.OnConfirmReply(*reply, sentAt, clock_.Now());
  });
}

void
ConfigSync::Impl::Push(const SyncAction& aAction)
{
  uint64_t base = 0;
  uint64_t wanted = 0;
  ReadState([&](const ConfigCore& aCore) {
    base = aCore.PreviousRevision(aAction.key_);
    wanted = aCore.Revision(aAction.key_);
  });
  std::optional<uint64_t> peerRevision = SendDocument(aAction, base);
  if (peerRevision && *peerRevision < wanted && *peerRevision != base) {
    base = *peerRevision;
    peerRevision = SendDocument(aAction, base);
  }
  if (peerRevision && *peerRevision < wanted) {
    peerRevision = SendDocument(aAction, 0);
  }
  if (!peerRevision) {
    // The peer gets the document with the reply to its next Confirm.
    events_.Record("config.push_failed", "no reply", { { "peer", aAction.peer_ } });
  }
}

std::optional<uint64_t>
ConfigSync::Impl::SendDocument(const SyncAction& aAction, uint64_t aBase)
{
  nlohmann::json message{ { "type", "Document" },
                          { "sender", settings_.id_ },
                          { "key", aAction.key_ },
                          { "hybrid_time", events_.HybridTime() } };
  UpdateState([&](ConfigCore& aCore) {
    if (const auto patch = aCore.PatchFrom(aAction.key_, aBase)) {
      message["patch"] = PatchToJson(*patch);
      return;
    }
    message["document"] = aCore.Text(aAction.key_);
  });
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<uint64_t>> {
      BOOST_LEAF_AUTO(reply, peers_.Call(aAction.address_, message, settings_.peerTimeout_));
      return reply.at("revision").get<uint64_t>();
    },
    [](leaf::catch_<nlohmann::json::exception>) { return std::optional<uint64_t>(); },
    []() { return std::optional<uint64_t>(); });
}

leaf::result<nlohmann::json>
ConfigSync::Impl::OnConfirm(const nlohmann::json& aMessage)
{
  const ConfirmRequest request = ConfirmRequest::FromJson(aMessage);
  return UpdateState(
    [&](ConfigCore& aCore) { return aCore.HandleConfirm(request, clock_.Now()).ToJson(); });
}

leaf::result<nlohmann::json>
ConfigSync::Impl::OnDocument(const nlohmann::json& aMessage)
{
  const std::string sender = aMessage.at("sender").get<std::string>();
  const std::string key = aMessage.at("key").get<std::string>();
  std::optional<DocumentPatch> patch;
  std::string text;
  if (aMessage.contains("patch")) {
    patch = PatchFromJson(aMessage.at("patch"));
  } else {
    text = aMessage.at("document").get<std::string>();
  }
  if (!ReadState([&](const ConfigCore& aCore) { return aCore.KnowsPeer(sender); })) {
    return Refuse(PeerError::Code::Refused, "unknown sender \"" + sender + "\"");
  }
  events_.Observe(aMessage.at("hybrid_time").get<uint64_t>());
  return UpdateState([&](ConfigCore& aCore) -> leaf::result<nlohmann::json> {
    if (patch) {
      // A patch that does not apply has no effect. The sender sees the revision in the reply and
      // sends another patch or the whole document.
      aCore.ApplyPatch(key, *patch, sender);
    } else if (aCore.ApplyIfNewer(key, text, sender, false) == ApplyResult::Invalid) {
      return Refuse(PeerError::Code::Malformed, "invalid document for \"" + key + "\"");
    }
    return nlohmann::json{ { "revision", aCore.Revision(key) } };
  });
}

nlohmann::json
ConfigSync::Impl::Status() const
{
  return ReadState([&](const ConfigCore& aCore) {
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& [id, record] : aCore.Roster()) {
      entries.push_back(nlohmann::json::parse(record.Serialize()));
    }
    return nlohmann::json{ { "id", settings_.id_ },
                           { "incarnation", aCore.Registration().Incarnation() },
                           { "fleet_revision", aCore.Revision(kFleetKey) },
                           { "profiles_revision", aCore.Revision(kProfilesKey) },
                           { "member", aCore.IsMember() },
                           { "observer", aCore.IsObserver() },
                           { "store_reachable", aCore.StoreReachable() },
                           { "may_dispatch", clock_.Now() < aCore.DispatchUntil() },
                           { "entries", entries } };
  });
}

void
ConfigSync::Impl::Leave()
{
  LeaveMembers();
  const std::optional<std::string> lease =
    ReadState([](const ConfigCore& aCore) { return aCore.Registration().Lease(); });
  if (lease) {
    // Revoking the lease deletes the entry record. If the call fails, the lease expires by itself.
    CallStoreVoid([&]() { return store_.RevokeLease(*lease); });
  }
}

void
ConfigSync::Impl::LeaveMembers()
{
  // Dispatching stops before the write, because the response to the write may be lost.
  const uint64_t inForce = UpdateState([](ConfigCore& aCore) {
    aCore.Leave();
    return aCore.Revision(kFleetKey);
  });
  if (inForce == 0) {
    return;
  }
  const auto edit = [&](FleetMap& aFleet) {
    auto self = aFleet.members_.find(settings_.id_);
    if (self == aFleet.members_.end() ||
        !SameProcess(self->second.incarnation_, settings_.process_)) {
      return false;
    }
    aFleet.members_.erase(self);
    return true;
  };
  const auto outcome = CallStore<StoredFleet>([&]() { return writer_.Apply(edit, inForce); });
  const char* cause = outcome.value_ ? "graceful stop" : CodeName(outcome.code_);
  events_.Record(outcome.value_ ? "member.left" : "member.leave_failed", cause, {});
}
}
