#pragma once

#include "sardinespoke/errors.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace sardinespoke {

/// A JSON Schema whose errors name the field, what was found and what was expected.
/// The "description" of each part of the schema is what an error says was expected.
class JsonSchema
{
public:
  explicit JsonSchema(nlohmann::json aSchema);
  ~JsonSchema();

  /// Errors: ConfigError::Schema with the path of the field.
  leaf::result<void> Check(const nlohmann::json& aDocument) const;

  /// @name Parts of a schema
  /// @{
  static nlohmann::json Integer(uint64_t aMinimum, uint64_t aMaximum, const std::string& aUnit);
  static nlohmann::json Text();
  /// @param aExpected What an error says was expected.
  static nlohmann::json Pattern(const std::string& aPattern, const std::string& aExpected);
  static nlohmann::json OneOf(const nlohmann::json& aValues);
  /// An object with these keys and no others.
  static nlohmann::json ClosedObject(const nlohmann::json& aProperties,
                                     const nlohmann::json& aRequired);
  /// An object whose keys are names that operators choose.
  static nlohmann::json MapOf(const nlohmann::json& aValue);
  static nlohmann::json List(const nlohmann::json& aItem,
                             size_t aMaxItems,
                             const std::string& aExpected);
  /// @}

  /// @returns The error for a value that does not match.
  static ConfigError Mismatch(const nlohmann::json::json_pointer& aPath,
                              const std::string& aFound,
                              const std::string& aExpected);

private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

}
