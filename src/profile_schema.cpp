#include "json_document_p.h"
#include "json_schema_p.h"
#include "profile_fields_p.h"
#include "profile_json_p.h"

namespace sardinespoke {

namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

constexpr size_t kMaxNameLength = 64;
constexpr const char* kExpectedName =
  "1 to 64 lower-case letters, digits and dashes, such as \"births-urgent\"";

template<typename Numbers>
void
AddNumbers(const Numbers& aNumbers, Json& aProperties, Json& aRequired)
{
  for (const auto& field : aNumbers) {
    aProperties[field.key_] = JsonSchema::Integer(field.minimum_, field.maximum_, field.unit_);
    if (field.required_) {
      aRequired.push_back(field.key_);
    }
  }
}

template<typename Durations>
void
AddDurations(const Durations& aDurations, Json& aProperties)
{
  for (const auto& field : aDurations) {
    aProperties[field.key_] = JsonSchema::Integer(1, kMaxDurationMs, "milliseconds");
  }
}

Json
PoolSchema()
{
  Json properties{ { "spare", { { "type", "boolean" }, { "description", "true or false" } } } };
  Json required = Json::array();
  AddNumbers(kPoolNumbers, properties, required);
  return JsonSchema::ClosedObject(properties, required);
}

Json
MaintenanceSchema()
{
  Json properties = Json::object();
  Json required = Json::array();
  AddNumbers(kMaintenanceNumbers, properties, required);
  AddDurations(kMaintenanceDurations, properties);
  return JsonSchema::ClosedObject(properties, required);
}

Json
UrgencySchema()
{
  Json names = Json::array();
  for (int urgency = 0; urgency < static_cast<int>(Urgency::Count); ++urgency) {
    names.push_back(UrgencyName(static_cast<Urgency>(urgency)));
  }
  return JsonSchema::OneOf(names);
}

Json
ProfileSchema()
{
  Json properties{ { "team", JsonSchema::Text() },
                   { "urgency", UrgencySchema() },
                   { "maintenance", MaintenanceSchema() } };
  Json required = Json::array({ "team" });
  AddNumbers(kProfileNumbers, properties, required);
  AddDurations(kProfileDurations, properties);
  return JsonSchema::ClosedObject(properties, required);
}

Json
HistorySchema()
{
  const Json record =
    JsonSchema::ClosedObject({ { "revision", JsonSchema::Integer(0, INT64_MAX, "revisions") },
                               { "change_id", JsonSchema::Text() },
                               { "author", JsonSchema::Text() },
                               { "summary", JsonSchema::Text() },
                               { "accepted_at", JsonSchema::Text() } },
                             { "revision", "change_id", "author" });
  return JsonSchema::List(record,
                          ProfileSet::kMaxHistory,
                          "a list of at most " + std::to_string(ProfileSet::kMaxHistory) +
                            " change records");
}

Json
DocumentSchema()
{
  const Json service = JsonSchema::ClosedObject(
    { { "pool", JsonSchema::Text() }, { "profile", JsonSchema::Text() } }, { "pool", "profile" });
  return JsonSchema::ClosedObject(
    { { "revision", JsonSchema::Integer(0, INT64_MAX, "accepted changes") },
      { "vouchers", JsonSchema::MapOf(JsonSchema::Integer(0, kMaxSlots, "slots")) },
      { "pools", JsonSchema::MapOf(PoolSchema()) },
      { "profiles", JsonSchema::MapOf(ProfileSchema()) },
      { "services", JsonSchema::MapOf(service) },
      { "history", HistorySchema() } },
    { "vouchers", "pools", "profiles", "services" });
}

const JsonSchema&
Schema()
{
  static const JsonSchema kSchema(DocumentSchema());
  return kSchema;
}

bool
IsName(const std::string& aText)
{
  const auto isAllowed = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= '0' && aCharacter <= '9') ||
           aCharacter == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

}

leaf::result<void>
CheckSchema(const Json& aDocument)
{
  BOOST_LEAF_CHECK(Schema().Check(aDocument));
  for (const char* section : { "vouchers", "pools", "profiles", "services" }) {
    for (const auto& entry : aDocument[section].items()) {
      if (!IsName(entry.key())) {
        return leaf::new_error(JsonSchema::Mismatch(
          Pointer() / section / entry.key(), Shorten(entry.key()), kExpectedName));
      }
    }
  }
  return {};
}

}
