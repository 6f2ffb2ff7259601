#include "sardinespoke/profile_diff.h"

#include "json_document_p.h"
#include "profile_json_p.h"

#include <algorithm>
#include <set>

namespace sardinespoke {

namespace {

using Json = nlohmann::json;

/// @returns The fields of a document that operators edit, as shortened JSON text by path.
std::map<std::string, std::string>
FlattenFields(const ProfileSet& aSet)
{
  Json json = ToJson(aSet);
  json.erase("revision");
  json.erase("history");
  const Json leaves = json.flatten(); // Named, because items() keeps a reference to it.
  std::map<std::string, std::string> fields;
  for (const auto& [path, value] : leaves.items()) {
    if (!value.is_null()) { // flatten() gives null for an empty section.
      fields[path] = Shorten(value);
    }
  }
  return fields;
}

std::string
ValueAt(const std::map<std::string, std::string>& aFields, const std::string& aPath)
{
  const auto field = aFields.find(aPath);
  return field == aFields.end() ? "" : field->second;
}

}

std::vector<FieldChange>
DiffProfileSets(const ProfileSet& aBefore, const ProfileSet& aAfter)
{
  const auto before = FlattenFields(aBefore);
  const auto after = FlattenFields(aAfter);
  std::set<std::string> paths;
  for (const auto& [path, value] : before) {
    paths.insert(path);
  }
  for (const auto& [path, value] : after) {
    paths.insert(path);
  }
  std::vector<FieldChange> changes;
  for (const std::string& path : paths) {
    FieldChange change{ path, ValueAt(before, path), ValueAt(after, path) };
    if (change.before_ != change.after_) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::string
DescribeChanges(const std::vector<FieldChange>& aChanges, size_t aMaxFields)
{
  std::string text;
  const size_t shown = std::min(aChanges.size(), aMaxFields);
  for (size_t index = 0; index < shown; ++index) {
    const FieldChange& change = aChanges[index];
    text += (text.empty() ? "" : ", ") + change.path_ + " " +
            (change.before_.empty() ? "none" : change.before_) + " -> " +
            (change.after_.empty() ? "none" : change.after_);
  }
  if (shown < aChanges.size()) {
    text += " and " + std::to_string(aChanges.size() - shown) + " more";
  }
  return text;
}

}
