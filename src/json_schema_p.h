#pragma once

#include "sardinespoke/errors.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace sardinespoke {

/// A JSON Schema whose errors name the field, the value found and the value expected.
/// Error messages take the expected value from the "description" of the schema node.
class JsonSchema
{
public:
  explicit JsonSchema(nlohmann::json aSchema);
  ~JsonSchema();

  /// Errors: ConfigError::Schema with the path of the field.
  leaf::result<void> Check(const nlohmann::json& aDocument) const;

  /// @name Schema nodes
  /// @{
  static nlohmann::json Integer(uint64_t aMinimum, uint64_t aMaximum, const std::string& aUnit);
  static nlohmann::json Text();
  /// @param aExpected Description of the expected value, for error messages.
  static nlohmann::json Pattern(const std::string& aPattern, const std::string& aExpected);
  static nlohmann::json OneOf(const nlohmann::json& aValues);
  /// An object without keys other than these.
  static nlohmann::json ClosedObject(const nlohmann::json& aProperties,
                                     const nlohmann::json& aRequired);
  /// An object with operator-defined keys.
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
