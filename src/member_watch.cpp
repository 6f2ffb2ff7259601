#include "sardinespoke/member_watch.h"

#include <algorithm>

namespace sardinespoke {

MemberWatch::MemberWatch(MemberLimits aLimits)
  : limits_(aLimits)
{
}

void
MemberWatch::Observe(const FleetMap& aFleet,
                     const std::vector<EntryReport>& aEntries,
                     TimePoint aNow)
{
  std::map<Incarnation, const EntryReport*> records;
  for (const EntryReport& entry : aEntries) {
    records[{ entry.id_, entry.incarnation_ }] = &entry;
  }
  std::map<Incarnation, MemberState> states;
  for (const auto& [id, member] : aFleet.members_) {
    const Incarnation key{ id, member.incarnation_ };
    const auto known = memberStates_.find(key);
    if (known == memberStates_.end()) {
      changed_ = aNow;
    }
    MemberState& current = states[key];
    current = known == memberStates_.end() ? MemberState{} : known->second;
    current.acked_ = std::max({ current.acked_, member.ackedRevision_, member.joinedRevision_ });
    const auto record = records.find(key);
    if (record == records.end()) {
      current.absentSince_ = current.absentSince_.value_or(aNow);
      continue;
    }
    current.absentSince_.reset();
    // Ignores a record older than the last one read: its busy hosts are out of date.
    if (record->second->fleetRevision_ >= current.reported_) {
      current.reported_ = record->second->fleetRevision_;
      current.acked_ = std::max(current.acked_, current.reported_);
      current.busy_ = record->second->busy_;
    }
  }
  for (const auto& [key, old] : memberStates_) {
    if (states.count(key) == 0) {
      changed_ = aNow;
    }
  }
  memberStates_ = std::move(states);
}

bool
MemberWatch::HasWitness(const FleetMap& aFleet, const Member& aExpired) const
{
  const uint64_t acked = memberStates_.at({ aExpired.id_, aExpired.incarnation_ }).acked_;
  for (const auto& [id, member] : aFleet.members_) {
    const auto state = memberStates_.find({ id, member.incarnation_ });
    const bool live = state != memberStates_.end() && !state->second.absentSince_;
    if (live && id != aExpired.id_ && member.joinedRevision_ <= acked) {
      return true;
    }
  }
  return false;
}

std::vector<std::string>
MemberWatch::StoppedMembers(const FleetMap& aFleet, TimePoint aNow) const
{
  std::vector<std::string> stopped;
  for (const auto& [id, member] : aFleet.members_) {
    const auto state = memberStates_.find({ id, member.incarnation_ });
    if (state == memberStates_.end() || !state->second.absentSince_) {
      continue;
    }
    const auto limit =
      HasWitness(aFleet, member) ? limits_.stoppedAfter_ : limits_.stoppedAfterUnwitnessed_;
    if (aNow - *state->second.absentSince_ >= limit) {
      stopped.push_back(id);
    }
  }
  return stopped;
}

std::optional<std::string>
MemberWatch::DrainBlocker(const FleetHost& aHost, const FleetMap& aFleet, TimePoint aNow) const
{
  // An incarnation that has just left or been replaced may still dispatch by the view that it last
  // confirmed.
  if (aNow - changed_ < limits_.settleTime_) {
    return "member list changed";
  }
  for (const auto& [id, member] : aFleet.members_) {
    const auto state = memberStates_.find({ id, member.incarnation_ });
    if (state == memberStates_.end()) {
      return id + " was not observed yet";
    }
    if (state->second.absentSince_) {
      return id + " has no entry record";
    }
    if (state->second.reported_ < aHost.changedRevision_) {
      return id + " has not acknowledged";
    }
    if (state->second.busy_.count(aHost.id_) > 0) {
      return id + " has requests in flight";
    }
  }
  return std::nullopt;
}

bool
MemberWatch::HasUnstoredJoinAcks(const FleetMap& aFleet) const
{
  for (const auto& [id, member] : aFleet.members_) {
    const auto state = memberStates_.find({ id, member.incarnation_ });
    if (state == memberStates_.end()) {
      continue;
    }
    const uint64_t stored = std::max(member.ackedRevision_, member.joinedRevision_);
    for (const auto& [otherId, other] : aFleet.members_) {
      if (stored < other.joinedRevision_ && other.joinedRevision_ <= state->second.acked_) {
        return true;
      }
    }
  }
  return false;
}

void
MemberWatch::CopyAcks(FleetMap& aFleet) const
{
  for (auto& [id, member] : aFleet.members_) {
    const auto state = memberStates_.find({ id, member.incarnation_ });
    if (state != memberStates_.end()) {
      member.ackedRevision_ = std::max(member.ackedRevision_, state->second.acked_);
    }
  }
}

}
