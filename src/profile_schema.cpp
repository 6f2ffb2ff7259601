#include "profile_fields_p.h"
#include "profile_json_p.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

constexpr size_t kMaxNameLength = 64;
constexpr const char* kExpectedName =
  "1 to 64 lower-case letters, digits and dashes, such as \"births-urgent\"";

// The "description" of a schema is what an error says was expected.

Json
Integer(uint64_t aMinimum, uint64_t aMaximum, const std::string& aUnit)
{
  return { { "type", "integer" },
           { "minimum", aMinimum },
           { "maximum", aMaximum },
           { "description",
             "a whole number of " + aUnit + " from " + std::to_string(aMinimum) + " to " +
               std::to_string(aMaximum) } };
}

Json
Text()
{
  return { { "type", "string" }, { "description", "a text" } };
}

Json
ClosedObject(const Json& aProperties, const Json& aRequired)
{
  return { { "type", "object" },
           { "properties", aProperties },
           { "required", aRequired },
           { "additionalProperties", false },
           { "description", "an object" } };
}

/// An object whose keys are names that operators choose.
Json
Named(const Json& aValue)
{
  return { { "type", "object" },
           { "additionalProperties", aValue },
           { "description", "an object with one entry per name" } };
}

template<typename Numbers>
void
AddNumbers(const Numbers& aNumbers, Json& aProperties, Json& aRequired)
{
  for (const auto& field : aNumbers) {
    aProperties[field.key_] = Integer(field.minimum_, field.maximum_, field.unit_);
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
    aProperties[field.key_] = Integer(1, kMaxDurationMs, "milliseconds");
  }
}

Json
PoolSchema()
{
  Json properties{ { "spare", { { "type", "boolean" }, { "description", "true or false" } } } };
  Json required = Json::array();
  AddNumbers(kPoolNumbers, properties, required);
  return ClosedObject(properties, required);
}

Json
MaintenanceSchema()
{
  Json properties = Json::object();
  Json required = Json::array();
  AddNumbers(kMaintenanceNumbers, properties, required);
  AddDurations(kMaintenanceDurations, properties);
  return ClosedObject(properties, required);
}

Json
UrgencySchema()
{
  Json names = Json::array();
  for (int urgency = 0; urgency < static_cast<int>(Urgency::Count); ++urgency) {
    names.push_back(UrgencyName(static_cast<Urgency>(urgency)));
  }
  return { { "enum", names }, { "description", "one of " + names.dump() } };
}

Json
ProfileSchema()
{
  Json properties{ { "team", Text() },
                   { "urgency", UrgencySchema() },
                   { "maintenance", MaintenanceSchema() } };
  Json required = Json::array({ "team" });
  AddNumbers(kProfileNumbers, properties, required);
  AddDurations(kProfileDurations, properties);
  return ClosedObject(properties, required);
}

Json
HistorySchema()
{
  const Json record = ClosedObject({ { "revision", Integer(0, INT64_MAX, "revisions") },
                                     { "change_id", Text() },
                                     { "author", Text() },
                                     { "summary", Text() },
                                     { "accepted_at", Text() } },
                                   { "revision", "change_id", "author" });
  return { { "type", "array" },
           { "items", record },
           { "maxItems", ProfileSet::kMaxHistory },
           { "description",
             "a list of at most " + std::to_string(ProfileSet::kMaxHistory) + " change records" } };
}

Json
DocumentSchema()
{
  const Json service =
    ClosedObject({ { "pool", Text() }, { "profile", Text() } }, { "pool", "profile" });
  return ClosedObject({ { "revision", Integer(0, INT64_MAX, "accepted changes") },
                        { "vouchers", Named(Integer(0, kMaxSlots, "slots")) },
                        { "pools", Named(PoolSchema()) },
                        { "profiles", Named(ProfileSchema()) },
                        { "services", Named(service) },
                        { "history", HistorySchema() } },
                      { "vouchers", "pools", "profiles", "services" });
}

/// The schema as JSON and in the form that valijson uses; both are built once.
struct CompiledSchema
{
  CompiledSchema()
    : json_(DocumentSchema())
  {
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(json_), schema_);
  }

  const Json json_;
  valijson::Schema schema_;
};

const CompiledSchema&
Schema()
{
  static const CompiledSchema kSchema;
  return kSchema;
}

/// The deepest error is the one next to the cause; the others only repeat it for enclosing values.
std::vector<std::string>
DeepestContext(const valijson::ValidationResults& aResults)
{
  const auto deepest =
    std::max_element(aResults.begin(), aResults.end(), [](const auto& aFirst, const auto& aSecond) {
      return aFirst.context.size() < aSecond.context.size();
    });
  std::vector<std::string> path;
  for (size_t index = 1; index < deepest->context.size(); ++index) {
    const std::string& part = deepest->context[index]; // Such as "[profiles]".
    path.push_back(part.substr(1, part.size() - 2));
  }
  return path;
}

const Json&
Child(const Json& aSchema, const std::string& aKey)
{
  if (aSchema.contains("items")) {
    return aSchema["items"];
  }
  const Json& properties = aSchema.contains("properties") ? aSchema["properties"] : aSchema;
  return properties.contains(aKey) ? properties[aKey] : aSchema["additionalProperties"];
}

ConfigError
SchemaError(const Pointer& aPath, const std::string& aFound, const std::string& aExpected)
{
  return { ConfigError::Code::Schema,
           aPath.to_string(),
           "found " + aFound + "; expected " + aExpected };
}

/// States what is wrong with the value at a path that valijson has refused.
ConfigError
Explain(const Json& aDocument, const std::vector<std::string>& aPath)
{
  const Json* schema = &Schema().json_;
  Pointer pointer;
  for (const std::string& key : aPath) {
    schema = &Child(*schema, key);
    pointer /= key;
  }
  const Json& value = aDocument.at(pointer);
  const std::string expected = (*schema)["description"];
  if (!value.is_object() || !schema->contains("properties")) {
    return SchemaError(pointer, Shorten(value), expected);
  }
  const Json& properties = (*schema)["properties"];
  for (const auto& [key, child] : value.items()) {
    if (!properties.contains(key)) {
      std::string known;
      for (const auto& property : properties.items()) {
        known += (known.empty() ? "" : ", ") + property.key();
      }
      return SchemaError(pointer / key, "an unknown key", "one of " + known);
    }
  }
  for (const Json& required : (*schema)["required"]) {
    const std::string key = required;
    if (!value.contains(key)) {
      return SchemaError(pointer / key, "nothing", properties[key]["description"]);
    }
  }
  return SchemaError(pointer, Shorten(value), expected);
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
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target(aDocument);
  if (!validator.validate(Schema().schema_, target, &results)) {
    return leaf::new_error(Explain(aDocument, DeepestContext(results)));
  }
  for (const char* section : { "vouchers", "pools", "profiles", "services" }) {
    for (const auto& entry : aDocument[section].items()) {
      if (!IsName(entry.key())) {
        return leaf::new_error(
          SchemaError(Pointer() / section / entry.key(), Shorten(entry.key()), kExpectedName));
      }
    }
  }
  return {};
}

}
