#include "sardinespoke/profile_set.h"

#include "json_document_p.h"
#include "profile_fields_p.h"
#include "profile_json_p.h"

namespace sardinespoke {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, static_cast<size_t>(Urgency::Count)> kUrgencyNames{ "urgent",
                                                                                      "standard",
                                                                                      "batch" };

Urgency
UrgencyFromName(const std::string& aName)
{
  for (size_t index = 0; index < kUrgencyNames.size(); ++index) {
    if (aName == kUrgencyNames[index]) {
      return static_cast<Urgency>(index);
    }
  }
  return Urgency::Count;
}

template<typename Numbers, typename Owner>
void
ReadNumbers(const Numbers& aNumbers, const Json& aJson, Owner& aOwner)
{
  for (const auto& field : aNumbers) {
    aOwner.*field.member_ = aJson.value(field.key_, aOwner.*field.member_);
  }
}

template<typename Durations, typename Owner>
void
ReadDurations(const Durations& aDurations, const Json& aJson, Owner& aOwner)
{
  for (const auto& field : aDurations) {
    const int64_t defaultMs = (aOwner.*field.member_).count();
    aOwner.*field.member_ = std::chrono::milliseconds(aJson.value(field.key_, defaultMs));
  }
}

template<typename Numbers, typename Owner>
void
WriteNumbers(const Numbers& aNumbers, const Owner& aOwner, Json& aJson)
{
  for (const auto& field : aNumbers) {
    aJson[field.key_] = aOwner.*field.member_;
  }
}

template<typename Durations, typename Owner>
void
WriteDurations(const Durations& aDurations, const Owner& aOwner, Json& aJson)
{
  for (const auto& field : aDurations) {
    aJson[field.key_] = (aOwner.*field.member_).count();
  }
}

Profile
ReadProfile(const std::string& aName, const Json& aJson)
{
  Profile profile;
  profile.name_ = aName;
  profile.team_ = aJson.at("team");
  profile.urgency_ = UrgencyFromName(aJson.value("urgency", UrgencyName(profile.urgency_)));
  ReadNumbers(kProfileNumbers, aJson, profile);
  ReadDurations(kProfileDurations, aJson, profile);
  const Json maintenance = aJson.value("maintenance", Json::object());
  ReadNumbers(kMaintenanceNumbers, maintenance, profile.maintenance_);
  ReadDurations(kMaintenanceDurations, maintenance, profile.maintenance_);
  return profile;
}

Json
WriteProfile(const Profile& aProfile)
{
  Json maintenance;
  WriteNumbers(kMaintenanceNumbers, aProfile.maintenance_, maintenance);
  WriteDurations(kMaintenanceDurations, aProfile.maintenance_, maintenance);
  Json json{ { "team", aProfile.team_ },
             { "urgency", UrgencyName(aProfile.urgency_) },
             { "maintenance", maintenance } };
  WriteNumbers(kProfileNumbers, aProfile, json);
  WriteDurations(kProfileDurations, aProfile, json);
  return json;
}

ChangeRecord
ReadChange(const Json& aJson)
{
  return { aJson.at("revision"),
           aJson.at("change_id"),
           aJson.at("author"),
           aJson.value("summary", ""),
           aJson.value("accepted_at", "") };
}

Json
WriteChange(const ChangeRecord& aChange)
{
  return { { "revision", aChange.revision_ },
           { "change_id", aChange.changeId_ },
           { "author", aChange.author_ },
           { "summary", aChange.summary_ },
           { "accepted_at", aChange.acceptedAt_ } };
}

}

const char*
UrgencyName(Urgency aUrgency)
{
  return aUrgency < Urgency::Count ? kUrgencyNames[static_cast<size_t>(aUrgency)] : "invalid";
}

leaf::result<ProfileSet>
ReadProfileSet(const Json& aDocument, uint64_t aFleetSlots)
{
  BOOST_LEAF_CHECK(CheckSchema(aDocument));
  ProfileSet set;
  set.revision_ = aDocument.value("revision", uint64_t{ 0 });
  set.vouchers_ = aDocument.at("vouchers").get<std::map<std::string, uint32_t>>();
  for (const auto& [name, json] : aDocument.at("pools").items()) {
    PoolRules& pool = set.pools_[name];
    pool.name_ = name;
    pool.spare_ = json.value("spare", false);
    ReadNumbers(kPoolNumbers, json, pool);
  }
  for (const auto& [name, json] : aDocument.at("profiles").items()) {
    set.profiles_[name] = ReadProfile(name, json);
  }
  for (const auto& [name, json] : aDocument.at("services").items()) {
    set.services_[name] = { name, json.at("pool"), json.at("profile") };
  }
  for (const Json& change : aDocument.value("history", Json::array())) {
    set.history_.push_back(ReadChange(change));
  }
  BOOST_LEAF_CHECK(CheckSemantics(set, aFleetSlots));
  return set;
}

leaf::result<ProfileSet>
ProfileSet::Parse(const std::string& aText, uint64_t aFleetSlots)
{
  BOOST_LEAF_AUTO(document, ParseStrict(aText, ""));
  return ReadProfileSet(document, aFleetSlots);
}

Json
ToJson(const ProfileSet& aSet)
{
  Json pools = Json::object();
  for (const auto& [name, pool] : aSet.pools_) {
    pools[name]["spare"] = pool.spare_;
    WriteNumbers(kPoolNumbers, pool, pools[name]);
  }
  Json profiles = Json::object();
  for (const auto& [name, profile] : aSet.profiles_) {
    profiles[name] = WriteProfile(profile);
  }
  Json services = Json::object();
  for (const auto& [name, service] : aSet.services_) {
    services[name] = { { "pool", service.pool_ }, { "profile", service.profile_ } };
  }
  Json history = Json::array();
  for (const ChangeRecord& change : aSet.history_) {
    history.push_back(WriteChange(change));
  }
  return { { "revision", aSet.revision_ }, { "vouchers", aSet.vouchers_ }, { "pools", pools },
           { "profiles", profiles },       { "services", services },       { "history", history } };
}

std::string
ProfileSet::Serialize() const
{
  return ToJson(*this).dump();
}

}
