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

/// Registers this entry host and adds it to the member list, synchronizes both documents and the
/// host list with the store and the other entry hosts, and decides whether work may be dispatched
/// (docs/design.md, 5.2). Thread-safe.
class ConfigSync final : public ConfigSourceI
{
public:
  /// Registers handlers for "Confirm", "Document" and "Status" with the link. All references must
  /// outlive the object, and the link must have stopped calling handlers before the object is
  /// destroyed.
  ConfigSync(const ConfigSyncSettings& aSettings,
             KeyValueStoreI& aStore,
             HostListI& aHosts,
             PeerLinkI& aPeers,
             const ClockI& aClock,
             EventLogI& aEvents);
  ~ConfigSync() override;

  /// Starts the threads.
  void Init();

  /// Stops the threads, removes this entry host from the member list and deletes its entry record.
  void Shutdown();

  /// Stops the threads but keeps the registration, as if the process had been killed.
  void Abort();

  /// Makes all due calls in the caller's thread; for tests that do not call Init().
  void Step();

  std::shared_ptr<const ConfigView> Current() const override;
  bool MayDispatch() const override;

  /// @returns The first time at which this daemon may no longer dispatch.
  TimePoint DispatchUntil() const;

  /// @returns The live entry records known to this daemon.
  EntryRoster Roster() const;
  /// @returns The last host list fetched by this daemon; null unless it is an observer or holds the
  /// planner lease.
  std::shared_ptr<const HostListSnapshot> Hosts() const;
  /// @returns Whether the latest call to the store succeeded.
  bool StoreReachable() const;
  bool IsObserver() const;
  /// @returns Whether the fleet document in force lists this process as a member.
  bool IsMember() const;
  /// @returns Incarnation of the current registration.
  std::string Incarnation() const;
  /// @returns Whether the id belongs to a known entry host; messages from others are rejected.
  bool KnowsPeer(const std::string& aId) const;
  /// @returns Peer address of an entry host; empty if unknown.
  std::string PeerAddress(const std::string& aId) const;
  /// @returns Whether the store holds an older document than the one in force.
  /// @param aKey "config/fleet" or "config/profiles".
  bool WriteBackNeeded(const std::string& aKey) const;

  /// Reports the fleet revision that the scheduler uses. The entry record acknowledges a revision
  /// only after this call, so that the planner never reads a revision without its busy hosts.
  /// @param aBusy Hosts that are draining at this revision and still run requests of this daemon.
  void Acknowledge(uint64_t aFleetRevision, std::set<std::string> aBusy);
  /// @param aSuspects Hosts whose circuit breakers are open.
  void SetSuspects(std::set<std::string> aSuspects);
  void SetStopping(bool aStopping);
  /// The holder of the planner lease watches the store and polls the host list like an observer. It
  /// writes a newer fleet document back without the observers' delay.
  void SetHoldsPlannerLease(bool aHolds);

  /// Applies a document that another module of this daemon has written to the store, if its
  /// revision is greater, and pushes it to the other daemons.
  void ApplyIfNewer(const std::string& aKey, const std::string& aText);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
