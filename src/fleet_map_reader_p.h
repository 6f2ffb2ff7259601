#pragma once

#include "sardinespoke/errors.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sardinespoke {

/// Reads typed fields of the fleet document and keeps the first error with the path of its field.
/// A read that fails returns a default value, so that callers check once at the end.
class FleetMapReader
{
public:
  const std::optional<ConfigError>& Error() const { return error_; }

  void Fail(const std::string& aPath,
            const std::string& aMessage,
            ConfigError::Code aCode = ConfigError::Code::Semantic)
  {
    if (!error_) {
      error_ = ConfigError{ aCode, aPath, aMessage };
    }
  }

  std::string String(const nlohmann::json& aValue, const std::string& aPath)
  {
    if (!Expect(aValue.is_string(), aPath, "a string")) {
      return {};
    }
    return aValue.get<std::string>();
  }

  uint64_t Number(const nlohmann::json& aValue, const std::string& aPath)
  {
    if (!Expect(aValue.is_number_unsigned(), aPath, "an unsigned integer")) {
      return 0;
    }
    return aValue.get<uint64_t>();
  }

  bool Bool(const nlohmann::json& aValue, const std::string& aPath)
  {
    return Expect(aValue.is_boolean(), aPath, "true or false") && aValue.get<bool>();
  }

  std::vector<std::string> Strings(const nlohmann::json& aValue, const std::string& aPath)
  {
    std::vector<std::string> texts;
    if (!CheckArray(aValue, aPath)) {
      return texts;
    }
    for (const nlohmann::json& item : aValue) {
      texts.push_back(String(item, aPath + "/" + std::to_string(texts.size())));
    }
    return texts;
  }

  /// @returns The element of aTable at the index that the value holds.
  template<typename Value>
  Value TableEntry(const nlohmann::json& aValue,
                   const std::string& aPath,
                   const std::vector<Value>& aTable)
  {
    const uint64_t index = Number(aValue, aPath);
    if (index >= aTable.size()) {
      Fail(aPath, "index " + std::to_string(index) + " is outside its table");
      return {};
    }
    return aTable[index];
  }

  /// @returns The enumerator with the name that the value holds.
  template<typename Enum, size_t Size>
  Enum EnumByName(const nlohmann::json& aValue,
                  const std::string& aPath,
                  const std::array<const char*, Size>& aNames)
  {
    const std::string text = String(aValue, aPath);
    for (size_t i = 0; i < Size; ++i) {
      if (text == aNames[i]) {
        return static_cast<Enum>(i);
      }
    }
    Fail(aPath, "unknown name \"" + text + "\"");
    return static_cast<Enum>(0);
  }

  bool CheckArray(const nlohmann::json& aValue, const std::string& aPath)
  {
    return Expect(aValue.is_array(), aPath, "an array");
  }

  bool CheckObject(const nlohmann::json& aValue, const std::string& aPath)
  {
    return Expect(aValue.is_object(), aPath, "an object");
  }

  /// Checks that the value is an array of aMin to aMax items.
  bool CheckRow(const nlohmann::json& aValue, const std::string& aPath, size_t aMin, size_t aMax)
  {
    const bool fits = aValue.is_array() && aValue.size() >= aMin && aValue.size() <= aMax;
    return Expect(fits,
                  aPath,
                  "an array of " + std::to_string(aMin) + " to " + std::to_string(aMax) + " items");
  }

  /// Checks that the value is an object with exactly the given keys.
  bool CheckKeys(const nlohmann::json& aValue,
                 const std::string& aPath,
                 const std::vector<std::string>& aKeys)
  {
    if (!CheckObject(aValue, aPath)) {
      return false;
    }
    for (const std::string& key : aKeys) {
      if (!Expect(aValue.contains(key), Child(aPath, key), "a value")) {
        return false;
      }
    }
    for (const auto& [key, value] : aValue.items()) {
      if (std::find(aKeys.begin(), aKeys.end(), key) == aKeys.end()) {
        Fail(Child(aPath, key), "unknown key", ConfigError::Code::Schema);
        return false;
      }
    }
    return true;
  }

private:
  static std::string Child(std::string aPath, const std::string& aKey)
  {
    aPath.append("/").append(aKey);
    return aPath;
  }

  bool Expect(bool aHolds, const std::string& aPath, const std::string& aExpected)
  {
    if (!aHolds) {
      Fail(aPath, "expected " + aExpected, ConfigError::Code::Schema);
    }
    return aHolds;
  }

  std::optional<ConfigError> error_;
};

}
