#include "json_schema_p.h"

#include "json_document_p.h"

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

/// @returns The path of the deepest error, which is closest to the cause: valijson repeats an error
/// for each enclosing value.
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

/// Describes the error of the value at a path that valijson rejected.
ConfigError
Explain(const Json& aSchema, const Json& aDocument, const std::vector<std::string>& aPath)
{
  const Json* schema = &aSchema;
  Pointer pointer;
  for (const std::string& key : aPath) {
    schema = &Child(*schema, key);
    pointer /= key;
  }
  const Json& value = aDocument.at(pointer);
  const std::string expected = (*schema)["description"];
  if (!value.is_object() || !schema->contains("properties")) {
    return JsonSchema::Mismatch(pointer, Shorten(value), expected);
  }
  const Json& properties = (*schema)["properties"];
  for (const auto& [key, child] : value.items()) {
    if (!properties.contains(key)) {
      std::string known;
      for (const auto& property : properties.items()) {
        known += (known.empty() ? "" : ", ") + property.key();
      }
      return JsonSchema::Mismatch(pointer / key, "an unknown key", "one of " + known);
    }
  }
  for (const Json& required : (*schema)["required"]) {
    const std::string key = required;
    if (!value.contains(key)) {
      return JsonSchema::Mismatch(pointer / key, "nothing", properties[key]["description"]);
    }
  }
  return JsonSchema::Mismatch(pointer, Shorten(value), expected);
}

}

struct JsonSchema::Compiled
{
  Json json_;
  valijson::Schema schema_;
};

JsonSchema::JsonSchema(Json aSchema)
  : compiled_(std::make_unique<Compiled>())
{
  compiled_->json_ = std::move(aSchema);
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(compiled_->json_),
                        compiled_->schema_);
}

JsonSchema::~JsonSchema() = default;

leaf::result<void>
JsonSchema::Check(const Json& aDocument) const
{
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target(aDocument);
  if (validator.validate(compiled_->schema_, target, &results)) {
    return {};
  }
  return leaf::new_error(Explain(compiled_->json_, aDocument, DeepestContext(results)));
}

ConfigError
JsonSchema::Mismatch(const Pointer& aPath, const std::string& aFound, const std::string& aExpected)
{
  return { ConfigError::Code::Schema,
           aPath.to_string(),
           "found " + aFound + "; expected " + aExpected };
}

Json
JsonSchema::Integer(uint64_t aMinimum, uint64_t aMaximum, const std::string& aUnit)
{
  return { { "type", "integer" },
           { "minimum", aMinimum },
           { "maximum", aMaximum },
           { "description",
             "a whole number of " + aUnit + " from " + std::to_string(aMinimum) + " to " +
               std::to_string(aMaximum) } };
}

Json
JsonSchema::Text()
{
  return { { "type", "string" }, { "description", "a text" } };
}

Json
JsonSchema::Pattern(const std::string& aPattern, const std::string& aExpected)
{
  return { { "type", "string" }, { "pattern", aPattern }, { "description", aExpected } };
}

Json
JsonSchema::OneOf(const Json& aValues)
{
  return { { "enum", aValues }, { "description", "one of " + aValues.dump() } };
}

Json
JsonSchema::ClosedObject(const Json& aProperties, const Json& aRequired)
{
  return { { "type", "object" },
           { "properties", aProperties },
           { "required", aRequired },
           { "additionalProperties", false },
           { "description", "an object" } };
}

Json
JsonSchema::MapOf(const Json& aValue)
{
  return { { "type", "object" },
           { "additionalProperties", aValue },
           { "description", "an object with one entry per name" } };
}

Json
JsonSchema::List(const Json& aItem, size_t aMaxItems, const std::string& aExpected)
{
  return {
    { "type", "array" }, { "items", aItem }, { "maxItems", aMaxItems }, { "description", aExpected }
  };
}

}
