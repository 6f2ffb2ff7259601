#include "sardinespoke/entry_record.h"

#include "bounded_json_p.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

leaf::result<EntryRecord>
EntryRecord::Parse(const std::string& aText)
{
  const nlohmann::json doc = ParseJson(aText);
  if (!doc.is_object()) {
    return leaf::new_error(
      ConfigError{ ConfigError::Code::NotJson, "/", "entry record: expected a JSON object" });
  }
  try {
    EntryRecord record;
    record.id_ = doc.at("id").get<std::string>();
    record.incarnation_ = doc.at("incarnation").get<std::string>();
    record.caller_ = doc.at("caller").get<std::string>();
    record.admin_ = doc.at("admin").get<std::string>();
    record.peer_ = doc.at("peer").get<std::string>();
    record.zone_ = doc.at("zone").get<std::string>();
    record.stopping_ = doc.at("stopping").get<bool>();
    record.profilesRevision_ = doc.at("profiles_revision").get<uint64_t>();
    record.fleetRevision_ = doc.at("fleet_revision").get<uint64_t>();
    record.busy_ = doc.at("busy").get<std::set<std::string>>();
    record.suspects_ = doc.at("suspects").get<std::set<std::string>>();
    return record;
  } catch (const nlohmann::json::exception& error) {
    return leaf::new_error(
      ConfigError{ ConfigError::Code::Schema, "/", std::string("entry record: ") + error.what() });
  }
}

std::string
EntryRecord::Serialize() const
{
  return nlohmann::json{
    { "id", id_ },
    { "incarnation", incarnation_ },
    { "caller", caller_ },
    { "admin", admin_ },
    { "peer", peer_ },
    { "zone", zone_ },
    { "stopping", stopping_ },
    { "profiles_revision", profilesRevision_ },
    { "fleet_revision", fleetRevision_ },
    { "busy", busy_ },
    { "suspects", suspects_ }
  }.dump();
}

}
