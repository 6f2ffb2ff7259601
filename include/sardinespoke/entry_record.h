#pragma once

#include "sardinespoke/errors.h"

#include <cstdint>
#include <set>
#include <string>

namespace sardinespoke {

/// The record `entry/<id>` of one entry host in the store; deleted when its lease expires.
struct EntryRecord
{
  std::string id_;
  std::string incarnation_;
  std::string caller_; ///< "ip:port" for callers.
  std::string admin_;  ///< "ip:port" for operators.
  std::string peer_;   ///< "ip:port" for other entry hosts.
  std::string zone_;
  bool stopping_ = false;
  uint64_t profilesRevision_ = 0;  ///< Revision in force; 0 if none.
  uint64_t fleetRevision_ = 0;     ///< Revision in force; 0 if none.
  std::set<std::string> busy_;     ///< Draining hosts that still run requests of this entry host.
  std::set<std::string> suspects_; ///< Hosts whose circuit breakers are open at this entry host.

  /// Parses a record. Errors: ConfigError.
  static leaf::result<EntryRecord> Parse(const std::string& aText);

  /// @returns Compact JSON text that Parse() reads back to an equal record.
  std::string Serialize() const;

  bool operator==(const EntryRecord&) const = default;
};

}
