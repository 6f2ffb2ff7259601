#pragma once

#include "cluster_fixture.h"

namespace sardinespoke {

/// Planner stand-in that repeatedly moves one host between two pools by the rules of docs/design.md
/// 5.2. It is not a member, and reaches the store unless that is down.
class MovePlanner
{
public:
  static constexpr milliseconds kMemberStopTime{ 8000 };
  static constexpr milliseconds kMoveInterval{ 4000 }; ///< Time between two moves.

  MovePlanner(MemoryPlatform& aPlatform, const ClockI& aClock)
    : platform_(aPlatform)
    , clock_(aClock)
  {
  }

  /// @returns Pool in which the host serves in the last written document; empty while it moves.
  const std::string& ServingPool() const { return servingPool_; }
  int Moves() const { return moves_; }

  void Step()
  {
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(range, platform_.Range("sardinespoke/"));
        return Plan(range);
      },
      []() {});
  }

private:
  leaf::result<void> Plan(const KeyValueRange& aRange)
  {
    FleetMap fleet;
    uint64_t version = 0;
    EntryRoster roster;
    for (const KeyValueItem& item : aRange.items_) {
      if (item.key_ == "sardinespoke/config/fleet") {
        BOOST_LEAF_ASSIGN(fleet, FleetMap::Parse(item.value_));
        version = item.version_;
      } else if (item.key_.starts_with("sardinespoke/entry/")) {
        BOOST_LEAF_AUTO(record, EntryRecord::Parse(item.value_));
        roster[record.id_] = record;
      }
    }
    FleetHost& host = fleet.hosts_["h1"];
    ++fleet.revision_;
    if (host.id_.empty()) {
      host.id_ = "h1";
      host.pool_ = "a";
    } else if (host.state_ == HostState::Serving) {
      if (clock_.Now() - movedAt_ < kMoveInterval) {
        return {};
      }
      host.state_ = HostState::Draining;
      host.reason_ = DrainReason::Move;
      host.targetPool_ = host.pool_ == "a" ? "b" : "a";
      firstRevision_ = fleet.revision_;
      firstWriteAt_ = clock_.Now();
    } else if (Acknowledged(fleet, roster)) {
      host.pool_ = host.targetPool_;
      host.targetPool_.clear();
      host.state_ = HostState::Serving;
      host.reason_ = DrainReason::None;
      movedAt_ = clock_.Now();
      ++moves_;
    } else {
      return {};
    }
    for (auto& [id, member] : fleet.members_) {
      auto record = roster.find(id);
      if (record != roster.end() && record->second.incarnation_ == member.incarnation_) {
        member.ackedRevision_ = std::max(member.ackedRevision_, record->second.fleetRevision_);
      }
    }
    BOOST_LEAF_CHECK(
      platform_.Put("sardinespoke/config/fleet", fleet.Serialize(), version, std::nullopt));
    servingPool_ = host.state_ == HostState::Serving ? host.pool_ : "";
    return {};
  }

  bool Acknowledged(FleetMap& aFleet, const EntryRoster& aRoster)
  {
    bool all = true;
    const std::map<std::string, Member> members = aFleet.members_;
    for (const auto& [id, member] : members) {
      auto record = aRoster.find(id);
      if (record != aRoster.end()) {
        goneSince_.erase(id);
        all = all && record->second.incarnation_ == member.incarnation_ &&
              record->second.fleetRevision_ >= firstRevision_ && record->second.busy_.empty();
        continue;
      }
      // Peers may have confirmed the view of a member without a record until the first write, so
      // the wait starts at the later of the record's expiry and the first write.
      const TimePoint gone = goneSince_.try_emplace(id, clock_.Now()).first->second;
      const bool stopped = clock_.Now() - std::max(gone, firstWriteAt_) >= kMemberStopTime;
      if (!stopped || !HasWitness(aFleet, aRoster, member)) {
        all = false;
        continue;
      }
      aFleet.members_.erase(id);
    }
    return all;
  }

  /// @returns Whether the expired member had acknowledged a document with a member that is live.
  static bool HasWitness(const FleetMap& aFleet, const EntryRoster& aRoster, const Member& aExpired)
  {
    return std::any_of(aFleet.members_.begin(), aFleet.members_.end(), [&](const auto& aItem) {
      const Member& member = aItem.second;
      auto record = aRoster.find(member.id_);
      return member.id_ != aExpired.id_ && record != aRoster.end() &&
             record->second.incarnation_ == member.incarnation_ &&
             member.joinedRevision_ <= std::max(aExpired.joinedRevision_, aExpired.ackedRevision_);
    });
  }

  MemoryPlatform& platform_;
  const ClockI& clock_;
  std::map<std::string, TimePoint> goneSince_;
  uint64_t firstRevision_ = 0;
  TimePoint firstWriteAt_;
  TimePoint movedAt_;
  std::string servingPool_;
  int moves_ = 0;
};

}
