#include "confirm_message_p.h"

#include <functional>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::microseconds;

void
SetAge(json& aJson, const char* aKey, const std::optional<microseconds>& aAge)
{
  if (aAge) {
    aJson[aKey] = aAge->count();
  }
}

std::optional<microseconds>
GetAge(const json& aJson, const char* aKey)
{
  auto found = aJson.find(aKey);
  if (found == aJson.end()) {
    return std::nullopt;
  }
  return microseconds(found->get<int64_t>());
}

json
ReportToJson(const ServiceReport& aReport)
{
  json out{ { "reachable", aReport.reachable_ } };
  SetAge(out, "age_us", aReport.age_);
  SetAge(out, "contact_age_us", aReport.contactAge_);
  return out;
}

ServiceReport
ReportFromJson(const json& aJson)
{
  ServiceReport report;
  report.reachable_ = aJson.at("reachable").get<bool>();
  report.age_ = GetAge(aJson, "age_us");
  report.contactAge_ = GetAge(aJson, "contact_age_us");
  return report;
}

EntryRoster
RosterFromJson(const json& aJson)
{
  EntryRoster roster;
  for (const json& text : aJson) {
    const EntryRecord record =
      leaf::try_handle_all([&]() { return EntryRecord::Parse(text.get<std::string>()); },
                           []() { return EntryRecord{}; });
    if (record.id_.empty()) {
      continue;
    }
    roster.emplace(record.id_, record);
  }
  return roster;
}

}

json
ConfirmRequest::ToJson() const
{
  json out{ { "type", "Confirm" },
            { "sender", sender_ },
            { "incarnation", incarnation_ },
            { "profiles_revision", profilesRevision_ },
            { "fleet_revision", fleetRevision_ },
            { "roster_digest", rosterDigest_ },
            { "leaving_digest", leavingDigest_ },
            { "hybrid_time", hybridTime_ } };
  if (!wholeDocuments_.empty()) {
    out["whole_documents"] = wholeDocuments_;
  }
  if (!sponsor_.empty()) {
    out["sponsor"] = sponsor_;
    out["busy"] = busy_;
    out["acked_revision"] = ackedRevision_;
  }
  return out;
}

ConfirmRequest
ConfirmRequest::FromJson(const json& aJson)
{
  ConfirmRequest request;
  request.sender_ = aJson.at("sender").get<std::string>();
  request.incarnation_ = aJson.at("incarnation").get<std::string>();
  request.profilesRevision_ = aJson.at("profiles_revision").get<uint64_t>();
  request.fleetRevision_ = aJson.at("fleet_revision").get<uint64_t>();
  request.rosterDigest_ = aJson.at("roster_digest").get<uint64_t>();
  request.leavingDigest_ = aJson.at("leaving_digest").get<uint64_t>();
  request.hybridTime_ = aJson.at("hybrid_time").get<uint64_t>();
  if (aJson.contains("whole_documents")) {
    request.wholeDocuments_ = aJson.at("whole_documents").get<std::set<std::string>>();
  }
  if (aJson.contains("sponsor")) {
    request.sponsor_ = aJson.at("sponsor").get<std::string>();
    request.busy_ = aJson.at("busy").get<std::set<std::string>>();
    request.ackedRevision_ = aJson.at("acked_revision").get<uint64_t>();
  }
  return request;
}

json
ConfirmReply::ToJson() const
{
  json out{ { "id", id_ },
            { "profiles_revision", profilesRevision_ },
            { "fleet_revision", fleetRevision_ },
            { "store", ReportToJson(store_) },
            { "list", ReportToJson(list_) },
            { "roster_digest", rosterDigest_ },
            { "leaving_digest", leavingDigest_ },
            { "may_sponsor", maySponsor_ },
            { "hybrid_time", hybridTime_ } };
  SetAge(out, "grant_us", grant_);
  if (roster_) {
    out["roster"] = json::array();
    for (const auto& [id, record] : *roster_) {
      out["roster"].push_back(record.Serialize());
    }
  }
  if (leaving_) {
    out["leaving"] = *leaving_;
  }
  if (!documents_.empty()) {
    out["documents"] = documents_;
  }
  for (const auto& [key, patch] : patches_) {
    out["patches"][key] = PatchToJson(patch);
  }
  return out;
}

ConfirmReply
ConfirmReply::FromJson(const json& aJson)
{
  ConfirmReply reply;
  reply.id_ = aJson.at("id").get<std::string>();
  reply.profilesRevision_ = aJson.at("profiles_revision").get<uint64_t>();
  reply.fleetRevision_ = aJson.at("fleet_revision").get<uint64_t>();
  reply.store_ = ReportFromJson(aJson.at("store"));
  reply.list_ = ReportFromJson(aJson.at("list"));
  reply.rosterDigest_ = aJson.at("roster_digest").get<uint64_t>();
  reply.leavingDigest_ = aJson.at("leaving_digest").get<uint64_t>();
  reply.maySponsor_ = aJson.at("may_sponsor").get<bool>();
  reply.hybridTime_ = aJson.at("hybrid_time").get<uint64_t>();
  reply.grant_ = GetAge(aJson, "grant_us");
  if (aJson.contains("roster")) {
    reply.roster_ = RosterFromJson(aJson.at("roster"));
  }
  if (aJson.contains("leaving")) {
    reply.leaving_ = aJson.at("leaving").get<std::set<std::string>>();
  }
  if (aJson.contains("documents")) {
    reply.documents_ = aJson.at("documents").get<std::map<std::string, std::string>>();
  }
  if (aJson.contains("patches")) {
    for (const auto& [key, patch] : aJson.at("patches").items()) {
      reply.patches_[key] = PatchFromJson(patch);
    }
  }
  return reply;
}

json
PatchToJson(const DocumentPatch& aPatch)
{
  return { { "base", aPatch.base_ },
           { "operations", aPatch.operations_ },
           { "result_hash", aPatch.resultHash_ } };
}

DocumentPatch
PatchFromJson(const json& aJson)
{
  return { aJson.at("base").get<uint64_t>(),
           aJson.at("operations").get<std::string>(),
           aJson.at("result_hash").get<uint64_t>() };
}

uint64_t
Digest(const EntryRoster& aRoster)
{
  std::string all;
  for (const auto& [id, record] : aRoster) {
    all += record.Serialize();
  }
  return std::hash<std::string>{}(all) | 1;
}

uint64_t
Digest(const std::set<std::string>& aNames)
{
  std::string all;
  for (const std::string& name : aNames) {
    all += name + '\n';
  }
  return std::hash<std::string>{}(all) | 1;
}

}
