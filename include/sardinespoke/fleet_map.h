#pragma once

#include "sardinespoke/errors.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// What a host is doing.
enum class HostState
{
  Serving,     ///< Runs work of its pool.
  Draining,    ///< Gets no new work; finishes what it runs.
  Maintenance, ///< Rebooting under a roll-out.
  Failed,      ///< Not usable; still counts against its pool's availability budget.
  Leaving,     ///< The platform's host list says that it leaves.
  Count
};

/// @returns The state's name in documents: "serving", "draining" and so on.
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

/// @returns The reason's name in documents: "none", "move" and so on.
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
  uint64_t ackedRevision_ = 0; ///< Last revision it was seen to have in force.
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
  std::string changeId_; ///< Unique per write; tells after a lost answer whether it took effect.
  std::vector<std::string> recentChanges_; ///< Change ids of the writes before, oldest first.
  std::map<std::string, FleetHost> hosts_;
  std::map<std::string, Member> members_;
  Rollout rollout_;

  static constexpr size_t kMaxRecentChanges = 16;

  /// Turns a copy of the document in force into the next one: revision, writer and change id.
  /// @param aWriter Entry host that writes it.
  /// @param aChangeId Unique id of this write.
  void BeginWrite(const std::string& aWriter, const std::string& aChangeId);

  /// @returns Whether the write with this change id is among the last ones that took effect.
  bool HasChange(const std::string& aChangeId) const;

  /// Parses a document. Errors: ConfigError.
  static leaf::result<FleetMap> Parse(const std::string& aText);

  /// @returns Compact JSON text; Parse() of it gives an equal map.
  std::string Serialize() const;
};

}
