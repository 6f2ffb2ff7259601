#pragma once

#include "sardinespoke/errors.h"
#include "sardinespoke/profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// Configuration of a pool of hosts.
struct PoolRules
{
  std::string name_;
  uint32_t floorHosts_ = 1; ///< Hosts that must remain serving after the loss of any one rack.
  uint32_t slotsPerHost_ = 8;
  uint32_t connectionsPerHost_ = 64;
  bool spare_ = false; ///< The pool that spare hosts are taken from and returned to.

  bool operator==(const PoolRules&) const = default;
};

/// A service that callers name; it runs in one pool under one profile.
struct Service
{
  std::string name_;
  std::string pool_;
  std::string profile_;

  bool operator==(const Service&) const = default;
};

/// One accepted change of the configuration.
struct ChangeRecord
{
  uint64_t revision_ = 0;
  std::string changeId_; ///< Idempotency key chosen by the client.
  std::string author_;
  std::string summary_;
  std::string acceptedAt_; ///< Wall-clock time in ISO 8601, for display only.

  bool operator==(const ChangeRecord&) const = default;
};

/// The configuration document `config/profiles`. Immutable once published.
struct ProfileSet
{
  static constexpr size_t kMaxHistory = 64;

  uint64_t revision_ = 0;
  std::map<std::string, uint32_t> vouchers_; ///< Slots a team has paid for.
  std::map<std::string, PoolRules> pools_;
  std::map<std::string, Profile> profiles_;
  std::map<std::string, Service> services_;
  std::vector<ChangeRecord> history_; ///< Oldest first, at most kMaxHistory.

  /// Parses and validates a document.
  /// @param aText JSON text.
  /// @param aFleetSlots Slots of the whole fleet; 0 skips the checks against the fleet. "revision"
  /// and "history" may be absent, as in a document that an operator wrote.
  /// Errors: ConfigError with the path of the field.
  static leaf::result<ProfileSet> Parse(const std::string& aText, uint64_t aFleetSlots);

  /// @returns JSON text that Parse() reads back to an equal set.
  std::string Serialize() const;

  /// Checks that each pool has enough hosts for its floor and its entitlements.
  /// @param aPoolHosts Hosts per pool in any state; a pool that is not listed has none.
  /// Errors: ConfigError with the path of the field.
  leaf::result<void> CheckPools(const std::map<std::string, uint32_t>& aPoolHosts) const;

  bool operator==(const ProfileSet&) const = default;
};

}
