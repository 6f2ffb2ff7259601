#pragma once

#include "confirm_message_p.h"
#include "document_replica_p.h"
#include "entry_registration_p.h"
#include "sardinespoke/config_source.h"
#include "sardinespoke/event_log.h"
#include "service_view_p.h"

#include <deque>
#include <vector>

namespace sardinespoke {

/// Keys of the two documents and key prefix of the entry records, without the deployment's prefix.
inline constexpr const char* kFleetKey = "config/fleet";
inline constexpr const char* kProfilesKey = "config/profiles";
inline constexpr const char* kEntryPrefix = "entry/";

/// Loops that make calls independently, so that a slow call in one does not delay the others.
enum class SyncLoop
{
  Registration, ///< Lease, entry record, member list, writing documents back.
  Hosts,        ///< Host list.
  View,         ///< Watch, Confirm, pushes.
  Count
};

/// Kind of call that a loop makes.
enum class SyncStep
{
  None,
  GrantLease,
  RenewLease,
  WriteRecord,
  ReadRecord,
  Join,
  WriteBack,
  FetchHosts,
  ReadStore,
  Confirm,
  Push,
  Count
};

/// A call to make, with its arguments.
struct SyncAction
{
  SyncStep step_ = SyncStep::None;
  std::string peer_{};    ///< Entry host id for Confirm and Push; empty for a seed address.
  std::string address_{}; ///< Peer address for Confirm and Push.
  std::string key_{};     ///< Document key for Push and WriteBack.
  std::chrono::milliseconds wait_{ 0 }; ///< Maximum wait of ReadStore.
};

/// State machine of the config sync. Does no I/O: it takes the results of calls with their times
/// and decides which call comes next.
class ConfigCore
{
public:
  ConfigCore(const ConfigSyncSettings& aSettings, EventLogI& aEvents);

  /// @returns The next call of a loop, or SyncStep::None if nothing is due.
  SyncAction Next(SyncLoop aLoop, TimePoint aNow);

  /// @returns The first time at which this daemon may no longer dispatch.
  TimePoint DispatchUntil() const;

  // Results of calls. aSentAt is when the call was made.
  void OnRange(const KeyValueRange& aRange, TimePoint aSentAt, TimePoint aNow);
  void OnChanges(const KeyValueChanges& aChanges, TimePoint aSentAt, TimePoint aNow);
  void OnReadFailed(StoreError::Code aCode);
  void OnGranted(const std::string& aLease, TimePoint aSentAt, TimePoint aNow);
  void OnRenewed(TimePoint aSentAt, TimePoint aNow);
  void OnRecordWritten(const std::string& aText, uint64_t aVersion, TimePoint aNow);
  void OnRecordRead(const std::optional<KeyValueItem>& aItem, TimePoint aNow);
  void OnRegistrationFailed(StoreError::Code aCode);
  void OnHosts(const HostListSnapshot& aHosts, TimePoint aSentAt, TimePoint aNow);
  void OnHostsFailed();
  void OnConfirmReply(const ConfirmReply& aReply, TimePoint aSentAt, TimePoint aNow);
  void OnConfirmFailed(const std::string& aPeer, TimePoint aNow);
  /// Handles a document that is known to be in the store with this version.
  ApplyResult OnStoreDocument(const std::string& aKey,
                              const std::string& aText,
                              uint64_t aVersion,
                              TimePoint aNow);

  // Requests of peers and of other modules.
  ConfirmReply HandleConfirm(const ConfirmRequest& aRequest, TimePoint aNow);
  /// Applies a document from a peer or from another module of this daemon, if its revision is
  /// greater.
  /// @param aPush Whether to push it to all other daemons.
  ApplyResult ApplyIfNewer(const std::string& aKey,
                           const std::string& aText,
                           const std::string& aSource,
                           bool aPush);
  /// Applies a peer's patch to a newer document.
  /// @returns Invalid if it does not apply to the document in force; the peer then sends the whole
  /// document.
  ApplyResult ApplyPatch(const std::string& aKey,
                         const DocumentPatch& aPatch,
                         const std::string& aSource);
  /// @returns The patch from an earlier revision to the one in force; empty if there is none.
  std::optional<DocumentPatch> PatchFrom(const std::string& aKey, uint64_t aRevision);
  void Acknowledge(uint64_t aFleetRevision, std::set<std::string> aBusy);
  void SetSuspects(std::set<std::string> aSuspects) { suspects_ = std::move(aSuspects); }
  void SetStopping(bool aStopping) { stopping_ = aStopping; }
  /// Stops dispatching for good.
  void Leave() { left_ = true; }
  void SetHoldsPlannerLease(bool aHolds) { holdsPlannerLease_ = aHolds; }

  // State.
  std::shared_ptr<const ConfigView> View() const { return view_; }
  const EntryRoster& Roster() const { return roster_; }
  std::shared_ptr<const HostListSnapshot> Hosts() const { return hosts_; }
  bool StoreReachable() const { return store_.reachable_; }
  bool IsObserver() const;
  bool IsMember() const;
  bool KnowsPeer(const std::string& aId) const;
  std::string PeerAddress(const std::string& aId) const;
  bool WriteBackNeeded(const std::string& aKey) const;
  std::pair<std::string, uint64_t> WriteBackContent(const std::string& aKey) const;
  uint64_t Revision(const std::string& aKey) const;
  uint64_t PreviousRevision(const std::string& aKey) const;
  const std::string& Text(const std::string& aKey) const;
  const EntryRegistration& Registration() const { return registration_; }
  const std::optional<uint64_t>& WatchPosition() const { return position_; }
  /// @returns The entry record that this daemon wants in the store.
  EntryRecord DesiredRecord() const;
  ConfirmRequest MakeConfirm(const std::string& aPeer) const;
  /// @returns Whether this daemon may put itself on the member list of the given document.
  bool MayJoin(const FleetMap& aFleet, TimePoint aNow) const;

private:
  /// An entry host that is no member, cannot reach the store and dispatches on this daemon's grant.
  struct SponsoredEntry
  {
    uint64_t ackedRevision_ = 0;
    uint64_t profilesRevision_ = 0;
    std::string incarnation_;
    std::set<std::string> busy_;
    TimePoint lastContactAt_;
  };

  /// One attempt to confirm the fleet document and the host list.
  struct Round
  {
    bool active_ = false;
    bool confirmed_ = false; ///< Whether an observer or the store has confirmed the views.
    bool readAttempted_ = false;
    bool peersQueried_ = false;
    std::deque<SyncAction> queue_{};
    std::set<std::string> queriedPeers_{};
  };

  SyncAction NextRegistration(TimePoint aNow);
  SyncAction NextHosts(TimePoint aNow);
  SyncAction NextView(TimePoint aNow);
  void StartRound(TimePoint aNow);
  void QueryAllPeers();
  void QueryPeer(const std::string& aId);
  bool NeedsStoreRead(TimePoint aNow) const;
  bool NeedsAllPeers(TimePoint aNow) const;
  std::optional<SyncAction> WatchAgain(TimePoint aNow) const;
  bool WriteBackDue(const std::string& aKey, TimePoint aNow) const;
  /// @returns Whether this daemon reads the store and the host list itself.
  bool ReadsPlatform() const { return IsObserver() || holdsPlannerLease_; }
  void OnStoreRead(TimePoint aSentAt, TimePoint aNow);
  void ApplyItems(const std::vector<KeyValueItem>& aItems, TimePoint aNow);
  void ApplyEntryRecord(const KeyValueItem& aItem);
  void RecordConflict(const std::string& aKey, const std::string& aSource);
  void QueryObservers();
  ApplyResult OnApplyResult(const std::string& aKey,
                            ApplyResult aResult,
                            const std::string& aSource);
  void PushToPeers(const std::string& aKey);
  void AddDocument(const std::string& aKey,
                   uint64_t aPeerRevision,
                   const ConfirmRequest& aRequest,
                   ConfirmReply& aReply);
  void ApplyPeerDocuments(const ConfirmReply& aReply);
  void ApplyPeerLists(const ConfirmReply& aReply, TimePoint aSentAt);
  void UpdateSponsor(const ConfirmReply& aReply, TimePoint aSentAt);
  void RecordSponsoredEntry(const ConfirmRequest& aRequest, TimePoint aNow);
  void DropSponsoredEntries(TimePoint aNow);
  void SetRoster(EntryRoster aRoster, TimePoint aAt);
  void UpdateView();
  std::set<std::string> OtherMembers() const;
  std::string WithoutPrefix(const std::string& aKey) const;
  void SetStoreReachable(bool aReachable);

  const ConfigSyncSettings& settings_;
  EventLogI& events_;
  EntryRegistration registration_;
  DocumentReplica<FleetMap> fleet_;
  DocumentReplica<ProfileSet> profiles_;
  ServiceView store_;
  ServiceView list_;
  std::shared_ptr<const std::set<std::string>> leaving_;
  std::shared_ptr<const HostListSnapshot> hosts_;
  std::shared_ptr<const ConfigView> view_;

  nlohmann::json lastConflict_; ///< Detail of the last conflict event; suppresses duplicates.

  std::set<std::string> needsWholeDocument_; ///< Keys for which a patch did not apply.

  EntryRoster roster_;
  TimePoint rosterAt_;
  std::map<std::string, std::string> lastAddress_; ///< Also of entry hosts without a record.
  std::optional<uint64_t> position_;               ///< Watch position.
  TimePoint positionAt_;

  uint64_t ackedRevision_ = 0;
  std::set<std::string> busy_;
  std::set<std::string> suspects_;
  bool stopping_ = false;
  bool left_ = false;
  bool holdsPlannerLease_ = false;

  Round round_;
  TimePoint nextRoundAt_;
  TimePoint nextHostsAt_;
  TimePoint nextJoinAt_;
  TimePoint nextWriteBackAt_;
  std::chrono::milliseconds readOverhead_{ 0 };
  std::deque<SyncAction> pushes_;

  std::map<std::string, SponsoredEntry> sponsoredEntries_;
  std::string sponsor_;
  TimePoint sponsoredUntil_;
};

}
