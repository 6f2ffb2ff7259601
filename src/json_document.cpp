#include "json_document_p.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <set>
#include <vector>

namespace sardinespoke {

namespace {

/// Follows the parser and notes the first key that occurs twice in one object.
class DuplicateKeyFinder
{
public:
  bool operator()(int /*aDepth*/, nlohmann::json::parse_event_t aEvent, nlohmann::json& aParsed)
  {
    if (aEvent == nlohmann::json::parse_event_t::object_start) {
      openObjects_.emplace_back();
    }
    if (aEvent == nlohmann::json::parse_event_t::object_end && !openObjects_.empty()) {
      openObjects_.pop_back();
    }
    if (aEvent == nlohmann::json::parse_event_t::key) {
      const auto key = aParsed.get<std::string>();
      const bool inserted = openObjects_.back().insert(key).second;
      if (!inserted && duplicate_.empty()) {
        duplicate_ = key;
      }
    }
    return true;
  }

  const std::string& Duplicate() const { return duplicate_; }

private:
  std::vector<std::set<std::string>> openObjects_;
  std::string duplicate_;
};

/// Builds the JSON pointer of a valijson error context such as <root>["a"]["b"].
std::string
PointerOf(const std::vector<std::string>& aContext)
{
  std::string pointer;
  for (const auto& part : aContext) {
    if (part == "<root>") {
      continue;
    }
    const bool bracketed = part.size() >= 2 && part.front() == '[';
    std::string name = bracketed ? part.substr(1, part.size() - 2) : part;
    if (name.size() >= 2 && name.front() == '"') {
      name = name.substr(1, name.size() - 2);
    }
    pointer += "/" + name;
  }
  return pointer.empty() ? "/" : pointer;
}

}

leaf::result<nlohmann::json>
ParseStrictJson(const std::string& aText)
{
  DuplicateKeyFinder finder;
  try {
    auto document = nlohmann::json::parse(aText, std::ref(finder));
    if (!finder.Duplicate().empty()) {
      return leaf::new_error(ConfigError{
        ConfigError::Code::NotJson, "/", "the key \"" + finder.Duplicate() + "\" occurs twice" });
    }
    return document;
  } catch (const nlohmann::json::exception& failure) {
    return leaf::new_error(ConfigError{ ConfigError::Code::NotJson, "/", failure.what() });
  }
}

leaf::result<void>
CheckSchema(const nlohmann::json& aDocument, const nlohmann::json& aSchema)
{
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(aSchema), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(aDocument), &results)) {
    return {};
  }
  // The errors are listed from the outermost to the innermost; the longest path names the field.
  ConfigError error{ ConfigError::Code::Schema, "/", "the document does not match its schema" };
  size_t longest = 0;
  valijson::ValidationResults::Error found;
  while (results.popError(found)) {
    if (found.context.size() < longest) {
      continue;
    }
    longest = found.context.size();
    error.path_ = PointerOf(found.context);
    error.message_ = found.description;
  }
  return leaf::new_error(error);
}

}
