#include "json_document_p.h"

#include "bounded_json_p.h"

#include <optional>
#include <set>

namespace sardinespoke {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxShownCharacters = 80;

/// Parser callback that records the first duplicate key or excessive nesting as an error.
class StructureChecker
{
public:
  explicit StructureChecker(std::string aPath)
    : root_(std::move(aPath))
  {
  }

  /// @returns Whether the parser should keep the value.
  bool OnEvent(Json::parse_event_t aEvent, const Json& aValue)
  {
    switch (aEvent) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        open_.emplace_back();
        CheckDepth();
        return open_.size() <= kMaxNesting;
      case Json::parse_event_t::key:
        OnKey(aValue.get<std::string>());
        return true;
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        open_.pop_back();
        NextElement();
        return true;
      default:
        NextElement();
        return true;
    }
  }

  const std::optional<ConfigError>& Error() const { return error_; }

private:
  struct Level
  {
    std::set<std::string> keys_;
    std::string key_;
    size_t index_ = 0;
  };

  void OnKey(const std::string& aKey)
  {
    Level& level = open_.back();
    level.key_ = aKey;
    if (level.keys_.insert(aKey).second || error_) {
      return;
    }
    error_ = ConfigError{ ConfigError::Code::Schema,
                          Path(),
                          "found the key twice in one object; expected it once" };
  }

  void NextElement()
  {
    if (!open_.empty()) {
      ++open_.back().index_;
    }
  }

  void CheckDepth()
  {
    if (open_.size() <= kMaxNesting || error_) {
      return;
    }
    error_ = ConfigError{ ConfigError::Code::Schema,
                          root_,
                          "found more than " + std::to_string(kMaxNesting) +
                            " levels of nesting; expected at most that" };
  }

  std::string Path() const
  {
    Json::json_pointer path;
    for (const Level& level : open_) {
      path /= level.keys_.empty() ? std::to_string(level.index_) : level.key_;
    }
    return root_ + path.to_string();
  }

  const std::string root_;
  std::vector<Level> open_;
  std::optional<ConfigError> error_;
};

}

leaf::result<Json>
ParseStrict(const std::string& aText, const std::string& aPath)
{
  StructureChecker checker(aPath);
  Json value;
  try {
    value = Json::parse(aText, [&](int, Json::parse_event_t aEvent, const Json& aValue) {
      return checker.OnEvent(aEvent, aValue);
    });
  } catch (const Json::exception& exception) {
    return leaf::new_error(ConfigError{ ConfigError::Code::NotJson, aPath, exception.what() });
  }
  if (checker.Error()) {
    return leaf::new_error(*checker.Error());
  }
  return value;
}

std::string
Shorten(const Json& aValue)
{
  std::string text = aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxShownCharacters) {
    text.resize(kMaxShownCharacters);
    text += "...";
  }
  return text;
}

}
