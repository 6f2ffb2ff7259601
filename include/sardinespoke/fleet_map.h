#pragma once

#include "sardinespoke/errors.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// State of a host.
enum class HostState
{
  Serving,     ///< Runs work of its pool.
  Draining,    ///< Gets no new work; finishes what it runs.
  Maintenance, ///< Rebooting under a roll-out.
  Failed,      ///< Not usable; still counts against its pool's availability budget.
  Leaving,     ///< Drained, and the platform's host list shows it as leaving.
  Count
};

/// @returns The state's name in documents, such as "serving".
const char*
HostStateName(HostState aState);

/// Why a host is draining.
enum class DrainReason
{
  None,
  Move,
  Maintenance,
  Leaving,
  Count
};

/// @returns The reason's name in documents, such as "move".
const char*
DrainReasonName(DrainReason aReason);

/// One host of the fleet. It belongs to exactly one pool.
struct FleetHost
{
  bool operator==(const FleetHost&) const = default;

  std::string id_;
  std::string address_;
  std::string rack_;
  std::string zone_;
  std::string region_;
  std::string pool_;
  std::string targetPool_; ///< Set only while draining for a move.
  HostState state_ = HostState::Serving;
  DrainReason reason_ = DrainReason::None;
  uint64_t changedRevision_ = 0;   ///< Revision of the document that last changed this record.
  uint64_t boot_ = 0;              ///< Boot count at the start of maintenance.
  uint64_t maintainedRollout_ = 0; ///< Number of the last roll-out that maintained this host.
};

/// An entry host that may dispatch work (docs/design.md, 5.2).
struct Member
{
  bool operator==(const Member&) const = default;

  std::string id_;
  std::string incarnation_;
  uint64_t joinedRevision_ = 0;
  uint64_t ackedRevision_ = 0; ///< Last revision that it is known to have had in force.
};

/// The maintenance roll-out in progress.
struct Rollout
{
  bool operator==(const Rollout&) const = default;

  uint64_t number_ = 0; ///< 0 if there never was one.
  bool active_ = false;
  bool paused_ = false;
  std::string startedBy_;
};

/// The fleet document `config/fleet`. Immutable once published.
struct FleetMap
{
  bool operator==(const FleetMap&) const = default;

  uint64_t revision_ = 0;
  std::string writer_;   ///< Entry host that wrote this revision.
  std::string changeId_; ///< Unique per write; shows after a lost response whether it took effect.
  std::vector<std::string> recentChanges_; ///< Change ids of the previous writes, oldest first.
  std::map<std::string, FleetHost> hosts_;
  std::map<std::string, Member> members_;
  Rollout rollout_;

  static constexpr size_t kMaxRecentChanges = 16;

  /// Turns a copy of the current document into the next revision: increments the revision and sets
  /// writer and change id.
  /// @param aWriter Id of the entry host that writes it.
  /// @param aChangeId Unique id of this write.
  void BeginWrite(const std::string& aWriter, const std::string& aChangeId);

  /// @returns Whether the write with this change id is one of the latest that took effect.
  bool HasChange(const std::string& aChangeId) const;

  /// Parses a document. Errors: ConfigError.
  static leaf::result<FleetMap> Parse(const std::string& aText);

  /// @returns Compact JSON text that Parse() reads back to an equal map.
  std::string Serialize() const;
};

}
