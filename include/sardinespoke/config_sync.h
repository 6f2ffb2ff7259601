#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/config_source.h"
#include "sardinespoke/config_sync_settings.h"
#include "sardinespoke/event_log.h"
#include "sardinespoke/key_value_store.h"
#include "sardinespoke/membership.h"
#include "sardinespoke/peer_link.h"

#include <memory>
#include <string>

namespace sardinespoke {

/// Keeps this entry host registered and on the member list, keeps both documents and the host list
/// in step with the store and the other entry hosts, and decides whether work may be dispatched
/// (docs/design.md, 5.2). Thread-safe.
class ConfigSync final : public ConfigSourceI
{
public:
  /// Registers the handlers of "Confirm", "Document" and "Status" at the link; all references must
  /// outlive the object, and the link must have stopped calling handlers before it is destroyed.
  ConfigSync(const ConfigSyncSettings& aSettings,
             KeyValueStoreI& aStore,
             HostListI& aHosts,
             PeerLinkI& aPeers,
             const ClockI& aClock,
             EventLogI& aEvents);
  ~ConfigSync() override;

  /// Starts the threads.
  void Init();

  /// Leaves the member list, deletes the entry record and stops the threads.
  void Shutdown();

  /// Stops the threads without leaving, as if the process had been killed.
  void Abort();

  /// Makes all calls that are due, in the caller's thread; for tests that do not call Init().
  void Step();

  std::shared_ptr<const ConfigView> Current() const override;
  bool MayDispatch() const override;

  /// @returns The first time at which this daemon may no longer dispatch.
  TimePoint DispatchUntil() const;

  /// @returns Live entry records as known here.
  EntryRoster Roster() const;
  /// @returns The last host list fetched by this daemon; null unless it is an observer or holds the
  /// planner duty.
  std::shared_ptr<const HostListSnapshot> Hosts() const;
  /// @returns Whether the latest call to the store succeeded.
  bool StoreReachable() const;
  bool IsObserver() const;
  /// @returns Whether the document in force lists this process as a member.
  bool IsMember() const;
  /// @returns Incarnation of the current registration.
  std::string Incarnation() const;
  /// @returns Whether an id belongs to a known entry host; messages of others are refused.
  bool KnowsPeer(const std::string& aId) const;
  /// @returns Peer address of an entry host; empty if it is not known.
  std::string PeerAddress(const std::string& aId) const;
  /// @returns Whether the store shows an older document than the one in force.
  /// @param aKey "config/fleet" or "config/profiles".
  bool WriteBackNeeded(const std::string& aKey) const;

  /// States which fleet revision the scheduler works with. The entry record acknowledges a revision
  /// only after this call, so that the planner never sees a revision without its busy hosts.
  /// @param aBusy Hosts that drain at this revision and still run requests of this daemon.
  void Acknowledge(uint64_t aFleetRevision, std::set<std::string> aBusy);
  /// @param aSuspects Hosts that the circuit breakers hold open.
  void SetSuspects(std::set<std::string> aSuspects);
  void SetStopping(bool aStopping);
  /// The holder of the planner duty watches the store and polls the host list like an observer, and
  /// writes a greater fleet document back at once.
  void SetHoldsPlannerLease(bool aHolds);

  /// Takes a document that another module of this daemon has written to the store, and pushes it to
  /// the other daemons.
  void ApplyIfNewer(const std::string& aKey, const std::string& aText);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
