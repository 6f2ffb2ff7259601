#include "sardinespoke/fleet_map.h"

#include "bounded_json_p.h"
#include "fleet_map_reader_p.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace sardinespoke {

// Layout of the document. Hosts refer to pools and failure domains by index, and each host is an
// array, so that a host takes about 60 bytes.
//
//   {"revision":7,"writer":"e1","change_id":"...","recent_changes":["...",...],
//    "rollout":{"number":1,"active":true,"paused":false,"started_by":"..."},
//    "pools":["births",...],
//    "domains":[["rack","zone","region"],...],
//    "hosts":{"<id>":[address, domain, pool, state, changed revision, boot, maintained roll-out
//                     (, drain reason (, target pool))]},
//    "members":{"<id>":[incarnation, joined revision, acknowledged revision]}}

namespace {

constexpr std::array<const char*, static_cast<size_t>(HostState::Count)> kStateNames{ "serving",
                                                                                      "draining",
                                                                                      "maintenance",
                                                                                      "failed",
                                                                                      "leaving" };
constexpr std::array<const char*, static_cast<size_t>(DrainReason::Count)>
  kReasonNames{ "none", "move", "maintenance", "leaving" };

using FailureDomain = std::tuple<std::string, std::string, std::string>;

/// Assigns an index to each distinct value, in the order of first use.
template<typename Value>
class IndexTable
{
public:
  size_t Index(const Value& aValue)
  {
    const auto [found, added] = indices_.emplace(aValue, values_.size());
    if (added) {
      values_.push_back(aValue);
    }
    return found->second;
  }

  const std::vector<Value>& Values() const { return values_; }

private:
  std::map<Value, size_t> indices_;
  std::vector<Value> values_;
};

nlohmann::json
HostRow(const FleetHost& aHost,
        IndexTable<std::string>& aPools,
        IndexTable<FailureDomain>& aDomains)
{
  nlohmann::json row = nlohmann::json::array({
    aHost.address_,
    aDomains.Index({ aHost.rack_, aHost.zone_, aHost.region_ }),
    aPools.Index(aHost.pool_),
    HostStateName(aHost.state_),
    aHost.changedRevision_,
    aHost.boot_,
    aHost.maintainedRollout_,
  });
  if (aHost.reason_ == DrainReason::None) {
    return row;
  }
  row.push_back(kReasonNames[static_cast<size_t>(aHost.reason_)]);
  if (aHost.reason_ == DrainReason::Move) {
    row.push_back(aPools.Index(aHost.targetPool_));
  }
  return row;
}

/// Checks that the host has a pool, and that its drain reason and target pool match its state.
void
CheckHost(FleetMapReader& aReader, const FleetHost& aHost, const std::string& aPath)
{
  const bool draining = aHost.state_ == HostState::Draining;
  if (draining != (aHost.reason_ != DrainReason::None)) {
    aReader.Fail(aPath, "a drain reason is expected exactly when the state is draining");
  }
  if (aHost.pool_.empty()) {
    aReader.Fail(aPath, "the host is in no pool");
  }
  const bool moving = aHost.reason_ == DrainReason::Move;
  if (moving != !aHost.targetPool_.empty()) {
    aReader.Fail(aPath, "a target pool is expected exactly when the host drains for a move");
  }
  if (moving && aHost.targetPool_ == aHost.pool_) {
    aReader.Fail(aPath, "the target pool is the host's own pool");
  }
}

FleetHost
ReadHost(FleetMapReader& aReader,
         const std::string& aId,
         const nlohmann::json& aRow,
         const std::vector<std::string>& aPools,
         const std::vector<std::vector<std::string>>& aDomains)
{
  enum Column
  {
    Address,
    DomainIndex,
    Pool,
    State,
    Changed,
    Boot,
    Maintained,
    Reason,
    Target
  };
  const std::string path = "/hosts/" + aId;
  FleetHost host;
  host.id_ = aId;
  if (!aReader.CheckRow(aRow, path, Reason, Target + 1)) {
    return host;
  }
  const auto at = [&path](Column aColumn) { return path + "/" + std::to_string(aColumn); };
  host.address_ = aReader.String(aRow[Address], at(Address));
  host.pool_ = aReader.TableEntry(aRow[Pool], at(Pool), aPools);
  host.state_ = aReader.EnumByName<HostState>(aRow[State], at(State), kStateNames);
  host.changedRevision_ = aReader.Number(aRow[Changed], at(Changed));
  host.boot_ = aReader.Number(aRow[Boot], at(Boot));
  host.maintainedRollout_ = aReader.Number(aRow[Maintained], at(Maintained));
  const std::vector<std::string> domain =
    aReader.TableEntry(aRow[DomainIndex], at(DomainIndex), aDomains);
  if (domain.size() == 3) {
    host.rack_ = domain[0];
    host.zone_ = domain[1];
    host.region_ = domain[2];
  }
  if (aRow.size() > Reason) {
    host.reason_ = aReader.EnumByName<DrainReason>(aRow[Reason], at(Reason), kReasonNames);
  }
  if (aRow.size() > Target) {
    host.targetPool_ = aReader.TableEntry(aRow[Target], at(Target), aPools);
  }
  CheckHost(aReader, host, path);
  return host;
}

Member
ReadMember(FleetMapReader& aReader, const std::string& aId, const nlohmann::json& aRow)
{
  const std::string path = "/members/" + aId;
  Member member;
  member.id_ = aId;
  if (!aReader.CheckRow(aRow, path, 3, 3)) {
    return member;
  }
  member.incarnation_ = aReader.String(aRow[0], path + "/0");
  member.joinedRevision_ = aReader.Number(aRow[1], path + "/1");
  member.ackedRevision_ = aReader.Number(aRow[2], path + "/2");
  return member;
}

Rollout
ReadRollout(FleetMapReader& aReader, const nlohmann::json& aObject)
{
  const std::string path = "/rollout";
  Rollout rollout;
  if (!aReader.CheckKeys(aObject, path, { "number", "active", "paused", "started_by" })) {
    return rollout;
  }
  rollout.number_ = aReader.Number(aObject["number"], path + "/number");
  rollout.active_ = aReader.Bool(aObject["active"], path + "/active");
  rollout.paused_ = aReader.Bool(aObject["paused"], path + "/paused");
  rollout.startedBy_ = aReader.String(aObject["started_by"], path + "/started_by");
  return rollout;
}

void
ReadHosts(FleetMapReader& aReader, const nlohmann::json& aDocument, FleetMap& aFleet)
{
  const std::vector<std::string> pools = aReader.Strings(aDocument["pools"], "/pools");
  std::vector<std::vector<std::string>> domains;
  if (aReader.CheckArray(aDocument["domains"], "/domains")) {
    for (const nlohmann::json& row : aDocument["domains"]) {
      const std::string path = "/domains/" + std::to_string(domains.size());
      domains.push_back(aReader.Strings(row, path));
      if (domains.back().size() != 3) {
        aReader.Fail(path, "expected rack, zone and region");
      }
    }
  }
  if (!aReader.CheckObject(aDocument["hosts"], "/hosts")) {
    return;
  }
  for (const auto& [id, row] : aDocument["hosts"].items()) {
    aFleet.hosts_.emplace(id, ReadHost(aReader, id, row, pools, domains));
  }
}

}

const char*
HostStateName(HostState aState)
{
  return aState < HostState::Count ? kStateNames[static_cast<size_t>(aState)] : "invalid";
}

const char*
DrainReasonName(DrainReason aReason)
{
  return aReason < DrainReason::Count ? kReasonNames[static_cast<size_t>(aReason)] : "invalid";
}

void
FleetMap::BeginWrite(const std::string& aWriter, const std::string& aChangeId)
{
  ++revision_;
  writer_ = aWriter;
  if (!changeId_.empty()) {
    recentChanges_.push_back(changeId_);
  }
  changeId_ = aChangeId;
  if (recentChanges_.size() > kMaxRecentChanges) {
    recentChanges_.erase(recentChanges_.begin());
  }
}

bool
FleetMap::HasChange(const std::string& aChangeId) const
{
  return changeId_ == aChangeId ||
         std::find(recentChanges_.begin(), recentChanges_.end(), aChangeId) != recentChanges_.end();
}

leaf::result<FleetMap>
FleetMap::Parse(const std::string& aText)
{
  const nlohmann::json document = ParseJson(aText);
  if (document.is_discarded()) {
    return leaf::new_error(
      ConfigError{ ConfigError::Code::NotJson, "", "the fleet document is not JSON" });
  }
  FleetMapReader reader;
  FleetMap fleet;
  if (reader.CheckKeys(document,
                       "",
                       { "revision",
                         "writer",
                         "change_id",
                         "recent_changes",
                         "rollout",
                         "pools",
                         "domains",
                         "hosts",
                         "members" })) {
    fleet.revision_ = reader.Number(document["revision"], "/revision");
    fleet.writer_ = reader.String(document["writer"], "/writer");
    fleet.changeId_ = reader.String(document["change_id"], "/change_id");
    fleet.recentChanges_ = reader.Strings(document["recent_changes"], "/recent_changes");
    fleet.rollout_ = ReadRollout(reader, document["rollout"]);
    ReadHosts(reader, document, fleet);
    if (reader.CheckObject(document["members"], "/members")) {
      for (const auto& [id, row] : document["members"].items()) {
        fleet.members_.emplace(id, ReadMember(reader, id, row));
      }
    }
  }
  if (reader.Error()) {
    return leaf::new_error(*reader.Error());
  }
  return fleet;
}

std::string
FleetMap::Serialize() const
{
  IndexTable<std::string> pools;
  IndexTable<FailureDomain> domains;
  nlohmann::json hosts = nlohmann::json::object();
  for (const auto& [id, host] : hosts_) {
    hosts[id] = HostRow(host, pools, domains);
  }
  nlohmann::json members = nlohmann::json::object();
  for (const auto& [id, member] : members_) {
    members[id] = { member.incarnation_, member.joinedRevision_, member.ackedRevision_ };
  }
  const nlohmann::json document = {
    { "revision", revision_ },
    { "writer", writer_ },
    { "change_id", changeId_ },
    { "recent_changes", recentChanges_ },
    { "rollout",
      { { "number", rollout_.number_ },
        { "active", rollout_.active_ },
        { "paused", rollout_.paused_ },
        { "started_by", rollout_.startedBy_ } } },
    { "pools", pools.Values() },
    { "domains", domains.Values() },
    { "hosts", std::move(hosts) },
    { "members", std::move(members) },
  };
  return document.dump();
}

}
